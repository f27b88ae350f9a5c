"""The gateway's settings, checked all at once."""

import re
from typing import NamedTuple

from lagoonpost.http.message import Address

KEY_BYTES = 16
_DIGEST = re.compile(r"[0-9a-f]{64}\Z")
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}\Z")


class GatewaySettings(NamedTuple):
    """How one gateway runs.

    Attributes:
        name: Unique name of this instance.
        listen: Where callers connect.
        advertise: What callers are told; ``listen`` if None.
        peer_listen: Where other instances connect.
        seeds: Addresses of some other instances.
        platform: Address of the platform's table service.
        region: Region of this host.
        failure_domain: Failure domain of this host.
        host: Name of this host in the cloud's notices.
        signing_key: Secret that all gateways share, for event ids.
        operator_digests: SHA-256 of the operators' keys, in hex.
        grace: Seconds for accepted requests to end at a planned stop.
        statsd: Where metrics go; None sends none.
        seed: Seed of the decisions' random generator; None draws one.
    """

    name: str
    listen: Address
    platform: Address
    signing_key: str
    peer_listen: Address = Address("127.0.0.1", 0)
    advertise: Address | None = None
    seeds: tuple[Address, ...] = ()
    region: str = "r1"
    failure_domain: str = "a"
    host: str = ""
    operator_digests: tuple[str, ...] = ()
    grace: float = 25.0
    statsd: Address | None = None
    seed: int | None = None


class SettingFault(NamedTuple):
    """One wrong setting: its name and what is allowed."""

    setting: str
    allowed: str


def check_settings(settings: GatewaySettings) -> list[SettingFault]:
    """Return every fault of the settings; values of secrets never appear."""
    checks = (
        (
            "name",
            bool(_NAME.match(settings.name)),
            "1 to 63 of a-z, 0-9, '.' and '-', not starting with the last two",
        ),
        (
            "signing-key",
            len(settings.signing_key) >= KEY_BYTES,
            f"at least {KEY_BYTES} characters, the same on all gateways",
        ),
        (
            "operator-digest",
            all(map(_DIGEST.match, settings.operator_digests)),
            "the SHA-256 of a key as 64 hex digits",
        ),
        ("grace", 0 <= settings.grace <= 3600, "0 to 3600 seconds"),
        (
            "failure-domain",
            bool(settings.failure_domain),
            "the failure domain of this host",
        ),
        ("region", bool(settings.region), "the region of this host"),
    )
    return [
        SettingFault(name, allowed) for name, ok, allowed in checks if not ok
    ]
