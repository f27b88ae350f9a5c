"""Stand-in for a plain service with bookings (POST) and checks (GET)."""

import asyncio
import hashlib
import os
import signal
from collections import Counter
from typing import Literal, TypedDict

import msgspec

from lagoonpost.http.message import Request, Response, make_json_response
from lagoonpost.http.responder import Responder

Point = Literal["before", "after"]
KEY_HEADER = "idempotency-key"
REFUSAL = Response(
    503,
    (("content-type", "application/problem+json"), ("retry-after", "1")),
    msgspec.json.encode(
        {
            "type": "about:blank",
            "title": "Busy",
            "status": 503,
            "execution": "not_run",
        }
    ),
)


class ServiceFaults(TypedDict, total=False):
    """Injected faults; setting faults replaces all previous ones.

    Attributes:
        refuse: Number of calls to refuse as not run.
        crash: Kill the process before or after the next booking runs.
        freeze: Send the process SIGSTOP before or after the next booking
            runs.
        cut: Close the connection before or after the next booking runs.
        slow: Seconds to wait before each call.
        fail: Status with which to fail all calls.
    """

    refuse: int
    crash: Point
    freeze: Point
    cut: Point
    slow: float
    fail: int


class Service:
    """Counts bookings by idempotency key and answers checks.

    Attributes:
        faults: Injected faults.
        runs: Number of runs of each idempotency key.
    """

    def __init__(self, name: str = "service") -> None:
        self.faults: ServiceFaults = {}
        self.runs: Counter[str] = Counter()
        self._name = name
        self._checks = 0
        self._calls = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one call; a return without an answer disconnects."""
        if request.path.startswith("/standin/"):
            await responder.send(self._control(request))
            return
        self._calls += 1
        if self.faults.get("refuse", 0) > 0:
            self.faults["refuse"] -= 1
            await responder.send(REFUSAL)
            return
        await asyncio.sleep(self.faults.get("slow", 0.0))
        if "fail" in self.faults:
            await responder.send(Response(self.faults["fail"], (), b"broken"))
            return
        if request.method == "GET":
            await responder.send(self._check())
            return
        if self._apply_fault("before"):
            return
        self.runs[request.header(KEY_HEADER) or ""] += 1
        if self._apply_fault("after"):
            return
        await responder.send(make_booking_answer(request.body))

    def _check(self) -> Response:
        """Answer with a counter, which reveals repeated answers."""
        self._checks += 1
        state = {"check": self._checks, "bookings": self.runs.total()}
        return make_json_response(200, state)

    def _apply_fault(self, point: Point) -> bool:
        """Apply the fault injected at ``point``; return True to disconnect."""
        if self.faults.get("crash") == point:
            os.kill(os.getpid(), signal.SIGKILL)
        if self.faults.get("freeze") == point:
            del self.faults["freeze"]
            os.kill(os.getpid(), signal.SIGSTOP)
        if self.faults.get("cut") == point:
            del self.faults["cut"]
            return True
        return False

    def _control(self, request: Request) -> Response:
        if request.path == "/standin/faults":
            self.faults = msgspec.json.decode(request.body, type=ServiceFaults)
            return make_json_response(200, self.faults)
        return make_json_response(
            200,
            {
                "name": self._name,
                "calls": self._calls,
                "runs": self.runs,
                "checks": self._checks,
            },
        )


def make_booking_answer(body: bytes) -> Response:
    """Return the answer to a booking, which depends on its body only.

    The answer contains bytes that are not valid text, so that a test detects
    whether answers are forwarded byte for byte.
    """
    digest = hashlib.sha256(body).digest()
    content_type = ("content-type", "application/octet-stream")
    return Response(200, (content_type,), b"booked \x00\xff " + digest)
