"""Distance between an observed value and its bound."""

from typing import Literal, NamedTuple


class Margin(NamedTuple):
    """The observation closest to or furthest beyond the bound of a rule.

    Attributes:
        rule: Name of the rule.
        subject: Runner, workspace, lease or version concerned.
        value: Observed value; None if nothing was observed or if the logs
            lack the data.
        bound: Bound of the value; None if the logs do not contain it.
        keeps: Whether the value must be at least or at most the bound.
        unit: Unit of value and bound; empty for a count or a ratio.
        sense: "at least" or "at most" if ``value`` is only a lower or upper
            limit of the true value; empty if it is exact.
        at: Time of the observation in seconds since the epoch.
        what: Description of the observation.
        gateways: Gateways concerned.
        untold: Why the logs do not contain the value; empty if they do.
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
        """Distance to the bound; negative if the bound is violated."""
        if self.value is None or self.bound is None:
            return None
        sign = 1 if self.keeps == "at least" else -1
        return sign * (self.value - self.bound)
