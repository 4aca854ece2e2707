"""Simulation of daemons that grant keys under proofs, with random faults.

Daemons, targets, competing coordinators and a store run on one clock in steps
of STEP_MS. Faults: delayed messages, daemons killed, frozen or partitioned,
targets crashed, the store down, all daemons restarted, heartbeats held up
across a restart. If busy keys wander, ranges are cut, moved and joined all the
while.
"""

import dataclasses
import functools
import random

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.ownership import key_load
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import proof
from primrosecross.domain.ownership import range_decisions
from primrosecross.domain.ownership import target_watch
from tests import fakes
from tests import fleet_fakes
from tests import key_model_calls
from tests import key_model_election
from tests import key_model_target

STEP_MS = 20
VMS = 5
LATE_HEARTBEAT_WEIGHT = 4  # among the other kinds of faults
PROBED_KEYS = range(0, 65536, 4096)
WANDER_MS = 2500  # then other keys are busy
HOT_KEYS = 6000
_NS_PER_MS = proof.NS_PER_MS


@dataclasses.dataclass
class ScheduledAction:
    """An action that runs at a given time."""

    at_ms: int
    action: object


class Daemon:
    """Keeps a map and a proof, and answers its local target."""

    def __init__(self, model: "Model", vm: str) -> None:
        self.model = model
        self.vm = vm
        self.frozen_until_ms = 0
        self.up = True
        self.store_cut = False
        self.peers_cut = False
        self.partitioned = False
        self.start_process()

    def start_process(self) -> None:
        """Starts a new process with empty state."""
        self.up = True
        self.started_ms = self.model.now_ms
        self.election = key_model_election.SimulatedElection(
            self.model, self.vm
        )
        self.echo = (0, 0)
        self.map = key_map.KeyMap()
        self.lease = proof.ProofLease(clock=self.model.clock)
        self.watch = target_watch.TargetWatch(
            lease=self.lease,
            key_map=lambda: self.map,
            max_hold_ms=10_000,
            clock=self.model.clock,
            on_change=lambda: None,
            granted_by_call=lambda service: self.model.by_call,
        )
        self.calls = key_model_calls.Calls(self.model, self)
        self.revoking_since_ms: dict[tuple[str, int], int] = {}

    def is_running(self) -> bool:
        """Returns whether the process is up and not frozen."""
        return self.up and self.model.now_ms >= self.frozen_until_ms

    def reaches(self, other: "Daemon") -> bool:
        """Returns whether this daemon and another can exchange messages."""
        cut = self.peers_cut or other.peers_cut
        return not cut and self.partitioned == other.partitioned

    def apply_read_map(self, read_map: key_map.KeyMap, read_ms: int) -> None:
        """Applies a map that was read from the store."""
        if not self.is_running():
            return
        if read_map.version > self.map.version:
            self.map = read_map
        self.lease.record_proof(
            proof.Proof(read_map.version, read_ms * _NS_PER_MS),
            map_version=self.map.version,
        )

    def step(self) -> None:
        """Checks its target, campaigns, extends the lease, asks for proofs."""
        if not self.is_running():
            return
        self.watch.check_silence()
        election = self.election
        if not (self.store_cut or self.model.store_down):
            election.campaign(
                lambda: election is self.election and self.is_running()
            )
        self.lease.extend(
            (self.model.now_ms + election.own_extension_ms(self.map))
            * _NS_PER_MS
        )
        local_target = self.model.targets[self.vm]
        if not local_target.up and self.model.random.random() < 0.2:
            self.watch.record_refused_connection()
        self.calls.step()
        if self.model.random.random() < STEP_MS / 700:
            self._read_store()
        if self.model.random.random() < STEP_MS / 400:
            self._ask_peer()

    def _read_store(self) -> None:
        if self.store_cut or self.model.store_down:
            return
        sent_ms = self.model.now_ms
        process_started_ms = self.started_ms

        def read() -> None:
            stored_map = self.model.stored
            self.model.schedule(
                0,
                400,
                lambda: (
                    process_started_ms == self.started_ms
                    and self.apply_read_map(stored_map, sent_ms)
                ),
            )

        self.model.schedule(0, 200, read)

    def _choose_peer(self) -> "Daemon":
        other = self.model.random.choice(list(self.model.daemons.values()))
        if self.model.random.random() < 0.7:
            return self.model.daemons.get(self.election.coordinator, other)
        return other

    def _ask_peer(self) -> None:
        other = self._choose_peer()
        if other is self or not self.reaches(other):
            return
        sent_ms = self.model.now_ms
        process_started_ms = self.started_ms
        election = self.election
        sync = self._sync()

        def answer() -> None:
            newest = other.lease.newest
            if not other.is_running():
                return
            other.election.extensions.note_report(
                sync, renewed_ns=other.election.renewed_ns
            )
            answer_term = other.election.newest_term
            coordinator = other.election.coordinator
            answer_echo = (answer_term, self.model.clock.now_ns())
            from_coordinator = other.election.term == answer_term
            if newest is None:
                return
            peer_map = other.map
            age_ms = int(other.lease.age_ms()) + 1
            extension_ms = other.lease.extension_ms()

            def apply_answer() -> None:
                if (
                    process_started_ms != self.started_ms
                    or not self.is_running()
                ):
                    return
                election.update_coordinator(answer_term, coordinator)
                if from_coordinator and answer_term == election.newest_term:
                    self.echo = answer_echo
                if peer_map.version > self.map.version:
                    self.map = peer_map
                self.lease.record_proof(
                    proof.Proof(
                        newest.version, (sent_ms - age_ms) * _NS_PER_MS
                    ),
                    map_version=self.map.version,
                )
                self.lease.extend((sent_ms + extension_ms) * _NS_PER_MS)

            self.model.schedule(0, 200, apply_answer)

        self.model.schedule(0, 200, answer)

    def _sync(self) -> fleet_messages.Sync:
        term, echo_ns = self.echo
        term_number = self.election.newest_term
        return fleet_fakes.sync(
            self.vm,
            incarnation=str(self.started_ms),
            term=term_number,
            echo_ns=echo_ns if term == term_number else 0,
        )

    def report(self) -> range_decisions.VmView:
        """Returns the coordinator's view of this VM."""
        local_target = self.watch.local_target
        warmed_up = self.model.now_ms - self.started_ms > 3000
        if local_target is None:
            return fleet_fakes.vm_view(self.vm, warmed_up=warmed_up)
        target = fleet_fakes.target(
            local_target.last_heartbeat.incarnation_id,
            state=local_target.state.value,
            forfeited=local_target.forfeited_version,
            given_back=tuple(
                fleet_messages.GivenBack(r.first, r.last, r.generation, r.token)
                for r in local_target.released_ranges
            ),
        )
        return fleet_fakes.vm_view(self.vm, target, warmed_up=warmed_up)

    def decide(self) -> None:
        """Decides from possibly old reports and writes conditionally."""
        if not self.is_running() or self.store_cut or self.model.store_down:
            return
        if not self.election.is_coordinator():
            return
        self.election.extensions.note_report(
            self._sync(), renewed_ns=self.election.renewed_ns
        )
        base = self.model.stored
        self.apply_read_map(base, self.model.now_ms)
        expired_ids = self._expired_ids(base)
        views = [
            d.report()
            for d in self.model.daemons.values()
            if d is self or (d.is_running() and self.reaches(d))
        ]
        if len(views) < 2:
            return
        draft = range_decisions.decide(
            base,
            fleet_fakes.decision_inputs(
                *self.model.mark_stopping(views),
                expired_ids=expired_ids,
                loads=self.model.loads(),
            ),
        )
        if draft is None and not self.election.extensions.map_written:
            draft = dataclasses.replace(base, version=base.version + 1)
        if draft is not None:
            self._write(base, draft)

    def _expired_ids(self, base: key_map.KeyMap) -> frozenset[str]:
        revoking = {
            (h.life, h.since)
            for h in base.holders.values()
            if h.state is key_map.HolderState.REVOKING
        }
        now_ms = self.model.now_ms
        self.revoking_since_ms = {
            k: self.revoking_since_ms.get(k, now_ms) for k in revoking
        }
        return frozenset(
            incarnation_id
            for (incarnation_id, _), since_ms in self.revoking_since_ms.items()
            if now_ms - since_ms > self.model.wait_ms()
            and self.election.extensions.earlier_expired()
        )

    def _write(self, base: key_map.KeyMap, draft: key_map.KeyMap) -> None:
        sent_ms = self.model.now_ms
        election, term = self.election, self.election.term
        election.extensions.note_write(draft)

        def write() -> None:
            if self.model.stored.version == base.version:
                self.model.stored = draft
                self.model.schedule(0, 900, written)

        def written() -> None:
            if (
                election is self.election
                and term == election.term
                and self.is_running()
            ):
                election.extensions.note_written(base)
                self.apply_read_map(draft, sent_ms)

        self.model.schedule(0, self.model.late_write_ms(), write)


class Model:
    """All processes and the store, on one clock.

    Args:
        seed: Seed of all random choices.
        by_call: Whether calls grant keys, not the answers to heartbeats.
        wandering: Whether some keys are busy, and others some seconds later.
        late_heartbeats: Whether heartbeats are held up across restarts.
    """

    def __init__(
        self,
        seed: int,
        *,
        by_call: bool = False,
        wandering: bool = False,
        late_heartbeats: bool = False,
    ) -> None:
        self.by_call = by_call
        self.wandering = wandering
        self._load = key_load.KeyLoad()
        self._load_until_ms = 0
        # By key: the last holder, its newest generation, that of all before.
        self._generations: dict[int, tuple[tuple[str, int], int, int]] = {}
        self.random = random.Random(seed)
        self.clock = fakes.ManualClock()
        self.now_ms = self.clock.now_ns() // _NS_PER_MS
        self.queue: list[ScheduledAction] = []
        self.store_down = False
        self.stored = key_map.KeyMap(1)
        self.stopping_vm = ""
        self.fault_share = STEP_MS / 1500
        self.term = key_model_election.StoredTerm(0, "", True, 0)
        names = [f"vm{n}" for n in range(VMS)]
        self.daemons = {n: Daemon(self, n) for n in names}
        self.targets = {n: key_model_target.Target(self, n) for n in names}
        self._faults = (
            self._kill_daemon,
            self._crash_target,
            self._freeze,
            self._cut_off_store,
            self._cut_off_peers,
            self._stop_store,
            self._partition_coordinator,
        )
        if late_heartbeats:
            self._faults += (self._hold_up_heartbeat,) * LATE_HEARTBEAT_WEIGHT
            self._faults += (self._kill_all_daemons,)

    def wait_ms(self) -> int:
        """Returns how long a revocation waits."""
        return proof.revocation_wait_ms()

    def loads(self) -> dict[str, key_load.KeyLoad]:
        """Returns the request rates by key, by service."""
        if not self.wandering:
            return {}
        if self.now_ms >= self._load_until_ms:
            self._load_until_ms = self.now_ms + WANDER_MS
            self._load = key_load.KeyLoad()
            self._load.add([(key, 2) for key in range(0, 65536, 512)], 1.0)
            first = self.random.randrange(65536 - HOT_KEYS)
            hot_keys = range(first, first + HOT_KEYS, 50)
            self._load.add([(key, 8) for key in hot_keys], 1.0)
        return {"desk": self._load}

    def late_write_ms(self) -> int:
        """Returns the maximum delay of the next write of the map."""
        return 9000 if self.random.random() < 0.03 else 150

    def mark_stopping(self, views: list) -> list:
        """Returns the views with one VM stopping, so that keys move."""
        return [
            dataclasses.replace(
                s,
                report=dataclasses.replace(
                    s.report, stopping=s.report.vm == self.stopping_vm
                ),
            )
            for s in views
        ]

    def schedule(self, low_ms: int, high_ms: int, action: object) -> None:
        """Schedules an action after a random delay between two bounds."""
        at_ms = self.now_ms + self.random.randint(low_ms, high_ms)
        self.queue.append(ScheduledAction(at_ms, action))

    def run(self, length_ms: int) -> str:
        """Returns the first violation, empty if there is none."""
        until_ms = self.now_ms + length_ms
        while self.now_ms < until_ms:
            self.clock.advance(STEP_MS)
            self.now_ms = self.clock.now_ns() // _NS_PER_MS
            self._deliver()
            self._inject_fault()
            for participant in (*self.daemons.values(), *self.targets.values()):
                participant.step()
            for daemon in self.daemons.values():
                if self.random.random() < STEP_MS / 150:
                    daemon.decide()
            violation = self._check()
            if violation:
                return violation
        return ""

    def _deliver(self) -> None:
        due = [e for e in self.queue if e.at_ms <= self.now_ms]
        self.queue = [e for e in self.queue if e.at_ms > self.now_ms]
        for entry in due:
            entry.action()

    def _inject_fault(self) -> None:
        if self.random.random() > self.fault_share:
            return
        vm = self.random.choice(list(self.daemons))
        self.random.choice(self._faults)(vm)
        if self.random.random() < 0.15:
            self.stopping_vm = self.random.choice(("", vm))

    def _kill_daemon(self, vm: str) -> None:
        daemon = self.daemons[vm]
        if daemon.up:
            daemon.up = False
            self.schedule(500, 4000, daemon.start_process)

    def _kill_all_daemons(self, vm: str) -> None:
        """Kills all daemons at once, or one after the other from vm on."""
        names = list(self.daemons)
        start = names.index(vm)
        gap_ms = self.random.choice((0, 1500))
        for position, name in enumerate(names[start:] + names[:start]):
            delay_ms = gap_ms * position
            self.schedule(
                delay_ms, delay_ms, functools.partial(self._kill_daemon, name)
            )

    def _hold_up_heartbeat(self, vm: str) -> None:
        """Holds up a heartbeat of a target until its daemon was restarted.

        Meanwhile another VM stops, whose keys move, and then this one.
        """
        daemon, target = self.daemons[vm], self.targets[vm]
        target.holds_up_next = True
        self.stopping_vm = self.random.choice(list(self.daemons))

        def kill() -> None:
            self.stopping_vm = vm
            target.holds_up_all = True
            self.schedule(100, 1000, stop)

        def stop() -> None:
            daemon.up = False
            self.schedule(200, 1000, start)

        def start() -> None:
            daemon.start_process()
            self.schedule(500, 2000, target.deliver_held_up)

        self.schedule(1000, 4000, kill)

    def _crash_target(self, vm: str) -> None:
        target = self.targets[vm]
        if target.up:
            target.up = False
            self.schedule(500, 4000, target.start_process)

    def _freeze(self, vm: str) -> None:
        self.daemons[vm].frozen_until_ms = self.now_ms + self.random.randint(
            500, 9000
        )

    def _cut_off_store(self, vm: str) -> None:
        self._inject_temporarily(self.daemons[vm], "store_cut")

    def _cut_off_peers(self, vm: str) -> None:
        self._inject_temporarily(self.daemons[vm], "peers_cut")

    def _stop_store(self, vm: str) -> None:
        del vm  # all daemons lose the store
        self._inject_temporarily(self, "store_down")

    def _partition_coordinator(self, vm: str) -> None:
        """Cuts the coordinator and one to three others off store and peers."""
        partitioned = [
            d for d in self.daemons.values() if d.election.is_coordinator()
        ]
        partitioned.append(self.daemons[vm])
        others = list(self.daemons.values())
        partitioned += self.random.sample(others, self.random.randint(0, 2))

        def reconnect() -> None:
            for daemon in partitioned:
                daemon.partitioned = daemon.store_cut = False

        for daemon in partitioned:
            daemon.partitioned = daemon.store_cut = True
        self.schedule(3000, 20_000, reconnect)

    def _inject_temporarily(self, owner: object, fault: str) -> None:
        setattr(owner, fault, True)
        self.schedule(500, 14_000, lambda: setattr(owner, fault, False))

    def _check(self) -> str:
        for key in PROBED_KEYS:
            current_holders = [
                (t.vm, t.holds(key))
                for t in self.targets.values()
                if t.up and t.holds(key)
            ]
            if len(current_holders) > 1:
                return f"key {key} at {current_holders}, {self.now_ms} ms"
            for vm, generation in current_holders:
                problem = self._check_generation(key, vm, generation)
                if problem:
                    return problem
        return ""

    def _check_generation(self, key: int, vm: str, generation: int) -> str:
        """Checks that a generation is above all of the holders before."""
        holder = (vm, self.targets[vm].started_ms)
        last, newest, earlier = self._generations.get(key, (holder, 0, -1))
        if holder != last:
            earlier = max(earlier, newest)
            newest = 0
        if generation <= earlier:
            return f"key {key} at {holder}: {generation} after {earlier}"
        newest = max(newest, generation)
        self._generations[key] = (holder, newest, earlier)
        return ""
