"""Stand-in for runners, the back ends that answer forwarded requests."""

import asyncio
import json
import socket
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from random import Random
from typing import ClassVar, Literal, NamedTuple

from lagoonpost.http.message import (
    Address,
    Headers,
    Request,
    Response,
    make_json_response,
)
from lagoonpost.http.responder import Responder
from lagoonpost.http.server import Server
from lagoonpost_standins.endless import ENDLESS_ANSWERS, send_endless

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
    "pause_first",
    "pause_midway",
    "endless",
    "trickle",
    "crash",
]
"""Faults of a runner:

- full: refuses requests with 503 as not run
- fail: answers 500
- reset_before, reset_after: closes the connection before or after the run
- hang: never answers
- torn: closes the connection in the middle of the body
- rude: sends bytes that are not HTTP
- break_off, break_within: ends a stream between events or within one
- silent_midway: stops sending in the middle of a stream
- pause_first, pause_midway: is silent for a second or so before the answer or
  in the middle of a stream, and goes on
- endless, trickle: sends bytes without end that are no answer, as fast as they
  are read or a byte at a time
- crash: closes the connection of each request that it starts to run
"""


MoveFault = Literal[
    "none",
    "no_run",
    "busy",
    "no_room",
    "stop_unanswered",
    "stop_silent",
    "stop_late",
    "stop_fails",
    "stop_refused",
    "stop_without_handle",
    "stop_garbled",
    "stop_without_copy",
    "stopped_late",
    "stop_declined",
    "stop_ended",
]
"""Faults when a run is to be moved: the runner answers that it has no such
run (no_run), that another move is in progress (busy) or that the target has no
capacity (no_room). At the order to stop a run, it stops the run and

- stop_unanswered: closes the connection of the order
- stop_silent: never answers
- stop_late: answers when nobody waits any more
- stop_fails, stop_refused: answers 500 or 503
- stop_without_handle: answers 200 without the handle of the copy
- stop_garbled: sends bytes that are no answer
- stop_without_copy: answers 503 with the handle, as the target has no room for
  what is new

or it never answers and stops the run only later (stopped_late), or goes on to
the end of the run and answers that another move is in progress (stop_declined)
or that it has no such run (stop_ended)."""
LATE_STOP_SECONDS = 1.5
_MOVE_REFUSALS: dict[MoveFault, int] = {
    "no_run": 404,
    "busy": 409,
    "no_room": 503,
}

_STOP_STATUSES: dict[MoveFault, int] = {
    "stop_fails": 500,
    "stop_refused": 503,
    "stop_declined": 409,
    "stop_ended": 404,
}

PAUSE_SECONDS = 1.5
"""Silence of a sound runner."""
DEFAULT_ROOM = 10
"""Requests that a brittle runner accepts at once: its slots and a few that
wait."""
FALL_SECONDS = 1.0
"""Time for which a runner that has fallen over ends each connection."""


class KvCopy(NamedTuple):
    """The KV cache of a run, copied to the runner at ``target``."""

    attempt: str
    target: str


class ReceivedRequest(NamedTuple):
    """One received request.

    Attributes:
        request: The request.
        ran: Whether the runner accepted it.
        rest: Rest that the runner asked for as it turned the request away;
            empty if it did neither.
        at: Arrival, in seconds of the monotonic clock.
    """

    request: Request
    ran: bool
    at: float
    rest: str = ""


class RunnerStandin:
    """A runner that listens on a free port.

    Args:
        id: Id of the runner.
        events: Number of events of each stream.

    Attributes:
        fault: Injected fault.
        pause: Seconds before an answer and between events.
        received: Received requests, in order of arrival.
        runs: Number of runs by attempt id.
        cancelled: Attempts whose caller disconnected before the end.
        events: Number of events of each stream.
        move_fault: Injected fault for moves from this runner.
        proxy: Address at which others reach it; None for its own.
        copies: Unused KV copies of all runners, by handle.
        move_faults: How many orders to stop a run have the fault that begins
            with ``stop``; None for all.
        freed_handles: Handles of copies that this runner was told to free.
        brittle: Refusals a second beyond which the runner falls over, which
            it says in all its answers; 0 if it stands any number.
        limit: Requests a second that it takes from all gateways together,
            which it says in all its answers; None to say nothing.
        leaving: Whether it says in all its answers that it leaves.
        more_headers: Further headers of all its answers.
        rest: Value of ``Retry-After`` in its refusals when it is full or
            turns requests away; empty to ask for no rest.
        turned_away: Share of the requests that it turns away, from 0 to 1.
        room: Requests that a brittle runner accepts at once.
        falls: How often it has fallen over.
        framed: Whether answers have a length or come in chunks; otherwise they
            end with their connection.
        endless_shape: Name of the endless answer to send; empty for any.
        crash_midway: Whether to crash in the middle of each answer.
        make_raw_answer: Returns the bytes to send in place of an answer to a
            request, before its connection ends; None to answer it.
        stop_early: Seconds before the deadline that a request names at which
            its run is stopped; None to go on with it.
        crash_part: Part of a prompt, not its last one, that crashes the runner
            when it begins to answer; empty for none.
        crash_path: Path of requests that crash it in the same way; empty for
            none.
        down_seconds: Time for which it is down after a crash.
        born: Start of its process, which its report names; 0 to make no
            reports, as plain services do.
        on_return: Called when it listens again after a crash.
        crashes: Times of its crashes, in seconds of the monotonic clock.
    """

    copies: ClassVar[dict[str, KvCopy]] = {}

    def __init__(self, id: str, events: int = 5) -> None:
        self.id = id
        self.fault: RunnerFault = "none"
        self.move_fault: MoveFault = "none"
        self.move_faults: int | None = None
        self.proxy: Address | None = None
        self.freed_handles: list[str] = []
        self._stopped: dict[str, bool] = {}
        self._kept: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.brittle = 0
        self.limit: float | None = None
        self.leaving = False
        self.more_headers: Headers = ()
        self.rest = ""
        self.turned_away = 0.0
        self._rng = Random(id)
        self.room = DEFAULT_ROOM
        self.falls = 0
        self._accepted = 0
        self._refusals: deque[float] = deque()
        self._down_until = 0.0
        self.pause = 0.0
        self.events = events
        self.received: list[ReceivedRequest] = []
        self.runs: Counter[str] = Counter()
        self.cancelled: list[str] = []
        self.address = Address("127.0.0.1", 0)
        self.framed = True
        self.endless_shape = ""
        self.crash_midway = False
        self.make_raw_answer: Callable[[Request], bytes | None]
        self.make_raw_answer = lambda request: None
        self.stop_early: float | None = None
        self.crash_part = ""
        self.crash_path = ""
        self.down_seconds = 0.5
        self.born = 0
        self.on_return: Callable[[RunnerStandin], Awaitable[None]] | None
        self.on_return = None
        self.crashes: list[float] = []
        self._crashing: asyncio.Task[None] | None = None
        self._reservation: socket.socket | None = None
        self._server = Server(self.handle, cancel_on_disconnect=True)

    async def start(self) -> Address:
        """Listen on a free port and return the address."""
        if self._reservation is None:
            self._reservation = _reserve(self.address)
            self.address = Address(*self._reservation.getsockname())
        return await self._server.start(self.address)

    def release(self) -> None:
        """Let others listen at the address, once no gateway knows it."""
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None

    async def close(self) -> None:
        """Stop and cut all connections; the address stays reserved."""
        for task in self._tasks:
            task.cancel()
        if self._crashing is not None:
            self._crashing.cancel()
        await self._server.close(0.0)

    def crash(self) -> None:
        """Cut all connections, and listen again after a while."""
        if self._crashing is None or self._crashing.done():
            self.crashes.append(time.monotonic())
            self._crashing = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        await self._server.close(0.0)
        self.born += bool(self.born)
        await asyncio.sleep(self.down_seconds)
        self._server = Server(self.handle, cancel_on_disconnect=True)
        await self.start()
        if self.on_return is not None:
            await self.on_return(self)

    def _is_crashed_by(self, request: Request) -> bool:
        if self.crash_path and request.path == self.crash_path:
            return True
        if not self.crash_part:
            return False
        parts = (request.header("prompt-prefix") or "").split(",")[:-1]
        return self.crash_part in [part.partition(":")[0] for part in parts]

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one request; a return without an answer disconnects."""
        if request.path == "/v1/kv-move":
            await self._move(request, responder)
            return
        if request.path.startswith("/v1/kv-handle/"):
            self.freed_handles.append(request.path.rpartition("/")[2])
            await responder.send(Response(200))
            return
        if time.monotonic() < self._down_until:
            return
        if request.path == "/health":
            await responder.send(self._check_health(request))
            return
        if request.path == "/v1/report":
            await responder.send(self._make_report(request))
            return
        attempt = request.header("attempt-id") or ""
        refusal = self._refuse(request)
        self.received.append(
            ReceivedRequest(
                request,
                refusal is None,
                time.monotonic(),
                (refusal.header("retry-after") or "") if refusal else "",
            )
        )
        if refusal is not None:
            await responder.send(refusal)
            return
        if self.fault == "reset_before":
            return
        # A request that resumes from a KV copy continues the same run.
        self.runs[attempt] += request.header("kv-from") is None
        self._accepted += 1
        left = None
        if self.stop_early is not None:
            named = int(request.header("deadline-ms") or 0) / 1000
            left = max(0.0, named - self.stop_early)
        try:
            async with asyncio.timeout(left):
                await self._run(request, responder)
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise
        finally:
            self._accepted -= 1

    def _check_health(self, request: Request) -> Response:
        headers = (("instance-id", self.id),)
        if request.header("target-instance") not in (None, self.id):
            return Response(421, headers)
        return Response(503 if self.leaving else 200, headers)

    def _make_report(self, request: Request) -> Response:
        expected = request.header("target-instance")
        if expected not in (None, self.id):
            return Response(421, (("instance-id", self.id),))
        if not self.born:
            return Response(400, (("not-executed", "1"),))
        return make_json_response(200, {"born": self.born, "seq": 0})

    def _refuse(self, request: Request) -> Response | None:
        expected = request.header("target-instance")
        refused = (
            ("attempt-id", request.header("attempt-id") or ""),
            ("not-executed", "1"),
        )
        if expected not in (None, self.id):
            return Response(421, (("instance-id", self.id), *refused))
        if self.fault == "full" or self._rng.random() < self.turned_away:
            rest = (("retry-after", self.rest),) if self.rest else ()
            return Response(503, (*refused, *rest, *self._tell()))
        if not self._has_copy(request):
            return Response(503, (*refused, *self._tell()))
        if self.brittle and self._accepted >= self.room:
            self._note_refusal()
            return Response(503, (*refused, *self._tell()))
        return None

    def _tell(self) -> Headers:
        """Return the headers by which the runner speaks of itself."""
        headers = list(self.more_headers)
        if self.leaving:
            headers.append(("server-leaving", "1"))
        if self.brittle:
            headers.append(("server-brittle", str(self.brittle)))
        if self.limit is not None:
            headers.append(("server-limit", str(self.limit)))
        return tuple(headers)

    def _note_refusal(self) -> None:
        """Count a refusal, and fall over if there were too many."""
        now = time.monotonic()
        self._refusals.append(now)
        while self._refusals[0] < now - 1.0:
            self._refusals.popleft()
        if len(self._refusals) > self.brittle:
            self.falls += 1
            self._refusals.clear()
            self._down_until = now + FALL_SECONDS

    def _has_copy(self, request: Request) -> bool:
        """Consume the KV copy that a request names.

        Returns:
            False if the request names a copy that is not here.
        """
        saved = request.header("kv-from")
        if saved is None:
            return True
        copy = self.copies.pop(saved.rpartition("/")[2], None)
        here = (request.header("attempt-id"), str(self.proxy or self.address))
        return copy is not None and copy == here

    async def _move(self, request: Request, responder: Responder) -> None:
        call = json.loads(request.body)
        attempt = call["id"]
        refusal = _MOVE_REFUSALS.get(self.move_fault)
        known = attempt in self._stopped or attempt in self._kept
        if refusal is None and not known:
            refusal = 404
        if refusal is not None:
            await responder.send(Response(refusal, self._tell()))
            return
        handle = f"{self.id}-{attempt}"
        fault = self._draw_stop_fault() if call.get("last") else "none"
        goes_on = fault in ("stop_declined", "stop_ended")
        if not goes_on and fault not in ("stop_without_copy", "stopped_late"):
            self.copies[handle] = KvCopy(attempt, call["to"])
        if fault == "stopped_late":
            task = asyncio.create_task(self._stop_late(attempt))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif call.get("last") and not goes_on:
            self._stop(attempt)
        if fault == "none":
            await self._send_move_answer(responder, 200, handle)
        else:
            await self._answer_stop(fault, responder, handle)

    def _draw_stop_fault(self) -> MoveFault:
        """Return the fault of an order to stop a run, and count it."""
        if not self.move_fault.startswith("stop") or self.move_faults == 0:
            return "none"
        if self.move_faults is not None:
            self.move_faults -= 1
        return self.move_fault

    def _stop(self, attempt: str) -> None:
        """Stop a run; its KV cache is kept."""
        self._kept.add(attempt)
        if attempt in self._stopped:
            self._stopped[attempt] = True

    async def _stop_late(self, attempt: str) -> None:
        await asyncio.sleep(LATE_STOP_SECONDS)
        self._stop(attempt)

    async def _answer_stop(
        self, fault: MoveFault, responder: Responder, handle: str
    ) -> None:
        """Answer an order to stop a run with a fault, or not at all."""
        if fault == "stop_unanswered":
            return
        if fault in ("stop_silent", "stopped_late"):
            await asyncio.sleep(3600)
        if fault == "stop_late":
            await asyncio.sleep(LATE_STOP_SECONDS)
            await self._send_move_answer(responder, 200, handle)
        if fault == "stop_garbled":
            responder._writer.write(b"these bytes are no answer\r\n\r\n")
        elif fault == "stop_without_copy":
            await self._send_move_answer(responder, 503, handle)
        elif fault != "stop_late":
            status = _STOP_STATUSES.get(fault, 200)
            await responder.send(Response(status, self._tell()))

    async def _send_move_answer(
        self, responder: Responder, status: int, handle: str
    ) -> None:
        body = {"handle": handle, "create_revision": 1}
        answer = make_json_response(status, body)
        headers = (*answer.headers, *self._tell())
        await responder.send(answer._replace(headers=headers))

    async def _run(self, request: Request, responder: Responder) -> None:
        if self.fault == "hang":
            await asyncio.sleep(3600)
        await asyncio.sleep(self.pause)
        if self.fault == "pause_first":
            await asyncio.sleep(PAUSE_SECONDS)
        if self.fault in ("reset_after", "crash"):
            return
        raw = self.make_raw_answer(request)
        if raw is not None:
            responder._writer.write(raw)
            return
        if self.fault == "rude":
            responder._writer.write(b"these bytes are no answer\r\n\r\n")
            return
        if self.fault in ("endless", "trickle"):
            await self._send_without_end(request, responder)
            return
        if self._is_crashed_by(request):
            self.crash()
            return
        attempt = request.header("attempt-id") or ""
        headers = (
            ("attempt-id", attempt),
            ("response-signature", f"signed-{self.id}-{attempt}"),
            *self._tell(),
        )
        if self.fault == "fail":
            await responder.send(Response(500, headers, b"failed"))
        elif request.header("model") is not None:
            await self._stream(request, responder, headers)
        else:
            await self._answer(request, responder, headers)

    async def _send_without_end(
        self, request: Request, responder: Responder
    ) -> None:
        shape = self.endless_shape or self._rng.choice(list(ENDLESS_ANSWERS))
        attempt = request.header("attempt-id") or ""
        await send_endless(
            responder._writer,
            ENDLESS_ANSWERS[shape],
            f"attempt-id: {attempt}\r\n"
            f"response-signature: signed-{self.id}-{attempt}\r\n".encode(
                "latin-1"
            ),
            slow=self.fault == "trickle",
        )

    async def _answer(
        self,
        request: Request,
        responder: Responder,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        body = make_body(request)
        if not self.framed or self.crash_midway:
            self._start_bare(responder, headers, len(body))
            half = body[: len(body) // 2] if self.crash_midway else body
            responder._writer.write(half)
            if self.crash_midway:
                await self._crash_after_sending(responder)
            return
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
        if self.framed:
            await responder.start(200, headers + content)
        else:
            self._start_bare(responder, headers + content)
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
            if number > broken_at and self.crash_midway:
                await self._crash_after_sending(responder)
                return
            if number > broken_at and self.fault == "silent_midway":
                await asyncio.sleep(3600)
            if number == broken_at + 1 and self.fault == "pause_midway":
                await asyncio.sleep(PAUSE_SECONDS)
            event = make_event(request.target, number)
            if number > broken_at and self.fault == "break_within":
                await responder.write(event[: len(event) // 2])
                return
            if self.framed:
                await responder.write(event)
            else:
                responder._writer.write(event)
            await asyncio.sleep(self.pause)
        if self.framed:
            await responder.finish()

    def _start_bare(
        self, responder: Responder, headers: Headers, length: int | None = None
    ) -> None:
        """Send a head as written here, with the length of a framed answer."""
        lines = [
            "HTTP/1.1 200 OK",
            *(f"{name}: {text}" for name, text in headers),
        ]
        if self.framed and length is not None:
            lines.append(f"content-length: {length}")
        lines.append("connection: close")
        head = "".join(f"{line}\r\n" for line in (*lines, ""))
        responder._writer.write(head.encode("latin-1"))

    async def _crash_after_sending(self, responder: Responder) -> None:
        await responder._writer.drain()
        await asyncio.sleep(0.05)
        self.crash()


def _reserve(address: Address) -> socket.socket:
    """Bind a port, so that the kernel gives it to nobody else meanwhile.

    Gateways go on sending to a runner that has stopped or crashed, and would
    reach one of another test, which has the same id.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(address)
    return reservation


def make_body(request: Request) -> bytes:
    """Return the answer to a plain request, derived from its bytes."""
    text = f"{request.method} {request.target} ".encode("latin-1")
    return text + request.body


def make_event(target: str, number: int) -> bytes:
    """Return the encoded event with this number, from 1, of a stream."""
    return f"id: {number}\ndata: {target} {number}\n\n".encode("latin-1")
