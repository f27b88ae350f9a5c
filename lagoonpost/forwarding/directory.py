"""Service discovery for callers and the readiness check for the platform."""

import random
from collections.abc import Callable, Sequence

from lagoonpost.http.message import (
    Address,
    Request,
    Response,
    make_json_response,
)
from lagoonpost.http.responder import Responder
from lagoonpost.platform.headers import READY_PATH, RESOLVE_PATH

MAX_ADDRESSES = 64
"""Limit for the addresses in one answer; callers read no more."""
TTL_SECONDS = 2.0
"""How long callers cache an answer. Some callers cache it three times as long,
so a leaving gateway receives requests for six more seconds, which its grace
period has to cover. A shorter TTL would only add calls."""


class Directory:
    """Handles requests for the gateways' addresses and for readiness.

    Args:
        find_entries: Returns the addresses of all serving gateways.
        is_ready: Returns whether this gateway is ready to serve.
        max_ttl_seconds: Longest TTL that callers accept.
        rng: Samples the addresses if there are too many for one answer.
    """

    def __init__(
        self,
        find_entries: Callable[[], Sequence[Address]],
        is_ready: Callable[[], bool],
        max_ttl_seconds: float,
        rng: random.Random,
    ) -> None:
        self._find_entries = find_entries
        self._is_ready = is_ready
        self._ttl = min(TTL_SECONDS, max_ttl_seconds)
        self._rng = rng
        self._answers: dict[str, Callable[[], Response]] = {
            READY_PATH: self._answer_ready,
            RESOLVE_PATH: self._answer_entries,
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        answer = self._answers.get(request.path)
        await responder.send(answer() if answer else Response(404))

    def _answer_ready(self) -> Response:
        return Response(200 if self._is_ready() else 503)

    def _answer_entries(self) -> Response:
        entries = list(self._find_entries())
        if len(entries) > MAX_ADDRESSES:
            entries = self._rng.sample(entries, MAX_ADDRESSES)
        value = {
            "addresses": [str(entry) for entry in entries],
            "ttl_s": self._ttl,
        }
        return make_json_response(200, value)
