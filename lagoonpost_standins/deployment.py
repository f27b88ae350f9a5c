"""Builders for the configuration and settings of a small deployment."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from lagoonpost.http.message import Address, Headers

HOST = "desk.example"
KEY = "key-of-pottery"
DOMAINS = ("domain-a", "domain-b", "domain-c")


class GatewayAddresses(NamedTuple):
    """Addresses on which one gateway listens.

    Attributes:
        entry: For callers.
        ready: For readiness checks.
        directory: For directory queries.
        peer: For gossip with other gateways. The port after it is for
            connections to runners that other gateways ask for.
    """

    entry: Address
    ready: Address
    directory: Address
    peer: Address


def make_route(name: str, kind: str, service: str, **more: Any) -> Any:
    """Return a route of the configuration; ``more`` overrides fields."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    } | more


def make_configuration(version: int = 1, **more: Any) -> dict[str, Any]:
    """Return a configuration; ``more`` overrides its fields."""
    return {
        "version": version,
        "routes": [
            make_route("draft", "streaming", "chat", stream_resume=True),
            make_route("reply", "streaming", "chat", max_attempts=1),
            make_route("book", "unsafe", "desk", max_attempts=1),
            make_route("check", "safe", "desk"),
            make_route("open", "safe", "desk", public=True),
        ],
        "services": [
            {"name": "chat", "engine": {"slots": 8, "kv_capacity": 100000}},
            {"name": "desk", "health_path": "/health"},
        ],
        "limits": {"max_body_bytes": 100000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "pottery", "api_keys": [KEY]}],
    } | more


def make_entry(
    service: str, address: Address, domain: str, **more: Any
) -> dict[str, Any]:
    """Return a runner's entry for the store; ``more`` overrides fields."""
    return {
        "service": service,
        "address": str(address),
        "zone": domain,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "seq": 1,
        "born": 1000,
    } | more


def make_settings(
    number: int,
    addresses: GatewayAddresses,
    store: Address,
    cloud: Address,
    *,
    seeds: Sequence[Address] = (),
    bounds: Mapping[str, Any] | None = None,
    duties: Sequence[str] = (),
    limits: Mapping[str, Any] | None = None,
) -> str:
    """Return the text of a gateway's settings file.

    Args:
        number: Number of the gateway, from 1.
        addresses: Addresses on which it listens.
        store: Address of the metadata store.
        cloud: Address of the cloud's API.
        seeds: Peers with which it starts to gossip.
        bounds: Settings of the ``[bounds]`` section.
        duties: Duties for which it competes.
        limits: Settings of the ``[limits]`` section.
    """
    bound_lines = "\n".join(f"{k} = {v}" for k, v in (bounds or {}).items())
    limit_lines = "\n".join(f"{k} = {v}" for k, v in (limits or {}).items())
    duty_words = ", ".join(f'"{duty}"' for duty in duties)
    seed_words = ", ".join(f'"{seed}"' for seed in seeds)
    return f"""
node_name = "gateway-{number}"
zone = "{DOMAINS[(number - 1) % 3]}"
region = "here"
ip = "127.0.0.1"
internal_ports = [{addresses.peer.port}, {addresses.peer.port + 1}]
seeds = [{seed_words}]
[zones]
domain-a = "here"
domain-b = "here"
domain-c = "here"
[listen]
front = "{addresses.entry}"
ready = "{addresses.ready}"
control = "{addresses.peer}"
directory = "{addresses.directory}"
[bounds]
{bound_lines}
[limits]
{limit_lines}
[platform]
address = "{store}"
[cloud]
address = "{cloud}"
duties = [{duty_words}]
"""


def make_caller_headers(
    attempt: str,
    deadline: float,
    key: str | None = KEY,
    prompt: int = 0,
    last_event: int = 0,
) -> Headers:
    """Return the headers of a caller's request.

    Args:
        attempt: Id of the attempt.
        deadline: Seconds until the caller's deadline.
        key: API key; None for an anonymous request.
        prompt: Prompt tokens of a model request; 0 for a plain request.
        last_event: Last event that the caller received, to resume a stream.
    """
    headers: Headers = (
        ("host", HOST),
        ("deadline-ms", str(int(deadline * 1000))),
        ("attempt-id", attempt),
    )
    if key is not None:
        headers += (("authorization", f"Bearer {key}"),)
    if prompt:
        headers += (
            ("model", "m"),
            ("token-count", f"{prompt},20"),
            ("prompt-prefix", f"aa:{prompt // 2},bb:{prompt - prompt // 2}"),
        )
    if last_event:
        headers += (("last-event-id", str(last_event)),)
    return headers
