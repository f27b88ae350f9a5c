"""Stand-in for the users' runners, which answer forwarded requests."""

import asyncio
import time
from collections import Counter
from typing import Literal, NamedTuple

from lagoonpost.http.message import Address, Request, Response
from lagoonpost.http.server import Responder, Server

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


class Seen(NamedTuple):
    """One request as it arrived, at a time of the steady clock."""

    request: Request
    ran: bool
    at: float


class ForwardedRunner:
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
    """

    def __init__(self, id: str, events: int = 5) -> None:
        self.id = id
        self.fault: RunnerFault = "none"
        self.pause = 0.0
        self.events = events
        self.seen: list[Seen] = []
        self.runs: Counter[str] = Counter()
        self.cancelled: list[str] = []
        self.address = Address("127.0.0.1", 0)
        self._server = Server(self.handle, cancel_when_gone=True)

    async def start(self) -> Address:
        """Listen on a free port."""
        self.address = await self._server.start(self.address)
        return self.address

    async def close(self) -> None:
        """Stop at once."""
        await self._server.close(0.0)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one request; return without answering to cut it off."""
        attempt = request.header("attempt-id") or ""
        refusal = self._refuse(request)
        self.seen.append(Seen(request, refusal is None, time.monotonic()))
        if refusal is not None:
            await responder.send(refusal)
            return
        if self.fault == "reset_before":
            return
        self.runs[attempt] += 1
        try:
            await self._run(request, responder)
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise

    def _refuse(self, request: Request) -> Response | None:
        expected = request.header("target-instance")
        if expected not in (None, self.id):
            return Response(421, (("instance-id", self.id),))
        if self.fault == "full":
            return Response(503, (("not-executed", "1"),))
        return None

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
        for number in range(first, self.events + 1):
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
