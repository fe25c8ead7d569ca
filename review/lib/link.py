"""TCP proxy on one directed link between two nodes."""

import socket
import struct
import threading
import time

# Time for the receiver to read a frame before the connection is reset.
FRAME_READ_S = 0.02

PASS, SILENT = "pass", "silent"


class Pair:
    """A proxied connection."""

    def __init__(self, client, server):
        self.client = client
        self.server = server
        self.silent = False
        # Reset after the first frame of the server (four bytes of length, then the frame).
        self.first_frame_only = False

    def reset(self):
        for sock in (self.client, self.server):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()


class Link:
    """Listens at one address and forwards to another.

    All nodes of a deployment use one port between nodes; here each node has a port of its own, so
    that a proxy can listen at the address that the other nodes connect to.
    """

    def __init__(self, listen, target):
        self.target = target
        self.mode = PASS
        self.delay_s = 0
        # The next connection is reset after the first frame of the server.
        self.cut_next = False
        self.lock = threading.Lock()
        self.pairs = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.open, args=(client,), daemon=True).start()

    def open(self, client):
        while self.mode == SILENT:
            time.sleep(0.01)
        server = socket.socket()
        try:
            server.connect(self.target)
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = Pair(client, server)
        pair.first_frame_only, self.cut_next = self.cut_next, False
        with self.lock:
            self.pairs.append(pair)
        threading.Thread(target=self.pump, args=(pair, client, server), daemon=True).start()
        threading.Thread(target=self.pump, args=(pair, server, client), daemon=True).start()

    def pump(self, pair, source, sink):
        try:
            while True:
                data = source.recv(65536)
                while pair.silent or self.mode == SILENT:
                    time.sleep(0.01)
                if not data:
                    break
                if self.delay_s:
                    time.sleep(self.delay_s)
                if source is pair.server and pair.first_frame_only:
                    sink.sendall(data[:4 + int.from_bytes(data[:4], "big")])
                    time.sleep(FRAME_READ_S)
                    break
                sink.sendall(data)
        except OSError:
            pass
        pair.reset()
        with self.lock:
            if pair in self.pairs:
                self.pairs.remove(pair)

    def reset_all(self):
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            pair.reset()

    def silence_all(self):
        """Open connections go silent for good; new ones work."""
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            pair.silent = True
