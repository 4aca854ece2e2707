"""Messages that report to the coordinator and distribute its decisions.

Daemons that run on a platform store use these.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class GivenBack:
    """Key range that its holder released for hand-over to another target.

    Attributes:
        first: First key of the range.
        last: Last key of the range, included.
        generation: Generation under which it was held.
        token: Hand-over token of the target.
    """

    first: int
    last: int
    generation: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """The target on the sender's VM.

    Attributes:
        life: Incarnation ID of the target.
        born_ms: Unix time at which this incarnation started.
        service: Service of the target.
        slots: Maximum number of concurrent requests.
        state: A target_heartbeat.TargetState.
        cold: Whether it is still warming up.
        typical_ms: Typical run time of a request, 0 if unknown.
        forfeited: Key map version up to which all its grants have expired.
        given_back: Key ranges that it released for hand-over.
    """

    life: str
    born_ms: int
    service: str
    slots: int
    state: str
    cold: bool
    typical_ms: int
    forfeited: int
    given_back: tuple[GivenBack, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VmEntry:
    """State of one VM as last reported to the coordinator.

    Attributes:
        state: A target_heartbeat.TargetState, or "lost" if its daemon
            stopped reporting.
    """

    vm: str
    place: str
    address: str
    service: str
    slots: int
    state: str
    cold: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Sync:
    """Reports to the coordinator and asks for updates; the reply is SyncAck.

    Attributes:
        incarnation: Incarnation ID of the sender's process.
        stopping: Whether the sender is shutting down.
        term: Number of the newest term that the sender knows.
        echo_ns: Value of sent_ns in the last reply from that term's holder,
            0 if there was none.
        map_version: Newest key map version that the sender knows.
        plan_revision: Newest plan revision that the sender knows.
        directory: ID of the directory that the sender follows.
        directory_number: Newest change number of that directory that the
            sender knows.
        targets: The target on the sender's VM, empty if there is none.
        key_counts: Pairs of a key and its requests since the last report.
    """

    vm: str
    place: str
    address: str
    incarnation: str
    stopping: bool
    term: int
    echo_ns: int
    map_version: int
    plan_revision: int
    directory: str
    directory_number: int
    targets: tuple[TargetReport, ...]
    key_counts: tuple[tuple[int, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SyncAck:
    """Updates that the receiver does not have yet.

    Attributes:
        coordinator: VM of the coordinator known to the sender.
        coordinator_address: "ip:port" of the coordinator's daemon.
        term: Number of the coordinator's term.
        office_age_ms: Time since the last renewal of the term; -1 unless the
            sender is the coordinator.
        map_version: Newest key map version that the sender knows.
        map_change: Encoded change from the receiver's key map to that one,
            empty if the receiver is up to date.
        proof_version: Key map version shown by the sender's newest proof.
        proof_age_ms: Age of that proof, -1 if there is none.
        sent_ns: Time of the reply by the sender's clock.
        promised_ms: Lease extension: time during which no revocation
            completes, 0 if unknown.
        plan_revision: Newest plan revision that the sender knows.
        plan: That plan encoded, empty if the receiver is up to date.
        plan_age_ms: Time since that plan was known to be the newest, -1 if it
            never was.
        directory: ID of the sender's directory.
        directory_number: Newest change number of that directory.
        entries: VMs that changed since the receiver's directory_number.
    """

    coordinator: str
    coordinator_address: str
    term: int
    office_age_ms: int
    map_version: int
    map_change: bytes
    proof_version: int
    proof_age_ms: int
    sent_ns: int
    promised_ms: int
    plan_revision: int
    plan: bytes
    plan_age_ms: int
    directory: str
    directory_number: int
    entries: tuple[VmEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlanUpdate:
    """Sends a new plan to a daemon before it asks; the reply is Done.

    It says nothing of the plan's age, as nobody knows how long it was on its
    way.

    Attributes:
        plan_revision: Revision of the plan.
        plan: The plan, encoded.
    """

    plan_revision: int
    plan: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Notifies a daemon that updates are available; the reply is Done.

    Attributes:
        coordinator: VM of the coordinator.
        address: "ip:port" of the coordinator's daemon.
        term: Number of the coordinator's term.
    """

    coordinator: str
    address: str
    term: int
