"""What a contractor writes from the schema file alone.

Halves the deadline of one service, waits until all daemons have the change in
force, and prints who owns a key. It needs grpcio and operator.proto, and
nothing else of this project:

    python -m grpc_tools.protoc -I primrosecross/rpc --python_out=. \
        --grpc_python_out=. operator.proto
    python contractor.py 127.0.0.1:30503 rezervace booking-7

From this project it also runs as python -m examples.contractor.
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
    """Runs all steps; returns the exit code."""
    stub = operator_pb2_grpc.OperatorStub(grpc.insecure_channel(daemon))

    # Read the plan, change it, and apply it to the version that was read.
    read = stub.GetPlan(operator_pb2.GetPlanRequest())
    plan = json.loads(read.plan_json)
    service = next(s for s in plan["services"] if s["name"] == service_name)
    service["timeout_ms"] //= 2
    try:
        applied = stub.ApplyPlan(
            operator_pb2.ApplyPlanRequest(
                plan_json=json.dumps(plan).encode(),
                expected_version=read.version,
                author="contractor",
            )
        )
    except grpc.RpcError as error:
        # ABORTED: someone else was faster; the text says who changed what.
        print(f"{error.code().name}: {error.details()}", file=sys.stderr)
        return 1
    print(f"version {applied.version}:", *applied.changes)

    # Wait until every member that answers has it in force.
    until = time.monotonic() + WAIT_S
    late = ["unknown"]
    while late and time.monotonic() < until:
        status = stub.GetStatus(
            operator_pb2.GetStatusRequest(
                probe=True, late_for_plan=applied.version
            )
        )
        late = [
            m.vm
            for m in status.members
            if m.plan_version < applied.version and (m.answers or not m.asked)
        ]
        time.sleep(0.2)
    print("late:", ", ".join(late) or "nobody")

    where = stub.Where(operator_pb2.WhereRequest(service=service_name, key=key))
    print(f"{key} is owned by {where.vm}, generation {where.generation}")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
