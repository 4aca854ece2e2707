"""Bounds of the numbers in messages that enter maps, assignments or terms.

The codec has checked the types. A number out of range would be believed by the
coordinator and reach all other daemons with its next decision.
"""

import functools
from typing import Annotated

import msgspec

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import member_messages
from primrosecross.domain.ownership import assignment
from primrosecross.models import addresses
from primrosecross.models import bounds

_Shard = Annotated[int, msgspec.Meta(ge=0)]  # msgpack limits it to 64 bits
_KeyCounts = list[tuple[bounds.Key, bounds.Count]]


@functools.singledispatch
def check(message: object) -> None:
    """Checks a decoded message.

    Raises:
        ValueError: A number is out of range or an address is invalid.
    """
    del message  # Its numbers enter no shared state.


@check.register
def _(message: member_messages.Join) -> None:
    addresses.parse(message.peer_address)
    _convert([offer.slots for offer in message.offers], list[bounds.Slots])


@check.register
def _(message: member_messages.Release) -> None:
    _convert(message.shards, list[_Shard])
    _convert(message.generations, list[bounds.Version])
    if not all(
        shard >= assignment.KEY_SHARD_BIT for shard in message.busy_keys
    ):
        raise ValueError("a busy key is not a key shard")


@check.register
def _(message: member_messages.LoadReport) -> None:
    _convert(message.shards, list[_Shard])
    _convert(message.rates, list[bounds.Count])


@check.register
def _(message: fleet_messages.Sync) -> None:
    _convert([message.term, message.map_version], list[bounds.Version])
    _convert(message.key_counts, _KeyCounts)
    for target in message.targets:
        _check_target(target)


def _check_target(target: fleet_messages.TargetReport) -> None:
    _convert(target.life, bounds.Name)
    _convert(target.born_ms, bounds.UnixMs)
    _convert(target.slots, bounds.Slots)
    _convert(target.typical_ms, bounds.Count)
    _convert(target.forfeited, bounds.Version)
    _convert(
        [(r.first, r.last, r.token) for r in target.given_back],
        list[bounds.ReleasedRow],
    )


@check.register
def _(message: fleet_messages.SyncAck) -> None:
    versions = [message.term, message.map_version, message.plan_revision]
    _convert(versions, list[bounds.Version])
    _convert([message.promised_ms, message.plan_age_ms + 1], list[bounds.Count])


@check.register
def _(message: fleet_messages.Notice) -> None:
    _convert(message.term, bounds.Version)


@check.register
def _(message: fleet_messages.PlanUpdate) -> None:
    _convert(message.plan_revision, bounds.Version)


def _convert(value: object, model: object) -> None:
    try:
        msgspec.convert(value, model)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from error
