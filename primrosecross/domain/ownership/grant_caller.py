"""Grants the local target its keys by calls.

Grants go one at a time, with releases beside them, as each of those may take a
while. Keys that requests wait for come first, then releases, whose keys others
wait for, then renewals.
"""

import functools
import logging
from collections.abc import Callable

import gevent
from gevent import event as gevent_event

from primrosecross.domain.ownership import grant_ledger
from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.ownership import local_target
from primrosecross.domain.ownership import proof as proof_module
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.ownership import target_watch
from primrosecross.ports import clock as clock_port
from primrosecross.ports import key_calls

RENEW_MS = 1000  # a daemon may be killed and back within the rest of a hold
IDLE_MS = 100
MAX_RELEASES = 4  # at once; each waits for the requests on its keys
# A grant takes a round trip on one machine, a release the rest of the requests.
FIRST_TIMEOUT_MS = {key_calls.GrantCall: 150, key_calls.ReleaseCall: 300}
MAX_TIMEOUT_MS = {key_calls.GrantCall: 1000, key_calls.ReleaseCall: 5000}
RETRY_MS = 500  # after a refusal, whose cause takes a new map to end
MIN_RETRY_MS = 25
_NS_PER_MS = proof_module.NS_PER_MS
_KeyRange = key_map_module.KeyRange

_logger = logging.getLogger(__name__)


class GrantCaller:
    """Sends grants and releases to the local target until killed.

    Args:
        watch: State of the local target, and which keys it may hold.
        calls: Calls to the target.
        clock: Clock that includes time spent suspended.
        on_superseded: Called when the target has seen a higher generation.
    """

    def __init__(
        self,
        *,
        watch: target_watch.TargetWatch,
        calls: key_calls.KeyCalls,
        clock: clock_port.Clock,
        on_superseded: Callable[[], None],
    ) -> None:
        self._watch = watch
        self._calls = calls
        self._clock = clock
        self._on_superseded = on_superseded
        self._wake_event = gevent_event.Event()
        self._delays = _Delays(clock)
        self._releasing: set[key_calls.KeyCall] = set()
        self.in_doubt = 0
        self._record = functools.singledispatch(_refuse_unknown)
        self._record.register(key_calls.Done, self._record_done)
        self._record.register(key_calls.NotApplied, self._record_not_applied)
        self._record.register(key_calls.NotListening, self._record_refusal)
        self._record.register(key_calls.InDoubt, self._record_doubt)
        self._apply = functools.singledispatch(_refuse_unknown)
        self._apply.register(key_calls.GrantCall, self._apply_grant)
        self._apply.register(key_calls.ReleaseCall, self._apply_release)

    def wake(self) -> None:
        """Looks for calls to send without delay."""
        self._wake_event.set()

    def run(self) -> None:
        """Calls until killed."""
        while True:
            order = self.next_order()
            if order is None:
                self._wake_event.wait(timeout=IDLE_MS / 1000)
                self._wake_event.clear()
            elif isinstance(order, key_calls.GrantCall):
                self.send(order)
            else:
                gevent.spawn(self._release, self.begin_release(order))

    def begin_release(
        self, order: key_calls.ReleaseCall
    ) -> key_calls.ReleaseCall:
        """Stops the use of keys that are about to be released."""
        self._releasing.add(order)
        self._watch.local_target.ledger.stop_use(order.first, order.last)
        return order

    def _release(self, order: key_calls.ReleaseCall) -> None:
        self.send(order)
        self.wake()

    def send(self, order: key_calls.KeyCall) -> None:
        """Sends one call and records its result."""
        target = self._watch.local_target
        sent_ns = self._clock.now_ns()
        result: key_calls.CallResult = key_calls.InDoubt(
            "internal error during the call"
        )
        try:
            result = self._calls.call(
                target.last_heartbeat.instance,
                order,
                timeout_ms=self._delays.timeout_ms(order),
            )
        finally:
            self.record(result, order, target, sent_ns)

    def record(
        self,
        result: key_calls.CallResult,
        order: key_calls.KeyCall,
        target: local_target.LocalTarget,
        sent_ns: int,
    ) -> None:
        """Records the result of a call to an incarnation of the target."""
        self._releasing.discard(order)
        self._record(result, order, target, sent_ns)
        successor = self._watch.local_target
        if successor is not target and isinstance(order, key_calls.GrantCall):
            self._suspect_of(successor, order)

    def _suspect_of(
        self, successor: local_target.LocalTarget, order: key_calls.GrantCall
    ) -> None:
        """Records that a grant may have reached the next incarnation."""
        successor.ledger.record_doubt(order, closed_ns=self._clock.now_ns())
        successor.must_clear = True

    def next_order(self) -> key_calls.KeyCall | None:
        """Returns the most urgent call, None if none is due."""
        target = self._watch.local_target
        if target is None or not target.may_be_called:
            return None
        self._watch.update_releases()
        if target.must_clear:
            orders = [_release_all(target.ledger)]
        else:
            orders = self._orders(target)
        return next((o for o in orders if self._is_due(o)), None)

    def _is_due(self, order: key_calls.KeyCall) -> bool:
        if isinstance(order, key_calls.ReleaseCall) and (
            order in self._releasing or len(self._releasing) >= MAX_RELEASES
        ):
            return False
        return self._delays.is_over(order)

    def _orders(
        self, target: local_target.LocalTarget
    ) -> list[key_calls.KeyCall]:
        """Returns all calls that are needed, the most urgent ones first.

        Moving keys are not renewed. While a grant of theirs is in doubt they
        are not released either, as nobody else could serve them yet.
        """
        now_ns = self._clock.now_ns()
        allowed, hold_ms = self._watch.allowed_grants()
        renewed_ns = {r: target.ledger.renewed_ns(r, now_ns) for r in allowed}
        due_ns = now_ns - RENEW_MS * _NS_PER_MS
        awaited_keys = self._watch.awaited_keys
        missing = sorted(
            (r for r in allowed if not renewed_ns[r]),
            key=lambda r: -sum(r.first <= k <= r.last for k in awaited_keys),
        )
        due = sorted(
            (r for r in allowed if 0 < renewed_ns[r] <= due_ns),
            key=renewed_ns.__getitem__,
        )
        releases = [
            key_calls.ReleaseCall(r.first, r.last, r.generation)
            for r in self._watch.moving_ranges()
            if not (target.ledger.is_released(r) or self._watch.is_in_doubt(r))
        ]
        return [
            *(_to_grant(r, hold_ms) for r in missing),
            *releases,
            *(_to_grant(r, hold_ms) for r in due),
        ]

    def _record_done(
        self,
        result: key_calls.Done,
        order: key_calls.KeyCall,
        target: local_target.LocalTarget,
        sent_ns: int,
    ) -> None:
        self._delays.end(order)
        self._apply(order, result, target, sent_ns)

    def _apply_grant(
        self,
        order: key_calls.GrantCall,
        result: key_calls.Done,
        target: local_target.LocalTarget,
        sent_ns: int,
    ) -> None:
        now_ns = self._clock.now_ns()
        target.ledger.record_grant(order, sent_ns=sent_ns, answered_ns=now_ns)
        target.record_answer(result.connection, now_ns)
        self._watch.on_hold()

    def _apply_release(
        self,
        order: key_calls.ReleaseCall,
        result: key_calls.Done,
        target: local_target.LocalTarget,
        sent_ns: int,
    ) -> None:
        del sent_ns
        target.must_clear = False
        target.ledger.record_release(order.first, order.last, order.generation)
        released = target_heartbeat.ReleasedRange(
            order.first, order.last, result.token
        )
        target.tokens = [*target.tokens, released][-target_watch.MAX_TOKENS :]
        if target is self._watch.local_target:
            self._watch.update_releases()

    def _record_not_applied(
        self,
        result: key_calls.NotApplied,
        order: key_calls.KeyCall,
        target: local_target.LocalTarget,
        sent_ns: int,
    ) -> None:
        del sent_ns
        _log(target, "did not carry out", order, result.problem)
        self._delays.begin(order, RETRY_MS)
        if result.superseded:
            target.ledger.record_loss(order.first, order.last)
            self._on_superseded()

    def _record_refusal(
        self,
        result: key_calls.NotListening,
        order: key_calls.KeyCall,
        target: local_target.LocalTarget,
        sent_ns: int,
    ) -> None:
        del sent_ns
        _log(target, "cannot be told", order, result.problem)
        self._delays.begin(order, MIN_RETRY_MS)
        if target is self._watch.local_target:
            self._watch.record_refused_connection()

    def _record_doubt(
        self,
        result: key_calls.InDoubt,
        order: key_calls.KeyCall,
        target: local_target.LocalTarget,
        sent_ns: int,
    ) -> None:
        del sent_ns
        self.in_doubt += 1
        _log(target, "may carry out later", order, result.problem)
        self._delays.begin(order, MIN_RETRY_MS, longer_timeout=True)
        if isinstance(order, key_calls.GrantCall):
            target.ledger.record_doubt(order, closed_ns=self._clock.now_ns())


class _Delays:
    """Pauses before calls are repeated, and their time limits.

    Args:
        clock: Clock that includes time spent suspended.
    """

    def __init__(self, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._until_ns: dict[tuple[int, int, int], int] = {}
        self._timeout_ms: dict[type, int] = dict(FIRST_TIMEOUT_MS)

    def timeout_ms(self, order: key_calls.KeyCall) -> int:
        """Returns the time limit of a call."""
        return self._timeout_ms[type(order)]

    def is_over(self, order: key_calls.KeyCall) -> bool:
        """Returns whether a call may be sent now."""
        return self._until_ns.get(_key(order), 0) <= self._clock.now_ns()

    def begin(
        self,
        order: key_calls.KeyCall,
        delay_ms: int,
        *,
        longer_timeout: bool = False,
    ) -> None:
        """Delays the next try of a call."""
        now_ns = self._clock.now_ns()
        self._until_ns = {k: t for k, t in self._until_ns.items() if t > now_ns}
        self._until_ns[_key(order)] = now_ns + delay_ms * _NS_PER_MS
        if longer_timeout:
            kind = type(order)
            self._timeout_ms[kind] = min(
                MAX_TIMEOUT_MS[kind], 2 * self._timeout_ms[kind]
            )

    def end(self, order: key_calls.KeyCall) -> None:
        """Records an answered call."""
        self._timeout_ms[type(order)] = FIRST_TIMEOUT_MS[type(order)]


def _refuse_unknown(result: object, *args: object) -> None:
    raise TypeError(f"no handler for {type(result).__name__} results")


def _log(
    target: local_target.LocalTarget,
    event: str,
    order: key_calls.KeyCall,
    problem: str,
) -> None:
    _logger.warning(
        "target %s %s: %s",
        target.last_heartbeat.incarnation_id,
        event,
        problem,
        extra={
            "order": type(order).__name__,
            "first": order.first,
            "last": order.last,
            "generation": order.generation,
        },
    )


def _key(order: key_calls.KeyCall) -> tuple[int, int, int]:
    return order.first, order.last, order.generation


def _to_grant(key_range: _KeyRange, hold_ms: int) -> key_calls.GrantCall:
    return key_calls.GrantCall(
        first=key_range.first,
        last=key_range.last,
        generation=key_range.generation,
        hold_ms=hold_ms,
        token=key_range.token,
    )


def _release_all(ledger: grant_ledger.GrantLedger) -> key_calls.ReleaseCall:
    return key_calls.ReleaseCall(
        0, key_map_module.LAST_KEY, ledger.generation()
    )
