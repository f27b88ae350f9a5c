"""What runners say that they bear, merged from the answers at all gateways.

A limit of a runner holds for as long as the runner names it. Brittleness
concerns all runners of a service, so a runner counts as brittle from the first
answer of any of them until it answers itself without saying so.
"""

from typing import NamedTuple

from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.permit import Statement
from lagoonpost.tables.stated_limits import NO_LIMITS, StatedLimits

BRITTLE_SECONDS = 10.0
"""How long a runner counts as brittle after the last answer that said so."""
END_MEMORY_SECONDS = 60.0
"""How long the end of a limit is remembered, to ignore older news of it."""


class _Heard(NamedTuple):
    """A runner's last statement and the time of the answer in seconds."""

    service: str
    born: int
    limits: StatedLimits
    at: float


_NOTHING_HEARD = _Heard("", 0, NO_LIMITS, float("-inf"))


class Statements:
    """The last statement of each runner that has named a limit."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}
        self._brittle: dict[str, _Heard] = {}

    def has_any(self) -> bool:
        """Return whether any runner has named a limit."""
        return bool(self._heard or self._brittle)

    def note_answer(
        self,
        endpoint: Endpoint,
        limits: StatedLimits,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record the limits in an answer to this gateway.

        Answers may overtake each other. A limit has ended only if a request
        that was sent after it was last named is answered without it.

        Args:
            endpoint: The runner.
            limits: The limits that it names.
            sent_at: Time in seconds at which the request was sent.
            now: Time in seconds.

        Returns:
            Whether the runner names other limits than before.
        """
        known = self._heard.get(endpoint.id, _NOTHING_HEARD)
        brittle = self._brittle.get(endpoint.service, _NOTHING_HEARD)
        latest = max(known, brittle, key=lambda heard: heard.at)
        if latest is _NOTHING_HEARD and limits == NO_LIMITS:
            return False
        ends_rate = limits.rate is None and known.limits.rate is not None
        ends_brittleness = (
            limits.refusals is None and latest.limits.refusals is not None
        )
        if (ends_rate or ends_brittleness) and sent_at <= latest.at:
            return False
        heard = _Heard(endpoint.service, endpoint.born, limits, now)
        self._keep(endpoint.id, heard)
        return known.limits != limits

    def note_news(self, statement: Statement, now: float) -> bool:
        """Record another gateway's news.

        Returns:
            Whether the runner names other limits than before.
        """
        known = self._heard.get(statement.runner, _NOTHING_HEARD)
        at = now - statement.age
        if (statement.born, at) <= (known.born, known.at):
            return False
        heard = _Heard(statement.service, statement.born, statement.limits, at)
        self._keep(statement.runner, heard)
        return known.limits != statement.limits

    def _keep(self, runner: str, heard: _Heard) -> None:
        self._heard[runner] = heard
        brittle = self._brittle.get(heard.service, _NOTHING_HEARD)
        if heard.limits.refusals is not None and heard.at > brittle.at:
            self._brittle[heard.service] = heard

    def find_limits(self, endpoint: Endpoint, now: float) -> StatedLimits:
        """Return the limits that a runner has now."""
        if not self.has_any():
            return NO_LIMITS
        known = self._heard.get(endpoint.id, _NOTHING_HEARD)
        if known.born != endpoint.born:
            known = _NOTHING_HEARD
        brittle = self._brittle.get(endpoint.service, _NOTHING_HEARD)
        latest = known if known.at >= brittle.at else brittle
        is_recent = now < latest.at + BRITTLE_SECONDS
        refusals = latest.limits.refusals if is_recent else None
        return StatedLimits(known.limits.rate, refusals)

    def find_statement(self, runner: str, now: float) -> Statement | None:
        """Return a runner's last statement, for other gateways."""
        heard = self._heard.get(runner)
        if heard is None:
            return None
        age = max(0.0, now - heard.at)
        return Statement(runner, heard.service, heard.born, heard.limits, age)

    def list_limited(self, now: float) -> list[Statement]:
        """Return the statements of all runners that name a limit."""
        found = (self.find_statement(runner, now) for runner in self._heard)
        return [
            statement
            for statement in found
            if statement is not None and statement.limits != NO_LIMITS
        ]

    def forget(self, runner: str) -> None:
        """Forget a runner that is gone or has restarted."""
        self._heard.pop(runner, None)

    def forget_old(self, now: float) -> None:
        """Forget limits that have ended long ago."""
        self._brittle = {
            service: heard
            for service, heard in self._brittle.items()
            if now < heard.at + BRITTLE_SECONDS
        }
        self._heard = {
            runner: heard
            for runner, heard in self._heard.items()
            if heard.limits.rate is not None
            or now < heard.at + END_MEMORY_SECONDS
        }
