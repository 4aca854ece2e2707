"""Key map and coordinator's term, stored as objects."""

import dataclasses
import itertools
import logging
from typing import Any

import msgspec

from primrosecross.domain import errors
from primrosecross.domain.ownership import key_map
from primrosecross.models import bounds
from primrosecross.ports import repository
from primrosecross.ports import store as store_port

MAPS = "primrosecross-key-maps"
TERMS = "primrosecross-terms"
NAME = "current"

_logger = logging.getLogger(__name__)


class _HolderModel(msgspec.Struct, array_like=True, frozen=True):
    life: bounds.Name
    vm: bounds.Name
    service: bounds.Name
    state: key_map.HolderState
    since: bounds.Version


class _RangeModel(bounds.KeyRow, forbid_unknown_fields=False):
    """A range; holder and receiver are 1-based holder indexes, 0 for none."""

    holder: bounds.Count
    generation: bounds.Version
    token: bounds.Name
    receiver: bounds.Count


class _MapModel(msgspec.Struct, frozen=True):
    version: bounds.Version
    holders: list[_HolderModel]
    tables: dict[str, list[_RangeModel]]


class _TermModel(msgspec.Struct, frozen=True):
    vm: bounds.Name
    peer_address: bounds.Name
    number: bounds.Version
    beat: bounds.Version
    settled: bool = True


class ObjectFleetRepository:
    """Typed reads and conditional writes in an object store.

    Args:
        store: The platform's object store.
    """

    def __init__(self, *, store: store_port.Store) -> None:
        self._store = store

    def read_map(self) -> tuple[key_map.KeyMap | None, str]:
        """Returns the newest map and its version in the store."""
        stored = self._store.read(MAPS, NAME)
        if stored is None:
            return None, ""
        return _to_map(_decode_spec(stored, _MapModel)), stored.version

    def write_map(self, value: key_map.KeyMap, version: str) -> str:
        """Writes the map if its version in the store is still `version`."""
        return self._write(MAPS, msgspec.to_builtins(_from_map(value)), version)

    def read_term(self) -> tuple[repository.Term | None, str]:
        """Returns the coordinator's term and its version in the store."""
        stored = self._store.read(TERMS, NAME)
        if stored is None:
            return None, ""
        model = _decode_spec(stored, _TermModel)
        return repository.Term(**msgspec.structs.asdict(model)), stored.version

    def write_term(self, value: repository.Term, version: str) -> str:
        """Writes the coordinator's term; returns the store's new version."""
        model = _TermModel(**dataclasses.asdict(value))
        return self._write(TERMS, msgspec.to_builtins(model), version)

    def _write(self, kind: str, spec: dict[str, Any], version: str) -> str:
        """Writes an object; reads it back if the response is lost."""
        try:
            if version:
                stored = self._store.update(kind, NAME, spec, version)
            else:
                stored = self._store.create(kind, NAME, spec)
        except errors.StoreResponseLostError:
            stored = self._store.read(kind, NAME)
            if stored is None or stored.spec != spec:
                raise
            _logger.info(
                "%s was written although the store's response was lost", kind
            )
        return stored.version

    def encode_change(self, value: key_map.MapChange) -> bytes:
        """Encodes a change of the map for other daemons."""
        return msgspec.msgpack.encode(value)

    def decode_change(self, data: bytes) -> key_map.MapChange:
        """Decodes a change of the map; raises errors.DocumentError."""
        try:
            change = msgspec.msgpack.decode(data, type=key_map.MapChange)
            _check_change(change)
            return change
        except msgspec.DecodeError as error:
            raise errors.DocumentError(
                f"cannot decode a key map: {error}",
                remedy="check that all daemons run compatible versions",
            ) from error


def _decode_spec(stored: store_port.StoredObject, model: type) -> Any:
    try:
        return msgspec.convert(stored.spec, model)
    except msgspec.ValidationError as error:
        raise errors.StoreObjectError(
            f"{stored.kind}/{stored.name} is invalid: {error}",
            remedy="restore or delete the object; another writer changed it",
            version=stored.version,
        ) from error


def _check_change(change: key_map.MapChange) -> None:
    """Raises msgspec.ValidationError if a number is out of range."""
    ranges = list(itertools.chain.from_iterable(change.ranges.values()))
    msgspec.convert([(r.first, r.last) for r in ranges], list[bounds.KeyRow])
    versions = [change.since, change.version]
    versions += [holder.since for holder in change.holders]
    versions += [key_range.generation for key_range in ranges]
    msgspec.convert(versions, list[bounds.Version])


def _from_map(value: key_map.KeyMap) -> _MapModel:
    holder_indexes = {life: i + 1 for i, life in enumerate(value.holders)}
    holder_indexes[key_map.NO_HOLDER] = 0
    return _MapModel(
        version=value.version,
        holders=[
            _HolderModel(h.life, h.vm, h.service, h.state, h.since)
            for h in value.holders.values()
        ],
        tables={
            service: [
                _RangeModel(
                    r.first,
                    r.last,
                    holder_indexes[r.holder],
                    r.generation,
                    r.token,
                    holder_indexes[r.receiver],
                )
                for r in table.ranges
            ]
            for service, table in value.tables.items()
        },
    )


def _to_map(model: _MapModel) -> key_map.KeyMap:
    incarnation_ids = [key_map.NO_HOLDER, *(h.life for h in model.holders)]
    return key_map.KeyMap(
        version=model.version,
        holders={
            h.life: key_map.Holder(h.life, h.vm, h.service, h.state, h.since)
            for h in model.holders
        },
        tables={
            service: _to_table(service, range_models, incarnation_ids)
            for service, range_models in model.tables.items()
        },
    )


def _to_table(
    service: str, range_models: list[_RangeModel], incarnation_ids: list[str]
) -> key_map.RangeTable:
    """Returns the table; its ranges must cover each key exactly once."""
    next_first = 0
    for range_model in range_models:
        if range_model.first != next_first:
            raise errors.StoreObjectError(
                f"the key map's ranges of {service} do not cover each key "
                "exactly once",
                remedy="restore or delete the key map",
            )
        next_first = range_model.last + 1
    if next_first != key_map.LAST_KEY + 1 or any(
        max(r.holder, r.receiver) >= len(incarnation_ids) for r in range_models
    ):
        raise errors.StoreObjectError(
            f"the key map's ranges of {service} are incomplete",
            remedy="restore or delete the key map",
        )
    return key_map.RangeTable(
        key_map.KeyRange(
            r.first,
            r.last,
            incarnation_ids[r.holder],
            r.generation,
            r.token,
            incarnation_ids[r.receiver],
        )
        for r in range_models
    )
