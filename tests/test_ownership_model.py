"""Seeded random simulation of leases, witnesses and revocations on one clock.

Messages are delayed, lost and delivered very late; processes freeze and
restart; witness sets change. No shard may ever have two holders.
"""

import dataclasses
import heapq
import itertools
import random
import unittest
from collections.abc import Callable

from primrosecross.domain.membership import lease
from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import witness
from primrosecross.domain.membership import witness_sets
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import decisions
from primrosecross.domain.ownership import revocation
from tests import fakes

TIMING = lease.LeaseTiming()
PLACES = ("a", "b", "c", "d")
TICK_MS = 100
SERVICE = "rezervace"


class Process:
    """One daemon's lease, witness register and view of the assignment."""

    def __init__(self, vm: str, number: int, clock: fakes.ManualClock) -> None:
        self.vm = vm
        self.incarnation = f"{vm}#{number}"
        self.lease = lease.Lease(clock=clock, timing=TIMING)
        self.register = witness.WitnessRegister(clock=clock, timing=TIMING)
        self.view = assignment.Assignment()
        self.frozen_until_ms = 0.0

    def update_view(self, current: assignment.Assignment) -> None:
        """Puts an assignment in force if it is newer."""
        if current.version > self.view.version:
            self.view = current

    def update_register(self) -> None:
        """Updates the register with the members that name this witness."""
        self.register.set_expected(
            {
                member.vm: member.epoch
                for member in self.view.members.values()
                if self.vm in {*member.witnesses, *member.previous_witnesses}
            }
        )

    def served_shards(self) -> list[tuple[int, str]]:
        """Returns the shards that it would serve, with its incarnation ID."""
        member = self.view.members.get(self.vm)
        table = self.view.tables[SERVICE] if self.view.tables else None
        if table is None or member is None or not self.lease.held():
            return []
        return [
            (shard, self.incarnation)
            for shard in table.shards_of(self.vm)
            if shard not in table.moves
        ]


@dataclasses.dataclass(order=True)
class _Delivery:
    at_ms: float
    number: int
    action: Callable[[], None] = dataclasses.field(compare=False)
    recipient: Process = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRates:
    """Fault rates of one run; each run stresses different faults."""

    late: float
    anti_entropy: float
    restart: float
    freeze: float
    cut: float
    outage: float
    suspect: float
    fault_ms: float

    @classmethod
    def draw(cls, source: random.Random) -> "FaultRates":
        """Returns randomly chosen rates."""
        return cls(
            late=source.choice((0.0, 0.02, 0.1)),
            anti_entropy=source.choice((0.02, 0.1, 0.3)),
            restart=source.choice((0.0, 0.02, 0.1)),
            freeze=source.choice((0.0, 0.02, 0.05)),
            cut=source.choice((0.0, 0.05, 0.2)),
            outage=source.choice((0.0, 0.005)),
            suspect=source.choice((0.01, 0.05)),
            fault_ms=source.choice((800.0, 2500.0, 8000.0)),
        )


class Simulation:
    """Processes, the store and the network between them."""

    def __init__(self, seed: int, size: int = 9) -> None:
        self.random = random.Random(seed)
        self.rates = FaultRates.draw(self.random)
        self.clock = fakes.ManualClock()
        self.vms = [f"vm{i}" for i in range(size)]
        self.numbers = itertools.count()
        self.processes = {vm: self._start_process(vm) for vm in self.vms}
        self.stored = assignment.Assignment(version=1)
        table = assignment.OwnerTable.empty(SERVICE, size)
        self.stored.tables[SERVICE] = table
        self.change_versions: dict[str, int] = {}
        self.proofs: dict[tuple[str, int], revocation.LapseProof] = {}
        self.cut: dict[frozenset[str], float] = {}
        self.store_down_until_ms = 0.0
        self.deliveries: list[_Delivery] = []
        self.revoked: set[tuple[str, int]] = set()
        self.witness_changes = 0

    def _start_process(self, vm: str) -> Process:
        return Process(vm, next(self.numbers), self.clock)

    @property
    def now_ms(self) -> float:
        """Simulated time."""
        return self.clock.time_ns / lease.NS_PER_MS

    def place(self, vm: str) -> str:
        """Returns the availability zone of a VM."""
        return PLACES[int(vm[2:]) % len(PLACES)]

    def send(
        self, sender: str, recipient: Process, action: Callable[[], None]
    ) -> None:
        """Delivers after a random, at times long delay; drops on a cut link."""
        if self.cut.get(frozenset((sender, recipient.vm)), 0) > self.now_ms:
            return
        late = self.random.random() < self.rates.late
        delay_ms = self.random.uniform(0, 3000 if late else 60)
        number = next(self.numbers)
        item = _Delivery(self.now_ms + delay_ms, number, action, recipient)
        heapq.heappush(self.deliveries, item)

    def deliver(self) -> None:
        """Runs due deliveries; those to a frozen process wait for its thaw."""
        while self.deliveries and self.deliveries[0].at_ms <= self.now_ms:
            item = heapq.heappop(self.deliveries)
            if self.processes[item.recipient.vm] is not item.recipient:
                continue
            if item.recipient.frozen_until_ms > self.now_ms:
                item.at_ms = item.recipient.frozen_until_ms
                heapq.heappush(self.deliveries, item)
                continue
            item.action()

    def decide(self, *inbox: object) -> None:
        """Applies messages and writes one version, like the coordinator."""
        if self.store_down_until_ms > self.now_ms:
            return
        before = self.stored
        draft = decisions.Draft(before.copy(), dict(self.change_versions))
        draft.assignment.version += 1
        changed = sum(decisions.apply(message, draft) for message in inbox)
        replaced_sets = witness_sets.replace_witnesses(draft.assignment)
        self.witness_changes += replaced_sets
        changed += replaced_sets + self._assign(draft.assignment)
        changed += decisions.renew_generations_after_cancelled_handovers(
            before, draft.assignment
        )
        if changed:
            self.stored = draft.assignment
            self.change_versions = witness_sets.unconfirmed_since(
                self.stored, draft.witness_change_versions
            )

    def _assign(self, draft: assignment.Assignment) -> int:
        table = draft.tables[SERVICE]
        active = [
            m.vm
            for m in draft.members.values()
            if m.state is assignment.MemberState.ACTIVE
        ]
        free_shards = [
            s
            for s in range(table.partitions)
            if table.grant_of(s).vm not in draft.members
        ]
        for shard in free_shards if active else ():
            vm = self.random.choice(active)
            table.set_owner(shard, vm, draft.version)
        if len(active) > 1 and self.random.random() < 0.05:
            return len(free_shards) + self._plan_move(table, active)
        return len(free_shards) if active else 0

    def _plan_move(
        self, table: assignment.OwnerTable, active: list[str]
    ) -> int:
        shard = self.random.randrange(table.partitions)
        if table.moves.pop(shard, None) is None:
            table.moves[shard] = self.random.choice(active)
        return 1

    def step(self) -> None:
        """Advances the simulation by one tick."""
        self.clock.advance(TICK_MS)
        self.deliver()
        self._inject_faults()
        for process in list(self.processes.values()):
            if process.frozen_until_ms <= self.now_ms:
                self._run_process(process)
        self._run_coordinator()

    def _run_process(self, process: Process) -> None:
        if self.random.random() < self.rates.anti_entropy:
            peer = self.processes[self.random.choice(self.vms)]
            view = peer.view
            self.send(peer.vm, process, lambda: process.update_view(view))
        process.update_register()
        member = process.view.members.get(process.vm)
        if member is None or member.incarnation != process.incarnation:
            self._join(process)
            return
        if (
            process.lease.epoch != member.epoch
            or process.lease.needs_store_read()
        ):
            self._read_store(process)
        elif process.lease.witnesses != member.witnesses:
            process.lease.change_witnesses(member.witnesses)
        if self.random.random() < 0.4:
            self._send_heartbeats(process, member)
            self._confirm(process, member)
            self._release(process, member)

    def _join(self, process: Process) -> None:
        if self.store_down_until_ms > self.now_ms:
            return
        process.update_view(self.stored)
        join = member_messages.Join(
            vm=process.vm,
            place=self.place(process.vm),
            region="r",
            peer_address="127.0.0.1:1",
            incarnation=process.incarnation,
            offers=(),
        )
        if self.random.random() < 0.3:
            self.decide(join)

    def _read_store(self, process: Process) -> None:
        if self.store_down_until_ms > self.now_ms:
            return
        read_assignment = self.stored
        read_sent_ns = self.clock.now_ns()
        self.send(
            process.vm,
            process,
            lambda: self._start_lease(process, read_assignment, read_sent_ns),
        )

    def _start_lease(
        self,
        process: Process,
        read_assignment: assignment.Assignment,
        read_sent_ns: int,
    ) -> None:
        process.update_view(read_assignment)
        member = process.view.members.get(process.vm)
        if member is None or member.incarnation != process.incarnation:
            return
        if member.state is not assignment.MemberState.REVOKING:
            process.lease.start(
                epoch=member.epoch,
                witnesses=member.witnesses,
                read_sent_ns=read_sent_ns,
            )

    def _send_heartbeats(
        self, process: Process, member: assignment.Member
    ) -> None:
        sent_ns = self.clock.now_ns()
        for name in {*member.witnesses, *process.lease.witnesses}:
            other = self.processes[name]

            def vote(other: Process = other) -> None:
                if not other.register.vote(process.vm, member.epoch):
                    return
                self.send(
                    other.vm,
                    process,
                    lambda: process.lease.record_vote(
                        witness=other.vm,
                        incarnation=other.incarnation,
                        epoch=member.epoch,
                        sent_ns=sent_ns,
                    ),
                )

            self.send(process.vm, other, vote)

    def _confirm(self, process: Process, member: assignment.Member) -> None:
        if not member.previous_witnesses:
            return
        confirm = member_messages.Confirm(
            vm=process.vm,
            epoch=member.epoch,
            assignment_version=process.view.version,
            plan_version=0,
            witnesses=process.lease.witnesses,
        )
        self._send_to_coordinator(process.vm, confirm)

    def _release(self, process: Process, member: assignment.Member) -> None:
        table = process.view.tables[SERVICE]
        shards = tuple(
            s for s in table.moves if table.grant_of(s).vm == process.vm
        )
        if not shards or member.epoch != process.lease.epoch:
            return
        release = member_messages.Release(
            vm=process.vm,
            epoch=member.epoch,
            service=SERVICE,
            shards=shards,
            generations=tuple(table.grant_of(s).generation for s in shards),
        )
        self._send_to_coordinator(process.vm, release)

    def _send_to_coordinator(self, sender: str, message: object) -> None:
        acting_coordinator = self.processes[self.random.choice(self.vms)]
        self.send(sender, acting_coordinator, lambda: self.decide(message))

    def _inject_faults(self) -> None:
        rates = self.rates
        vm = self.random.choice(self.vms)
        until_ms = self.now_ms + self.random.expovariate(1 / rates.fault_ms)
        if self.random.random() < rates.restart:
            restarted = self._choose_restarted(vm)
            self.processes[restarted] = self._start_process(restarted)
        if self.random.random() < rates.freeze:
            self.processes[vm].frozen_until_ms = until_ms
        if self.random.random() < rates.cut:
            other = self.random.choice(self.vms)
            self.cut[frozenset((vm, other))] = until_ms
        if self.random.random() < rates.outage:
            self.store_down_until_ms = until_ms
        member = self.stored.members.get(vm)
        if member is not None and self.random.random() < rates.suspect:
            self.decide(decisions.MemberSuspected(vm, member.epoch))

    def _choose_restarted(self, vm: str) -> str:
        """Prefers the witnesses of members that are being revoked."""
        witnesses = [
            name
            for member in self.stored.members.values()
            if member.state is assignment.MemberState.REVOKING
            for name in member.witnesses
        ]
        return self.random.choice([vm, *witnesses])

    def _run_coordinator(self) -> None:
        self.decide()
        for member in list(self.stored.members.values()):
            process = self.processes[member.vm]
            replaced = process.incarnation != member.incarnation
            if replaced and self.random.random() < 0.3:
                self.decide(decisions.MemberSuspected(member.vm, member.epoch))
            if member.state is assignment.MemberState.REVOKING:
                self._request_refusals(member)

    def _request_refusals(self, member: assignment.Member) -> None:
        key = (member.vm, member.epoch)
        if key not in self.proofs:
            sets = (member.witnesses, member.previous_witnesses)
            self.proofs[key] = revocation.LapseProof(
                vm=member.vm,
                epoch=member.epoch,
                witness_sets=tuple(s for s in sets if s),
                clock=self.clock,
                timing=TIMING,
            )
        proof = self.proofs[key]
        if proof.proven():
            self.decide(decisions.LeaseLapsed(member.vm, member.epoch))
            if member.vm not in self.stored.members:
                self.revoked.add(key)
            return
        for name in proof.witnesses:
            self._request_refusal(proof, self.processes[name])

    def _request_refusal(
        self, proof: revocation.LapseProof, other: Process
    ) -> None:
        coordinator = self.processes[self.vms[0]]
        sent_ns = self.clock.now_ns()

        def refuse() -> None:
            silent_ms = other.register.refuse(proof.vm, proof.epoch)
            self.send(
                other.vm,
                coordinator,
                lambda: proof.record(
                    witness=other.vm,
                    incarnation=other.incarnation,
                    silent_ms=silent_ms,
                    sent_ns=sent_ns,
                    received_ns=self.clock.now_ns(),
                ),
            )

        if self.random.random() < 0.3:
            self.send(coordinator.vm, other, refuse)

    def held_after_revocation(self) -> list[str]:
        """Returns processes that hold a lease that was proved lapsed."""
        return [
            process.incarnation
            for process in self.processes.values()
            if (process.vm, process.lease.epoch) in self.revoked
            and process.lease.held()
        ]

    def shards_held_twice(self) -> dict[int, list[str]]:
        """Returns shards with more than one holder, including frozen ones."""
        holders: dict[int, list[str]] = {}
        for process in self.processes.values():
            for shard, incarnation in process.served_shards():
                holders.setdefault(shard, []).append(incarnation)
        return {s: names for s, names in holders.items() if len(names) > 1}


class OwnershipModelTest(unittest.TestCase):
    """No shard has two holders in any run."""

    def _run(self, seed: int, steps: int = 1000) -> Simulation:
        simulation = Simulation(seed)
        for step in range(steps):
            simulation.step()
            run_description = f"seed {seed}, step {step}, {simulation.rates}"
            self.assertFalse(simulation.shards_held_twice(), run_description)
            self.assertFalse(
                simulation.held_after_revocation(), run_description
            )
        return simulation

    def test_no_shard_has_two_holders(self):
        runs = [self._run(seed) for seed in range(20)]
        self.assertGreater(sum(len(run.revoked) for run in runs), 100)
        self.assertGreater(sum(run.witness_changes for run in runs), 100)
