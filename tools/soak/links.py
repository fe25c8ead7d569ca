"""TCP proxies on the directed links between nodes, in a process of their own."""

import asyncio
import random
import socket
import struct

# A frame begins with its length; the first frame of the accepting node is its hello.
LENGTH_BYTES = 4


def abort(writer):
    """Closes with a reset, as a middlebox does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Pair:
    """One proxied connection."""

    def __init__(self, link, client, server):
        self.link = link
        self.writers = (client, server)
        self.is_silent = False
        # Reset after the hello of the accepting node.
        self.resets_after_hello = False

    def reset(self):
        for writer in self.writers:
            abort(writer)


class Link:
    """Forwards connections from one node to another."""

    def __init__(self, ends, target):
        self.ends = ends
        self.target = target
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.pairs = set()
        self.delay_s = 0.0
        self.resets_after_hello = False

    async def accept(self, reader, writer):
        await self.is_open.wait()
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.target)
        except OSError:
            abort(writer)
            return
        pair = Pair(self, writer, server_writer)
        pair.resets_after_hello, self.resets_after_hello = self.resets_after_hello, False
        self.pairs.add(pair)
        await asyncio.gather(self.pump(pair, reader, server_writer),
                             self.pump(pair, server_reader, writer, from_server=True))
        self.pairs.discard(pair)

    async def pump(self, pair, reader, writer, from_server=False):
        try:
            while data := await reader.read(65536):
                while pair.is_silent:
                    await asyncio.sleep(1)
                await self.is_open.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if from_server and pair.resets_after_hello:
                    writer.write(data[:LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "big")])
                    await writer.drain()
                    await asyncio.sleep(0.02)
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        pair.reset()


class Network:
    """All links; performs the commands of the fault schedule."""

    def __init__(self, hosts, ports, seed):
        self.random = random.Random(seed)
        self.links = {(i, j): Link((i, j), (hosts[j], ports[j]))
                      for i in range(len(hosts)) for j in range(len(hosts)) if i != j}
        self.hosts = hosts
        self.ports = ports
        # Number of cuts in force, by link.
        self.cuts = {}

    async def serve(self, commands):
        for (i, j), link in self.links.items():
            await asyncio.start_server(link.accept, self.hosts[j], self.ports[i])
        commands.send("ready")
        ended = asyncio.Event()

        def on_command():
            try:
                name, arguments = commands.recv()
            except EOFError:
                ended.set()
                return
            getattr(self, name)(**arguments)
            commands.send("done")

        asyncio.get_running_loop().add_reader(commands.fileno(), on_command)
        await ended.wait()

    def around(self, nodes):
        return [link for ends, link in self.links.items() if set(ends) & set(nodes)]

    def cut(self, nodes):
        for link in self.around(nodes):
            self.cuts[link] = self.cuts.get(link, 0) + 1
            link.is_open.clear()

    def heal(self, nodes):
        for link in self.around(nodes):
            self.cuts[link] -= 1
            if self.cuts[link] == 0:
                link.is_open.set()

    def forget(self, nodes):
        """The connections of nodes without power never carry anything again."""
        for link in self.around(nodes):
            for pair in link.pairs:
                pair.is_silent = True

    def silence(self, nodes, share):
        for link in self.around(nodes):
            for pair in link.pairs:
                pair.is_silent |= self.random.random() < share

    def reset(self, nodes, share, times=1, gap_s=0.0):
        """Resets connections now and again after random pauses of at most `gap_s`."""
        for link in self.around(nodes):
            for pair in list(link.pairs):
                if self.random.random() < share:
                    pair.reset()
        if times > 1:
            asyncio.get_running_loop().call_later(
                self.random.random() * gap_s, self.reset, nodes, share, times - 1, gap_s)

    def reset_after_hello(self, nodes):
        for link in self.around(nodes):
            link.resets_after_hello = True

    def delay(self, nodes, seconds):
        for link in self.around(nodes):
            link.delay_s = seconds


def run(commands, hosts, ports, seed):
    asyncio.run(Network(hosts, ports, seed).serve(commands))
