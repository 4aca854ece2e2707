"""The key ranges of one incarnation of a target in one key map."""

import dataclasses

from primrosecross.domain.ownership import key_map as key_map_module


@dataclasses.dataclass(frozen=True, slots=True)
class OwnRanges:
    """Ranges of one incarnation in one map.

    Attributes:
        key_map: The map.
        incarnation_id: The incarnation.
        kept: Ranges that it keeps.
        moving: Ranges that it is to release.
    """

    key_map: key_map_module.KeyMap
    incarnation_id: str
    kept: list[key_map_module.KeyRange]
    moving: list[key_map_module.KeyRange]

    def is_current(
        self, key_map: key_map_module.KeyMap, incarnation_id: str
    ) -> bool:
        """Returns whether these are the ranges in a map of an incarnation."""
        return self.key_map is key_map and self.incarnation_id == incarnation_id


def of(
    key_map: key_map_module.KeyMap, service: str, incarnation_id: str
) -> OwnRanges:
    """Returns the ranges of an incarnation in a map."""
    table = key_map.tables.get(service)
    ranges = table.held_by(incarnation_id) if table is not None else []
    no_holder = key_map_module.NO_HOLDER
    return OwnRanges(
        key_map,
        incarnation_id,
        kept=[r for r in ranges if r.receiver == no_holder],
        moving=[r for r in ranges if r.receiver != no_holder],
    )
