"""Models of assignment deltas, as daemons send them to each other."""

from typing import Annotated
from typing import Any

import pydantic

from primrosecross.domain import errors
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import delta
from primrosecross.models import assignment as assignment_model
from primrosecross.models import bounds
from primrosecross.models import plan
from primrosecross.models import settings

_MODEL_CONFIG = pydantic.ConfigDict(extra="forbid", frozen=True)
_VmIndex = Annotated[int, pydantic.Field(ge=0)]


class TableDeltaModel(pydantic.BaseModel):
    """Changed rows of one service.

    Attributes:
        grants: Shard, index of the owner in vms, generation.
        merged: Key shards merged back into their partitions.
        moves: Shard and index of the receiving VM in vms.
        pins: Key shard and index of the VM in vms.
    """

    model_config = _MODEL_CONFIG

    partitions: int = pydantic.Field(ge=1, le=plan.MAX_PARTITIONS)
    grants: tuple[
        tuple[assignment_model.Shard, _VmIndex, assignment_model.Generation],
        ...,
    ]
    merged: tuple[assignment_model.KeyShard, ...]
    moves: tuple[tuple[assignment_model.Shard, _VmIndex], ...]
    pins: tuple[tuple[assignment_model.KeyShard, _VmIndex], ...]


class DeltaModel(pydantic.BaseModel):
    """A delta between two versions of the assignment.

    Attributes:
        vms: VM names that rows refer to by index; entry 0 stands for no VM.
        gone: VM names of removed members.
    """

    model_config = _MODEL_CONFIG

    from_version: assignment_model.Version
    to_version: int = pydantic.Field(ge=2, le=bounds.MAX_VERSION)
    vms: tuple[str, ...]
    members: tuple[assignment_model.MemberModel, ...]
    gone: tuple[str, ...]
    tables: dict[str, TableDeltaModel]


def to_spec(value: delta.Delta) -> dict[str, Any]:
    """Returns a delta in its encoded form."""
    vm_indices = {"": 0}
    tables = {
        service: _table_to_spec(rows, vm_indices)
        for service, rows in value.tables.items()
    }
    return {
        "from_version": value.from_version,
        "to_version": value.to_version,
        "vms": list(vm_indices),
        "members": [
            assignment_model.member_to_spec(m)
            for m in value.members.values()
            if m
        ],
        "gone": [vm for vm, m in value.members.items() if m is None],
        "tables": tables,
    }


def _table_to_spec(
    rows: delta.TableDelta, vm_indices: dict[str, int]
) -> dict[str, Any]:
    def vm_index(vm: str) -> int:
        return vm_indices.setdefault(vm, len(vm_indices))

    return {
        "partitions": rows.partitions,
        "grants": [
            (shard, vm_index(grant.vm), grant.generation)
            for shard, grant in rows.grants.items()
            if grant is not None
        ],
        "merged": [s for s, grant in rows.grants.items() if grant is None],
        "moves": [(shard, vm_index(vm)) for shard, vm in rows.moves.items()],
        "pins": [(shard, vm_index(vm)) for shard, vm in rows.pins.items()],
    }


def from_spec(spec: dict[str, Any]) -> delta.Delta:
    """Returns a delta from its encoded form.

    Raises:
        errors.PeerProtocolError: The delta is invalid.
    """
    try:
        model = DeltaModel.model_validate(spec)
        return _to_domain(model)
    except pydantic.ValidationError as error:
        raise _invalid(settings.describe(error)) from error
    except IndexError as error:
        raise _invalid("a row refers to an unknown VM") from error


def _invalid(problem: str) -> errors.PeerProtocolError:
    return errors.PeerProtocolError(
        f"assignment delta from a peer: {problem}",
        remedy="check that both sides run compatible versions",
    )


def _to_domain(model: DeltaModel) -> delta.Delta:
    removed: dict[str, assignment.Member | None] = dict.fromkeys(model.gone)
    return delta.Delta(
        from_version=model.from_version,
        to_version=model.to_version,
        members=removed
        | {m.vm: assignment_model.member_from_model(m) for m in model.members},
        tables={
            service: _table_from_model(rows, model.vms)
            for service, rows in model.tables.items()
        },
    )


def _table_from_model(
    rows: TableDeltaModel, vms: tuple[str, ...]
) -> delta.TableDelta:
    grants: dict[int, assignment.Grant | None] = dict.fromkeys(rows.merged)
    for shard, vm_index, generation in rows.grants:
        _validate_shard(shard, rows.partitions)
        grants[shard] = assignment.Grant(vms[vm_index], generation)
    for shard, _ in rows.moves:
        _validate_shard(shard, rows.partitions)
    return delta.TableDelta(
        partitions=rows.partitions,
        grants=grants,
        moves={shard: vms[vm_index] for shard, vm_index in rows.moves},
        pins={shard: vms[vm_index] for shard, vm_index in rows.pins},
    )


def _validate_shard(shard: int, partitions: int) -> None:
    if not assignment_model.is_shard(shard, partitions):
        raise _invalid(f"shard {shard} is not one of {partitions} partitions")
