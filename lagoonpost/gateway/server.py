"""Routes HTTP requests after checking the phase and the caller's key."""

from collections.abc import Awaitable, Callable
from typing import Literal, NamedTuple

import eliot

from lagoonpost.gateway import chat, entries, plain, status
from lagoonpost.gateway.access import find_operator, find_workspace
from lagoonpost.gateway.state import Gateway
from lagoonpost.http.message import Request, Response
from lagoonpost.http.problem import make_problem
from lagoonpost.http.responder import ClientDisconnectedError, Responder
from lagoonpost.tables.entity import Workspace

Access = Literal["open", "workspace", "operator"]
Handler = Callable[
    [Gateway, Request, Responder, Workspace | None], Awaitable[None]
]

# Retry delay after a refusal by a gateway that is leaving or not yet current;
# short, because other entries are already serving.
PHASE_RETRY_SECONDS = 1.0


class HttpRoute(NamedTuple):
    """One row of the HTTP route table.

    Attributes:
        method: HTTP method, or ``*`` for any.
        path: Path; a trailing ``*`` matches any suffix.
        access: Kind of key that the caller needs.
        needs_serving: Whether the gateway must be in phase ``serving``.
        handler: Answers the request.
    """

    method: str
    path: str
    access: Access
    needs_serving: bool
    handler: Handler


def _adapt_handler(
    handler: Callable[[Gateway, Request], Awaitable[Response]],
) -> Handler:
    async def call(
        gateway: Gateway,
        request: Request,
        responder: Responder,
        workspace: Workspace | None,
    ) -> None:
        await responder.send(await handler(gateway, request))

    return call


async def _call_plain(
    gateway: Gateway,
    request: Request,
    responder: Responder,
    workspace: Workspace | None,
) -> None:
    assert workspace is not None
    answer = await plain.call_plain(gateway, workspace, request)
    await responder.send(answer)


async def _list_entries(
    gateway: Gateway,
    request: Request,
    responder: Responder,
    workspace: Workspace | None,
) -> None:
    found = find_workspace(gateway.declaration, request)
    name = found.name if found else ""
    await responder.send(entries.list_entries(gateway, name))


async def _handle_ticket(
    gateway: Gateway,
    request: Request,
    responder: Responder,
    workspace: Workspace | None,
) -> None:
    operator = (
        find_operator(
            gateway.settings.operator_digests, gateway.declaration, request
        )
        or ""
    )
    await responder.send(await gateway.tickets.handle(request, operator))


HTTP_ROUTES = (
    HttpRoute(
        "POST", "/v1/chat/completions", "workspace", True, chat.answer_chat
    ),
    HttpRoute("GET", "/v1/requests/*", "workspace", False, chat.answer_moved),
    HttpRoute("*", "/v1/services/*", "workspace", True, _call_plain),
    HttpRoute("GET", "/v1/entries", "open", False, _list_entries),
    HttpRoute(
        "GET", "/healthz", "open", False, _adapt_handler(status.get_health)
    ),
    HttpRoute(
        "GET", "/readyz", "open", False, _adapt_handler(status.get_ready)
    ),
    HttpRoute(
        "GET",
        "/v1/status",
        "operator",
        False,
        _adapt_handler(status.get_status),
    ),
    HttpRoute("*", "/v1/tickets", "operator", False, _handle_ticket),
    HttpRoute("*", "/v1/tickets/*", "operator", False, _handle_ticket),
    HttpRoute("GET", "/v1/declaration", "operator", False, _handle_ticket),
)


def find_http_route(request: Request) -> HttpRoute | Response:
    """Return the route of a request, or a problem if there is none."""
    path_exists = False
    for route in HTTP_ROUTES:
        prefix = route.path.removesuffix("*")
        matches = request.path == route.path or (
            prefix != route.path and request.path.startswith(prefix)
        )
        if matches and route.method in (request.method, "*"):
            return route
        path_exists = path_exists or matches
    if path_exists:
        return make_problem(
            405,
            "Method not allowed",
            f"{request.path} does not take {request.method}",
            "not_run",
        )
    return make_problem(
        404, "Not found", f"no such path: {request.path}", "not_run"
    )


async def handle(
    gateway: Gateway, request: Request, responder: Responder
) -> None:
    """Answer one request; called by the HTTP server."""
    route = find_http_route(request)
    if isinstance(route, Response):
        await responder.send(route)
        return
    allowed = _check_access(gateway, route, request)
    if isinstance(allowed, Response):
        await responder.send(allowed)
        return
    try:
        await route.handler(gateway, request, responder, allowed)
    except ClientDisconnectedError:
        gateway.metrics.count("caller_gone")
        eliot.log_message(
            message_type="lagoonpost:gateway:caller_gone", path=request.path
        )
        raise


def _check_access(
    gateway: Gateway, route: HttpRoute, request: Request
) -> Workspace | Response | None:
    if route.needs_serving and gateway.phase != "serving":
        return make_problem(
            503,
            "Not serving",
            f"this gateway is {gateway.phase}; use another entry",
            "not_run",
            retry_after=PHASE_RETRY_SECONDS,
            reason=gateway.phase,
        )
    if route.access == "workspace":
        workspace = find_workspace(gateway.declaration, request)
        return workspace or _make_unauthorized("a workspace's")
    if route.access == "operator" and not find_operator(
        gateway.settings.operator_digests, gateway.declaration, request
    ):
        return _make_unauthorized("an operator's")
    return None


def _make_unauthorized(whose: str) -> Response:
    return make_problem(
        401, "Key not accepted", f"needs {whose} bearer key", "not_run"
    )
