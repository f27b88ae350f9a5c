"""Steps of the change ticket scenarios."""

import asyncio
import json
import time
from typing import Any

from behave import then, when

from bench.system import OPERATOR_KEY, LocalSystem
from lagoonpost.cli.operator import OperatorClient
from lagoonpost.http.message import Response

TIMEOUT_SECONDS = 30.0
KEY = "a" * 64


def make_content(weight: float) -> dict[str, Any]:
    state = {"key_sha256": KEY, "weight": weight}
    return {"ticket": 2, "reason": "r", "workspaces": {"school": state}}


async def submit(system: LocalSystem, name: str, weight: float) -> Response:
    entry = system.addresses[name]
    gateways = OperatorClient((entry,), OPERATOR_KEY)
    try:
        content = make_content(weight)
        return await gateways.call(entry, "POST", "/v1/tickets", content)
    finally:
        gateways.close()


async def read_state(system: LocalSystem, name: str) -> Any:
    entry = system.addresses[name]
    gateways = OperatorClient((entry,), OPERATOR_KEY)
    try:
        path = "/v1/declaration?objects=1"
        response = await gateways.call(entry, "GET", path)
    finally:
        gateways.close()
    return json.loads(response.body)["objects"].get("workspace/school")


@when("two operators submit different tickets 2 to two gateways at once")
def submit_both(context: Any) -> None:
    async def race() -> list[Response]:
        return await asyncio.gather(
            submit(context.system, "gateway-1", 2.0),
            submit(context.system, "gateway-2", 3.0),
        )

    context.answers = asyncio.run(race())


@then("one is accepted and the other is refused as number_taken")
def check_one(context: Any) -> None:
    first, second = context.answers
    assert sorted((first.status, second.status)) == [200, 409], first
    refused = first if first.status == 409 else second
    assert json.loads(refused.body)["title"] == "number_taken", refused
    context.weight = 2.0 if first.status == 200 else 3.0


@then("the accepted ticket is in force at every gateway")
def check_in_force(context: Any) -> None:
    wanted = make_content(context.weight)["workspaces"]["school"]
    for name in context.system.gateways:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        state = None
        while state != wanted and time.monotonic() < deadline:
            found = asyncio.run(read_state(context.system, name))
            state = found and found["state"]
            time.sleep(0.1)
        assert state == wanted, (name, state)


@then("a ticket is not accepted at gateway-1")
def check_not_accepted(context: Any) -> None:
    answer = asyncio.run(submit(context.system, "gateway-1", 2.0))
    assert answer.status == 503, answer
    assert answer.header("retry-after"), answer
    execution = json.loads(answer.body)["execution"]
    assert execution in ("not_run", "unknown"), answer


@then("the same ticket is accepted at gateway-2")
def check_accepted(context: Any) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    answer = asyncio.run(submit(context.system, "gateway-2", 2.0))
    while answer.status == 503 and time.monotonic() < deadline:
        time.sleep(0.5)
        answer = asyncio.run(submit(context.system, "gateway-2", 2.0))
    assert answer.status == 200, answer
