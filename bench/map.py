"""Size of the assignment and of its deltas, and CPU time of decisions."""

import dataclasses
import json
import time
from collections.abc import Callable
from collections.abc import Iterator

from bench import balance as balance_bench
from bench import result
from primrosecross.adapters import object_repository
from primrosecross.domain.membership import witness_sets
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import delta
from primrosecross.models import assignment as assignment_model

MEMBER_COUNTS = (77, 155, 310, 620)
PARTITIONS = 16_384
KEY_SHARDS = 200
MAX_OBJECT_BYTES = 1_000_000
CONTROL_BYTES_PER_S = 28_000
SNAPSHOT_TRANSFER_S = 10
MAX_CORE_SHARE = 0.012
DECISION_INTERVAL_S = 5


def run() -> Iterator[result.Result]:
    """Yields the results for each number of members."""
    for members in MEMBER_COUNTS:
        yield from _measure(members)


def _measure(members: int) -> Iterator[result.Result]:
    note = f"{members} members, {PARTITIONS} partitions, {KEY_SHARDS} keys"
    cluster = balance_bench.Cluster(members=members, partitions=PARTITIONS)
    first_decision_ms = _cpu_ms(cluster.step)
    _prepare(cluster)
    yield result.Result(
        "CPU of the first decision", first_decision_ms, "ms", note=note
    )
    unchanged = cluster.current.copy()
    unchanged_ms = _cpu_ms(
        lambda: cluster.balancer.assign(cluster.service, unchanged)
    )
    yield result.at_most(
        "CPU of a decision without changes",
        unchanged_ms,
        "ms",
        bound=MAX_CORE_SHARE * DECISION_INTERVAL_S * 1000,
        note=note,
    )
    codec = object_repository.JsonStateCodec()
    snapshot = codec.encode_assignment(cluster.current)
    yield result.at_most(
        "snapshot",
        len(snapshot),
        "bytes",
        bound=CONTROL_BYTES_PER_S * SNAPSHOT_TRANSFER_S,
        note=note,
    )
    stored_bytes = len(json.dumps(assignment_model.to_spec(cluster.current)))
    yield result.at_most(
        "stored object",
        stored_bytes,
        "bytes",
        bound=MAX_OBJECT_BYTES,
        note=note,
    )
    yield from _measure_changes(cluster, note)


def _prepare(cluster: balance_bench.Cluster) -> None:
    """Assigns witnesses, splits off keys and varies the generations."""
    initial = cluster.current
    table = cluster.table
    for number in range(KEY_SHARDS):
        key = f"booking-{number}"
        key_hash = assignment.hash_key(balance_bench.SERVICE, key)
        table.split_key(key_hash | assignment.KEY_SHARD_BIT)
    for partition in range(PARTITIONS):
        table.generations[partition] = 1 + partition * 7919 % 5000
    initial.version = 5001
    witness_sets.replace_witnesses(initial)
    for vm, member in initial.members.items():
        initial.members[vm] = dataclasses.replace(member, previous_witnesses=())


def _measure_changes(
    cluster: balance_bench.Cluster, note: str
) -> Iterator[result.Result]:
    """Yields the encoded size of typical deltas, and their CPU time."""
    codec = object_repository.JsonStateCodec()

    def start_drain(draft: assignment.Assignment) -> None:
        draft.members["vm-0005"] = dataclasses.replace(
            draft.members["vm-0005"], state=assignment.MemberState.LEAVING
        )
        cluster.balancer.assign(cluster.service, draft)

    def finish_moves(draft: assignment.Assignment) -> None:
        table = draft.tables[balance_bench.SERVICE]
        for shard, vm in list(table.moves.items()):
            table.set_owner(shard, vm, draft.version)

    def remove_member(draft: assignment.Assignment) -> None:
        del draft.members["vm-0007"]
        table = draft.tables[balance_bench.SERVICE]
        for shard in table.shards_of("vm-0007"):
            table.set_owner(shard, "", draft.version)
        cluster.balancer.assign(cluster.service, draft)

    def start_key_move(draft: assignment.Assignment) -> None:
        table = draft.tables[balance_bench.SERVICE]
        shard = next(iter(table.key_grants))
        table.moves[shard] = "vm-0009"

    for name, change in (
        ("a hot key's move begun", start_key_move),
        ("a drain begun", start_drain),
        ("a drain's moves done", finish_moves),
        ("a loss", remove_member),
    ):
        before = cluster.current
        draft = before.copy()
        draft.version += 1
        change(draft)
        cluster.current = draft
        change_delta = delta.diff(before, draft)
        delta_bytes = len(codec.encode_delta(change_delta))
        yield result.Result(f"delta of {name}", delta_bytes, "bytes", note=note)
    diff_ms = _cpu_ms(lambda: delta.diff(before, draft))
    yield result.Result("CPU of finding a delta", diff_ms, "ms", note=note)
    apply_ms = _cpu_ms(lambda: delta.apply(change_delta, before))
    yield result.Result("CPU of applying a delta", apply_ms, "ms", note=note)


def _cpu_ms(action: Callable[[], object]) -> float:
    started_s = time.process_time()
    action()
    return (time.process_time() - started_s) * 1000
