"""Stand-in for the cloud's API: usage reports and scaling orders."""

import time
from typing import Any, NamedTuple

import msgspec

from lagoonpost.http.message import Request, Response
from lagoonpost.http.responder import Responder


class AcceptedCall(NamedTuple):
    """An accepted call.

    Attributes:
        at: Time of the call, in seconds of the monotonic clock.
        subject: Path, service and failure domain of the call. One lease
            holder at a time may make calls for a subject.
        holder: Lease holder that made the call.
    """

    at: float
    subject: tuple[str, str, str]
    holder: str


class CloudStandin:
    """Records all calls and rejects those with an old fencing token.

    Attributes:
        usage: Usage counts by window, as first accepted.
        conflicts: Windows reported again with different counts.
        orders: Desired number of runners by service, failure domain and
            whether they are reclaimable.
        calls: Path, holder, fencing token and status of each call.
        accepted_calls: Accepted calls, in order.
        spot_exhausted: Whether orders for reclaimable runners fail.
        drop_responses: Whether to apply calls without answering them.
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
        status = self._apply(request.path, call, fence)
        self.calls.append((request.path, holder, fence, status))
        if status == 200:
            subject = _find_subject(request.path, call)
            self.accepted_calls.append(
                AcceptedCall(time.monotonic(), subject, holder)
            )
        if not self.drop_responses:
            await responder.send(Response(status))

    def _apply(self, path: str, call: dict[str, Any], fence: int) -> int:
        subject = _find_subject(path, call)
        if fence < self._fences.get(subject, 0):
            return 409
        self._fences[subject] = fence
        if path == "/usage":
            self._record_usage(call["window_id"], call["counts"])
            return 200
        spot = bool(call.get("spot"))
        if spot and self.spot_exhausted and call["desired_count"]:
            return 409
        key = (call["service"], call["zone"], spot)
        self.orders[key] = call["desired_count"]
        return 200

    def _record_usage(self, window: int, counts: dict[str, int]) -> None:
        if self.usage.setdefault(window, counts) != counts:
            self.conflicts.append(window)


def _find_subject(path: str, call: dict[str, Any]) -> tuple[str, str, str]:
    return path, call.get("service", ""), call.get("zone", "")
