"""Ports of stand-ins stay free for the processes that are to listen there."""

import itertools
import pathlib
import socket
import unittest
from unittest import mock

from standins import ports

OUTGOING_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class PortsTest(unittest.TestCase):
    """Choosing ports on loopback."""

    def test_none_is_given_to_an_outgoing_connection(self):
        first_outgoing = int(OUTGOING_RANGE.read_text().split()[0])
        self.assertLessEqual(ports.END_PORT, first_outgoing)
        for port in ports.choose_free(20):
            self.assertGreaterEqual(port, ports.FIRST_PORT)
            self.assertLess(port, ports.END_PORT)

    def test_ports_in_use_are_passed_over(self):
        with socket.socket() as sock:
            taken = ports.choose_free(1)[0]
            sock.bind(("127.0.0.1", taken))
            sock.listen()
            again = itertools.count(taken - ports.FIRST_PORT)
            with mock.patch.object(ports, "_next_ports", again):
                self.assertNotIn(taken, ports.choose_free(3))

    def test_none_is_chosen_twice(self):
        chosen = ports.choose_free(50)
        self.assertEqual(len(set(chosen) | set(ports.choose_free(50))), 100)
