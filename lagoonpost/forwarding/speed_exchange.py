"""Exchanges the runners' speeds with the other gateways, and logs them."""

from collections.abc import Callable, Iterable

import eliot

from lagoonpost.systems.placement import Placement
from lagoonpost.systems.runner_speeds import SpeedChange
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.runner_speed import SpeedEvidence, SpeedSamples

MAX_EXPORTED_RUNNERS = 16
"""Most runners whose slowness is exported as a metric."""


class SpeedExchange:
    """Sends and receives what gateways know of the runners' speeds.

    Args:
        placement: Holds the speeds, and whether they are in effect.
        clock: Returns the time in seconds, as in placement.
    """

    def __init__(
        self, placement: Placement, clock: Callable[[], float]
    ) -> None:
        self._placement = placement
        self._clock = clock

    def make_report(self) -> dict[str, SpeedSamples] | None:
        """Return this gateway's new measurements; None if not in effect."""
        if not self._placement.scheduling.speeds:
            return None
        return self._placement.speeds.take_report(self._clock()) or None

    def handle_report(self, samples: dict[str, SpeedSamples] | None) -> None:
        """Add another gateway's new measurements."""
        if samples:
            self._placement.speeds.add_report(samples, self._clock())

    def make_summary(self) -> dict[str, SpeedEvidence] | None:
        """Return what this hub knows; None if not in effect."""
        if not self._placement.scheduling.speeds:
            return None
        return self._placement.speeds.take_summary(self._clock()) or None

    def handle_summary(
        self, evidence: dict[str, SpeedEvidence] | None
    ) -> None:
        """Apply what a hub knows."""
        if evidence:
            self._placement.speeds.apply_summary(evidence, self._clock())

    def review(self, endpoints: Iterable[Endpoint]) -> None:
        """Take the runners that exist, and log which are held to be slow."""
        if not self._placement.scheduling.speeds:
            return
        speeds = self._placement.speeds
        for change in speeds.note_runners(endpoints, self._clock()):
            log_runner_speed(change)

    def list_exported(self) -> list[tuple[str, float]]:
        """Return the slowness of the runners that deviate most."""
        if not self._placement.scheduling.speeds:
            return []
        return self._placement.speeds.list_deviating(
            MAX_EXPORTED_RUNNERS, self._clock()
        )


def log_runner_speed(change: SpeedChange) -> None:
    """Write the log line of a runner held to be slow, or no longer."""
    eliot.log_message(
        message_type="lagoonpost:forwarding:runner_speed",
        runner=change.runner,
        slow=change.slow,
        slowness=round(change.slowness, 2),
        weight=round(change.weight, 1),
        capacity=change.capacity,
        shared=change.shared,
    )
