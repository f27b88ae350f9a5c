"""Decides which parts of the scheduling over all gateways are in effect.

Load pattern: with many gateways, each of them sees a small part of the
requests of a service, and its counts of the others' requests are old by the
time that they arrive. A few gateways know each other's requests nearly at
once, and the choice of the best of all runners is better for them.
"""

from typing import NamedTuple

from lagoonpost.systems.hub import MAX_MESH_GATEWAYS
from lagoonpost.tables.scheduling import ALL_PARTS, NO_PARTS, Scheduling

AUTOMATIC = "auto"
OFF = "off"
STAY_GATEWAYS = MAX_MESH_GATEWAYS // 2
"""Number of gateways down to which parts that are in effect stay so."""


class SchedulingSetting(NamedTuple):
    """The operator's setting of the scheduling.

    Attributes:
        parts: Parts that may be in effect.
        automatic: Whether they are in effect only with many gateways.
    """

    parts: Scheduling = ALL_PARTS
    automatic: bool = True


def parse_scheduling(text: str) -> SchedulingSetting:
    """Parse the setting: ``auto``, ``off`` or names of parts.

    Raises:
        ValueError: If a part is unknown; the message names it.
    """
    if text == AUTOMATIC:
        return SchedulingSetting()
    names = [] if text == OFF else [name.strip() for name in text.split(",")]
    for name in names:
        if name not in Scheduling._fields:
            known = ", ".join((AUTOMATIC, OFF, *Scheduling._fields))
            raise ValueError(f"part {name!r} of {text!r} is none of {known}")
    parts = Scheduling(*(field in names for field in Scheduling._fields))
    return SchedulingSetting(parts, automatic=False)


def choose_parts(
    setting: SchedulingSetting, gateways: int, current: Scheduling = NO_PARTS
) -> Scheduling:
    """Return the parts that are in effect.

    Args:
        setting: The operator's setting.
        gateways: Number of gateways that are considered alive.
        current: Parts that were in effect until now.
    """
    if not setting.automatic or gateways > MAX_MESH_GATEWAYS:
        return setting.parts
    # Suspicions come and go, and each change alters the urgencies of requests.
    if gateways > STAY_GATEWAYS:
        return current
    return NO_PARTS
