"""Tells callers where to connect, and the platform whether we are ready."""

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
"""Addresses in one answer; callers read no more."""
TTL_SECONDS = 2.0
"""How long callers keep an answer. Some keep it three times as long, so a
gateway that leaves is asked for six seconds, which its grace has to cover;
shorter answers would only add calls."""


class Directory:
    """Answers both questions.

    Args:
        find_entries: Returns the addresses of all gateways that serve.
        is_ready: Tells whether this gateway serves.
        ttl_most: Most seconds that callers accept.
        rng: Chooses where there are too many addresses for one answer.
    """

    def __init__(
        self,
        find_entries: Callable[[], Sequence[Address]],
        is_ready: Callable[[], bool],
        ttl_most: float,
        rng: random.Random,
    ) -> None:
        self._find_entries = find_entries
        self._is_ready = is_ready
        self._ttl = min(TTL_SECONDS, ttl_most)
        self._rng = rng
        self._answers: dict[str, Callable[[], Response]] = {
            READY_PATH: self._answer_ready,
            RESOLVE_PATH: self._answer_entries,
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one question."""
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
