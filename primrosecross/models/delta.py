"""Changes of the assignment as daemons send them to each other."""

from typing import Any

import pydantic

from primrosecross.domain import assignment
from primrosecross.domain import delta
from primrosecross.domain import errors
from primrosecross.models import assignment as assignment_model
from primrosecross.models import settings

_FORBID = pydantic.ConfigDict(extra="forbid", frozen=True)


class TableDeltaModel(pydantic.BaseModel):
    """Changed rows of one service.

    Attributes:
        grants: Shard, number of the VM, generation.
        merged: Keys that belong to their partitions again.
        moves: Shard and number of the receiving VM.
        pins: Key shard and number of the VM.
    """

    model_config = _FORBID

    partitions: int = pydantic.Field(ge=1)
    grants: tuple[tuple[int, int, int], ...]
    merged: tuple[int, ...]
    moves: tuple[tuple[int, int], ...]
    pins: tuple[tuple[int, int], ...]


class DeltaModel(pydantic.BaseModel):
    """A change of the assignment.

    Attributes:
        vms: VM names that rows refer to by number; entry 0 is none.
    """

    model_config = _FORBID

    from_version: int = pydantic.Field(ge=1)
    to_version: int = pydantic.Field(ge=2)
    vms: tuple[str, ...]
    members: tuple[assignment_model.MemberModel, ...]
    gone: tuple[str, ...]
    tables: dict[str, TableDeltaModel]


def to_spec(value: delta.Delta) -> dict[str, Any]:
    """Returns a change in the form it is sent in."""
    numbers = {"": 0}
    tables = {
        service: _table_spec(rows, numbers)
        for service, rows in value.tables.items()
    }
    return {
        "from_version": value.from_version,
        "to_version": value.to_version,
        "vms": list(numbers),
        "members": [
            assignment_model.member_spec(m) for m in value.members.values() if m
        ],
        "gone": [vm for vm, m in value.members.items() if m is None],
        "tables": tables,
    }


def _table_spec(
    rows: delta.TableDelta, numbers: dict[str, int]
) -> dict[str, Any]:
    def number(vm: str) -> int:
        return numbers.setdefault(vm, len(numbers))

    return {
        "partitions": rows.partitions,
        "grants": [
            (shard, number(grant.vm), grant.generation)
            for shard, grant in rows.grants.items()
            if grant is not None
        ],
        "merged": [s for s, grant in rows.grants.items() if grant is None],
        "moves": [(shard, number(vm)) for shard, vm in rows.moves.items()],
        "pins": [(shard, number(vm)) for shard, vm in rows.pins.items()],
    }


def from_spec(spec: dict[str, Any]) -> delta.Delta:
    """Returns a change from the form it is sent in.

    Raises:
        errors.PeerProtocolError: It does not validate.
    """
    try:
        model = DeltaModel.model_validate(spec)
        return _to_domain(model)
    except pydantic.ValidationError as error:
        raise _corrupt(settings.describe(error)) from error
    except IndexError as error:
        raise _corrupt("a row refers to an unknown VM") from error


def _corrupt(problem: str) -> errors.PeerProtocolError:
    return errors.PeerProtocolError(
        f"a peer's change of the assignment: {problem}",
        remedy="check that both sides run compatible versions",
    )


def _to_domain(model: DeltaModel) -> delta.Delta:
    gone: dict[str, assignment.Member | None] = dict.fromkeys(model.gone)
    return delta.Delta(
        from_version=model.from_version,
        to_version=model.to_version,
        members=gone
        | {m.vm: assignment_model.member_of(m) for m in model.members},
        tables={
            service: _table(rows, model.vms)
            for service, rows in model.tables.items()
        },
    )


def _table(rows: TableDeltaModel, vms: tuple[str, ...]) -> delta.TableDelta:
    grants: dict[int, assignment.Grant | None] = dict.fromkeys(rows.merged)
    for shard, number, generation in rows.grants:
        _check_shard(shard, rows.partitions)
        grants[shard] = assignment.Grant(vms[number], generation)
    return delta.TableDelta(
        partitions=rows.partitions,
        grants=grants,
        moves={shard: vms[number] for shard, number in rows.moves},
        pins={shard: vms[number] for shard, number in rows.pins},
    )


def _check_shard(shard: int, partitions: int) -> None:
    if not shard & assignment.KEY_SHARD_BIT and not 0 <= shard < partitions:
        raise _corrupt(f"shard {shard} is none of {partitions}")
