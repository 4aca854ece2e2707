"""One measured figure and the bound it is held against."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """A figure.

    Attributes:
        name: What was measured.
        value: The figure.
        unit: Its unit.
        bound: Stated target, or None when the figure only informs.
        met: Whether the target is met; True without a bound.
        note: Size and seed of the run.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    met: bool = True
    note: str = ""


def at_most(
    name: str, value: float, unit: str, *, bound: float, note: str = ""
) -> Result:
    """Returns a result whose value must not exceed the bound."""
    return Result(name, value, unit, bound, value <= bound, note)


def at_least(
    name: str, value: float, unit: str, *, bound: float, note: str = ""
) -> Result:
    """Returns a result whose value must reach the bound."""
    return Result(name, value, unit, bound, value >= bound, note)
