"""Models of the plan, as operators write it and as it is stored."""

import dataclasses
import functools
import re
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

from primrosecross.domain import errors
from primrosecross.domain.operators import plan
from primrosecross.models import bounds
from primrosecross.models import settings

_NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
_MODEL_CONFIG = pydantic.ConfigDict(extra="forbid", frozen=True)
MAX_PARTITIONS = 65_536
MAX_BODY_BYTES = 1 << 30


class PlaceModel(pydantic.BaseModel):
    """An availability zone."""

    model_config = _MODEL_CONFIG

    name: str = pydantic.Field(pattern=_NAME_PATTERN)
    region: str = pydantic.Field(pattern=_NAME_PATTERN)


class WaitingPolicyModel(pydantic.BaseModel):
    """Favors short queueing delays."""

    model_config = _MODEL_CONFIG

    kind: Literal["waiting"]
    max_wait_ms: int = pydantic.Field(default=50, ge=1, le=60_000)


class CrestPolicyModel(pydantic.BaseModel):
    """Favors the number of responses within the deadline at peak load."""

    model_config = _MODEL_CONFIG

    kind: Literal["crest"]
    max_queue: int = pydantic.Field(default=32, ge=0, le=10_000)
    max_wait_ms: int = pydantic.Field(default=50, ge=1, le=60_000)


PolicyModel = Annotated[
    WaitingPolicyModel | CrestPolicyModel,
    pydantic.Field(discriminator="kind"),
]


class LongWorkModel(pydantic.BaseModel):
    """Which requests count as long-running, and their share of the slots."""

    model_config = _MODEL_CONFIG

    paths: tuple[str, ...] = ()
    body_bytes: int = pydantic.Field(default=256 * 1024, ge=0)
    after_ms: int = pydantic.Field(default=500, ge=1, le=3_600_000)
    share: float = pydantic.Field(default=0.5, gt=0, le=1)

    @pydantic.field_validator("paths")
    @classmethod
    def _check_paths(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        for pattern in value:
            _check_pattern(pattern)
        return value


class ServiceModel(pydantic.BaseModel):
    """A service."""

    model_config = _MODEL_CONFIG

    name: str = pydantic.Field(pattern=_NAME_PATTERN)
    keyed: bool
    key_pattern: str = "[A-Za-z0-9._~-]{1,128}"
    partitions: int = pydantic.Field(default=1024, ge=1, le=MAX_PARTITIONS)
    timeout_ms: int = pydantic.Field(default=10_000, ge=1, le=3_600_000)
    max_body_bytes: int = pydantic.Field(
        default=64 << 20, ge=0, le=MAX_BODY_BYTES
    )
    idempotent_methods: frozenset[str] = frozenset(
        {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}
    )
    policy: PolicyModel
    resend_window_ms: int = pydantic.Field(default=10_000, ge=0, le=600_000)
    attempts_marked: bool = False
    long_work: LongWorkModel = LongWorkModel()

    @pydantic.field_validator("key_pattern")
    @classmethod
    def _check_key_pattern(cls, value: str) -> str:
        _check_pattern(value)
        return value


def _check_pattern(value: str) -> None:
    try:
        re.compile(value)
    except (re.error, OverflowError, RecursionError) as error:
        raise ValueError(f"invalid regular expression: {error}") from error


class PlanModel(pydantic.BaseModel):
    """A plan."""

    model_config = _MODEL_CONFIG

    places: tuple[PlaceModel, ...]
    services: tuple[ServiceModel, ...]

    @pydantic.model_validator(mode="after")
    def _check_unique_names(self) -> "PlanModel":
        for field in ("places", "services"):
            names = [item.name for item in getattr(self, field)]
            duplicates = {name for name in names if names.count(name) > 1}
            if duplicates:
                raise ValueError(
                    f"{field} contains duplicate names {sorted(duplicates)}"
                )
        return self


class StoredPlanModel(pydantic.BaseModel):
    """A plan with its version, as stored and as sent to other daemons."""

    model_config = _MODEL_CONFIG

    version: int = pydantic.Field(ge=0, le=bounds.MAX_VERSION)
    author: str
    plan: PlanModel


def parse(data: bytes, *, version: int, author: str) -> plan.Plan:
    """Validates an operator's plan.

    Raises:
        errors.PlanError: The plan is invalid.
    """
    try:
        model = PlanModel.model_validate_json(data)
        stored = StoredPlanModel(version=version, author=author, plan=model)
    except pydantic.ValidationError as error:
        raise errors.PlanError(
            f"plan: {settings.describe(error)}",
            remedy="correct the field and apply again; nothing was changed",
        ) from error
    return _plan_from_model(stored)


def to_spec(value: plan.Plan) -> dict[str, Any]:
    """Returns a plan in its stored form."""
    return _plan_to_model(value).model_dump(mode="json")


def from_spec(spec: dict[str, Any]) -> plan.Plan:
    """Returns a plan from its stored form.

    Raises:
        errors.StoreObjectError: The object is invalid.
    """
    try:
        return _plan_from_model(StoredPlanModel.model_validate(spec))
    except pydantic.ValidationError as error:
        raise errors.StoreObjectError(
            f"stored plan: {settings.describe(error)}",
            remedy="apply a valid plan; the last good one stays in force",
        ) from error


def _plan_from_model(stored: StoredPlanModel) -> plan.Plan:
    return plan.Plan(
        version=stored.version,
        author=stored.author,
        places={
            p.name: plan.Place(p.name, p.region) for p in stored.plan.places
        },
        services={s.name: _service_from_model(s) for s in stored.plan.services},
    )


def _service_from_model(model: ServiceModel) -> plan.Service:
    return plan.Service(
        name=model.name,
        keyed=model.keyed,
        key_pattern=model.key_pattern,
        partitions=model.partitions,
        timeout_ms=model.timeout_ms,
        max_body_bytes=model.max_body_bytes,
        idempotent_methods=model.idempotent_methods,
        policy=_policy_from_model(model.policy),
        resend_window_ms=model.resend_window_ms,
        attempts_marked=model.attempts_marked,
        long_work=plan.LongWork(**model.long_work.model_dump()),
    )


@functools.singledispatch
def _policy_from_model(model: pydantic.BaseModel) -> plan.Policy:
    raise TypeError(f"no policy for {type(model).__name__}")


@_policy_from_model.register
def _(model: WaitingPolicyModel) -> plan.Policy:
    return plan.WaitingPolicy(max_wait_ms=model.max_wait_ms)


@_policy_from_model.register
def _(model: CrestPolicyModel) -> plan.Policy:
    return plan.CrestPolicy(
        max_queue=model.max_queue, max_wait_ms=model.max_wait_ms
    )


def _plan_to_model(value: plan.Plan) -> StoredPlanModel:
    services = tuple(
        ServiceModel(
            name=s.name,
            keyed=s.keyed,
            key_pattern=s.key_pattern,
            partitions=s.partitions,
            timeout_ms=s.timeout_ms,
            max_body_bytes=s.max_body_bytes,
            idempotent_methods=s.idempotent_methods,
            policy=_policy_to_model(s.policy),
            resend_window_ms=s.resend_window_ms,
            attempts_marked=s.attempts_marked,
            long_work=LongWorkModel(**dataclasses.asdict(s.long_work)),
        )
        for s in value.services.values()
    )
    places = tuple(
        PlaceModel(name=p.name, region=p.region) for p in value.places.values()
    )
    return StoredPlanModel(
        version=value.version,
        author=value.author,
        plan=PlanModel(places=places, services=services),
    )


@functools.singledispatch
def _policy_to_model(policy: plan.Policy) -> PolicyModel:
    raise TypeError(f"no model for {type(policy).__name__}")


@_policy_to_model.register
def _(policy: plan.WaitingPolicy) -> PolicyModel:
    return WaitingPolicyModel(kind="waiting", max_wait_ms=policy.max_wait_ms)


@_policy_to_model.register
def _(policy: plan.CrestPolicy) -> PolicyModel:
    return CrestPolicyModel(
        kind="crest",
        max_queue=policy.max_queue,
        max_wait_ms=policy.max_wait_ms,
    )


def render(value: plan.Plan) -> bytes:
    """Returns a plan as the JSON document that operators write."""
    return _plan_to_model(value).plan.model_dump_json(indent=2).encode()
