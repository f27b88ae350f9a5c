"""How far from its bound something stayed."""

from typing import Literal, NamedTuple


class Margin(NamedTuple):
    """The case that came nearest to a bound.

    Attributes:
        rule: What is bounded.
        subject: What it is about.
        value: What was seen; None if nothing of the kind was, or if the
            logs don't tell.
        bound: What it must keep; None if no line says it.
        keeps: Whether the value must be at least or at most the bound.
        unit: Unit of both; empty for a number.
        sense: "at least" or "at most" if the logs tell only that of the
            value; empty if they tell the value itself.
        at: When, in seconds since the epoch.
        what: The case in words.
        gateways: Where it was.
        untold: Why the logs don't tell it; empty if they do.
    """

    rule: str
    subject: str = ""
    value: float | None = None
    bound: float | None = None
    keeps: Literal["at least", "at most"] = "at most"
    unit: str = "s"
    sense: Literal["", "at least", "at most"] = ""
    at: float | None = None
    what: str = ""
    gateways: tuple[str, ...] = ()
    untold: str = ""

    @property
    def distance(self) -> float | None:
        """How far the value is on the right side; below 0 if beyond."""
        if self.value is None or self.bound is None:
            return None
        sign = 1 if self.keeps == "at least" else -1
        return sign * (self.value - self.bound)
