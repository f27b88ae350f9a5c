"""What each gateway tells all others about its own work."""

from typing import NamedTuple

import msgspec


class RunnerWork(NamedTuple):
    """One gateway's open work at a runner.

    Attributes:
        requests: Requests that have not been answered whole.
        tokens: Prompt tokens that have still to be read for them.
    """

    requests: int = 0
    tokens: int = 0


class GatewayReport(NamedTuple):
    """The state of one run of a gateway.

    Attributes:
        name: Name of the gateway.
        run: Identifies this run of its process.
        work: Open work by runner.
        used: Units of quota by workspace that were let through since start.
        begun: Requests that runners began, by workspace, by usage window.
        store_lost: Whether the store has not answered lately.
        prompt_tokens: Prompt tokens sent since the start, by service, that
            no runner was expected to hold already.
        waiting: Prompt tokens under way that have not been read, by service.
        pace: Seconds for reading a prompt token alone, by service, as
            measured here.
        version: Version of its configuration.
        rank: Number of this report; the highest one of a run holds.
    """

    name: str
    run: str
    work: dict[str, RunnerWork]
    used: dict[str, float]
    begun: dict[int, dict[str, int]]
    store_lost: bool
    prompt_tokens: dict[str, int]
    waiting: dict[str, int]
    pace: dict[str, float]
    version: int
    rank: int = 0


encode_report = msgspec.msgpack.Encoder().encode
decode_report = msgspec.msgpack.Decoder(GatewayReport).decode
