"""Times and ratios that the decisions of a deployment must keep."""

from typing import NamedTuple


class Bounds(NamedTuple):
    """Guaranteed times and ratios that decisions must keep.

    Attributes:
        lease_seconds: Time within which no duty may move to B and back to A.
        grace_seconds: Time from the stop signal to the kill.
        budget_ratio: Retries allowed as a fraction of a service's requests.
        budget_window: Seconds over which retries are counted.
        budget_floor: Additional retries allowed, over all gateways.
        quota_window: Seconds over which a workspace's units are counted.
        quota_overage: Fraction of a quota by which it may be exceeded.
        quota_slack: Additional units by which a quota may be exceeded.
        usage_window: Seconds covered by one usage report.
        usage_late: Seconds after a window's end until its report is missing.
        contact_seconds: Time after a disruption in which bounds are waived.
        drain_seconds: Time within which gateways must see a draining runner.
        apply_seconds: Time within which a new configuration must be in force.
        ttl_most: Maximum seconds for which callers cache a list of entries.
        exposure_share: Fraction of a service's requests that may reach a
            version that turns out to be faulty.
        exposure_slack: Additional requests that may reach such a version.
    """

    lease_seconds: float = 3.0
    grace_seconds: float = 8.0
    budget_ratio: float = 0.2
    budget_window: float = 10.0
    budget_floor: float = 50.0
    quota_window: float = 8.0
    quota_overage: float = 0.1
    quota_slack: float = 0.0
    usage_window: float = 5.0
    usage_late: float = 10.0
    contact_seconds: float = 3.0
    drain_seconds: float = 2.0
    apply_seconds: float = 2.0
    ttl_most: float = 5.0
    exposure_share: float = 0.1
    exposure_slack: float = 50.0

    @property
    def propagation_seconds(self) -> float:
        """Time within which a change in the store must reach all gateways."""
        return min(self.apply_seconds, self.drain_seconds)
