"""Settings of the daemons, validated together."""

import re
from collections.abc import Callable, Mapping
from math import inf
from typing import Any, NamedTuple, TypeVar

from lagoonpost.http.message import Address, parse_address
from lagoonpost.systems.process_budget import DEFAULT_MEMORY_MB

MIN_KEY_LENGTH = 16
MAX_GRACE_SECONDS = 3600.0
MIN_MEMORY_MB = 64.0
MIN_DESCRIPTORS = 300
SECRET_SETTINGS = frozenset({"signing_key"})
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}\Z")
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}\Z")


class GatewaySettings(NamedTuple):
    """Settings of a gateway.

    Attributes:
        name: Unique name of this instance.
        listen: Address on which to accept callers.
        platform: Address of the platform's table service.
        signing_key: Secret, shared by all gateways, that signs event ids.
        peer_listen: Address on which to accept other instances.
        advertise: Address published to callers; ``listen`` if None.
        seeds: Peer addresses of other instances to join through.
        region: Region of this host.
        failure_domain: Failure domain of this host.
        host: Name of this host in the cloud's reclaim notices.
        operator_digests: SHA-256 digests of the operators' keys, in hex.
        grace: Seconds for in-flight requests to finish at a planned stop.
        statsd: Address that receives metrics; None disables them.
        memory_mb: Memory of the process in units of 1,000,000 bytes.
        max_fds: Descriptors of the process, 200 for files included; 0 for
            the limit of the operating system.
        seed: Seed of the random generator behind routing and similar
            decisions; None draws a random seed.
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
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = 0
    seed: int | None = None


class ControllerSettings(NamedTuple):
    """Settings of a controller; see ``GatewaySettings`` for the fields."""

    name: str
    platform: Address
    peer_listen: Address = Address("127.0.0.1", 0)
    seeds: tuple[Address, ...] = ()
    region: str = "r1"
    failure_domain: str = "a"


class InvalidSetting(NamedTuple):
    """A setting with an invalid value.

    Attributes:
        setting: Name of the setting.
        value: The value; replaced by a placeholder if it is a secret.
        allowed: Description of the valid values.
    """

    setting: str
    value: str
    allowed: str

    def __str__(self) -> str:
        flag = "--" + self.setting.replace("_", "-")
        if self.setting in SECRET_SETTINGS:
            flag = f"LAGOONPOST_{self.setting.upper()}"
        return f"{flag}: {self.value!r} is not {self.allowed}"


class _Rule(NamedTuple):
    """The parser of a setting and a description of its valid values."""

    parse: Callable[[str], Any]
    allowed: str


def _parse_name(text: str) -> str:
    if not _NAME_PATTERN.match(text):
        raise ValueError(text)
    return text


def _parse_key(text: str) -> str:
    if len(text) < MIN_KEY_LENGTH:
        raise ValueError("too short")
    return text


def _parse_digest(text: str) -> str:
    if not _DIGEST_PATTERN.match(text):
        raise ValueError(text)
    return text


def _parse_grace(text: str) -> float:
    grace = float(text)
    if not 0 <= grace <= MAX_GRACE_SECONDS:
        raise ValueError(text)
    return grace


def _parse_memory(text: str) -> float:
    memory = float(text)
    if not MIN_MEMORY_MB <= memory < inf:
        raise ValueError(text)
    return memory


def _parse_descriptors(text: str) -> int:
    descriptors = int(text)
    if descriptors < MIN_DESCRIPTORS:
        raise ValueError(text)
    return descriptors


_ADDRESS_RULE = _Rule(parse_address, "HOST:PORT with a port from 1 to 65535")
_NAME_RULE = _Rule(_parse_name, "a name of a-z, 0-9, '.' and '-'")
_RULES: dict[str, _Rule] = {
    "name": _NAME_RULE,
    "listen": _ADDRESS_RULE,
    "platform": _ADDRESS_RULE,
    "signing_key": _Rule(
        _parse_key, f"a secret of {MIN_KEY_LENGTH} characters or more"
    ),
    "peer_listen": _ADDRESS_RULE,
    "advertise": _ADDRESS_RULE,
    "seeds": _ADDRESS_RULE,
    "region": _NAME_RULE,
    "failure_domain": _NAME_RULE,
    "host": _NAME_RULE,
    "operator_digests": _Rule(_parse_digest, "a SHA-256 in 64 hex digits"),
    "grace": _Rule(_parse_grace, f"a number from 0 to {MAX_GRACE_SECONDS:g}"),
    "statsd": _ADDRESS_RULE,
    "memory_mb": _Rule(
        _parse_memory, f"a number from {MIN_MEMORY_MB:g} upwards"
    ),
    "max_fds": _Rule(
        _parse_descriptors, f"a whole number from {MIN_DESCRIPTORS} upwards"
    ),
    "seed": _Rule(int, "a whole number"),
}
Settings = TypeVar("Settings", GatewaySettings, ControllerSettings)


def read_settings(
    kind: type[Settings],
    values: Mapping[str, str | tuple[str, ...] | None],
) -> Settings | list[InvalidSetting]:
    """Parse all values and return the settings, or every invalid one.

    Args:
        kind: Settings class of the daemon; fields without a default are
            required.
        values: Text by name of the setting; None or empty if not given.
    """
    invalid: list[InvalidSetting] = []
    settings: dict[str, Any] = {}
    for name in kind._fields:
        if name not in kind._field_defaults and not values.get(name):
            allowed = f"given; it has to be {_RULES[name].allowed}"
            invalid.append(InvalidSetting(name, "", allowed))
    for name, value in values.items():
        if not value:
            continue
        texts = value if isinstance(value, tuple) else (value,)
        parsed = [_parse(name, text, invalid) for text in texts]
        settings[name] = (
            tuple(parsed) if isinstance(value, tuple) else parsed[0]
        )
    return invalid or kind(**settings)


def _parse(name: str, text: str, invalid: list[InvalidSetting]) -> Any:
    rule = _RULES[name]
    try:
        return rule.parse(text)
    except ValueError:
        shown = "(secret)" if name in SECRET_SETTINGS else text
        invalid.append(InvalidSetting(name, shown, rule.allowed))
        return None
