"""Serves chat completions: streamed, buffered, resumed or handed over."""

import asyncio
from contextlib import aclosing, suppress
from urllib.parse import parse_qs

import msgspec

from lagoonpost.gateway.answer import (
    ActiveAnswer,
    AnswerSink,
    BufferedAnswerSink,
)
from lagoonpost.gateway.generation import AnswerItem, generate, make_row
from lagoonpost.gateway.plain import make_refusal
from lagoonpost.gateway.prompt import (
    ChatCall,
    InvalidCall,
    read_chat_call,
)
from lagoonpost.gateway.state import Gateway, find_route, make_request_id
from lagoonpost.gateway.stream import StreamingAnswerSink
from lagoonpost.gateway.token import (
    StreamOrigin,
    StreamPosition,
    verify_event_id,
)
from lagoonpost.http.message import Request, Response
from lagoonpost.http.problem import make_problem
from lagoonpost.http.responder import ClientDisconnectedError, Responder
from lagoonpost.runners.answer import Completed, Failed, Part
from lagoonpost.systems.event import Abandoned, Refuse
from lagoonpost.tables.entity import Route, Workspace

PATH = "/v1/chat/completions"
KEEP_ALIVE_CHECK_SECONDS = 1.0
# A request that crashes runners is the caller's error, not the gateway's.
_FAILED_STATUSES = {"poison": 422}


async def answer_chat(
    gateway: Gateway,
    request: Request,
    responder: Responder,
    workspace: Workspace | None,
) -> None:
    """Answer a new chat-completions request, or resume an earlier one."""
    assert workspace is not None
    call = read_chat_call(request.body)
    if isinstance(call, InvalidCall):
        await responder.send(
            make_problem(400, "Invalid request", call.detail, "not_run")
        )
        return
    position = _read_position(gateway, request, workspace, call)
    if isinstance(position, Response):
        await responder.send(position)
        return
    route = _find_chat_route(gateway, call.service)
    if route is None:
        detail = f"no model service {call.service!r}"
        await responder.send(
            make_problem(404, "Unknown service", detail, "not_run")
        )
        return
    if position is None:
        origin = StreamOrigin(
            make_request_id(), workspace.name, call.service, "", call.digest
        )
        position = StreamPosition(origin, len(call.continue_tokens))
    call = _add_handed_over_tokens(gateway, call, position)
    await _run(gateway, call, position, route, responder)


async def answer_moved(
    gateway: Gateway,
    request: Request,
    responder: Responder,
    workspace: Workspace | None,
) -> None:
    """Answer a caller redirected here by a gateway in shutdown."""
    assert workspace is not None
    texts = parse_qs(request.query).get("token", [""])
    position = verify_event_id(gateway.signing_key, texts[0])
    request_id = request.path.rpartition("/")[2]
    if position is None or position.origin.request_id != request_id:
        await responder.send(_make_invalid_id_problem())
        return
    if position.origin.workspace != workspace.name:
        await responder.send(_make_wrong_workspace_problem())
        return
    call = _restore_call(gateway, position)
    route = _find_chat_route(gateway, position.origin.service)
    if call is None or route is None:
        await responder.send(_make_answer_lost_problem())
        return
    await _run(gateway, call, position, route, responder)


def _restore_call(
    gateway: Gateway, position: StreamPosition
) -> ChatCall | None:
    """Return the call of a request that another gateway handed over here."""
    handed_over = gateway.handed_over.get(position.origin.request_id)
    if (
        handed_over is None
        or handed_over.workspace != position.origin.workspace
    ):
        return None
    call = read_chat_call(msgspec.json.encode(handed_over.body))
    assert isinstance(call, ChatCall), "a handed-over call was checked"
    return call._replace(continue_tokens=handed_over.tokens)


def _add_handed_over_tokens(
    gateway: Gateway, call: ChatCall, position: StreamPosition
) -> ChatCall:
    """Add handed-over tokens to a call that carries none of its own.

    A caller that sends only its last event id can then resume even if the
    runner of its answer is lost, too.
    """
    handed_over = gateway.handed_over.get(position.origin.request_id)
    if call.continue_tokens or handed_over is None:
        return call
    if handed_over.workspace != position.origin.workspace:
        return call
    if len(handed_over.tokens) < position.offset:
        return call
    return call._replace(continue_tokens=handed_over.tokens[: position.offset])


def _find_chat_route(gateway: Gateway, name: str) -> Route | None:
    service = gateway.find_service(name)
    if service is None or service.kind != "model":
        return None
    return find_route(service, PATH)


def _read_position(
    gateway: Gateway,
    request: Request,
    workspace: Workspace,
    call: ChatCall,
) -> StreamPosition | Response | None:
    """Return the resume position, None for a new request, or a problem."""
    text = request.header("last-event-id")
    if not text:
        return None
    position = verify_event_id(gateway.signing_key, text)
    if position is None:
        return _make_invalid_id_problem()
    if position.origin.workspace != workspace.name:
        return _make_wrong_workspace_problem()
    if position.origin.body_digest != call.digest:
        detail = "the event id belongs to a request with another body"
        return make_problem(409, "Another request", detail, "not_run")
    if call.continue_tokens and len(call.continue_tokens) != position.offset:
        detail = "`continue_tokens` are not the tokens up to the event id"
        return make_problem(409, "Another request", detail, "not_run")
    return position


def _make_invalid_id_problem() -> Response:
    detail = "the event id was not given out by this system"
    return make_problem(400, "Invalid event id", detail, "not_run")


def _make_wrong_workspace_problem() -> Response:
    # The response does not depend on whether the request exists, so that it
    # reveals nothing about another workspace.
    detail = "the event id is not of this workspace"
    return make_problem(403, "Invalid event id", detail, "not_run")


def _make_answer_lost_problem() -> Response:
    detail = "the answer is not held here any more; send the request again"
    return make_problem(410, "Answer lost", detail, "unknown", 0.0, "lost")


async def _run(
    gateway: Gateway,
    call: ChatCall,
    position: StreamPosition,
    route: Route,
    responder: Responder,
) -> None:
    origin = position.origin
    answer = ActiveAnswer(origin, call)
    sink = _make_sink(gateway, call, origin, responder)
    row = make_row(origin, call, route)
    gateway.answers.add(answer)
    keep_alive = asyncio.create_task(_keep_alive(sink))
    try:
        items = generate(gateway, answer, row, position, route)
        async with aclosing(items):
            try:
                async for item in items:
                    await _deliver(gateway, item, sink)
            except (ClientDisconnectedError, asyncio.CancelledError):
                # The caller may resume at any gateway, so the runner must not
                # drop the answer when this connection closes.
                answer.detach()
                raise
    except asyncio.CancelledError:
        if answer.successor is None:
            raise
        # `ActiveAnswer.move` cancelled this task; the cancellation ends here.
        task = asyncio.current_task()
        assert task is not None
        task.uncancel()
        keep_alive.cancel()
        await sink.move(answer.successor)
    finally:
        keep_alive.cancel()
        gateway.answers.discard(answer)
        gateway.dispatcher.notify(Abandoned(row.id))


def _make_sink(
    gateway: Gateway,
    call: ChatCall,
    origin: StreamOrigin,
    responder: Responder,
) -> AnswerSink:
    key = gateway.signing_key
    if call.stream:
        return StreamingAnswerSink(responder, key, origin)
    return BufferedAnswerSink(responder, key, origin, call.continue_tokens)


async def _keep_alive(sink: AnswerSink) -> None:
    with suppress(ClientDisconnectedError):
        while True:
            await asyncio.sleep(KEEP_ALIVE_CHECK_SECONDS)
            await sink.keep_alive()


async def _deliver(
    gateway: Gateway, item: AnswerItem, sink: AnswerSink
) -> None:
    match item:
        case Part():
            gateway.metrics.counts["tokens"] += len(item.tokens)
            await sink.write_part(item)
        case Completed():
            gateway.metrics.count("completed")
            await sink.complete(item)
        case Failed(execution, reason, retry_after):
            gateway.metrics.count(f"failed.{reason}")
            await sink.fail(
                make_problem(
                    _FAILED_STATUSES.get(reason, 502),
                    "Answer not completed",
                    f"the answer could not be completed: {reason}",
                    execution,
                    retry_after,
                    reason,
                )
            )
        case Refuse():
            await sink.fail(make_refusal(item))
