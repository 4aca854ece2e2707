"""Targets in the simulation of key_model: heartbeats, held keys, releases.

A heartbeat may be held up on its way until the daemon has been restarted.
"""

from collections.abc import Callable

from primrosecross.domain.ownership import proof
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.ports import key_calls
from tests import fleet_fakes


class Target:
    """Holds keys until they expire by its own, possibly slow, clock."""

    def __init__(self, model: object, vm: str) -> None:
        self.model = model
        self.vm = vm
        self.up = True
        self.started_ms = 0
        self.holds_up_next = False
        self.holds_up_all = False
        self._held_up: list[Callable[[], None]] = []
        self.start_process()

    def start_process(self) -> None:
        """Starts a new incarnation, which holds no keys."""
        self.up = True
        self.started_ms = self.model.now_ms + 1
        self.held: dict[tuple[int, int, int], float] = {}
        self.released: list[tuple[int, int, str]] = []
        self.sequence = 0
        self.clock_factor = self.model.random.uniform(
            1.0, 1 + proof.DRIFT_SHARE
        )
        self.next_heartbeat_ms = self.model.now_ms

    def holds(self, key: int) -> int:
        """Returns the generation under which a key is held, 0 if it is not."""
        for (first, last, generation), until_ms in self.held.items():
            if first <= key <= last and self.model.now_ms < until_ms:
                return generation
        return 0

    def step(self) -> None:
        """Sends a heartbeat when one is due."""
        now_ms = self.model.now_ms
        if not self.up or now_ms < self.next_heartbeat_ms:
            return
        self.next_heartbeat_ms = now_ms + self.model.random.choice(
            (400, 400, 900)
        )
        self.held = {r: u for r, u in self.held.items() if u > now_ms}
        self.sequence += 1
        heartbeat = fleet_fakes.heartbeat(
            self.sequence,
            instance=f"i-{self.vm}",
            born_ms=self.started_ms,
            held=tuple(self.held),
            released=tuple(self.released),
        )
        if self.holds_up_next or self.holds_up_all:
            self.holds_up_next = False
            self._held_up.append(lambda: self._send(heartbeat, now_ms))
            return
        self.model.schedule(0, 60, lambda: self._send(heartbeat, now_ms))

    def deliver_held_up(self) -> None:
        """Delivers the heartbeats that were held up, in their order."""
        self.holds_up_next = self.holds_up_all = False
        held_up, self._held_up = self._held_up, []
        for position, deliver in enumerate(held_up):
            self.model.schedule(400 * position, 400 * position, deliver)

    def carry_out(self, order: key_calls.KeyCall, arrived_ms: int) -> str:
        """Carries out a grant or a release; returns the hand-over token."""
        outside = {}
        for (first, last, generation), until_ms in self.held.items():
            for part in (
                (first, min(last, order.first - 1)),
                (max(first, order.last + 1), last),
            ):
                if part[0] <= part[1]:
                    outside[(*part, generation)] = until_ms
        self.held = outside
        if isinstance(order, key_calls.ReleaseCall):
            return f"t{order.generation}"
        self.held[order.first, order.last, order.generation] = (
            arrived_ms + order.hold_ms * self.clock_factor
        )
        return ""

    def _send(
        self, heartbeat: target_heartbeat.TargetHeartbeat, sent_ms: int
    ) -> None:
        daemon = self.model.daemons[self.vm]
        if not daemon.is_running():
            return
        answer = daemon.watch.handle_heartbeat(heartbeat)
        low, high = self.model.random.choice(((0, 40), (0, 40), (0, 900)))
        self.model.schedule(
            low, high, lambda: self._apply_answer(heartbeat, answer, sent_ms)
        )

    def _apply_answer(self, heartbeat, answer, sent_ms: int) -> None:
        is_late = self.model.now_ms - sent_ms > 1000
        is_current = (
            heartbeat.born_ms == self.started_ms
            and heartbeat.sequence == self.sequence
        )
        if not self.up or is_late or not is_current or answer.grants is None:
            return
        until_ms = sent_ms + answer.hold_ms * self.clock_factor
        grants_until_ms = {
            (g.first, g.last, g.generation): until_ms for g in answer.grants
        }
        for first, last, generation in self.held:
            if not any(f <= first and last <= t for f, t, _ in grants_until_ms):
                self.released.append((first, last, f"t{generation}"))
                self.next_heartbeat_ms = self.model.now_ms + 100
        self.held = grants_until_ms
