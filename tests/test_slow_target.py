"""Targets that accept no connection in time, although they listen."""

import socket
import unittest

from gevent import socket as gevent_socket

from primrosecross.adapters import boot_clock
from primrosecross.adapters.http import target_http
from primrosecross.domain.requests import outcome
from primrosecross.platform import targets
from primrosecross.ports import target as target_port
from tests import fleet_fakes

BACKLOG_CONNECTIONS = 4  # more than a backlog of 0 holds


class SlowTargetTest(unittest.TestCase):
    """A target whose queue of new connections is full."""

    def setUp(self) -> None:
        server = socket.socket()
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        address = server.getsockname()
        for _ in range(BACKLOG_CONNECTIONS):
            sock = gevent_socket.socket()
            self.addCleanup(sock.close)
            sock.setblocking(False)
            sock.connect_ex(address)
        self.announcement = target_port.Announcement(
            "desk", f"127.0.0.1:{address[1]}", 1, True
        )
        clock = boot_clock.BootClock()
        self.platform_targets = targets.PlatformTargets(clock=clock)
        self.own_targets = target_http.HttpTargets(clock=clock)

    # Guards against a slow target's keys being taken away as if it had ended.
    def test_slow_connection_is_told_from_a_refused_one(self):
        reasons = []
        for address in (self.announcement.address, "127.0.0.1:1"):
            announcement = target_port.Announcement("desk", address, 1, True)
            result = self.platform_targets.run(
                announcement,
                fleet_fakes.make_request(
                    deadline_ns=boot_clock.BootClock().now_ns() + 5 * 10**9
                ),
                target_port.Fence(0, 0),
            )
            self.assertIsInstance(result, outcome.NotRun)
            reasons.append(result.reason)
        self.assertEqual(
            reasons,
            [outcome.Reason.OWNER_UNREACHABLE, outcome.Reason.NO_TARGET],
        )

    # Guards against a request being blamed for the crash of a slow target.
    def test_slow_target_counts_as_listening(self):
        self.assertTrue(self.own_targets.is_listening(self.announcement))
        self.assertTrue(self.platform_targets.is_listening(self.announcement))
        ended = target_port.Announcement("desk", "127.0.0.1:1", 1, True)
        self.assertFalse(self.own_targets.is_listening(ended))
        self.assertFalse(self.platform_targets.is_listening(ended))


if __name__ == "__main__":
    unittest.main()
