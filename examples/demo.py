"""Starts a cluster on loopback, kills an owner and checks the recovery."""

import dataclasses
import json
import pathlib
import sys
import tempfile
import time
import urllib.error
import urllib.request

import grpc
import rich.console
import rich.table

from primrosecross.rpc import operator_pb2
from primrosecross.rpc import operator_pb2_grpc
from standins import fleet

BASE_PORT = 23000
PLAN = pathlib.Path(__file__).parent / "brno" / "plan.json"
PLACES = ("brno-a", "brno-b", "brno-c", "brno-d")
REGION = "jihomoravsky"
KEYS = tuple(f"booking-{number}" for number in range(1, 13))
READY_TIMEOUT_S = 15.0
MAX_RECOVERY_S = 4.0
REQUEST_TIMEOUT_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Response to one caller."""

    status: int
    outcome: str
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One expectation and its result."""

    name: str
    observed: str
    passed: bool


def book(cluster: fleet.Fleet, vm: str, key: str) -> Response:
    """Sends one booking to the daemon of a VM."""
    request = urllib.request.Request(
        f"http://{cluster.address(vm, 'caller')}/rezervace/{key}/book",
        data=b"{}",
        method="POST",
    )
    try:
        with urllib.request.urlopen(
            request, timeout=REQUEST_TIMEOUT_S
        ) as reply:
            body = json.loads(reply.read())
            return Response(reply.status, "answered", body["vm"])
    except urllib.error.HTTPError as error:
        error_outcome = error.headers.get("Primrosecross-Outcome", "")
        return Response(error.code, error_outcome, "")


class Demo:
    """The steps of the demonstration.

    Args:
        cluster: Fleet to start and use.
    """

    def __init__(self, cluster: fleet.Fleet) -> None:
        self._cluster = cluster
        self.checks: list[Check] = []

    def _stub(self, vm: str) -> operator_pb2_grpc.OperatorStub:
        channel = grpc.insecure_channel(self._cluster.address(vm, "operator"))
        return operator_pb2_grpc.OperatorStub(channel)

    def _expect(self, name: str, observed: object, passed: bool) -> None:
        self.checks.append(Check(name, str(observed), passed))

    def run(self) -> None:
        """Runs all steps."""
        self._cluster.start()
        self._apply_plan()
        owners = self._book_at_each_daemon()
        victim = owners[KEYS[0]]
        self._kill_owner(victim)
        self._show_events(victim)

    def _apply_plan(self) -> None:
        stub = self._stub(next(iter(self._cluster.vms)))
        request = operator_pb2.ApplyPlanRequest(
            plan_json=PLAN.read_bytes(), expected_version=0, author="demo"
        )
        stub.ApplyPlan(request, timeout=READY_TIMEOUT_S, wait_for_ready=True)
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        expected = len(self._cluster.vms)
        observed = 0
        while time.monotonic() < deadline_s and observed < expected:
            status = stub.GetStatus(operator_pb2.GetStatusRequest())
            observed = sum(
                member.confirmed
                and member.plan_version == 1
                and bool(member.witnesses)
                for member in status.members
            )
            time.sleep(0.1)
        self._expect(
            "plan in force on all daemons", observed, observed == expected
        )

    def _book_at_each_daemon(self) -> dict[str, str]:
        owners: dict[str, set[str]] = {key: set() for key in KEYS}
        failed = 0
        for vm in self._cluster.vms:
            for key in KEYS:
                response = book(self._cluster, vm, key)
                failed += response.status != 200
                owners[key].add(response.vm)
        keys_with_one_owner = sum(len(vms) == 1 for vms in owners.values())
        self._expect("failed bookings", failed, failed == 0)
        self._expect(
            "keys with the same owner at each daemon",
            f"{keys_with_one_owner} of {len(KEYS)}",
            keys_with_one_owner == len(KEYS),
        )
        return {key: min(vms) for key, vms in owners.items()}

    def _kill_owner(self, victim: str) -> None:
        other = next(vm for vm in self._cluster.vms if vm != victim)
        self._cluster.kill_vm(victim)
        killed_s = time.monotonic()
        response = book(self._cluster, other, KEYS[0])
        while (
            response.status != 200
            and time.monotonic() - killed_s < READY_TIMEOUT_S
        ):
            time.sleep(0.05)
            response = book(self._cluster, other, KEYS[0])
        recovery_s = time.monotonic() - killed_s
        self._expect(
            f"{KEYS[0]} served again after the loss of {victim}",
            f"{recovery_s:.2f} s, now by {response.vm}",
            recovery_s <= MAX_RECOVERY_S and response.vm not in ("", victim),
        )

    def _show_events(self, victim: str) -> None:
        other = next(vm for vm in self._cluster.vms if vm != victim)
        request = operator_pb2.ListEventsRequest()
        entries = self._stub(other).ListEvents(request).events
        start_ms = entries[0].wall_ms
        for entry in entries:
            print(
                f"{entry.wall_ms - start_ms:7d} ms  {entry.vm:12s} "
                f"{entry.kind:20s} {entry.detail_json}"
            )
        revoked = [event for event in entries if event.kind == "MemberRevoked"]
        self._expect(
            "time line shows the loss", len(revoked), len(revoked) == 1
        )


def main() -> int:
    """Runs the demonstration; returns the exit code."""
    vms = [
        fleet.Vm(
            f"rezervace-{index + 1}", PLACES[index % 4], REGION, "rezervace"
        )
        for index in range(5)
    ]
    vms.append(fleet.Vm("spisovna-1", PLACES[1], REGION, "spisovna"))
    with tempfile.TemporaryDirectory() as directory:
        cluster = fleet.Fleet(
            vms=vms, directory=pathlib.Path(directory), base_port=BASE_PORT
        )
        demo = Demo(cluster)
        try:
            demo.run()
        finally:
            cluster.stop()
    table = rich.table.Table("expectation", "observed", "passed")
    for check in demo.checks:
        table.add_row(
            check.name, check.observed, "yes" if check.passed else "NO"
        )
    rich.console.Console().print(table)
    return 0 if all(check.passed for check in demo.checks) else 1


if __name__ == "__main__":
    sys.exit(main())
