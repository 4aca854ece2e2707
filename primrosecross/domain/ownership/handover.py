"""Releases moving shards once none of their requests run on this daemon."""

import collections
import contextlib
from collections.abc import Iterator

from gevent import event as gevent_event

from primrosecross.domain import errors
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import (
    coordinator_client as coordinator_client_module,
)
from primrosecross.domain.ownership import hot_keys
from primrosecross.ports import clock as clock_port

IDLE_WAIT_LIMIT_MS = 500
MAX_BUSY_KEYS = 8
RELEASE_INTERVAL_MS = 50
RELEASE_TIMEOUT_MS = 2000
IDLE_CHECK_MS = 1000


class HandOver:
    """Counts running requests by key and releases idle shards.

    Requests are counted by key, not by shard, because a key may be split from
    its partition while its request runs.

    Args:
        vm: Name of this VM.
        state: Assignment in force on this daemon.
        lease: This daemon's lease.
        coordinator_client: Sends releases to the coordinator.
        clock: Clock that includes time spent suspended.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.ClusterState,
        lease: lease_module.Lease,
        coordinator_client: coordinator_client_module.CoordinatorClient,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._state = state
        self._lease = lease
        self._coordinator_client = coordinator_client
        self._clock = clock
        self._running: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._waiting_since_ns: dict[tuple[str, int], int] = {}
        self._wake = gevent_event.Event()
        state.subscribe(self._wake.set)

    def start_request(self, service: str, key_hash: int) -> None:
        """Counts a request for a key as running."""
        self._running[service, key_hash] += 1

    def finish_request(self, service: str, key_hash: int) -> None:
        """Removes a finished request from the count."""
        entry = service, key_hash
        self._running[entry] -= 1
        if not self._running[entry]:
            del self._running[entry]

    @contextlib.contextmanager
    def track_request(self, service: str, key_hash: int) -> Iterator[None]:
        """Counts a request for a key as running within the context."""
        self.start_request(service, key_hash)
        try:
            yield
        finally:
            self.finish_request(service, key_hash)

    def running_requests(self) -> int:
        """Returns the number of keyed requests that are running."""
        return self._running.total()

    def run(self) -> None:
        """Releases shards until killed."""
        while True:
            self._wake.wait(timeout=IDLE_CHECK_MS / 1000)
            self._wake.clear()
            while self.release_idle():
                self._clock.sleep(RELEASE_INTERVAL_MS)

    def release_idle(self) -> int:
        """Releases idle shards that are to move.

        Returns:
            Number of shards of this daemon that are to move, idle or not.
        """
        member = self._state.member()
        if member is None or member.epoch != self._lease.epoch:
            return 0
        outgoing = 0
        for service in list(self._state.assignment.tables):
            table = self._state.assignment.tables.get(service)
            if table is None:
                continue
            shards = self._outgoing_shards(table)
            outgoing += len(shards)
            busy = self._busy_keys(table) if shards else {}
            ready = tuple(s for s in shards if self._is_ready(table, s, busy))
            if ready:
                self._release(member.epoch, table, ready, busy)
        if not outgoing:
            self._waiting_since_ns.clear()
        return outgoing

    def _is_ready(
        self, table: assignment.OwnerTable, shard: int, busy: dict[int, set]
    ) -> bool:
        """Returns whether a shard can be released now.

        A partition that did not become idle within IDLE_WAIT_LIMIT_MS is
        released without its busy keys if these are few.
        """
        if shard not in busy:
            return True
        now_ns = self._clock.now_ns()
        since_ns = self._waiting_since_ns.setdefault(
            (table.service, shard), now_ns
        )
        if shard & assignment.KEY_SHARD_BIT or len(busy[shard]) > MAX_BUSY_KEYS:
            return False
        if len(table.key_grants) + MAX_BUSY_KEYS > hot_keys.MAX_KEY_SHARDS:
            return False
        return now_ns - since_ns >= IDLE_WAIT_LIMIT_MS * lease_module.NS_PER_MS

    def _outgoing_shards(self, table: assignment.OwnerTable) -> list[int]:
        return [s for s in table.moves if table.grant_of(s).vm == self._vm]

    def _busy_keys(self, table: assignment.OwnerTable) -> dict[int, set[int]]:
        """Returns the key shards with running requests, by containing shard."""
        busy: dict[int, set[int]] = {}
        for service, key_hash in self._running:
            if service == table.service:
                keys = busy.setdefault(table.shard_of_hash(key_hash), set())
                keys.add(key_hash | assignment.KEY_SHARD_BIT)
        return busy

    def _release(
        self,
        epoch: int,
        table: assignment.OwnerTable,
        shards: tuple[int, ...],
        busy: dict[int, set[int]],
    ) -> None:
        release = member_messages.Release(
            vm=self._vm,
            epoch=epoch,
            service=table.service,
            shards=shards,
            generations=tuple(table.grant_of(s).generation for s in shards),
            busy_keys=tuple(key for s in shards for key in busy.get(s, ())),
        )
        try:
            self._coordinator_client.call_coordinator(
                release, timeout_ms=RELEASE_TIMEOUT_MS
            )
        except (errors.StoreError, errors.PeerError):
            self._clock.sleep(RELEASE_INTERVAL_MS)
