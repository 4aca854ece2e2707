"""Models of the assignment, as stored and as sent to other daemons."""

import array
import base64
import zlib
from typing import Annotated
from typing import Any

import pydantic

from primrosecross.domain import errors
from primrosecross.domain.ownership import assignment
from primrosecross.models import bounds
from primrosecross.models import compressed
from primrosecross.models import plan
from primrosecross.models import settings

MAX_SHARD = (1 << 64) - 1
_MODEL_CONFIG = pydantic.ConfigDict(extra="forbid", frozen=True)
Version = Annotated[int, pydantic.Field(ge=1, le=bounds.MAX_VERSION)]
Generation = Annotated[int, pydantic.Field(ge=0, le=bounds.MAX_VERSION)]
Shard = Annotated[int, pydantic.Field(ge=0, le=MAX_SHARD)]
KeyShard = Annotated[
    int, pydantic.Field(ge=assignment.KEY_SHARD_BIT, le=MAX_SHARD)
]


class OfferModel(pydantic.BaseModel):
    """A target that a member offers."""

    model_config = _MODEL_CONFIG

    service: str
    slots: int = pydantic.Field(ge=1)
    checks_generation: bool


class MemberModel(pydantic.BaseModel):
    """A member."""

    model_config = _MODEL_CONFIG

    vm: str
    place: str
    region: str
    peer_address: str
    incarnation: str
    epoch: Version
    witnesses: tuple[str, ...]
    previous_witnesses: tuple[str, ...]
    state: assignment.MemberState
    offers: tuple[OfferModel, ...]


class KeyGrantModel(pydantic.BaseModel):
    """Owner of a key shard: a key assigned separately from its partition."""

    model_config = _MODEL_CONFIG

    shard: KeyShard
    vm: str
    generation: Generation


class MoveModel(pydantic.BaseModel):
    """A hand-over in progress.

    Attributes:
        vm: Receiving VM.
    """

    model_config = _MODEL_CONFIG

    shard: Shard
    vm: str


class PinModel(pydantic.BaseModel):
    """VM to which operators pinned a key, by its key shard."""

    model_config = _MODEL_CONFIG

    shard: KeyShard
    vm: str


class TableModel(pydantic.BaseModel):
    """Owners of one service's shards.

    Attributes:
        vms: Owners that owner_index refers to; entry 0, empty, means no owner.
        owner_index: Base64 of deflated 16-bit indices into vms, in native
            (little-endian) byte order.
        generations: Base64 of deflated 64-bit generations, in native
            (little-endian) byte order.
    """

    model_config = _MODEL_CONFIG

    service: str
    vms: tuple[str, ...]
    owner_index: str
    generations: str
    key_grants: tuple[KeyGrantModel, ...]
    moves: tuple[MoveModel, ...]
    pins: tuple[PinModel, ...] = ()


class AssignmentModel(pydantic.BaseModel):
    """An assignment of shards to members."""

    model_config = _MODEL_CONFIG

    version: Version
    members: tuple[MemberModel, ...]
    tables: tuple[TableModel, ...]


def to_spec(value: assignment.Assignment) -> dict[str, Any]:
    """Returns an assignment in its stored form."""
    return {
        "version": value.version,
        "members": [member_to_spec(m) for m in value.members.values()],
        "tables": [_table_to_spec(t) for t in value.tables.values()],
    }


def member_to_spec(member: assignment.Member) -> dict[str, Any]:
    """Returns a member in its stored form."""
    return {
        "vm": member.vm,
        "place": member.place,
        "region": member.region,
        "peer_address": member.peer_address,
        "incarnation": member.incarnation,
        "epoch": member.epoch,
        "witnesses": list(member.witnesses),
        "previous_witnesses": list(member.previous_witnesses),
        "state": member.state.value,
        "offers": [
            {
                "service": offer.service,
                "slots": offer.slots,
                "checks_generation": offer.checks_generation,
            }
            for offer in member.offers
        ],
    }


def _table_to_spec(table: assignment.OwnerTable) -> dict[str, Any]:
    return {
        "service": table.service,
        "vms": list(table.vms),
        "owner_index": _encode_array(table.owner_index),
        "generations": _encode_array(table.generations),
        "key_grants": [
            {"shard": shard, "vm": grant.vm, "generation": grant.generation}
            for shard, grant in table.key_grants.items()
        ],
        "moves": [
            {"shard": shard, "vm": vm} for shard, vm in table.moves.items()
        ],
        "pins": [
            {"shard": shard, "vm": vm} for shard, vm in table.pins.items()
        ],
    }


def _encode_array(values: array.array) -> str:
    return base64.b64encode(zlib.compress(values.tobytes())).decode()


def from_spec(spec: dict[str, Any]) -> assignment.Assignment:
    """Returns an assignment from its stored form.

    Raises:
        errors.StoreObjectError: The object is invalid.
    """
    try:
        model = AssignmentModel.model_validate(spec)
        tables = {t.service: _table_from_model(t) for t in model.tables}
    except pydantic.ValidationError as error:
        raise _invalid(settings.describe(error)) from error
    except ValueError as error:
        raise _invalid(str(error)) from error
    members = {m.vm: member_from_model(m) for m in model.members}
    for table in tables.values():
        _validate_table(table)
    return assignment.Assignment(
        version=model.version, members=members, tables=tables
    )


def _invalid(problem: str) -> errors.StoreObjectError:
    return errors.StoreObjectError(
        f"stored assignment: {problem}",
        remedy="restore the object; the last good one stays in force",
    )


def member_from_model(model: MemberModel) -> assignment.Member:
    """Returns a member from its stored form."""
    return assignment.Member(
        vm=model.vm,
        place=model.place,
        region=model.region,
        peer_address=model.peer_address,
        incarnation=model.incarnation,
        epoch=model.epoch,
        witnesses=model.witnesses,
        previous_witnesses=model.previous_witnesses,
        state=model.state,
        offers=tuple(
            assignment.Offer(o.service, o.slots, o.checks_generation)
            for o in model.offers
        ),
    )


def _table_from_model(model: TableModel) -> assignment.OwnerTable:
    return assignment.OwnerTable(
        service=model.service,
        vms=list(model.vms),
        owner_index=_decode_array("H", model.owner_index),
        generations=_decode_array("Q", model.generations),
        key_grants={
            g.shard: assignment.Grant(g.vm, g.generation)
            for g in model.key_grants
        },
        moves={m.shard: m.vm for m in model.moves},
        pins={p.shard: p.vm for p in model.pins},
    )


def _decode_array(typecode: str, text: str) -> array.array:
    values = array.array(typecode)
    values.frombytes(
        compressed.inflate(
            base64.b64decode(text, validate=True),
            max_bytes=plan.MAX_PARTITIONS * values.itemsize,
        )
    )
    return values


def _validate_table(table: assignment.OwnerTable) -> None:
    if len(table.owner_index) != len(table.generations):
        raise _invalid(
            f"{table.service}: owner_index and generations differ in length"
        )
    if not table.owner_index or max(table.owner_index) >= len(table.vms):
        raise _invalid(
            f"{table.service}: owner_index is empty or refers past the end of "
            "vms"
        )
    if max(table.generations) > bounds.MAX_VERSION:
        raise _invalid(f"{table.service}: a generation is out of range")
    for shard in table.moves:
        if not is_shard(shard, table.partitions):
            raise _invalid(f"{table.service}: {shard} is not a shard")


def is_shard(shard: int, partitions: int) -> bool:
    """Returns whether a number is a partition or a key shard."""
    return bool(shard & assignment.KEY_SHARD_BIT) or shard < partitions
