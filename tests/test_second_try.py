"""A second try on a new connection, after a kept one closed without a response.

Guards against a refusal as "not run" of a request that the first try may have
run, and against crashes of targets that are not noticed.
"""

import re
import unittest

from gevent import server as gevent_server

from primrosecross.adapters import boot_clock
from primrosecross.adapters.http import target_http
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.platform import targets as platform_targets
from primrosecross.ports import target as target_port

TIMEOUT_MS = 2000


class _ClosingTarget:
    """Target that answers once and closes the connection at the next request.

    Args:
        answer: Response to the first request; ID stands for that of a request.
        refusal: Response to requests on further connections; none if it does
            not listen any more.
    """

    def __init__(self, answer: bytes, refusal: bytes) -> None:
        self.paths: list[str] = []
        self._answer = answer
        self._refusal = refusal
        self.server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _) -> None:
        data = b""
        while piece := sock.recv(65536):
            data += piece
            if b"\r\n\r\n" not in data:
                continue
            request_id = re.search(rb"Request-Id: (\S*)", data)[1]
            data = b""
            self.paths.append(request_id.decode())
            if len(self.paths) == 1:
                sock.sendall(self._answer.replace(b"ID", request_id))
                continue
            if len(self.paths) == 2 and not self._refusal:
                self.server.close()
            if len(self.paths) > 2:
                sock.sendall(self._refusal.replace(b"ID", request_id))
            return


class PlatformTest(unittest.TestCase):
    """Targets on the users' platform."""

    ANSWER = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    REFUSAL = (
        b"HTTP/1.1 503 Full\r\nRequest-Id: ID\r\nNot-Executed: full\r\n"
        b"Content-Length: 0\r\n\r\n"
    )

    def make_targets(self, clock: boot_clock.BootClock) -> target_port.Targets:
        return platform_targets.PlatformTargets(clock=clock)

    def run_second(
        self, refusal: bytes, *, idempotent: bool = True
    ) -> outcome.Outcome:
        """Returns the outcome of a request on a kept connection."""
        clock = boot_clock.BootClock()
        self.target = _ClosingTarget(self.ANSWER, refusal)
        self.addCleanup(self.target.server.close)
        targets = self.make_targets(clock)
        announcement = target_port.Announcement(
            "s", f"127.0.0.1:{self.target.server.server_port}", 4, True
        )
        self.addCleanup(targets.close_connections, announcement)
        for request_id in ("r1", "r2"):
            req = request.Request(
                request_id=request_id,
                service="s",
                key="",
                method="GET",
                path="/x",
                headers=(("Request-Id", request_id),),
                body=b"",
                idempotent=idempotent,
                deadline_ns=clock.now_ns() + TIMEOUT_MS * 1_000_000,
            )
            result = targets.run(announcement, req, target_port.Fence(1, 1))
        return result

    def assert_unknown(self, result: outcome.Outcome) -> None:
        self.assertIsInstance(result, outcome.Unknown, result)
        self.assertIs(result.reason, outcome.Reason.ANSWER_LOST)

    def test_target_that_is_gone_may_have_run_the_first_try(self):
        self.assert_unknown(self.run_second(b""))
        self.assertEqual(self.target.paths, ["r1", "r2"])

    def test_refusal_of_the_second_try_says_nothing_of_the_first(self):
        self.assert_unknown(self.run_second(self.REFUSAL))
        self.assertEqual(self.target.paths, ["r1", "r2", "r2"])

    def test_answer_to_the_second_try_is_returned(self):
        result = self.run_second(self.ANSWER)
        self.assertIsInstance(result, outcome.Answered)
        self.assertEqual(self.target.paths, ["r1", "r2", "r2"])

    def test_request_that_is_not_idempotent_has_no_second_try(self):
        self.assert_unknown(self.run_second(self.ANSWER, idempotent=False))
        self.assertEqual(self.target.paths, ["r1", "r2"])


class ProductTest(PlatformTest):
    """Targets of the product, without the users' platform."""

    ANSWER = (
        b"HTTP/1.1 200 OK\r\nPrimrosecross-Request-Id: ID\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    REFUSAL = (
        b"HTTP/1.1 503 Full\r\nPrimrosecross-Request-Id: ID\r\n"
        b"Primrosecross-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
    )

    def make_targets(self, clock: boot_clock.BootClock) -> target_port.Targets:
        return target_http.HttpTargets(clock=clock)


if __name__ == "__main__":
    unittest.main()
