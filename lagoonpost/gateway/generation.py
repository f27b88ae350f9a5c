"""Generates an answer: places the request, relays and reports progress."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing

import eliot

from lagoonpost.gateway.answer import ActiveAnswer
from lagoonpost.gateway.attempt import Attempt
from lagoonpost.gateway.prompt import (
    ChatCall,
    count_prompt_tokens,
    hash_prefixes,
)
from lagoonpost.gateway.state import Gateway, make_request_id
from lagoonpost.gateway.token import StreamOrigin, StreamPosition
from lagoonpost.runners.answer import (
    Completed,
    Failed,
    Generation,
    Part,
    relay_answer,
)
from lagoonpost.systems.event import (
    Dispatch,
    Finished,
    FirstToken,
    Progress,
    Refuse,
    Resumed,
)
from lagoonpost.systems.relay_event import FailureKind
from lagoonpost.tables.entity import Route, Runner
from lagoonpost.tables.request import RequestRow

AnswerItem = Part | Completed | Failed | Refuse

# Placeholder for a token that only the caller has, if a resumed request does
# not send its tokens along; see `generate`.
UNKNOWN_TOKEN = ""


def make_row(origin: StreamOrigin, call: ChatCall, route: Route) -> RequestRow:
    """Return the row that represents a chat request in the decision core."""
    now = asyncio.get_running_loop().time()
    return RequestRow(
        # A caller may resume its request here before the gateway notices that
        # the previous connection closed, so each run has its own row id.
        id=f"{origin.request_id}.{make_request_id()[:6]}",
        workspace=origin.workspace,
        service=origin.service,
        route=route.path,
        request_class=route.request_class,
        prompt_tokens=count_prompt_tokens(call.prompt),
        output_tokens=call.max_tokens,
        prefix=hash_prefixes(call.service, call.prompt),
        fingerprint=call.digest,
        arrived=now,
        deadline=now + route.first_seconds,
        repeatable=route.repeatable,
    )


async def generate(
    gateway: Gateway,
    answer: ActiveAnswer,
    row: RequestRow,
    position: StreamPosition,
    route: Route,
) -> AsyncGenerator[AnswerItem, None]:
    """Yield the parts of an answer after ``position``, then its final result.

    A resumed answer continues on the runner that holds its run. If that
    runner is unavailable, another runner continues after the tokens that the
    caller sent along. Without these tokens the answer fails: a new runner
    would sample different tokens up to the same offset, and the caller would
    get two answers spliced together.
    """
    sent_along = answer.call.continue_tokens
    complete = len(sent_along) >= position.offset
    tokens = sent_along or (UNKNOWN_TOKEN,) * position.offset
    holder = _find_holder(gateway, position.origin.runner)
    if holder is None and not complete:
        yield Failed("unknown", "lost", 0.0)
        return
    if holder is not None:
        gateway.dispatcher.notify(Resumed(row, holder.name))
    runner = holder or await _place(gateway, row)
    if isinstance(runner, Refuse):
        yield runner
        return

    attempt = Attempt(gateway, row, route)

    async def replace(failed: Runner, kind: FailureKind) -> Runner | Refuse:
        attempt.record_failure(failed, kind)
        if not complete:
            return Refuse(row.id, 410, "lost", 0.0)
        if kind == "lost" and answer.relayed and answer.relayed.reached:
            # Must precede the new placement: the quarantine verdict decides
            # whether the request may share a runner, or run at all.
            await gateway.quarantine.record_loss(row, failed)
        placed = await gateway.dispatcher.replace(row.id, failed.name, kind)
        attempt.begin()
        return _find_placed(gateway, placed)

    order = Generation(
        request_id=row.id.partition(".")[0],
        body=answer.call.body,
        tokens=tokens,
        deadline=row.arrived + route.timeout,
        prompt_tokens=row.prompt_tokens,
    )
    answer.relayed = relay_answer(
        order,
        runner,
        replace,
        gateway.client,
        gateway.mover,
        attach=holder is not None,
    )
    async with aclosing(answer.relayed.outcomes()) as outcomes:
        async for outcome in outcomes:
            _notify(gateway, row, outcome, answer.relayed.runner)
            attempt.record_outcome(outcome, answer.relayed.runner)
            if isinstance(outcome, Completed):
                gateway.quarantine.record_completion(row)
            yield outcome


def _notify(
    gateway: Gateway,
    row: RequestRow,
    outcome: Part | Completed | Failed,
    runner: Runner | None,
) -> None:
    name = runner.name if runner else ""
    match outcome:
        case Part(offset, tokens, at):
            if offset == 0:
                gateway.dispatcher.notify(FirstToken(row.id, at))
                gateway.metrics.time("first_token", _count_seconds(row))
            gateway.dispatcher.notify(Progress(row.id, at, len(tokens)))
        case Completed(_, usage):
            count = usage.completion_tokens
            gateway.dispatcher.notify(Finished(row.id, name, count))
            gateway.metrics.time("answer", _count_seconds(row))
            eliot.log_message(
                message_type="lagoonpost:gateway:answered",
                request=row.id,
                workspace=row.workspace,
                runner=name,
                tokens=count,
                seconds=round(_count_seconds(row), 3),
            )
        case _:
            pass


def _count_seconds(row: RequestRow) -> float:
    return asyncio.get_running_loop().time() - row.arrived


def _find_holder(gateway: Gateway, name: str) -> Runner | None:
    runner = gateway.find_runner(name) if name else None
    if runner is None or gateway.is_leaving(name):
        return None
    return runner


async def _place(gateway: Gateway, row: RequestRow) -> Runner | Refuse:
    return _find_placed(gateway, await gateway.dispatcher.place(row))


def _find_placed(
    gateway: Gateway, placed: Dispatch | Refuse
) -> Runner | Refuse:
    if isinstance(placed, Refuse):
        return placed
    runner = gateway.find_runner(placed.runner)
    if runner is None:
        # The declaration changed after the placement was decided.
        return Refuse("", 503, "no_runner", 1.0)
    return runner
