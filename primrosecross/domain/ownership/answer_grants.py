"""Grants that fit into one answer to a heartbeat.

An answer lists all that the target may hold, and it releases what is left out,
so the grants of one target cannot be spread over several answers. The balance
keeps their number well below the limit; after a change of many ranges at once
it may be above for the time of a decision.
"""

import dataclasses
import logging
from collections.abc import Iterable

from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import target_heartbeat

MAX_SIZE = 4000  # in characters, of an answer of 4 KiB
GRANT_SIZE = 28  # of the bounds and the generation, in characters
_Grant = target_heartbeat.GrantedRange

_logger = logging.getLogger(__name__)


def fitting(
    ranges: Iterable[key_map.KeyRange],
    held: tuple[target_heartbeat.HeldRange, ...],
) -> tuple[_Grant, ...]:
    """Returns the grants of a target's ranges.

    If not all fit, those of ranges that it holds come first, without the
    hand-over tokens that it has used.

    Args:
        ranges: Ranges that it may hold.
        held: Ranges that it holds.
    """
    grants = tuple(
        _Grant(r.first, r.last, r.generation, r.token) for r in ranges
    )
    if sum(_size(g) for g in grants) <= MAX_SIZE:
        return grants
    renewed = [
        dataclasses.replace(g, token="") for g in grants if _is_held(g, held)
    ]
    others = [g for g in grants if not _is_held(g, held)]
    size = 0
    chosen = []
    for grant in (*renewed, *others):
        size += _size(grant)
        if size > MAX_SIZE:
            _logger.warning(
                "granted %d of %d key ranges: more do not fit into an answer",
                len(chosen),
                len(grants),
            )
            break
        chosen.append(grant)
    return tuple(sorted(chosen, key=lambda g: g.first))


def _size(grant: _Grant) -> int:
    return GRANT_SIZE + len(grant.token)


def _is_held(
    grant: _Grant, held: tuple[target_heartbeat.HeldRange, ...]
) -> bool:
    return any(
        h.generation == grant.generation
        and h.first <= grant.first
        and grant.last <= h.last
        for h in held
    )
