"""Workers that show other signs of their end than a refused connection, on the users' platform with real nodes."""

import socket
import threading
import time
import unittest

from crashing_requests import DOWN_S, CrashingRequestFixture, CrashingWorker

SILENT_S = 2.0
WORK_AFTER_CANCEL_S = 0.2
REGISTRATION_S = 0.3


class OnceCrashingWorker(CrashingWorker):
    """Ends once for all crashing requests that it runs at the same time."""

    def __init__(self, *args, **options):
        self.end_lock = threading.Lock()
        self.is_ending = False
        super().__init__(*args, **options)

    def end(self, handler):
        with self.end_lock:
            is_first = not self.is_ending
            self.is_ending = True
        if not is_first:
            self.wait_for_end()
            return
        try:
            self.end_once(handler)
        finally:
            self.is_ending = False

    def wait_for_end(self):
        while self.is_ending:
            time.sleep(0.01)

    def end_once(self, handler):
        raise NotImplementedError


class InvalidBytesWorker(OnceCrashingWorker):
    def end_once(self, handler):
        handler.wfile.write(b"\x00\x01 no answer\r\n\r\n")
        handler.wfile.flush()
        self.crash(DOWN_S)


class SilentWorker(OnceCrashingWorker):
    """Answers nothing for a while before it ends; its connections stay open until then."""

    def work(self, handler, attempt):
        status = super().work(handler, attempt)
        self.wait_for_end()
        return status

    def end_once(self, handler):
        time.sleep(SILENT_S)
        self.crash(DOWN_S)


class LingeringAddressWorker(OnceCrashingWorker):
    """Its address accepts connections and closes them at once until it is back, as with a port that a supervisor holds."""

    def crash(self, down_s):
        address = self.server.server_address
        self.server.close_all()
        with socket.create_server(address) as listener:
            listener.settimeout(0.05)
            end = time.monotonic() + down_s
            while time.monotonic() < end:
                try:
                    listener.accept()[0].close()
                except socket.timeout:
                    pass
        self.start(address)

    def end_once(self, handler):
        self.crash(DOWN_S)


class QuickRestartWorker(OnceCrashingWorker):
    """Serves again at once, and then registers its new start."""

    def end_once(self, handler):
        self.crash(0)
        time.sleep(REGISTRATION_S)
        self.store.put("servers/" + self.instance, dict(self.entry(), born=int((time.time() - REGISTRATION_S) * 1000)))


class LateCrashWorker(OnceCrashingWorker):
    """Ends some time after the connection of the crashing request was closed."""

    def end_once(self, handler):
        time.sleep(WORK_AFTER_CANCEL_S)
        self.crash(DOWN_S)


class InvalidBytesTest(CrashingRequestFixture):
    WORKER = InvalidBytesWorker

    def test_a_worker_that_writes_invalid_bytes_before_its_end_has_crashed(self):
        """Guards against a crashing request that is sent on because its answer was invalid instead of missing."""
        self.check("/read/crash")

    def test_the_same_for_a_request_that_is_not_repeatable(self):
        self.check("/write/crash")


class InvalidBytesAloneTest(InvalidBytesTest):
    """No call but the crashing one is at the worker when it ends."""

    BACKGROUND_CLIENTS = 0


class SilentTest(CrashingRequestFixture):
    """The time limit of the request passes before its worker ends."""

    WORKER = SilentWorker
    BACKGROUND_CLIENTS = 0
    CRASHING_LIMIT_S = 1

    def test_a_worker_that_is_silent_before_its_end_has_crashed(self):
        """Guards against a crashing request that is sent on because its time limit passed before its worker ended."""
        self.check("/read/crash")

    def test_the_same_for_a_request_that_is_not_repeatable(self):
        self.check("/write/crash")


class LingeringAddressTest(CrashingRequestFixture):
    WORKER = LingeringAddressWorker

    def test_a_worker_whose_address_accepts_connections_has_crashed(self):
        """Guards against a crashing request that is sent on because the address of its worker is still listened on."""
        self.check("/read/crash")

    def test_the_same_for_a_request_that_is_not_repeatable(self):
        self.check("/write/crash")


class QuickRestartTest(CrashingRequestFixture):
    WORKER = QuickRestartWorker

    def test_a_worker_that_is_back_at_once_has_crashed(self):
        """Guards against a crashing request that is sent on because its worker is restarted before it is looked at."""
        self.check("/read/crash")

    def test_the_same_for_a_request_that_is_not_repeatable(self):
        self.check("/write/crash")


class CancelledTest(CrashingRequestFixture):
    WORKER = LateCrashWorker
    BACKGROUND_CLIENTS = 0
    CRASHING_CLIENT_S = 0.06

    def test_a_worker_that_ends_after_the_client_has_left_has_crashed(self):
        """Guards against a crashing request that is sent on because it was cancelled before its worker ended."""
        self.check("/read/crash")


class CancelledBesideOthersTest(CancelledTest):
    BACKGROUND_CLIENTS = 6


if __name__ == "__main__":
    unittest.main()
