"""Hands over answers still in progress when a gateway shuts down."""

import asyncio

import eliot

from lagoonpost.gateway.answer import ActiveAnswer
from lagoonpost.gateway.peering import Peering
from lagoonpost.gateway.state import Gateway
from lagoonpost.peers.message import HandOver


async def move_answers(gateway: Gateway, peering: Peering) -> None:
    """Hand every answer in progress to a peer and redirect its caller there.

    An answer that no peer accepts continues here until the process ends: a
    few more seconds of it are worth more to the caller than none.
    """
    answers = tuple(gateway.answers)
    await asyncio.gather(
        *(_move(answer, peering) for answer in answers),
    )


async def _move(answer: ActiveAnswer, peering: Peering) -> None:
    relayed = answer.relayed
    runner = relayed.runner if relayed is not None else None
    request = HandOver(
        request_id=answer.origin.request_id,
        workspace=answer.origin.workspace,
        service=answer.origin.service,
        body=answer.encode_body(),
        tokens=tuple(relayed.tokens) if relayed is not None else (),
        runner=runner.name if runner is not None else "",
        deadline=0.0,
        stream=answer.call.stream,
    )
    entry = await peering.hand_over(request)
    eliot.log_message(
        message_type="lagoonpost:gateway:moved",
        request=answer.origin.request_id,
        entry=entry,
        tokens=len(request.tokens),
    )
    if entry is not None:
        answer.move(entry)
