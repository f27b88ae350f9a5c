"""Issues permits for trials of requests that may crash their runner.

Load pattern: several callers send such a request at once, at different
gateways, and come back together. Each of them would end one more runner.
"""

from lagoonpost.systems.permit_group import PermitGroup

TRIAL_PAUSE_SECONDS = 4.0
"""Pause between trials at one service: the time in which a crash is found out
and known to all gateways."""


class TrialIssuer:
    """Issues the permits of one gateway.

    The one that issues them for a service is chosen as for limited runners. It
    is asked by all others, and a group without a majority has no trials.

    Args:
        group: The gateways that this one knows.
    """

    def __init__(self, group: PermitGroup) -> None:
        self._group = group
        self._next: dict[str, float] = {}

    def find_issuer(self, service: str, now: float) -> str | None:
        """Return the gateway to ask; None if there are no trials now.

        Args:
            service: Name of the service.
            now: Time in seconds.
        """
        if self._group.find_settling_time(now) or self._group.find_share() < 1:
            return None
        return self._group.find_issuer(service)

    def issue(self, service: str, now: float) -> bool:
        """Return whether a trial at a service may begin, and count it."""
        if self.find_issuer(service, now) != self._group.name:
            return False
        if now < self._next.get(service, now):
            return False
        self._next[service] = now + TRIAL_PAUSE_SECONDS
        return True
