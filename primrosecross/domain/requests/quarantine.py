"""Quarantine of requests that crash the targets that run them.

A request that was running on a target when the target vanished is recorded by
its fingerprint. The crash note is broadcast before the caller gets its outcome,
so that other daemons recognize the request when it is resent; a daemon that the
broadcast does not reach learns of it by anti-entropy. A new process fetches the
notes before it lets the first request through.
After two crashes it is refused until an operator releases it or EXPIRY_MS
pass without another crash. Requests that ran concurrently on the target are
recorded too. One that is not yet quarantined is cleared by its next answer; any
is cleared by release or expiry.
"""

import collections
import dataclasses
import logging
import random
from collections.abc import Callable
from collections.abc import Iterable

import gevent

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.operators import events
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.domain.requests import request_identity
from primrosecross.domain.requests import request_messages
from primrosecross.ports import clock as clock_port
from primrosecross.ports import peers as peers_port

QUARANTINE_CRASHES = 2
EXPIRY_MS = 600_000
BATCH_DELAY_MS = 5
BROADCAST_TIMEOUT_MS = 500
SYNC_INTERVAL_MS = 10_000
FIRST_SYNC_MEMBERS = 5  # some may have been restarted themselves
FIRST_SYNC_WAIT_MS = 1000  # for the members to be known, and for their notes
FIRST_SYNC_POLL_MS = 50
SAME_CRASH_WINDOW_MS = 200
MAX_ENTRIES = 10_000  # fingerprints, and released crashes

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRequest:
    """A request suspected of crashing targets.

    Attributes:
        fingerprint: Digest of service, key, method, path and body.
        vms: VMs whose targets vanished while running it, one per crash.
        refused: Whether it is quarantined now.
        age_ms: Time since the last crash.
        expires_ms: Time until the suspicion expires.
    """

    fingerprint: str
    service: str
    key: str
    method: str
    path: str
    vms: tuple[str, ...]
    refused: bool
    age_ms: int
    expires_ms: int

    @property
    def crashes(self) -> int:
        """Number of crashes attributed to it."""
        return len(self.vms)


@dataclasses.dataclass(slots=True)
class _RecordedNote:
    note: request_messages.CrashNote
    crashed_ns: int


class Quarantine:
    """Suspect requests known to this daemon.

    Args:
        vm: This VM's name.
        members: Returns the VMs that get crash notes.
        peers: Other daemons.
        clock: Clock that ages refer to.
        timeline: Records quarantines.
    """

    def __init__(
        self,
        *,
        vm: str,
        members: Callable[[], Iterable[str]],
        peers: peers_port.Peers,
        clock: clock_port.Clock,
        timeline: events.Timeline,
    ) -> None:
        self._vm = vm
        self._members = members
        self._peers = peers
        self._clock = clock
        self._timeline = timeline
        self._notes: dict[str, dict[str, _RecordedNote]] = {}
        # Time of release, oldest first; keys are "fingerprint crash".
        self._released_crashes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._pending: list[request_messages.CrashNote] = []
        self._broadcast_task: gevent.Greenlet | None = None
        self._recent_crashes: dict[str, tuple[str, int]] = {}
        self._first_sync: gevent.Greenlet | None = None
        self._has_synced = False

    def check(self, req: request.Request) -> outcome.NotRun | None:
        """Refuses a quarantined request; waits for notes after a start."""
        if self._first_sync is not None and not self._first_sync.dead:
            remaining_ns = max(0, req.deadline_ns - self._clock.now_ns())
            self._first_sync.join(timeout=remaining_ns / 1e9)
        if not self._notes:
            return None
        suspect = self._find_suspect(request_identity.fingerprint(req))
        if suspect is None or not suspect.refused:
            return None
        return outcome.NotRun(
            outcome.Reason.QUARANTINED,
            f"targets crashed {suspect.crashes} times while running this "
            f"request; ask an operator to release {suspect.fingerprint}",
            suspect.expires_ms,
        )

    def record_answer(self, req: request.Request) -> None:
        """Clears an answered request, unless it is quarantined already."""
        if not self._notes:
            return
        fingerprint = request_identity.fingerprint(req)
        if len(self._notes.get(fingerprint, ())) < QUARANTINE_CRASHES:
            self._notes.pop(fingerprint, None)

    def record_crash(self, req: request.Request, address: str) -> None:
        """Records a request whose target vanished, and notifies all members.

        Args:
            req: The request that was running.
            address: Address of the target.
        """
        note = request_messages.CrashNote(
            fingerprint=request_identity.fingerprint(req),
            service=req.service,
            key=req.key,
            method=req.method,
            path=req.path.partition("?")[0],
            crash=self._crash_id(address),
            age_ms=0,
        )
        self._add_note(note)
        # A daemon that restarted since does not know the earlier crashes.
        self._pending += self._notes_on(note.fingerprint)
        if self._broadcast_task is None or self._broadcast_task.dead:
            self._broadcast_task = gevent.spawn(self._broadcast_notes)
        self._broadcast_task.join(timeout=2 * BROADCAST_TIMEOUT_MS / 1000)

    def _crash_id(self, address: str) -> str:
        """Returns the ID shared by all requests lost in the same crash."""
        now_ns = self._clock.now_ns()
        crash_id, crashed_ns = self._recent_crashes.get(address, ("", 0))
        if (
            not crash_id
            or now_ns - crashed_ns
            > SAME_CRASH_WINDOW_MS * lease_module.NS_PER_MS
        ):
            crash_id = f"{self._vm}/{address}/{now_ns}"
            self._recent_crashes[address] = (crash_id, now_ns)
        return crash_id

    def _broadcast_notes(self) -> None:
        while self._pending:
            gevent.sleep(BATCH_DELAY_MS / 1000)
            notes, self._pending = tuple(self._pending), []
            self._broadcast(request_messages.NoteCrashes(notes))

    def _broadcast(self, message: messages.Message) -> None:
        tasks = [
            gevent.spawn(self._send, vm, message)
            for vm in self._members()
            if vm != self._vm
        ]
        gevent.joinall(tasks, timeout=BROADCAST_TIMEOUT_MS / 1000)

    def _send(self, vm: str, message: messages.Message) -> None:
        try:
            self._peers.call(vm, message, timeout_ms=BROADCAST_TIMEOUT_MS)
        except errors.PeerError:
            return

    def _add_note(self, note: request_messages.CrashNote) -> None:
        if f"{note.fingerprint} {note.crash}" in self._released_crashes:
            return
        if len(self._notes) >= MAX_ENTRIES:
            self._notes.pop(next(iter(self._notes)))
        recorded = self._notes.setdefault(note.fingerprint, {})
        if note.crash in recorded:
            return
        age_ns = note.age_ms * lease_module.NS_PER_MS
        recorded[note.crash] = _RecordedNote(
            note, self._clock.now_ns() - age_ns
        )
        if len(recorded) == QUARANTINE_CRASHES:
            self._timeline.record(
                events.RequestQuarantined(
                    note.fingerprint, note.service, len(recorded)
                )
            )

    def _find_suspect(self, fingerprint: str) -> SuspectRequest | None:
        """Returns the suspect request; removes it if it has expired."""
        recorded = self._notes.get(fingerprint)
        if not recorded:
            return None
        latest_ns = max(n.crashed_ns for n in recorded.values())
        age_ms = (self._clock.now_ns() - latest_ns) // lease_module.NS_PER_MS
        if age_ms >= EXPIRY_MS:
            del self._notes[fingerprint]
            return None
        note = next(iter(recorded.values())).note
        return SuspectRequest(
            fingerprint=fingerprint,
            service=note.service,
            key=note.key,
            method=note.method,
            path=note.path,
            vms=tuple(crash.partition("/")[0] for crash in recorded),
            refused=len(recorded) >= QUARANTINE_CRASHES,
            age_ms=age_ms,
            expires_ms=EXPIRY_MS - age_ms,
        )

    def suspects(self) -> list[SuspectRequest]:
        """Returns the suspect requests."""
        results = [
            self._find_suspect(fingerprint) for fingerprint in [*self._notes]
        ]
        return [suspect for suspect in results if suspect is not None]

    def release(self, fingerprint: str) -> None:
        """Clears a suspect request here and notifies all members.

        Raises:
            errors.NotFoundError: The request is not suspect.
        """
        if fingerprint not in self._notes:
            raise errors.NotFoundError(
                f"no suspect request has the fingerprint {fingerprint!r}",
                remedy="list the quarantined requests for their fingerprints",
            )
        release_message = operator_messages.ReleaseQuarantined(fingerprint)
        self.handle_release(release_message)
        self._broadcast(release_message)

    def register_handlers(self, dispatch: Callable) -> None:
        """Registers the handlers of messages about crashes and quarantine.

        Args:
            dispatch: A handler made by functools.singledispatch.
        """
        dispatch.register(request_messages.NoteCrashes, self.handle_notes)
        dispatch.register(operator_messages.ListQuarantined, self.handle_list)
        dispatch.register(
            operator_messages.ReleaseQuarantined, self.handle_release
        )

    def handle_release(
        self, release_message: operator_messages.ReleaseQuarantined
    ) -> stream_messages.Done:
        """Clears a suspect request on this daemon."""
        recorded = self._notes.pop(release_message.fingerprint, {})
        self._record_released_crashes(
            f"{release_message.fingerprint} {c}" for c in recorded
        )
        return stream_messages.Done()

    def _record_released_crashes(self, crash_keys: Iterable[str]) -> None:
        for crash_key in crash_keys:
            self._released_crashes[crash_key] = self._clock.now_ns()
        while len(self._released_crashes) > MAX_ENTRIES:
            self._released_crashes.popitem(last=False)

    def handle_notes(
        self, received: request_messages.NoteCrashes
    ) -> stream_messages.Done:
        """Records crash notes of another daemon."""
        for note in received.notes:
            self._add_note(note)
        return stream_messages.Done()

    def handle_list(
        self, _: operator_messages.ListQuarantined
    ) -> operator_messages.Quarantined:
        """Returns the crash notes and releases known to this daemon."""
        self.suspects()  # Removes expired notes.
        notes = tuple(
            note
            for fingerprint in self._notes
            for note in self._notes_on(fingerprint)
        )
        return operator_messages.Quarantined(
            notes, tuple(self._released_crashes)
        )

    def _notes_on(self, fingerprint: str) -> list[request_messages.CrashNote]:
        """Returns the notes on a request with their present age."""
        now_ns = self._clock.now_ns()
        return [
            dataclasses.replace(
                recorded.note,
                age_ms=(now_ns - recorded.crashed_ns) // lease_module.NS_PER_MS,
            )
            for recorded in self._notes.get(fingerprint, {}).values()
        ]

    def run(self) -> None:
        """Fetches the notes of members, periodically (anti-entropy)."""
        self._first_sync = gevent.spawn(self._sync_first)
        self._first_sync.join()
        while True:
            interval_ms = SYNC_INTERVAL_MS * random.uniform(0.5, 1.0)
            if not self._has_synced:
                interval_ms = min(interval_ms, FIRST_SYNC_WAIT_MS)
            self._clock.sleep(interval_ms)
            self.sync_notes()

    def _sync_first(self) -> None:
        """Fetches the notes of several members as soon as some are known."""
        until_ns = (
            self._clock.now_ns() + FIRST_SYNC_WAIT_MS * lease_module.NS_PER_MS
        )
        while not self._has_synced and self._clock.now_ns() < until_ns:
            others = self._others()
            chosen = random.sample(others, min(len(others), FIRST_SYNC_MEMBERS))
            gevent.joinall([gevent.spawn(self._sync_with, vm) for vm in chosen])
            if not self._has_synced:
                self._clock.sleep(FIRST_SYNC_POLL_MS)
        if not self._has_synced:
            _logger.warning("no member sent its notes on crashes after a start")

    def _others(self) -> list[str]:
        return [vm for vm in self._members() if vm != self._vm]

    def sync_notes(self) -> None:
        """Fetches and merges the notes and releases of a random member."""
        others = self._others()
        if others:
            self._sync_with(random.choice(others))

    def _sync_with(self, vm: str) -> None:
        try:
            reply = self._peers.call(
                vm,
                operator_messages.ListQuarantined(),
                timeout_ms=BROADCAST_TIMEOUT_MS,
            )
        except errors.PeerError:
            return
        if not isinstance(reply, operator_messages.Quarantined):
            return
        self._has_synced = True
        self._record_released_crashes(
            set(reply.released) - set(self._released_crashes)
        )
        for crash_key in reply.released:
            fingerprint, _, crash = crash_key.partition(" ")
            self._notes.get(fingerprint, {}).pop(crash, None)
        self.handle_notes(request_messages.NoteCrashes(reply.notes))
