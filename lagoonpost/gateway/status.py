"""Health, readiness and status endpoints of one gateway."""

import asyncio
from collections import Counter

from lagoonpost.gateway.state import Gateway
from lagoonpost.http.message import Request, Response, make_json_response


async def get_health(gateway: Gateway, request: Request) -> Response:
    """Return 200 while the process runs, even during its shutdown."""
    return make_json_response(200, {"phase": gateway.phase})


async def get_ready(gateway: Gateway, request: Request) -> Response:
    """Return 200 only while the gateway accepts new requests."""
    status = 200 if gateway.phase == "serving" else 503
    return make_json_response(
        status,
        {
            "phase": gateway.phase,
            "revision": gateway.declaration.revision,
        },
    )


async def get_status(gateway: Gateway, request: Request) -> Response:
    """Return this gateway's counts, members, runners and moves."""
    now = asyncio.get_running_loop().time()
    runners = [
        {
            "name": runner.name,
            "service": runner.service,
            "version": runner.version,
            "failure_domain": runner.failure_domain,
            "state": gateway.describe_runner(runner.name),
        }
        for runner in gateway.declaration.runners
    ]
    states = Counter(str(runner["state"]) for runner in runners)
    return make_json_response(
        200,
        {
            "gateway": gateway.settings.name,
            "phase": gateway.phase,
            "uptime": round(now - gateway.started, 1),
            "revision": gateway.declaration.revision,
            "members": [member._asdict() for member in gateway.members()],
            "runners": runners,
            "runner_states": states,
            "moves": gateway.moves.describe(),
            "counts": gateway.metrics.counts,
            "answers": len(gateway.answers),
        },
    )
