"""Lost answers on a service with few requests, with real nodes, a fake store and fake workers."""

import http.client
import tempfile
import time
import unittest

from mesh.platform_fakes import FakeStore, FakeWorker
from mesh.sidecar import start_fleet

LOST_ANSWERS = 6
PAUSE_S = 0.4
ROUTES = [{"name": "read", "authority": "a.example", "prefix": "/read/", "route_type": "idempotent", "timeout_s": 3,
           "target_latency_s": 1, "priority": 1, "max_attempts": 1, "service": "s1"}]


class ForgetfulWorker(FakeWorker):
    """Runs requests and closes the connection instead of answering, but never ends."""

    lost = 0
    loses_answers = True

    def work(self, handler, attempt):
        if self.loses_answers:
            self.lost += 1
            self.lose(handler)
            raise ConnectionError("answer lost")
        return 200

    def lose(self, handler):
        """What the worker sends instead of an answer."""


class InvalidAnswerWorker(ForgetfulWorker):
    def lose(self, handler):
        handler.wfile.write(b"\x00\x01 no answer\r\n\r\n")
        handler.wfile.flush()


class LostAnswersOnPlatformTest(unittest.TestCase):
    def test_a_request_whose_answers_were_lost_is_served_again(self):
        """Guards against lost answers that are taken for crashes of the worker, so that a common request is refused."""
        self.check_served_after_lost_answers(ForgetfulWorker)

    def test_the_same_for_invalid_answers(self):
        self.check_served_after_lost_answers(InvalidAnswerWorker)

    def check_served_after_lost_answers(self, worker_class):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        store = FakeStore("127.0.0.1")
        workers = [worker_class("127.0.7.%d" % (index + 1), "s1", "i-%d" % index) for index in range(2)]
        nodes = start_fleet(self, folder.name, store, workers, ROUTES)

        def read(index):
            try:
                return nodes[index % 2].call("/read/popular", "GET")[0]
            except (OSError, http.client.HTTPException):
                return 0

        sent = 0
        while sum(worker.lost for worker in workers) < LOST_ANSWERS and sent < 3 * LOST_ANSWERS:
            read(sent)
            sent += 1
            time.sleep(PAUSE_S)
        for worker in workers:
            worker.loses_answers = False
        self.assertEqual([read(index) for index in range(10)], [200] * 10)


if __name__ == "__main__":
    unittest.main()
