"""Keeps two gateways from issuing permits for one runner.

Load pattern: gateways are added, or return from a cut, and some of the others
don't know of them for longer than usual. Those ask the gateway that issues a
runner's permits by their view, the others the one by theirs, and the runner
gets up to twice what it bears.

The issuer tells the gateways that would come after it that it is one. A
gateway that hears this issues no permits for that runner for a while, also if
it doesn't know the issuer, so those that ask it fall back to their own parts.
Only a gateway that ranks higher for the runner is believed, so two gateways
never stop issuing because of each other.
"""

from lagoonpost.systems.permit_group import PermitGroup
from lagoonpost.systems.subset import rendezvous_score
from lagoonpost.tables.permit import PermitClaim

CLAIM_PAUSE_SECONDS = 0.5
"""Pause between claims of an issuer for one runner."""
CLAIM_SECONDS = 2.0
"""How long a claim holds: less than the time until the others notice that an
issuer is gone, and several pauses, as claims may be lost."""
SUCCESSORS = 3
"""Gateways that are told: the first of them that everybody knows would issue
in the views that lack the issuer."""


class PermitClaims:
    """Claims of gateways that issue the permits for runners.

    Args:
        name: Name of this gateway.
        group: The gateways that this one knows.
    """

    def __init__(self, name: str, group: PermitGroup) -> None:
        self._name = name
        self._group = group
        self._heard: dict[str, tuple[str, float]] = {}
        self._due: dict[str, float] = {}

    def find_issuer(self, runner: str, now: float) -> str:
        """Return the gateway that issues the permits for a runner."""
        issuer, until = self._heard.get(runner, ("", now))
        return issuer if now < until else self._group.find_issuer(runner)

    def handle_claim(self, claim: PermitClaim, now: float) -> None:
        """Record another gateway's claim that it is an issuer."""
        known = self._group.find_issuer(claim.runner)
        if _rank(claim.runner, claim.issuer) > _rank(claim.runner, known):
            self._heard[claim.runner] = claim.issuer, now + CLAIM_SECONDS

    def list_due(self, runner: str, now: float) -> list[str]:
        """Return the gateways to be told that this one issues for a runner.

        Args:
            runner: Id of the runner.
            now: Time in seconds.

        Returns:
            Their names; none if they were told a moment ago.
        """
        if now < self._due.get(runner, now):
            return []
        self._due[runner] = now + CLAIM_PAUSE_SECONDS
        return self._group.list_successors(runner, SUCCESSORS)

    def forget(self, runner: str) -> None:
        """Forget a runner that is gone or has restarted."""
        self._heard.pop(runner, None)
        self._due.pop(runner, None)


def _rank(runner: str, name: str) -> tuple[int, str]:
    return rendezvous_score(runner, name), name
