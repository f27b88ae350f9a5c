"""Settings of the daemons, checked all at once."""

import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from lagoonpost.http.message import Address, parse_address

MIN_KEY_LENGTH = 16
MAX_GRACE_SECONDS = 3600.0
SECRET_SETTINGS = frozenset({"signing_key"})
_DIGEST = re.compile(r"[0-9a-f]{64}\Z")
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}\Z")


class GatewaySettings(NamedTuple):
    """How one gateway runs.

    Attributes:
        name: Unique name of this instance.
        listen: Where callers connect.
        platform: Address of the platform's table service.
        signing_key: Secret that all gateways share, for event ids.
        peer_listen: Where other instances connect.
        advertise: What callers are told; ``listen`` if None.
        seeds: Addresses of some other instances.
        region: Region of this host.
        failure_domain: Failure domain of this host.
        host: Name of this host in the cloud's notices.
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


class ControllerSettings(NamedTuple):
    """How one controller runs; the fields mean what a gateway's do."""

    name: str
    platform: Address
    peer_listen: Address = Address("127.0.0.1", 0)
    seeds: tuple[Address, ...] = ()
    region: str = "r1"
    failure_domain: str = "a"


class InvalidSetting(NamedTuple):
    """One wrong setting, with its value unless that is a secret."""

    setting: str
    value: str
    allowed: str

    def __str__(self) -> str:
        flag = "--" + self.setting.replace("_", "-")
        if self.setting in SECRET_SETTINGS:
            flag = f"LAGOONPOST_{self.setting.upper()}"
        return f"{flag}: {self.value!r} is not {self.allowed}"


class _Rule(NamedTuple):
    read: Callable[[str], Any]
    allowed: str


def _read_name(text: str) -> str:
    if not _NAME.match(text):
        raise ValueError(text)
    return text


def _read_key(text: str) -> str:
    if len(text) < MIN_KEY_LENGTH:
        raise ValueError("too short")
    return text


def _read_digest(text: str) -> str:
    if not _DIGEST.match(text):
        raise ValueError(text)
    return text


def _read_grace(text: str) -> float:
    grace = float(text)
    if not 0 <= grace <= MAX_GRACE_SECONDS:
        raise ValueError(text)
    return grace


_ADDRESS = _Rule(parse_address, "HOST:PORT with a port from 1 to 65535")
_PLACE = _Rule(_read_name, "a name of a-z, 0-9, '.' and '-'")
_RULES: dict[str, _Rule] = {
    "name": _PLACE,
    "listen": _ADDRESS,
    "platform": _ADDRESS,
    "signing_key": _Rule(
        _read_key, f"a secret of {MIN_KEY_LENGTH} characters or more"
    ),
    "peer_listen": _ADDRESS,
    "advertise": _ADDRESS,
    "seeds": _ADDRESS,
    "region": _PLACE,
    "failure_domain": _PLACE,
    "host": _PLACE,
    "operator_digests": _Rule(_read_digest, "a SHA-256 in 64 hex digits"),
    "grace": _Rule(_read_grace, f"a number from 0 to {MAX_GRACE_SECONDS:g}"),
    "statsd": _ADDRESS,
    "seed": _Rule(int, "a whole number"),
}
Settings = TypeVar("Settings", GatewaySettings, ControllerSettings)


def read_settings(
    kind: type[Settings],
    values: Mapping[str, str | tuple[str, ...] | None],
) -> Settings | list[InvalidSetting]:
    """Check all values and return the settings, or every fault.

    Args:
        kind: The daemon's settings; fields without a default are required.
        values: Text by setting; None or empty for one that is not given.
    """
    faults: list[InvalidSetting] = []
    read: dict[str, Any] = {}
    for name in kind._fields:
        if name not in kind._field_defaults and not values.get(name):
            allowed = f"given; it has to be {_RULES[name].allowed}"
            faults.append(InvalidSetting(name, "", allowed))
    for name, value in values.items():
        if not value:
            continue
        texts = value if isinstance(value, tuple) else (value,)
        found = [_read(name, text, faults) for text in texts]
        read[name] = tuple(found) if isinstance(value, tuple) else found[0]
    return faults or kind(**read)


def _read(name: str, text: str, faults: list[InvalidSetting]) -> Any:
    rule = _RULES[name]
    try:
        return rule.read(text)
    except ValueError:
        shown = "(secret)" if name in SECRET_SETTINGS else text
        faults.append(InvalidSetting(name, shown, rule.allowed))
        return None
