"""Admits and runs all requests to the local target."""

import collections
import logging
from collections.abc import Callable

import gevent
from gevent import event as gevent_event

from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.ownership import local_target as local_target_module
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.ownership import target_watch
from primrosecross.domain.requests import body
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import quarantine as quarantine_module
from primrosecross.domain.requests import request
from primrosecross.domain.requests import run_times
from primrosecross.domain.requests import slot_queue
from primrosecross.ports import clock as clock_port
from primrosecross.ports import target as target_port

GRANT_WAIT_MS = 900  # one heartbeat of the target and its transit
GRANT_WAIT_SHARE = 0.5  # of the remaining time; leaves time to retry a refusal
DRAIN_SHARE = 0.6  # the rest is for requests in transit and queued
MAX_COUNTED_KEYS = 1024
NOT_SERVED_RETRY_MS = 200
NO_TARGET_RETRY_MS = 1000
CRASH_RECHECK_MS = 30
_NS_PER_MS = slot_queue.NS_PER_MS

_logger = logging.getLogger(__name__)


class TargetGate:
    """Checks whether a request may run here, waits for a slot, and runs it.

    Args:
        watch: State of the local target.
        key_map: Returns the key map in force on this VM.
        targets: Client of the target.
        quarantine: Requests suspected of crashing targets.
        drain_ms: Time for which a draining target may still get requests.
        clock: Clock that includes time spent suspended.
    """

    def __init__(
        self,
        *,
        watch: target_watch.TargetWatch,
        key_map: Callable[[], key_map_module.KeyMap],
        targets: target_port.Targets,
        quarantine: quarantine_module.Quarantine,
        drain_ms: int,
        clock: clock_port.Clock,
    ) -> None:
        self.set_drain_ms(drain_ms)
        self._watch = watch
        self._key_map = key_map
        self._targets = targets
        self._quarantine = quarantine
        self._clock = clock
        self.target_run_times = run_times.RunTimes()
        self.queue = slot_queue.SlotQueue(
            clock=clock, times=self.target_run_times
        )
        self._key_counts: collections.Counter[int] = collections.Counter()
        self._grant_event = gevent_event.Event()
        self.stopping = False
        self.in_flight = 0
        watch.on_grant = self._wake_key_waiters_later
        watch.on_hold = self.wake_key_waiters
        watch.on_new_incarnation = self._reset_run_times

    def set_drain_ms(self, drain_ms: int) -> None:
        """Sets for how long a draining target may still get requests."""
        self._serve_draining_ms = drain_ms * DRAIN_SHARE

    def wake_key_waiters(self) -> None:
        """Wakes requests that wait for the target to hold their key."""
        self._grant_event.set()
        self._grant_event.clear()

    def _wake_key_waiters_later(self) -> None:
        gevent.spawn_later(
            target_watch.GRANT_APPLY_MS / 1000, self.wake_key_waiters
        )

    def _reset_run_times(self) -> None:
        """Discards the run times measured on the target's last incarnation."""
        self.target_run_times = run_times.RunTimes()
        self.queue.set_run_times(self.target_run_times)
        if self._watch.local_target is not None:
            self.queue.set_slots(self._watch.local_target.last_heartbeat.slots)

    def drain_key_counts(self) -> tuple[tuple[int, int], ...]:
        """Returns and resets the request counts by key since the last call."""
        key_counts, self._key_counts = self._key_counts, collections.Counter()
        return tuple(key_counts.most_common(MAX_COUNTED_KEYS))

    def run(self, req: request.Request) -> outcome.Outcome:
        """Runs a request if the local target may run it now."""
        self.in_flight += 1
        try:
            return self._run(req)
        finally:
            self.in_flight -= 1

    def _run(self, req: request.Request) -> outcome.Outcome:
        if req.key and len(self._key_counts) < MAX_COUNTED_KEYS:
            self._key_counts[int(req.key)] += 1
        refusal = self._check(req) or self.refuse_quarantined(req)
        if refusal is None and req.key:
            refusal = self._wait_for_key(req)
        if refusal is not None:
            return refusal
        slot = self.queue.acquire(req)
        if isinstance(slot, outcome.NotRun):
            return slot
        result = None
        try:
            result = self._run_in_slot(req, slot)
            return result
        finally:
            # The target is busy until a streamed answer has been read.
            body.add_done_callback(
                outcome.body_of(result), lambda: self.queue.release(slot)
            )

    def refuse_quarantined(self, req: request.Request) -> outcome.NotRun | None:
        """Refuses a request that is known here to crash targets."""
        return self._quarantine.check(req)

    def _check(self, req: request.Request) -> outcome.NotRun | None:
        """Refuses requests that the local target cannot run."""
        target = self._watch.local_target
        if target is None or target.state is target_heartbeat.TargetState.GONE:
            return _no_target("no target runs on this VM")
        if target.last_heartbeat.service != req.service:
            return _no_target(
                f"the target on this VM serves {target.last_heartbeat.service}"
            )
        if self.stopping or self._refuses_while_draining(target, req):
            return outcome.NotRun(
                outcome.Reason.LEAVING,
                "the target is draining",
                NOT_SERVED_RETRY_MS,
            )
        return None

    def _refuses_while_draining(
        self, target: local_target_module.LocalTarget, req: request.Request
    ) -> bool:
        """Returns whether a draining target no longer accepts a request.

        It still serves the keys it holds while they are handed over; requests
        without a key can run on other targets at once.
        """
        if target.state is not target_heartbeat.TargetState.DRAINING:
            return False
        draining_ms = (
            self._clock.now_ns() - target.draining_since_ns
        ) / _NS_PER_MS
        return not req.key or draining_ms > self._serve_draining_ms

    def _wait_for_key(self, req: request.Request) -> outcome.NotRun | None:
        """Waits for the target to hold the key if the key map assigns it."""
        key = int(req.key)
        if self._watch.holds(key):
            return None
        awaited_keys = self._watch.awaited_keys
        awaited_keys[key] += 1
        try:
            return self._wait_until_held(req, key)
        finally:
            awaited_keys[key] -= 1
            if not awaited_keys[key]:
                del awaited_keys[key]

    def _wait_until_held(
        self, req: request.Request, key: int
    ) -> outcome.NotRun | None:
        now_ns = self._clock.now_ns()
        remaining_ns = max(0, req.deadline_ns - now_ns)
        until_ns = now_ns + min(
            GRANT_WAIT_MS * _NS_PER_MS, int(remaining_ns * GRANT_WAIT_SHARE)
        )
        while not self._watch.holds(key):
            target = self._watch.local_target
            key_range, holder = self._key_map().find(req.service, key)
            is_assigned = (
                target is not None
                and holder is not None
                and holder.life == target.last_heartbeat.incarnation_id
                and key_range.receiver == key_map_module.NO_HOLDER
            )
            remaining_s = (until_ns - self._clock.now_ns()) / 1e9
            if not is_assigned or remaining_s <= 0:
                return outcome.NotRun(
                    outcome.Reason.NOT_OWNER,
                    "the local target does not hold the key",
                    NOT_SERVED_RETRY_MS,
                )
            with gevent.Timeout(remaining_s, False):
                self._grant_event.wait()
        return None

    def _run_in_slot(
        self, req: request.Request, slot: slot_queue.Slot
    ) -> outcome.Outcome:
        refusal = self._check(req) or self.refuse_quarantined(req)
        if refusal is None and req.key and not self._watch.holds(int(req.key)):
            refusal = outcome.NotRun(
                outcome.Reason.NOT_OWNER,
                "the target lost the key while the request was queued",
                NOT_SERVED_RETRY_MS,
            )
        if refusal is not None:
            return refusal
        target = self._watch.local_target
        announcement = target_port.Announcement(
            service=target.last_heartbeat.service,
            address=target.last_heartbeat.address,
            slots=target.last_heartbeat.slots,
            checks_generation=True,
            instance=target.last_heartbeat.instance,
        )
        result = self._targets.run(announcement, req, target_port.Fence(0, 0))
        return self._record_outcome(req, slot, announcement, result)

    def _record_outcome(
        self,
        req: request.Request,
        slot: slot_queue.Slot,
        announcement: target_port.Announcement,
        result: outcome.Outcome,
    ) -> outcome.Outcome:
        """Updates run times, quarantine and target state from an outcome."""
        if isinstance(result, outcome.Answered):
            duration_ns = self._clock.now_ns() - slot.started_ns
            if result.status < 500:
                self.target_run_times.record(req, duration_ns / _NS_PER_MS)
            self._quarantine.record_answer(req)
            return result
        if result.reason is outcome.Reason.NO_TARGET:
            self._watch.record_refused_connection()
        if result.reason is outcome.Reason.KEY_REFUSED and req.key:
            return self._handle_refused_key(req, result)
        if result.reason is outcome.Reason.ANSWER_LOST:
            return self._check_crash(req, announcement, result)
        return result

    def _handle_refused_key(
        self, req: request.Request, result: outcome.NotRun
    ) -> outcome.NotRun:
        """Returns a refusal that lets the entry daemon follow the key."""
        if not self._watch.record_refused_key(int(req.key)):
            return result
        return outcome.NotRun(
            outcome.Reason.NOT_OWNER, result.detail, NOT_SERVED_RETRY_MS
        )

    def _check_crash(
        self,
        req: request.Request,
        announcement: target_port.Announcement,
        result: outcome.Unknown,
    ) -> outcome.Outcome:
        """Records a crash if the target vanished while running the request."""
        if self._targets.is_listening(announcement):
            return result
        self._watch.record_refused_connection()
        self._clock.sleep(CRASH_RECHECK_MS)
        if not self._targets.is_listening(announcement):
            self._watch.record_refused_connection()
        self._quarantine.record_crash(req, announcement.address)
        _logger.warning(
            "target vanished while running a request",
            extra={"request_id": req.request_id, "service": req.service},
        )
        return outcome.Unknown(
            outcome.Reason.TARGET_CRASHED,
            "the target vanished while running the request",
        )


def _no_target(detail: str) -> outcome.NotRun:
    return outcome.NotRun(outcome.Reason.NO_TARGET, detail, NO_TARGET_RETRY_MS)
