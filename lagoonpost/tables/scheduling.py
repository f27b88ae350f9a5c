"""Parts of the scheduling of requests over all gateways."""

from typing import NamedTuple


class Scheduling(NamedTuple):
    """The parts of the scheduling that are in effect.

    Attributes:
        draws: Whether a few runners drawn at random are compared for a
            request, instead of all.
        speeds: Whether gateways learn the runners' speeds together.
        order: Whether requests that will be late yield to those in time.
        shares: Whether workspaces share a service that is short.
    """

    draws: bool = False
    speeds: bool = False
    order: bool = False
    shares: bool = False


ALL_PARTS = Scheduling(*(True for _ in Scheduling._fields))
NO_PARTS = Scheduling()
