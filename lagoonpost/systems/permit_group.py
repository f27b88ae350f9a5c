"""The gateways that share runners, and which of them issues permits.

One gateway issues the permits for a runner, chosen by rendezvous hashing, so
that runners in need are spread over the gateways and all agree without an
election. Gateways that have just started issue none, as not all others know
them yet.

A cut may leave several groups that don't know of each other. The group with
more than half of the gateways has all that a runner bears, and any other group
its own part, so that the sum stays below 1.5 times that.
"""

from collections.abc import Iterable

from lagoonpost.systems.subset import rendezvous_score

SETTLING_SECONDS = 2.0
"""Time after a start until the other gateways are known."""
INTRODUCTION_SECONDS = 4.0
"""Time after a start until a gateway is known to all others, also if the first
messages about it were lost."""


class PermitGroup:
    """The gateways that this one knows.

    Args:
        name: Name of this gateway.
        started: Time in seconds at which this process started.

    Attributes:
        name: Name of this gateway.
        running: Names of the gateways that are running.
    """

    def __init__(self, name: str, started: float) -> None:
        self.name = name
        self._settled_at = started + SETTLING_SECONDS
        self._absent: frozenset[str] = frozenset()
        self._introduced = frozenset((name,))
        self._ranked: dict[str, list[str]] = {}
        self.running = frozenset((name,))

    def note_gateways(
        self,
        running: Iterable[str],
        introduced: Iterable[str],
        absent: Iterable[str],
    ) -> None:
        """Record the gateways.

        Args:
            running: Names of the gateways that are running.
            introduced: Those that have run for ``INTRODUCTION_SECONDS``.
            absent: Names of gateways that went without leaving, and may still
                serve callers on the other side of a cut.
        """
        self.running = frozenset((self.name, *running))
        self._absent = frozenset(absent) - self.running
        candidates = frozenset(introduced) or self.running
        if candidates != self._introduced:
            self._introduced = candidates
            self._ranked.clear()

    def find_settling_time(self, now: float) -> float:
        """Return the seconds until this gateway knows the others."""
        return max(0.0, self._settled_at - now)

    def count(self) -> int:
        """Return the number of gateways that may serve callers."""
        return len(self.running) + len(self._absent)

    def find_share(self) -> float:
        """Return the share of a runner's limit that this group has."""
        running, known = len(self.running), self.count()
        return 1.0 if 2 * running > known else running / known

    def find_issuer(self, runner: str) -> str:
        """Return the gateway that issues the permits for a runner."""
        return self._rank(runner)[0]

    def list_successors(self, runner: str, count: int) -> list[str]:
        """Return the gateways that would issue next, in order."""
        return self._rank(runner)[1 : count + 1]

    def _rank(self, runner: str) -> list[str]:
        ranked = self._ranked.get(runner)
        if ranked is None:
            ranked = self._ranked[runner] = sorted(
                self._introduced,
                key=lambda name: (rendezvous_score(runner, name), name),
                reverse=True,
            )
        return ranked

    def is_issuer(self, runner: str) -> bool:
        """Return whether this gateway issues the permits for a runner."""
        return self.find_issuer(runner) == self.name
