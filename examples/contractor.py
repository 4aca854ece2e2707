"""A client of the operator API that is built from the schema file alone.

Halves the timeout of one service, waits until the change is in force on all
daemons and prints the owner of a key. Requires only grpcio and operator.proto:

    python -m grpc_tools.protoc -I primrosecross/rpc --python_out=. \
        --grpc_python_out=. operator.proto
    python contractor.py 127.0.0.1:30503 rezervace booking-7

Within this project it also runs as python -m examples.contractor.
"""

import json
import sys
import time

import grpc

try:
    import operator_pb2
    import operator_pb2_grpc
except ImportError:
    from primrosecross.rpc import operator_pb2
    from primrosecross.rpc import operator_pb2_grpc

WAIT_S = 30.0


def main(daemon: str, service_name: str, key: str) -> int:
    """Changes the plan and prints the owner; returns the exit code."""
    stub = operator_pb2_grpc.OperatorStub(grpc.insecure_channel(daemon))

    # Read the plan, change it and apply it on the version that was read; the
    # update fails if the plan has changed since.
    plan_reply = stub.GetPlan(operator_pb2.GetPlanRequest())
    plan = json.loads(plan_reply.plan_json)
    service = next(
        entry for entry in plan["services"] if entry["name"] == service_name
    )
    service["timeout_ms"] //= 2
    try:
        applied = stub.ApplyPlan(
            operator_pb2.ApplyPlanRequest(
                plan_json=json.dumps(plan).encode(),
                expected_version=plan_reply.version,
                author="contractor",
            )
        )
    except grpc.RpcError as error:
        # ABORTED: another author applied a plan first; the details say who
        # changed what.
        print(f"{error.code().name}: {error.details()}", file=sys.stderr)
        return 1
    print(f"version {applied.version}:", *applied.changes)

    # Wait until the plan is in force on every member that answers the probe.
    deadline_s = time.monotonic() + WAIT_S
    pending_vms = ["unknown"]
    while pending_vms and time.monotonic() < deadline_s:
        status = stub.GetStatus(
            operator_pb2.GetStatusRequest(
                probe=True, late_for_plan=applied.version
            )
        )
        pending_vms = [
            member.vm
            for member in status.members
            if member.plan_version < applied.version
            and (member.answers or not member.asked)
        ]
        time.sleep(0.2)
    print("pending:", ", ".join(pending_vms) or "none")

    owner = stub.Where(operator_pb2.WhereRequest(service=service_name, key=key))
    print(f"{key} is owned by {owner.vm}, generation {owner.generation}")
    return 1 if pending_vms else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
