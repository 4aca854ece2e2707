"""Calls that grant keys in the simulation of key_model, with lost answers.

An order whose answer is lost is carried out at its arrival or seconds later,
whatever came between; the time of a grant counts from its arrival.
"""

from primrosecross.domain.ownership import grant_caller
from primrosecross.ports import key_calls

MAX_TRANSIT_MS = 60
MAX_WORK_MS = 400  # of the requests that a release waits for
LOST_SHARE = 0.2
LATE_SHARE = 0.7  # of the lost ones
LATE_MS = (2000, 12_000)
TIMEOUT_MS = 300


class Calls:
    """Sends the orders of one daemon process, one at a time."""

    def __init__(self, model: object, daemon: object) -> None:
        self._model = model
        self._daemon = daemon
        self._started_ms = daemon.started_ms
        self._is_calling = False
        self.caller = grant_caller.GrantCaller(
            watch=daemon.watch,
            calls=None,
            clock=model.clock,
            on_superseded=lambda: None,
        )

    def step(self) -> None:
        """Sends the most urgent order unless one is pending."""
        if self._is_calling:
            return
        order = self.caller.next_order()
        if order is None:
            return
        if isinstance(order, key_calls.ReleaseCall):
            self.caller.begin_release(order)
        self._is_calling = True
        self._send(order, self._daemon.watch.local_target)

    def _send(self, order: key_calls.KeyCall, local_target: object) -> None:
        sent_ns = self._model.clock.now_ns()

        def record(result: key_calls.CallResult) -> None:
            is_same_process = self._daemon.started_ms == self._started_ms
            if not is_same_process or not self._daemon.up:
                return
            if not self._daemon.is_running():  # Frozen: read when it resumes.
                self._model.schedule(20, 20, lambda: record(result))
                return
            self._is_calling = False
            self.caller.record(result, order, local_target, sent_ns)

        self._model.schedule(
            0, MAX_TRANSIT_MS, lambda: self._arrive(order, record)
        )

    def _arrive(self, order: key_calls.KeyCall, record: object) -> None:
        target = self._model.targets[self._daemon.vm]
        random = self._model.random
        if not target.up:
            self._model.schedule(
                0, 20, lambda: record(key_calls.NotListening("down"))
            )
            return
        arrived_ms = self._model.now_ms
        incarnation_ms = target.started_ms

        def carry_out() -> str:
            if not target.up or target.started_ms != incarnation_ms:
                return ""
            return target.carry_out(order, arrived_ms)

        if random.random() < LOST_SHARE:
            late = random.random() < LATE_SHARE
            self._model.schedule(*(LATE_MS if late else (0, 0)), carry_out)
            self._model.schedule(
                TIMEOUT_MS,
                TIMEOUT_MS,
                lambda: record(key_calls.InDoubt("no answer")),
            )
            return
        token = carry_out()
        work_ms = MAX_WORK_MS if isinstance(order, key_calls.ReleaseCall) else 0
        self._model.schedule(
            0,
            work_ms + MAX_TRANSIT_MS,
            lambda: record(key_calls.Done(token, incarnation_ms)),
        )
