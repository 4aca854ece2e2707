"""Grants and releases by call at the stand-in for a target.

Source: PROTOCOL.md, "Keys that workers hold", and further/LATER.md.
"""

import dataclasses
import json
import os
import random
import time
from urllib import parse

import gevent

from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser

PATHS = ("/api/grant", "/api/release")
POLL_INTERVAL_S = 0.005
NO_ANSWER_S = 30.0


@dataclasses.dataclass(slots=True)
class HeldRange:
    """Range of keys that is held until a time."""

    first: int
    last: int
    generation: int
    expires_s: float


class KeyCalls:
    """Holds keys that are granted by calls.

    Args:
        running: Keys of the requests that run, by request ID.
    """

    def __init__(self, running: dict[str, int]) -> None:
        self._running = running
        self._late_share = 0.0
        self._late_s = 0.0
        self._highest_fence = 0
        self.held: list[HeldRange] = []

    def set_lateness(self, query: str) -> None:
        """Sets the share of calls that get no answer, and their delay."""
        fields = dict(parse.parse_qsl(query))
        self._late_share = float(fields["share"])
        self._late_s = int(fields["ms"]) / 1000

    def handle(
        self, request: http_parser.HttpRequest
    ) -> http_connection.HttpReply:
        """Carries out an order now, or late and without an answer."""
        order = json.loads(request.body)
        arrived_s = time.monotonic()
        if random.random() < self._late_share:
            gevent.spawn_later(
                self._late_s, self._carry_out, request.target, order, arrived_s
            )
            gevent.sleep(NO_ANSWER_S)
        status, headers = self._carry_out(request.target, order, arrived_s)
        headers.append(("Request-Id", request.get("request-id")))
        return http_connection.HttpReply(status, headers)

    def _carry_out(
        self, path: str, order: dict, arrived_s: float
    ) -> tuple[int, list[tuple[str, str]]]:
        first, last, fence = (
            order["From"],
            order["TargetVersion"],
            order["fence"],
        )
        if path == "/api/release":
            self._drop(first, last)
            while any(first <= k <= last for k in self._running.values()):
                gevent.sleep(POLL_INTERVAL_S)
            return 200, [("Handover", os.urandom(4).hex())]
        overlapping = (
            h for h in self.held if h.first <= last and first <= h.last
        )
        if any(h.generation > fence for h in overlapping):
            return 409, []
        self._drop(first, last)
        expires_s = arrived_s + order["HoldMs"] / 1000
        self.held.append(HeldRange(first, last, fence, expires_s))
        return 200, []

    def _drop(self, first: int, last: int) -> None:
        self.held = [
            dataclasses.replace(held, first=part[0], last=part[1])
            for held in self.held
            for part in (
                (held.first, min(held.last, first - 1)),
                (max(held.first, last + 1), held.last),
            )
            if part[0] <= part[1]
        ]
