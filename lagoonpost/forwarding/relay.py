"""Passes a stream on to its caller, event by event."""

from lagoonpost.forwarding.attempt import (
    Began,
    Broken,
    Moved,
    Outcome,
    RunnerCall,
    Silent,
)
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.migration import Migrations
from lagoonpost.http.events import EventCutter, RawEvent
from lagoonpost.http.responder import Responder
from lagoonpost.platform.headers import make_returned
from lagoonpost.systems.placement import Choice

STREAM_IDLE_TIMEOUT_SECONDS = 1.2
"""Pause in a stream after which its runner is taken to be lost, four times
the longest that counts as good; callers give up after two seconds and more."""


async def relay(
    exchange: Exchange,
    choice: Choice,
    began: Began,
    responder: Responder,
    migrations: Migrations,
) -> Outcome:
    """Pass a stream's events on as they come, whole ones only.

    Args:
        exchange: The request.
        choice: The runner that it began at.
        began: The stream.
        responder: The caller.
        migrations: Moves streams away from runners that go.

    Returns:
        ``began`` if the stream was passed on to its end, else how it ended.
    """
    call = began.call
    run = migrations.track_run(exchange, choice, call.close)
    try:
        outcome = await _pass_all(exchange, began, responder)
        if await migrations.wait_for_move(run):
            assert run.target is not None and run.saved is not None
            return Moved(run.target, run.saved)
        if isinstance(outcome, Began):
            if responder.started:
                await responder.finish()
            exchange.note_answered(call.status)
        return outcome
    finally:
        migrations.end_run(run)
        call.close()


async def _pass_all(
    exchange: Exchange, began: Began, responder: Responder
) -> Began | Broken | Silent:
    call = began.call
    cutter = EventCutter()
    patience = STREAM_IDLE_TIMEOUT_SECONDS if exchange.idempotent else None
    data: bytes | Broken | Silent = began.first
    while isinstance(data, bytes) and data:
        await _pass_on(exchange, call, cutter.feed(data), responder)
        data = await call.read(patience)
    if not isinstance(data, bytes):
        return data
    if cutter.rest:
        return Broken("the stream ended within an event")
    return began


async def _pass_on(
    exchange: Exchange,
    call: RunnerCall,
    events: list[RawEvent],
    responder: Responder,
) -> None:
    fresh = [event for event in events if exchange.accept_event(event)]
    if not fresh:
        return
    if not responder.started:
        exchange.note_first_byte()
        await responder.start(call.status, make_returned(call.headers))
    await responder.write(b"".join(event.data for event in fresh))
