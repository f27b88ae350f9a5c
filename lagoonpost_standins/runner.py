"""Stand-in for the users' runners, which answer forwarded requests."""

import asyncio
import json
import time
from collections import Counter
from typing import ClassVar, Literal, NamedTuple

from lagoonpost.http.message import (
    Address,
    Request,
    Response,
    make_json_response,
)
from lagoonpost.http.responder import Responder
from lagoonpost.http.server import Server

RunnerFault = Literal[
    "none",
    "full",
    "fail",
    "reset_before",
    "reset_after",
    "hang",
    "torn",
    "rude",
    "break_off",
    "break_within",
    "silent_midway",
    "crash",
]
"""What is wrong with a runner: it has no room, answers 500, resets before or
after it ran the request, never answers, breaks off its body, sends bytes that
are no answer, breaks off a stream between or within events, falls silent in a
stream, or is lost with each request that it begins."""


MoveFault = Literal["none", "no_run", "busy", "no_room", "stop_unanswered"]
"""What is wrong when a run is to be copied away: the runner says that it has
no such run, that another copy is under way or that the other has no room, or
stops the run and never answers."""
_MOVE_REFUSALS: dict[MoveFault, int] = {
    "no_run": 404,
    "busy": 409,
    "no_room": 503,
}


class KvCopy(NamedTuple):
    """A run's memory at another runner."""

    attempt: str
    target: str


class ReceivedRequest(NamedTuple):
    """One request as it arrived, at a time of the steady clock."""

    request: Request
    ran: bool
    at: float


class RunnerStandin:
    """One runner.

    Args:
        id: Its id.
        events: Events of each stream.

    Attributes:
        fault: What is wrong with it.
        pause: Seconds before an answer and between events.
        seen: Requests that arrived, in order.
        runs: Number of runs by request id.
        cancelled: Requests whose connection was closed before their end.
        events: Events of each stream.
        move_fault: What is wrong when a run is copied from here.
        copies: Copies of all runners, by handle; used ones are gone.
        freed: Handles that were given back here.
    """

    copies: ClassVar[dict[str, KvCopy]] = {}

    def __init__(self, id: str, events: int = 5) -> None:
        self.id = id
        self.fault: RunnerFault = "none"
        self.move_fault: MoveFault = "none"
        self.freed_handles: list[str] = []
        self._stopped: dict[str, bool] = {}
        self.pause = 0.0
        self.events = events
        self.received: list[ReceivedRequest] = []
        self.runs: Counter[str] = Counter()
        self.cancelled: list[str] = []
        self.address = Address("127.0.0.1", 0)
        self._server = Server(self.handle, cancel_on_disconnect=True)

    async def start(self) -> Address:
        """Listen on a free port."""
        self.address = await self._server.start(self.address)
        return self.address

    async def close(self) -> None:
        """Stop at once."""
        await self._server.close(0.0)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one request; return without answering to cut it off."""
        if request.path == "/v1/kv-move":
            await self._move(request, responder)
            return
        if request.path.startswith("/v1/kv-handle/"):
            self.freed_handles.append(request.path.rpartition("/")[2])
            await responder.send(Response(200))
            return
        attempt = request.header("attempt-id") or ""
        refusal = self._refuse(request)
        self.received.append(
            ReceivedRequest(request, refusal is None, time.monotonic())
        )
        if refusal is not None:
            await responder.send(refusal)
            return
        if self.fault == "reset_before":
            return
        # What goes on from a copy is still the same run.
        self.runs[attempt] += request.header("kv-from") is None
        try:
            await self._run(request, responder)
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise

    def _refuse(self, request: Request) -> Response | None:
        expected = request.header("target-instance")
        if expected not in (None, self.id):
            return Response(421, (("instance-id", self.id),))
        if self.fault == "full" or not self._has_copy(request):
            return Response(503, (("not-executed", "1"),))
        return None

    def _has_copy(self, request: Request) -> bool:
        """Take the copy that a request goes on from, if it names one."""
        saved = request.header("kv-from")
        if saved is None:
            return True
        copy = self.copies.pop(saved.rpartition("/")[2], None)
        here = (request.header("attempt-id"), str(self.address))
        return copy is not None and copy == here

    async def _move(self, request: Request, responder: Responder) -> None:
        call = json.loads(request.body)
        attempt = call["id"]
        refusal = _MOVE_REFUSALS.get(self.move_fault)
        if refusal is None and attempt not in self._stopped:
            refusal = 404
        if refusal is not None:
            await responder.send(Response(refusal))
            return
        handle = f"{self.id}-{attempt}"
        self.copies[handle] = KvCopy(attempt, call["to"])
        if call.get("last"):
            self._stopped[attempt] = True
            if self.move_fault == "stop_unanswered":
                return
        body = {"handle": handle, "create_revision": 1}
        await responder.send(make_json_response(200, body))

    async def _run(self, request: Request, responder: Responder) -> None:
        if self.fault == "hang":
            await asyncio.sleep(3600)
        await asyncio.sleep(self.pause)
        if self.fault in ("reset_after", "crash"):
            return
        if self.fault == "rude":
            responder._writer.write(b"these bytes are no answer\r\n\r\n")
            return
        attempt = request.header("attempt-id") or ""
        headers = (
            ("attempt-id", attempt),
            ("response-signature", f"signed-{self.id}-{attempt}"),
        )
        if self.fault == "fail":
            await responder.send(Response(500, headers, b"failed"))
        elif request.header("model") is not None:
            await self._stream(request, responder, headers)
        else:
            await self._answer(request, responder, headers)

    async def _answer(
        self,
        request: Request,
        responder: Responder,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        body = make_body(request)
        if self.fault != "torn":
            await responder.send(Response(200, headers, body))
            return
        length = (("content-length", str(len(body))),)
        await responder.start(200, headers + length)
        responder._writer.write(body[: len(body) // 2])

    async def _stream(
        self,
        request: Request,
        responder: Responder,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        first = int(request.header("last-event-id") or 0) + 1
        content = (("content-type", "text/event-stream"),)
        await responder.start(200, headers + content)
        broken_at = (first + self.events) // 2
        attempt = request.header("attempt-id") or ""
        self._stopped[attempt] = False
        try:
            await self._send_events(request, responder, first, broken_at)
        finally:
            del self._stopped[attempt]

    async def _send_events(
        self,
        request: Request,
        responder: Responder,
        first: int,
        broken_at: int,
    ) -> None:
        attempt = request.header("attempt-id") or ""
        for number in range(first, self.events + 1):
            if self._stopped[attempt]:
                return
            if number > broken_at and self.fault == "break_off":
                return
            if number > broken_at and self.fault == "silent_midway":
                await asyncio.sleep(3600)
            event = make_event(request.target, number)
            if number > broken_at and self.fault == "break_within":
                await responder.write(event[: len(event) // 2])
                return
            await responder.write(event)
            await asyncio.sleep(self.pause)
        await responder.finish()


def make_body(request: Request) -> bytes:
    """Return a plain answer, a function of the request's own bytes."""
    text = f"{request.method} {request.target} ".encode("latin-1")
    return text + request.body


def make_event(target: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {target} {number}\n\n".encode("latin-1")
