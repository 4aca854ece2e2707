"""Keeps this daemon's plan and assignment up to date.

Heartbeats carry versions; a daemon that receives a newer version fetches that
state from the sender. The store is read at start and for proofs, not otherwise.
"""

import logging

import gevent

from primrosecross.domain import errors
from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.ownership import delta as delta_module
from primrosecross.ports import peers as peers_port
from primrosecross.ports import repository as repository_port

FETCH_TIMEOUT_MS = 3000

_logger = logging.getLogger(__name__)


class StateSync:
    """Fetches newer state from peers and from the store.

    Args:
        state: State to keep up to date.
        peers: Calls other daemons.
        repository: Plan and assignment in the store.
        codec: Encodes state for other daemons.
    """

    def __init__(
        self,
        *,
        state: state_module.ClusterState,
        peers: peers_port.Peers,
        repository: repository_port.Repository,
        codec: repository_port.StateCodec,
    ) -> None:
        self._state = state
        self._peers = peers
        self._repository = repository
        self._codec = codec
        self._fetching = False
        self._started = False
        self._awaits_seeds = False
        state.subscribe(self._set_addresses)

    def is_newer(self, *, assignment_version: int, plan_version: int) -> bool:
        """Returns whether one of the versions is newer than this daemon's."""
        return (
            assignment_version > self._state.assignment.version
            or plan_version > self._state.plan.version
        )

    def fetch_once(self, vm: str) -> None:
        """Fetches state from a peer unless another fetch is in progress."""
        if self._fetching:
            return
        self._fetching = True
        try:
            self.fetch_from(vm)
        finally:
            self._fetching = False

    def fetch_from(self, vm: str) -> bool:
        """Fetches newer state from a peer; returns whether that succeeded.

        Does nothing while this daemon waits for a majority of seeds.
        """
        if self._awaits_seeds and not self._started:
            return False
        request = member_messages.FetchState(
            assignment_version=self._state.assignment.version,
            plan_version=self._state.plan.version,
        )
        try:
            answer = self._peers.call(vm, request, timeout_ms=FETCH_TIMEOUT_MS)
            if not isinstance(answer, member_messages.StateSnapshot):
                return False
            self._apply(answer)
        except (errors.PeerError, errors.StoreObjectError) as error:
            _logger.warning("cannot fetch state from %s: %s", vm, error)
            return False
        return True

    def _apply(self, snapshot: member_messages.StateSnapshot) -> None:
        if snapshot.plan:
            self._state.update_plan(self._codec.decode_plan(snapshot.plan))
        if snapshot.assignment:
            self._state.update_assignment(
                self._codec.decode_assignment(snapshot.assignment)
            )
        if snapshot.delta:
            change = self._codec.decode_delta(snapshot.delta)
            newer = delta_module.apply(change, self._state.assignment)
            if newer is not None:
                self._state.update_assignment(newer)

    def snapshot(
        self, request: member_messages.FetchState
    ) -> member_messages.StateSnapshot:
        """Returns the updates that a peer does not have."""
        plan = b""
        assignment = b""
        delta = b""
        if self._state.plan.version > request.plan_version:
            plan = self._codec.encode_plan(self._state.plan)
        if self._state.assignment.version > request.assignment_version:
            delta = self._encode_delta(request.assignment_version)
        if self._state.assignment.version > request.assignment_version and (
            not delta
        ):
            assignment = self._codec.encode_assignment(self._state.assignment)
        return member_messages.StateSnapshot(
            plan=plan, assignment=assignment, delta=delta
        )

    def _encode_delta(self, version: int) -> bytes:
        change = self._state.deltas.since(version)
        return b"" if change is None else self._codec.encode_delta(change)

    def read_store(self) -> None:
        """Reads plan and assignment from the store.

        Raises:
            errors.StoreError: The store did not answer or holds a malformed
                object; the state in force is kept.
        """
        try:
            self._read_plan()
        finally:
            self.read_assignment()
        self._started = True

    def _read_plan(self) -> None:
        plan, _ = self._repository.read_plan()
        if plan is not None:
            self._state.update_plan(plan)

    def read_assignment(self) -> None:
        """Reads the assignment from the store.

        Raises:
            errors.StoreError: The store did not answer, or its assignment is
                missing, malformed or older than the one in force.
        """
        current_version = self._state.assignment.version
        assignment, _ = self._repository.read_assignment()
        version = assignment.version if assignment is not None else 0
        if version < current_version:
            raise errors.StoreObjectError(
                f"the store's assignment {version} is older than "
                f"{current_version}, the one in force",
                remedy="restore the newer copy; owners continue to serve",
            )
        if assignment is not None:
            self._state.update_assignment(assignment)

    def start_from_seeds(self, seeds: tuple[str, ...]) -> bool:
        """Adopts the newest state of a majority of seeds.

        Any two majorities share a seed, so state that was in force at a
        majority is not missed. Until then no single peer's state is adopted.

        Args:
            seeds: Peer addresses, "ip:port".

        Returns:
            Whether a majority of seeds answered.
        """
        if self._started or not seeds:
            return True
        self._awaits_seeds = True
        tasks = [gevent.spawn(self._ask_seed, address) for address in seeds]
        answers = [task.get() for task in gevent.joinall(tasks)]
        snapshots = [answer for answer in answers if answer is not None]
        if self._started:
            return True
        if len(snapshots) <= len(seeds) // 2:
            _logger.warning(
                "%d of %d seeds answered, a majority is needed; check that "
                "their daemons run or that the store is reachable",
                len(snapshots),
                len(seeds),
            )
            return False
        try:
            for snapshot in snapshots:
                self._apply(snapshot)
        except (errors.PeerError, errors.StoreObjectError) as error:
            _logger.warning("cannot decode the state of a seed: %s", error)
            return False
        self._started = True
        return True

    def _ask_seed(self, address: str) -> member_messages.StateSnapshot | None:
        request = member_messages.FetchState(
            assignment_version=0, plan_version=0
        )
        self._peers.set_address(address, address)
        try:
            answer = self._peers.call(
                address, request, timeout_ms=FETCH_TIMEOUT_MS
            )
        except errors.PeerError as error:
            _logger.warning(
                "cannot fetch state from seed %s: %s", address, error
            )
            return None
        if not isinstance(answer, member_messages.StateSnapshot):
            return None
        return answer if answer.assignment else None  # The seed has no state.

    def _set_addresses(self) -> None:
        for member in self._state.assignment.members.values():
            self._peers.set_address(member.vm, member.peer_address)
