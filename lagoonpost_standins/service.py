"""Stand-in for a plain service: takes bookings and answers checks."""

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
    """Faults by order; an order replaces the one before it.

    Attributes:
        refuse: Refuse so many calls as not run.
        crash: End the process at this point of the next booking.
        freeze: Stop the process (as SIGSTOP) at this point.
        cut: Close the connection at this point of the next booking.
        slow: Seconds that each call takes.
        fail: Status with which each call fails.
    """

    refuse: int
    crash: Point
    freeze: Point
    cut: Point
    slow: float
    fail: int


class Service:
    """Runs bookings, counted per idempotency key, and current checks."""

    def __init__(self, name: str = "service") -> None:
        self.faults: ServiceFaults = {}
        self.runs: Counter[str] = Counter()
        self._name = name
        self._checks = 0
        self._calls = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one call; return without answering to cut it off."""
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
        if self._fail("before"):
            return
        self.runs[request.header(KEY_HEADER) or ""] += 1
        if self._fail("after"):
            return
        await responder.send(make_booking_answer(request.body))

    def _check(self) -> Response:
        """Answer with a counter, so that a repeated answer shows."""
        self._checks += 1
        state = {"check": self._checks, "bookings": self.runs.total()}
        return make_json_response(200, state)

    def _fail(self, point: Point) -> bool:
        """Carry out the fault ordered for ``point``; True to cut off."""
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
    """Return the answer to a booking, a function of its body only.

    It has bytes that are no text, so that a test sees whether answers pass
    byte for byte.
    """
    digest = hashlib.sha256(body).digest()
    content_type = ("content-type", "application/octet-stream")
    return Response(200, (content_type,), b"booked \x00\xff " + digest)
