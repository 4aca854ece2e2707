"""Request path of a cluster in one process, over fake peers and targets."""

import collections
import dataclasses
import functools
from collections.abc import Callable

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stamp
from primrosecross.domain.membership import lease
from primrosecross.domain.membership import state
from primrosecross.domain.operators import events
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import assignment_history
from primrosecross.domain.ownership import handover
from primrosecross.domain.ownership import load_reports
from primrosecross.domain.requests import body
from primrosecross.domain.requests import deduplicator
from primrosecross.domain.requests import executor
from primrosecross.domain.requests import forwards
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import outcome_cache
from primrosecross.domain.requests import quarantine
from primrosecross.domain.requests import replies
from primrosecross.domain.requests import request
from primrosecross.domain.requests import request_messages
from primrosecross.domain.requests import router
from primrosecross.ports import peers as peers_port
from primrosecross.ports import target
from tests import fakes

WITNESSES = ("w",)


def service(name: str = "rezervace", **fields: object) -> plan.Service:
    """Returns a keyed service with minimal settings."""
    declared = {
        "keyed": True,
        "key_pattern": ".*",
        "partitions": 1,
        "timeout_ms": 1000,
        "max_body_bytes": 1 << 20,
        "idempotent_methods": frozenset({"GET"}),
        "policy": plan.WaitingPolicy(max_wait_ms=50),
    }
    return plan.Service(name=name, **(declared | fields))


class FakeStream(body.Stream):
    """A streamed body of ten declared bytes that never arrive."""

    def __init__(self) -> None:
        super().__init__(10)

    def read(self) -> bytes:
        """Returns nothing."""
        return b""


class FakeTargets:
    """Targets that record the requests run; an action returns each outcome."""

    def __init__(self) -> None:
        self.ran: list[str] = []
        self.action: Callable[[request.Request], outcome.Outcome] = _answer
        self.listening = True

    def run(
        self,
        announcement: target.Announcement,
        req: request.Request,
        fence: target.Fence,
    ) -> outcome.Outcome:
        """Runs a request."""
        self.ran.append(req.request_id)
        return self.action(req)

    def is_listening(self, announcement: target.Announcement) -> bool:
        """Returns whether the target accepts connections."""
        return self.listening


def _answer(req: request.Request) -> outcome.Outcome:
    return outcome.Answered(200, (), req.request_id.encode())


class FakePeers:
    """Calls handlers directly; faults are injected per VM."""

    def __init__(self) -> None:
        self.handlers: dict[str, Callable] = {}
        self.lost: set[str] = set()
        self.lose_replies: set[str] = set()
        self.lose_next_reply = False
        self.calls: collections.Counter[str] = collections.Counter()
        self.change_reply: Callable = lambda reply: reply

    def call(
        self,
        vm: str,
        message: messages.Message,
        *,
        timeout_ms: int,
        patience: peers_port.Patience = peers_port.Patience.UNTIL_SILENT,
    ) -> messages.Message:
        """Calls the handler of a VM."""
        self.calls[type(message).__name__] += 1
        if vm in self.lost or vm not in self.handlers:
            raise errors.MessageNotSentError("no connection", remedy="wait")
        reply = self.handlers[vm](message)
        loses_reply, self.lose_next_reply = self.lose_next_reply, False
        if loses_reply or vm in self.lose_replies:
            raise errors.ReplyLostError("no reply", remedy="wait")
        return self.change_reply(reply)

    def set_address(self, vm: str, address: str) -> None:
        """Does nothing."""


@dataclasses.dataclass(slots=True)
class Vm:
    """The request path of one daemon."""

    name: str
    state: state.ClusterState
    targets: FakeTargets
    executor: executor.Executor
    router: router.Router
    quarantine: quarantine.Quarantine


class Cluster:
    """Daemons that share one assignment, changed by assign_owner()."""

    def __init__(self, *names: str, declared: plan.Service) -> None:
        self.clock = fakes.ManualClock()
        self.peers = FakePeers()
        self.declared = declared
        self.assignment = assignment.Assignment(version=1)
        self.vms = {name: self._make(name) for name in names}
        for name in names:
            self.assignment.members[name] = self._member(name, 1)
        self.assign_owner(names[0])

    def _member(self, name: str, epoch: int) -> assignment.Member:
        return assignment.Member(
            vm=name,
            place="p",
            region="r",
            peer_address="",
            incarnation=f"{name}-{epoch}",
            epoch=epoch,
            witnesses=WITNESSES,
            offers=(assignment.Offer(self.declared.name, 4, True),),
        )

    def _make(self, name: str) -> Vm:
        timeline = events.Timeline(
            vm=name,
            clock=self.clock,
            stamps=stamp.StampClock(clock=self.clock),
        )
        current_state = state.ClusterState(vm=name, timeline=timeline)
        current_state.update_plan(
            plan.Plan(1, "", {}, {self.declared.name: self.declared})
        )
        held_lease = lease.Lease(
            clock=self.clock, timing=lease.LeaseTiming(duration_ms=10**9)
        )
        held_lease.start(
            epoch=1, witnesses=WITNESSES, read_sent_ns=self.clock.now_ns()
        )
        held_lease.record_vote(
            witness="w",
            incarnation="1",
            epoch=1,
            sent_ns=self.clock.now_ns(),
        )
        targets = FakeTargets()
        deduplication = deduplicator.Deduplicator(
            vm=name,
            state=current_state,
            outcomes=outcome_cache.OutcomeCache(clock=self.clock),
            assignment_history=assignment_history.AssignmentHistory(
                vm=name, state=current_state, clock=self.clock
            ),
            peers=self.peers,
            clock=self.clock,
        )
        crash_quarantine = quarantine.Quarantine(
            vm=name,
            members=lambda: current_state.assignment.members,
            peers=self.peers,
            clock=self.clock,
            timeline=timeline,
        )
        runner = executor.Executor(
            vm=name,
            state=current_state,
            lease=held_lease,
            hand_over=handover.HandOver(
                vm=name,
                state=current_state,
                lease=held_lease,
                coordinator_client=None,
                clock=self.clock,
            ),
            load_reporter=load_reports.LoadReporter(
                vm=name,
                state=current_state,
                coordinator_client=None,
                clock=self.clock,
            ),
            deduplicator=deduplication,
            quarantine=crash_quarantine,
            targets=targets,
            clock=self.clock,
        )
        runner.announced_targets["t"] = target.Announcement(
            self.declared.name, "t", 4, True
        )
        local_router = router.Router(
            vm=name,
            state=current_state,
            sync=None,
            executor=runner,
            peers=self.peers,
            clock=self.clock,
        )
        handle = functools.singledispatch(_unexpected)
        handle.register(
            request_messages.Forward, functools.partial(self._execute, runner)
        )
        handle.register(request_messages.AskAnswer, deduplication.answer_ask)
        handle.register(
            request_messages.NoteCrashes, crash_quarantine.handle_notes
        )
        handle.register(
            operator_messages.ListQuarantined, crash_quarantine.handle_list
        )
        handle.register(
            operator_messages.ReleaseQuarantined,
            crash_quarantine.handle_release,
        )
        self.peers.handlers[name] = handle
        return Vm(
            name, current_state, targets, runner, local_router, crash_quarantine
        )

    def _execute(
        self, runner: executor.Executor, forward: request_messages.Forward
    ) -> messages.Message:
        req = forwards.from_message(forward, now_ns=self.clock.now_ns())
        return replies.reply_of(runner.execute(req), req.request_id)

    def assign_owner(self, name: str, *, lost: str = "") -> None:
        """Assigns all keys to a VM; removes a lost one from the members."""
        next_assignment = self.assignment.copy()
        next_assignment.version += 1
        if lost:
            next_assignment.members.pop(lost, None)
            self.peers.lost.add(lost)
        table = next_assignment.tables.get(self.declared.name)
        if table is None:
            table = assignment.OwnerTable.empty(self.declared.name, 1)
            next_assignment.tables[self.declared.name] = table
        table.set_owner(0, name, next_assignment.version)
        self.assignment = next_assignment
        for vm in self.vms.values():
            if vm.name not in self.peers.lost:
                vm.state.update_assignment(next_assignment)

    def request(self, **fields: object) -> request.Request:
        """Returns a booking with an Idempotency-Key."""
        values = {
            "request_id": "booking",
            "service": self.declared.name,
            "key": "k",
            "method": "POST",
            "path": "/book",
            "headers": (),
            "body": b"",
            "idempotent": False,
            "identified": True,
            "attempt": 0,
            "deadline_ns": self.clock.now_ns() + 10**9,
        }
        return request.Request(**(values | fields))

    def runs(self, request_id: str = "booking") -> int:
        """Returns the number of runs of a request on all targets."""
        return sum(vm.targets.ran.count(request_id) for vm in self.vms.values())


def _unexpected(message: messages.Message) -> messages.Message:
    raise TypeError(type(message).__name__)
