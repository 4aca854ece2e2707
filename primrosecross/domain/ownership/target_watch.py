"""Tracks the local target by its heartbeats and grants it keys."""

import collections
import dataclasses
import logging
from collections.abc import Callable

from primrosecross.domain.ownership import answer_grants
from primrosecross.domain.ownership import earlier_grants
from primrosecross.domain.ownership import grant_ledger
from primrosecross.domain.ownership import heartbeat_order
from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.ownership import local_target as local_target_module
from primrosecross.domain.ownership import own_ranges
from primrosecross.domain.ownership import proof as proof_module
from primrosecross.domain.ownership import (
    target_heartbeat as target_heartbeat_module,
)
from primrosecross.ports import clock as clock_port

MIN_REFUSAL_GAP_MS = 20
MIN_HOLD_MS = 200
MAX_TOKENS = 256
ASSUMED_DRAIN_AGE_NS = 3_600_000_000_000  # longer than any drain
GRANT_APPLY_MS = 20  # from the answer until the target applies it
# Outlasts a restart of the daemon; a doubt about a grant lasts as long.
MAX_CALL_HOLD_MS = 4000
CALL_MARGIN_MS = 300  # a call arrives this much after it was sent at most
_NS_PER_MS = proof_module.NS_PER_MS
_State = target_heartbeat_module.TargetState

_logger = logging.getLogger(__name__)


class TargetWatch:
    """Handles the heartbeats of the local target.

    Args:
        lease: Lease under which keys are granted.
        key_map: Returns the map in force here.
        max_hold_ms: Longest time for which keys are granted.
        clock: Clock that includes time spent suspended.
        on_change: Called after a change to report to the coordinator.
        granted_by_call: Returns whether the targets of a service are granted
            keys by calls, not in answers to their heartbeats.
    """

    def __init__(
        self,
        *,
        lease: proof_module.ProofLease,
        key_map: Callable[[], key_map_module.KeyMap],
        max_hold_ms: int,
        clock: clock_port.Clock,
        on_change: Callable[[], None],
        granted_by_call: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._granted_by_call = granted_by_call
        self._lease = lease
        self._key_map = key_map
        self.max_hold_ms = max_hold_ms
        self._clock = clock
        self._on_change = on_change
        self._first_refusal_ns = 0
        self._order = heartbeat_order.HeartbeatOrder(clock=clock)
        self._earlier_grants = earlier_grants.EarlierGrants(
            lease=lease, clock=clock
        )
        # Grants of such a process that got no answer may be applied until then.
        self._earlier_doubts_expiry_ns = (
            clock.now_ns() + grant_ledger.longest_ns(MAX_CALL_HOLD_MS)
        )
        # A deregistration that no heartbeat of its sender came before.
        self._early_deregistration = ("", 0)
        self._own_ranges: own_ranges.OwnRanges | None = None
        self.local_target: local_target_module.LocalTarget | None = None
        # Keys that requests wait for, with the number of these requests.
        self.awaited_keys: collections.Counter[int] = collections.Counter()
        self.on_new_incarnation: Callable[[], None] = lambda: None
        self.on_grant_needed: Callable[[], None] = lambda: None
        self.on_hold: Callable[[], None] = lambda: None
        self.on_grant: Callable[[], None] = lambda: None

    def handle_heartbeat(
        self, heartbeat: target_heartbeat_module.TargetHeartbeat
    ) -> target_heartbeat_module.HeartbeatAnswer:
        """Records a heartbeat and returns the target's grants."""
        target = self.local_target
        if target is not None and heartbeat_order.is_stale(
            heartbeat, target.last_heartbeat
        ):
            if not self._order.supersedes(heartbeat, target):
                _logger.info(
                    "ignored a stale heartbeat of target %s",
                    heartbeat.incarnation_id,
                )
                return target_heartbeat_module.HeartbeatAnswer()
            target = None
        if (
            target is None
            or target.last_heartbeat.incarnation_id != heartbeat.incarnation_id
        ):
            target = self._start_incarnation(heartbeat)
        previous = (target.state, target.last_heartbeat.slots)
        target.last_heartbeat = heartbeat
        target.last_heartbeat_ns = self._clock.now_ns()
        self._earlier_grants.record(heartbeat)
        if target.state is not _State.DRAINING:
            target.state = heartbeat.state
        if target.state is _State.DRAINING and not target.draining_since_ns:
            target.draining_since_ns = target.last_heartbeat_ns
        if previous != (target.state, heartbeat.slots):
            self._on_change()
        self.update_releases()
        if target.granted_by_call:
            self.on_grant_needed()
            return target_heartbeat_module.HeartbeatAnswer()
        return self._grant(target)

    def update_releases(self) -> None:
        """Reports moving ranges that the target has released since."""
        target = self.local_target
        released_ranges = (
            self._ranges_released_by_call(target)
            if target.granted_by_call
            else self._released_ranges(target)
        )
        if released_ranges != target.released_ranges:
            target.released_ranges = released_ranges
            self._on_change()

    def _ranges_released_by_call(
        self, target: local_target_module.LocalTarget
    ) -> tuple[key_map_module.KeyRange, ...]:
        """Returns the moving ranges that the target certainly released.

        A grant without an answer may be applied after a release, also one by
        an earlier process of this daemon.
        """
        moving = self.moving_ranges()
        target.ledger.drop_releases(moving)
        return tuple(
            dataclasses.replace(r, token=_token_for(r, target.tokens))
            for r in moving
            if target.ledger.is_released(r) and not self.is_in_doubt(r)
        )

    def is_in_doubt(self, key_range: key_map_module.KeyRange) -> bool:
        """Returns whether a grant without an answer may still have effect."""
        now_ns = self._clock.now_ns()
        return (
            now_ns < self._earlier_doubts_expiry_ns
            or self.local_target.ledger.is_in_doubt(
                key_range.first, key_range.last, now_ns
            )
        )

    def moving_ranges(self) -> list[key_map_module.KeyRange]:
        """Returns the target's ranges that are to move elsewhere."""
        return self._current_ranges().moving

    def allowed_grants(self) -> tuple[list[key_map_module.KeyRange], int]:
        """Returns the ranges that a call may grant, and for how many ms."""
        target = self.local_target
        hold_ms = min(
            self._lease.remaining_ms() - CALL_MARGIN_MS,
            self.max_hold_ms,
            MAX_CALL_HOLD_MS,
        )
        holder = self._key_map().holders.get(
            target.last_heartbeat.incarnation_id
        )
        if hold_ms < MIN_HOLD_MS or _is_revoked(holder):
            return [], 0
        return [
            r
            for r in self._current_ranges().kept
            if r.generation > target.forfeited_version
        ], hold_ms

    def _current_ranges(self) -> own_ranges.OwnRanges:
        """Returns the target's ranges in the map in force."""
        key_map = self._key_map()
        heartbeat = self.local_target.last_heartbeat
        if self._own_ranges is None or not self._own_ranges.is_current(
            key_map, heartbeat.incarnation_id
        ):
            self._own_ranges = own_ranges.of(
                key_map, heartbeat.service, heartbeat.incarnation_id
            )
        return self._own_ranges

    def _released_ranges(
        self, target: local_target_module.LocalTarget
    ) -> tuple[key_map_module.KeyRange, ...]:
        """Returns the moving ranges that the target no longer holds.

        The heartbeat is newer than all others that this process answered, so
        the target has applied or dropped each grant of this process before it
        sent it. It may be older than a grant of an earlier process.
        """
        target.tokens = (target.tokens + list(target.last_heartbeat.released))[
            -MAX_TOKENS:
        ]
        return tuple(
            dataclasses.replace(r, token=_token_for(r, target.tokens))
            for r in self.moving_ranges()
            if not any(
                r.overlaps(h.first, h.last) for h in target.last_heartbeat.held
            )
            and not self._earlier_grants.may_hold(r)
        )

    def _start_incarnation(
        self, heartbeat: target_heartbeat_module.TargetHeartbeat
    ) -> local_target_module.LocalTarget:
        _logger.info(
            "target %s of service %s sent its first heartbeat",
            heartbeat.incarnation_id,
            heartbeat.service,
        )
        predecessor = self.local_target
        self.local_target = local_target_module.LocalTarget(
            heartbeat,
            self._clock.now_ns(),
            heartbeat.state,
            granted_by_call=self._granted_by_call(heartbeat.service),
        )
        if predecessor is not None and predecessor.granted_by_call:
            self.local_target.ledger = predecessor.ledger.suspects(
                since_ns=predecessor.last_heartbeat_ns
            )
            self.local_target.must_clear = (
                self.local_target.ledger.expiry_ns() > self._clock.now_ns()
            )
        if heartbeat.state is _State.DRAINING:
            # An earlier process of this daemon may have acknowledged the drain.
            self.local_target.draining_since_ns = (
                self.local_target.last_heartbeat_ns - ASSUMED_DRAIN_AGE_NS
            )
        self._first_refusal_ns = 0
        if self._early_deregistration == (
            heartbeat.instance,
            heartbeat.born_ms,
        ):
            self.start_draining(heartbeat.instance, heartbeat.born_ms)
        self.on_new_incarnation()
        self._on_change()
        return self.local_target

    def _grant(
        self, target: local_target_module.LocalTarget
    ) -> target_heartbeat_module.HeartbeatAnswer:
        key_map = self._key_map()
        table = key_map.tables.get(target.last_heartbeat.service)
        hold_ms = min(self._lease.remaining_ms(), self.max_hold_ms)
        holder = key_map.holders.get(target.last_heartbeat.incarnation_id)
        if table is None or hold_ms < MIN_HOLD_MS or _is_revoked(holder):
            return target_heartbeat_module.HeartbeatAnswer()
        grants = answer_grants.fitting(
            (
                r
                for r in table.held_by(target.last_heartbeat.incarnation_id)
                if r.receiver == key_map_module.NO_HOLDER
                and r.generation > target.forfeited_version
            ),
            target.last_heartbeat.held,
        )
        now_ns = self._clock.now_ns()
        if grants != target.granted:
            target.previously_granted = target.granted
            target.granted_applied_ns = now_ns + GRANT_APPLY_MS * _NS_PER_MS
            target.granted = grants
            self.on_grant()
        target.granted_expiry_ns = now_ns + int(
            hold_ms * (1 + proof_module.DRIFT_SHARE) * _NS_PER_MS
        )
        return target_heartbeat_module.HeartbeatAnswer(grants, hold_ms)

    def start_draining(self, instance: str, born_ms: int = 0) -> None:
        """Marks the target as draining, at its own request.

        Args:
            instance: ID of the target that asks for it.
            born_ms: Its start; 0 if it did not tell, which matches any.
        """
        target = self.local_target
        if target is None or (
            target.last_heartbeat.instance != instance
            or born_ms not in (0, target.last_heartbeat.born_ms)
        ):
            _logger.info(
                "deregistration of target %s@%d, which is not the present one",
                instance,
                born_ms,
            )
            self._early_deregistration = (instance, born_ms)
            return
        if target.state is not _State.GONE:
            _logger.info(
                "target %s is draining", target.last_heartbeat.incarnation_id
            )
            target.state = _State.DRAINING
            target.draining_since_ns = (
                target.draining_since_ns or self._clock.now_ns()
            )
            self._on_change()

    def record_refused_connection(self) -> None:
        """Records that the target's port refused a connection.

        Nothing listens there, so the incarnation has ended. Two refusals are
        needed, because a starting target may be about to open its port.
        """
        target = self.local_target
        now_ns = self._clock.now_ns()
        if target is None or target.state is _State.GONE:
            return
        if (
            not self._first_refusal_ns
            or target.last_heartbeat_ns > self._first_refusal_ns
        ):
            self._first_refusal_ns = now_ns
        elif now_ns - self._first_refusal_ns >= MIN_REFUSAL_GAP_MS * _NS_PER_MS:
            _logger.warning(
                "target %s is gone: its port refuses connections",
                target.last_heartbeat.incarnation_id,
            )
            target.state = _State.GONE
            target.forfeited_version = self._key_map().version
            self._on_change()

    def check_silence(self) -> None:
        """Detects a silent target and the expiry of its grants."""
        target = self.local_target
        if target is None:
            return
        now_ns = self._clock.now_ns()
        if target.state is _State.SILENT and not target.forfeited_version:
            if now_ns > max(
                target.granted_expiry_ns,
                target.ledger.expiry_ns(),
                self._earlier_grants.expiry_ns,
            ):
                target.forfeited_version = self._key_map().version
                self._on_change()
            return
        last_sign_ns = max(target.last_heartbeat_ns, target.answer_ns)
        silent_ms = (now_ns - last_sign_ns) / _NS_PER_MS
        if (
            target.state is _State.READY
            and silent_ms > heartbeat_order.SILENT_AFTER_MS
        ):
            _logger.warning(
                "target %s has given no sign of life for %d ms",
                target.last_heartbeat.incarnation_id,
                silent_ms,
            )
            target.state = _State.SILENT
            self._on_change()

    def holds(self, key: int) -> bool:
        """Returns whether the target applied an unexpired grant of a key."""
        target = self.local_target
        now_ns = self._clock.now_ns()
        if target is not None and target.granted_by_call:
            return target.ledger.holds(key, now_ns)
        if target is None or now_ns > target.granted_expiry_ns:
            return False
        if now_ns < target.granted_applied_ns and not _covers(
            target.previously_granted, key
        ):
            return False
        return _covers(target.granted, key)

    def record_refused_key(self, key: int) -> bool:
        """Records that the target refused a request, as it lacks the key.

        Returns:
            Whether the key will be granted again without delay.
        """
        target = self.local_target
        if target is None or not target.granted_by_call:
            return False
        _logger.warning(
            "target %s does not hold key %d that it was granted",
            target.last_heartbeat.incarnation_id,
            key,
        )
        target.ledger.stop_use(key, key)
        self.on_grant_needed()
        return True


def _covers(
    grants: tuple[target_heartbeat_module.GrantedRange, ...], key: int
) -> bool:
    return any(g.first <= key <= g.last for g in grants)


def _token_for(
    key_range: key_map_module.KeyRange,
    tokens: list[target_heartbeat_module.ReleasedRange],
) -> str:
    """Returns the newest token that covers a range, empty if none does."""
    for released in reversed(tokens):
        if (
            released.first <= key_range.first
            and key_range.last <= released.last
        ):
            return released.token
    return ""


def _is_revoked(holder: key_map_module.Holder | None) -> bool:
    return (
        holder is not None
        and holder.state is key_map_module.HolderState.REVOKING
    )
