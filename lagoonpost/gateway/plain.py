"""Calls plain services: repeatable calls directly, others by the ledger."""

import asyncio

from lagoonpost.gateway.attempt import Attempt
from lagoonpost.gateway.booking import BookingCall
from lagoonpost.gateway.prompt import count_prompt_tokens
from lagoonpost.gateway.state import Gateway, find_route, make_request_id
from lagoonpost.http.client import CallFailedError
from lagoonpost.http.message import (
    Headers,
    Request,
    Response,
    parse_address,
)
from lagoonpost.http.problem import (
    Execution,
    make_problem,
    read_execution,
)
from lagoonpost.runners.plain import drop_connection_headers, is_refusal
from lagoonpost.runners.whole_answer import call_whole
from lagoonpost.systems.event import (
    AttemptFailed,
    Dispatch,
    Finished,
    Refuse,
)
from lagoonpost.tables.entity import Route, Runner, Service, Workspace
from lagoonpost.tables.request import RequestRow

PREFIX = "/v1/services/"
SAFE_METHODS = frozenset({"GET", "HEAD"})
FORWARDED_HEADERS = frozenset({"content-type", "accept", "accept-language"})
# Share of the route's timeout for one attempt of a repeatable call.
ATTEMPT_TIMEOUT_RATIO = 1 / 3


async def call_plain(
    gateway: Gateway, workspace: Workspace, request: Request
) -> Response:
    """Call a plain service and return the body of its answer unchanged."""
    name, _, path = request.path[len(PREFIX) :].partition("/")
    service = gateway.find_service(name)
    if service is None or service.kind != "plain":
        return make_problem(
            404, "Unknown service", f"no plain service {name!r}", "not_run"
        )
    route = find_route(service, path)
    if route is None:
        return make_problem(
            404, "Unknown route", f"{name!r} has no route {path!r}", "not_run"
        )
    repeatable = route.repeatable or request.method in SAFE_METHODS
    row = _make_row(gateway, workspace, service, route, request, repeatable)
    target = f"/{path}?{request.query}" if request.query else f"/{path}"
    if repeatable:
        return await _call_repeatable(gateway, row, route, request, target)
    return await _call_once(gateway, row, route, request, target)


def _make_row(
    gateway: Gateway,
    workspace: Workspace,
    service: Service,
    route: Route,
    request: Request,
    repeatable: bool,
) -> RequestRow:
    now = asyncio.get_running_loop().time()
    return RequestRow(
        id=make_request_id(),
        workspace=workspace.name,
        service=service.name,
        route=route.path,
        request_class=route.request_class,
        prompt_tokens=count_prompt_tokens(request.body),
        output_tokens=1,
        prefix=(),
        fingerprint="",
        arrived=now,
        deadline=now + route.first_seconds,
        repeatable=repeatable,
    )


async def _call_repeatable(
    gateway: Gateway,
    row: RequestRow,
    route: Route,
    request: Request,
    target: str,
) -> Response:
    until = row.arrived + route.timeout
    results = _AttemptResults()
    placed = await gateway.dispatcher.place(row)
    attempt = Attempt(gateway, row, route)
    while isinstance(placed, Dispatch):
        runner = gateway.find_runner(placed.runner)
        left = until - asyncio.get_running_loop().time()
        if runner is None or left <= 0:
            failed = AttemptFailed(row.id, placed.runner, "lost", retry=False)
            gateway.dispatcher.notify(failed)
            return results.make_final_response(
                Refuse(row.id, 504, "timeout", 1.0)
            )
        # Without a limit per attempt, a frozen runner would use up the whole
        # timeout. A third of it leaves time for two more runners and is long
        # compared with the latency target.
        timeout = min(left, route.timeout * ATTEMPT_TIMEOUT_RATIO)
        kind = await _try_runner(
            gateway, runner, row, request, target, timeout, results
        )
        if kind is None:
            attempt.record_answer(runner)
            gateway.dispatcher.notify(Finished(row.id, runner.name, 1))
            return results.answer
        attempt.record_failure(runner, kind)
        attempt.begin()
        placed = await gateway.dispatcher.replace(row.id, runner.name, kind)
    return results.make_final_response(placed)


class _AttemptResults:
    """Results of the attempts of one call.

    Attributes:
        answer: Last answer of a runner; its status is 0 before the first.
        may_have_run: Whether a runner may have run the call.
    """

    def __init__(self) -> None:
        self.answer = Response(0)
        self.may_have_run = False

    def make_final_response(self, refusal: Refuse) -> Response:
        """Return the response for the caller after the last attempt."""
        if self.answer.status:
            # The service's own error is more specific than the gateway's.
            return self.answer
        return make_refusal(
            refusal, "unknown" if self.may_have_run else "not_run"
        )


async def _try_runner(
    gateway: Gateway,
    runner: Runner,
    row: RequestRow,
    request: Request,
    target: str,
    timeout: float,
    results: _AttemptResults,
) -> str | None:
    """Call one runner; return the kind of its failure, or None."""
    try:
        answer = await call_whole(
            gateway.client,
            parse_address(runner.endpoint),
            request.method,
            target,
            request.body,
            select_forwarded_headers(request, row.id),
            repeatable=True,
            timeout=timeout,
        )
    except CallFailedError as error:
        results.may_have_run = results.may_have_run or error.sent
        return "lost" if error.sent else "unreached"
    if is_refusal(answer):
        return "refused"
    results.may_have_run = True
    results.answer = Response(
        answer.status, _make_response_headers(answer), answer.body
    )
    return "failed" if answer.status >= 500 else None


async def _call_once(
    gateway: Gateway,
    row: RequestRow,
    route: Route,
    request: Request,
    target: str,
) -> Response:
    used: Runner | None = None
    attempt = Attempt(gateway, row, route)

    async def place(failed: str | None, kind: str | None) -> Runner | Refuse:
        nonlocal used
        if failed is None:
            placed = await gateway.dispatcher.place(row)
        else:
            placed = await gateway.dispatcher.replace(
                row.id, failed, kind or "failed"
            )
        if isinstance(placed, Refuse):
            return placed
        runner = gateway.find_runner(placed.runner)
        if runner is None:
            return Refuse(row.id, 503, "no_runner", 1.0)
        used = runner
        attempt.begin()
        return runner

    call = BookingCall(
        request_id=row.id,
        workspace=row.workspace,
        key=request.header("idempotency-key"),
        method=request.method,
        path=target,
        headers=(
            *select_forwarded_headers(request, row.id),
            *_make_key_header(row, request),
        ),
        body=request.body,
        service=row.service,
        timeout=route.timeout,
    )
    answer = await gateway.bookings.book(call, place)
    if used is not None:
        _record_booking(attempt, used, answer)
    gateway.dispatcher.notify(Finished(row.id, used.name if used else "", 1))
    return Response(answer.status, _make_response_headers(answer), answer.body)


def _record_booking(
    attempt: Attempt, runner: Runner, answer: Response
) -> None:
    # A gateway problem with execution "unknown" means that the runner failed;
    # "not_run" says nothing about the runner.
    execution = read_execution(answer.headers, answer.body)
    if execution == "unknown":
        attempt.record_failure(runner, "failed")
    elif execution is None:
        attempt.record_answer(runner)


def select_forwarded_headers(request: Request, request_id: str) -> Headers:
    """Return the request headers to forward to a runner."""
    kept = tuple(
        (name, value)
        for name, value in request.headers
        if name in FORWARDED_HEADERS
    )
    return (*kept, ("x-request-id", request_id))


def _make_key_header(row: RequestRow, request: Request) -> Headers:
    key = request.header("idempotency-key")
    if key is None:
        return ()
    # Workspaces may choose the same key. The prefix keeps their calls apart at
    # a runner that deduplicates by key itself.
    return (("idempotency-key", f"{row.workspace}/{key}"),)


def _make_response_headers(answer: Response) -> Headers:
    kept = drop_connection_headers(answer.headers)
    # A cache between the gateway and the caller must not store answers: the
    # caller would get an outdated result.
    return (*kept, ("cache-control", "no-store"))


def make_refusal(action: Refuse, execution: Execution = "not_run") -> Response:
    """Return the response to a request that was refused placement.

    Args:
        action: The refusal.
        execution: Whether an earlier attempt of the request ran.
    """
    return make_problem(
        action.status,
        "Not accepted",
        f"no runner could be used: {action.reason}",
        execution,
        retry_after=action.retry_after,
        reason=action.reason,
    )
