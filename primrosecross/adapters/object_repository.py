"""Plans, assignments and terms as objects in the platform's store."""

import json
import logging
import zlib
from collections.abc import Callable
from typing import Any
from typing import TypeVar

import pydantic

from primrosecross.adapters import documents
from primrosecross.domain import errors
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import delta
from primrosecross.models import assignment as assignment_model
from primrosecross.models import bounds
from primrosecross.models import compressed
from primrosecross.models import delta as delta_model
from primrosecross.models import plan as plan_model
from primrosecross.models import settings as settings_model
from primrosecross.ports import repository as repository_port
from primrosecross.ports import store as store_port

PLANS = "plans"
PAST_PLANS = "pastplans"
MAX_PAST_PLANS = 8
ASSIGNMENTS = "assignments"
TERMS = "terms"
NAME = "current"
MAX_STATE_BYTES = 64 << 20

_Value = TypeVar("_Value")
_logger = logging.getLogger(__name__)


class TermModel(pydantic.BaseModel):
    """Stored form of the coordinator's term."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    vm: str
    peer_address: str
    number: int = pydantic.Field(ge=1, le=bounds.MAX_VERSION)
    beat: int = pydantic.Field(ge=1, le=bounds.MAX_VERSION)


class ObjectRepository:
    """Typed reads and conditional writes over the platform's store.

    Args:
        store: The platform's object store.
    """

    def __init__(self, *, store: store_port.Store) -> None:
        self._store = store
        self._read_errors: dict[str, str] = {}

    def _read(
        self, kind: str, decode: Callable[[dict[str, Any]], _Value]
    ) -> tuple[_Value | None, str]:
        """Reads an object; logs when it becomes unreadable or readable."""
        stored = None
        try:
            stored = self._store.read(kind, NAME)
            value = None if stored is None else decode(stored.spec)
        except errors.StoreObjectError as error:
            error.version = "" if stored is None else stored.version
            if self._read_errors.get(kind) != str(error):
                _logger.error("%s; keeping the last valid state", error)
            self._read_errors[kind] = str(error)
            raise
        if self._read_errors.pop(kind, None) is not None:
            _logger.info("%s/%s is readable again", kind, NAME)
        return value, "" if stored is None else stored.version

    def read_plan(self) -> tuple[plan.Plan | None, str]:
        """Returns the plan."""
        return self._read(PLANS, plan_model.from_spec)

    def write_plan(self, value: plan.Plan, version: str) -> str:
        """Writes the plan; returns its new version in the store."""
        return self._write(PLANS, plan_model.to_spec(value), version)

    def read_past_plan(self, version: int) -> plan.Plan | None:
        """Returns a replaced plan, None if it is no longer stored."""
        stored = self._store.read(PAST_PLANS, _slot_name(version))
        if stored is None:
            return None
        past_plan = plan_model.from_spec(stored.spec)
        return past_plan if past_plan.version == version else None

    def save_past_plan(self, value: plan.Plan) -> None:
        """Stores a replaced plan in one of MAX_PAST_PLANS slots.

        It overwrites the plan MAX_PAST_PLANS versions older. A delayed writer
        cannot replace a newer plan: the slot is read first and written only if
        unchanged since.
        """
        name = _slot_name(value.version)
        stored = self._store.read(PAST_PLANS, name)
        if stored is not None and _plan_version(stored) >= value.version:
            return
        spec = plan_model.to_spec(value)
        try:
            if stored is None:
                self._store.create(PAST_PLANS, name, spec)
            else:
                self._store.update(PAST_PLANS, name, spec, stored.version)
        except (errors.StoreConflictError, errors.StoreResponseLostError):
            stored = self._store.read(PAST_PLANS, name)
            if stored is None or _plan_version(stored) < value.version:
                raise errors.StoreUnavailableError(
                    f"could not store plan {value.version} for an undo",
                    remedy="apply again; nothing was changed",
                ) from None

    def read_assignment(self) -> tuple[assignment.Assignment | None, str]:
        """Returns the assignment."""
        return self._read(ASSIGNMENTS, assignment_model.from_spec)

    def write_assignment(
        self, value: assignment.Assignment, version: str
    ) -> str:
        """Writes the assignment; returns its new version in the store."""
        spec = assignment_model.to_spec(value)
        return self._write(ASSIGNMENTS, spec, version)

    def read_term(self) -> tuple[repository_port.Term | None, str]:
        """Returns the coordinator's term."""
        return self._read(TERMS, _decode_term)

    def write_term(self, value: repository_port.Term, version: str) -> str:
        """Writes the coordinator's term; returns its version in the store."""
        spec = {
            "vm": value.vm,
            "peer_address": value.peer_address,
            "number": value.number,
            "beat": value.beat,
        }
        return self._write(TERMS, spec, version)

    def wait_for_plan(self, version: str, timeout_ms: int) -> bool:
        """Waits until the plan differs from a version in the store."""
        return self._store.wait_for_change(PLANS, version, timeout_ms)

    def _write(self, kind: str, spec: dict[str, Any], version: str) -> str:
        """Writes an object; reads it back if the response is lost."""
        try:
            if version:
                return self._store.update(kind, NAME, spec, version).version
            return self._store.create(kind, NAME, spec).version
        except errors.StoreResponseLostError:
            stored = self._store.read(kind, NAME)
            if stored is not None and stored.spec == spec:
                return stored.version
            raise


def _plan_version(stored: store_port.StoredObject) -> int:
    return plan_model.from_spec(stored.spec).version


def _slot_name(version: int) -> str:
    return f"slot-{version % MAX_PAST_PLANS}"


def _decode_term(spec: dict[str, Any]) -> repository_port.Term:
    try:
        model = TermModel.model_validate(spec)
    except pydantic.ValidationError as error:
        raise errors.StoreObjectError(
            f"the stored term is invalid: {settings_model.describe(error)}",
            remedy="delete the object; a new term will be written",
        ) from error
    return repository_port.Term(**model.model_dump())


class JsonStateCodec:
    """Encodes state for other daemons as JSON compressed with zlib."""

    def encode_plan(self, value: plan.Plan) -> bytes:
        """Encodes a plan."""
        return _deflate(plan_model.to_spec(value))

    def decode_plan(self, data: bytes) -> plan.Plan:
        """Decodes a plan."""
        return plan_model.from_spec(_inflate(data))

    def encode_assignment(self, value: assignment.Assignment) -> bytes:
        """Encodes an assignment."""
        return _deflate(assignment_model.to_spec(value))

    def decode_assignment(self, data: bytes) -> assignment.Assignment:
        """Decodes an assignment."""
        return assignment_model.from_spec(_inflate(data))

    def encode_delta(self, value: delta.Delta) -> bytes:
        """Encodes a change of the assignment."""
        return _deflate(delta_model.to_spec(value))

    def decode_delta(self, data: bytes) -> delta.Delta:
        """Decodes a change of the assignment."""
        return delta_model.from_spec(_inflate(data))


def _deflate(spec: dict[str, Any]) -> bytes:
    return zlib.compress(json.dumps(spec).encode())


def _inflate(data: bytes) -> dict[str, Any]:
    try:
        content = compressed.inflate(data, max_bytes=MAX_STATE_BYTES)
        return documents.decode_json(content, dict)
    except ValueError as error:
        raise errors.PeerProtocolError(
            f"cannot decode a peer's state: {error}",
            remedy="check that both daemons run compatible versions",
        ) from error
