"""Load of a service, and the check of a workspace's share of it."""

import math
from typing import NamedTuple


class ServiceLoad(NamedTuple):
    """Load of one service over all gateways.

    Attributes:
        pressure: Predicted wait relative to what the callers' objectives
            bear; above 1, requests arrive faster than they can be served.
        rate: Units a second that its runners serve; infinite if unknown.
    """

    pressure: float
    rate: float = math.inf


class ShareCheck(NamedTuple):
    """Inputs of the decision whether a request is over its share.

    Attributes:
        asked: Units a second that the workspace asks of the service, over
            all gateways.
        share: Units a second that it may have.
        part: Part of its next requests that is within the share; it may be
            less than ``share / asked`` after it had more.
    """

    asked: float
    share: float
    part: float


Demand = dict[str, dict[str, float]]
"""Units a second that callers ask for, by service, then by workspace."""

UNLISTED = ""
"""Stands for requests without a workspace, and for the workspaces that a
report leaves out as they ask for least."""
