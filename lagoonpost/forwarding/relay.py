"""Relays a runner's event stream to the caller."""

import asyncio
from collections.abc import Awaitable, Callable

from lagoonpost.forwarding.attempt import (
    Began,
    Broken,
    Outcome,
    RunnerCall,
    Silent,
)
from lagoonpost.forwarding.end_check import check_end
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.migration import Migrations
from lagoonpost.forwarding.speed_sampler import SpeedSampler
from lagoonpost.http.events import EventSplitter, RawEvent
from lagoonpost.http.responder import Responder
from lagoonpost.platform.headers import make_response_headers
from lagoonpost.systems.answer_end import EndVerdict
from lagoonpost.systems.placement import Choice
from lagoonpost.systems.stream_progress import StreamProgress
from lagoonpost.tables.answer_end import EndEvidence, RunnerState

STREAM_IDLE_TIMEOUT_SECONDS = 1.8
"""Pause in a stream after which its runner is considered lost. A sound runner
may be silent for a second or so; callers give up after two seconds or more."""
MAX_STREAM_BYTES = 64 * 1024 * 1024
"""Largest stream: some 200,000 tokens with their frames, more than a runner
generates before the deadline of any request."""


async def relay(
    exchange: Exchange,
    choice: Choice,
    began: Began,
    responder: Responder,
    migrations: Migrations,
    find_state: Callable[[RunnerCall], Awaitable[RunnerState]],
    sampler: SpeedSampler,
    note_failure: Callable[[], None],
    take_over: Callable[[RunnerCall], Awaitable[bool]],
) -> Outcome:
    """Pass on each complete event of a stream as it arrives.

    Args:
        exchange: The request.
        choice: The runner that streams the answer.
        began: The stream.
        responder: Sends the answer to the caller.
        migrations: Moves streams away from departing runners.
        find_state: Finds out whether the runner, and not its crash, has
            ended a stream that ends with its connection.
        sampler: Measures the runner's pace.
        note_failure: Called if the runner sends bytes without events.
        take_over: Tries to let another runner go on while this one is silent;
            returns whether it does. Until then it is not given up.

    Returns:
        ``began`` if the stream was passed on to its end, otherwise the
        reason why it ended early.
    """
    call = began.call
    run = migrations.track_run(exchange, choice, call.close)
    progress = StreamProgress(exchange.now(), STREAM_IDLE_TIMEOUT_SECONDS)
    try:
        outcome = await _relay_events(
            exchange, began, responder, sampler, progress, take_over
        )
        late = exchange.is_deadline_near()
        if progress.is_stalled(exchange.now()) or (
            isinstance(outcome, Broken) and outcome.endless
        ):
            note_failure()
        await migrations.wait_for_stop(run)
        verdict = await check_end(
            exchange,
            choice,
            EndEvidence(
                ended=isinstance(outcome, Began),
                framed=not call.ends_with_connection,
                repeatable=exchange.idempotent,
                late=late,
                stop=run.stop,
            ),
            lambda: call.find_upload(exchange.patience),
            lambda: find_state(call),
        )
        if verdict is EndVerdict.STOPPED:
            return migrations.resume(run)
        if verdict is not EndVerdict.WHOLE:
            if isinstance(outcome, Began):
                return Broken("the end of the stream is not proved")
            return outcome
        # A resumed stream may lack nothing but its end.
        await _start(exchange, call, responder)
        await responder.finish()
        exchange.note_answered(call.status)
        return outcome
    except asyncio.CancelledError:
        if progress.is_stalled(exchange.now()):
            note_failure()
        raise
    finally:
        migrations.end_run(run)
        call.close()


async def _relay_events(
    exchange: Exchange,
    began: Began,
    responder: Responder,
    sampler: SpeedSampler,
    progress: StreamProgress,
    take_over: Callable[[RunnerCall], Awaitable[bool]],
) -> Began | Broken | Silent:
    call = began.call
    cutter = EventSplitter()
    idle_timeout = STREAM_IDLE_TIMEOUT_SECONDS if exchange.idempotent else None
    size = 0
    data: bytes | Broken | Silent = began.first
    while isinstance(data, bytes) and data:
        size += len(data)
        events = cutter.feed(data)
        sampler.note_events(len(events))
        if events:
            progress.suspend()
            await _write_events(exchange, call, events, responder)
            progress.note_event(exchange.now())
            sampler.note_passed_on()
        if exchange.idempotent and progress.is_stalled(exchange.now()):
            return Silent(progress.limit)
        data = _find_excess(call, cutter, size) or await call.read(
            idle_timeout
        )
        while isinstance(data, Silent) and not await take_over(call):
            data = await call.read(idle_timeout)
    if not isinstance(data, bytes):
        return data
    if cutter.remainder:
        return Broken("the stream ended within an event")
    if cutter.comments:
        await _start(exchange, call, responder)
        await responder.write(cutter.comments)
    return began


def _find_excess(
    call: RunnerCall, cutter: EventSplitter, size: int
) -> Broken | None:
    """Return that a stream has sent too many bytes, or None."""
    if cutter.is_oversized:
        return Broken(f"{cutter.size} bytes without an event", endless=True)
    if size > MAX_STREAM_BYTES:
        return Broken(f"a stream of {size} bytes", endless=True)
    return call.hold(cutter.size)


async def _start(
    exchange: Exchange, call: RunnerCall, responder: Responder
) -> None:
    """Begin the caller's answer, unless it has begun."""
    if not responder.started:
        exchange.note_first_byte()
        await responder.start(call.status, make_response_headers(call.headers))


async def _write_events(
    exchange: Exchange,
    call: RunnerCall,
    events: list[RawEvent],
    responder: Responder,
) -> None:
    new_events = [event for event in events if exchange.accept_event(event)]
    if not new_events:
        return
    await _start(exchange, call, responder)
    await responder.write(b"".join(event.data for event in new_events))
