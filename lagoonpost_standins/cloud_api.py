"""Stand-in for the users' cloud: usage reports and orders under a fence."""

import time
from typing import Any, NamedTuple

import msgspec

from lagoonpost.http.message import Request, Response
from lagoonpost.http.responder import Responder


class AcceptedCall(NamedTuple):
    """A call that was accepted.

    Attributes:
        at: When, by the steady clock.
        subject: What it is about: calls on one subject have one holder.
        holder: Who made it.
    """

    at: float
    subject: tuple[str, str, str]
    holder: str


class CloudStandin:
    """Takes calls, refuses old fencing numbers, and remembers all.

    Attributes:
        usage: Counts by window, as first accepted.
        conflicts: Windows that were reported twice with other counts.
        orders: Number ordered by service, failure domain and tenure.
        calls: All calls: path, holder, fencing number and outcome.
        acts: Those that were accepted, in order.
        dry: Whether reclaimable runners are not to be had.
        lose_answers: Whether calls are carried out and not answered.
    """

    def __init__(self) -> None:
        self.usage: dict[int, dict[str, int]] = {}
        self.conflicts: list[int] = []
        self.orders: dict[tuple[str, str, bool], int] = {}
        self.calls: list[tuple[str, str, int, int]] = []
        self.accepted_calls: list[AcceptedCall] = []
        self.spot_exhausted = False
        self.drop_responses = False
        self._fences: dict[object, int] = {}

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one call."""
        call = msgspec.json.decode(request.body)
        holder = request.header("duty-holder") or ""
        fence = int(request.header("fence-token") or 0)
        status = self._take(request.path, call, fence)
        self.calls.append((request.path, holder, fence, status))
        if status == 200:
            subject = _name_subject(request.path, call)
            self.accepted_calls.append(
                AcceptedCall(time.monotonic(), subject, holder)
            )
        if not self.drop_responses:
            await responder.send(Response(status))

    def _take(self, path: str, call: dict[str, Any], fence: int) -> int:
        subject = _name_subject(path, call)
        if fence < self._fences.get(subject, 0):
            return 409
        self._fences[subject] = fence
        if path == "/usage":
            self._take_usage(call["window_id"], call["counts"])
            return 200
        spot = bool(call.get("spot"))
        if spot and self.spot_exhausted and call["desired_count"]:
            return 409
        key = (call["service"], call["zone"], spot)
        self.orders[key] = call["desired_count"]
        return 200

    def _take_usage(self, window: int, counts: dict[str, int]) -> None:
        if self.usage.setdefault(window, counts) != counts:
            self.conflicts.append(window)


def _name_subject(path: str, call: dict[str, Any]) -> tuple[str, str, str]:
    return path, call.get("service", ""), call.get("zone", "")
