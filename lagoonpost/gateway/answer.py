"""Chat answers in progress on this gateway, and where they are written."""

import asyncio
from typing import Any, NamedTuple, Protocol

import msgspec

from lagoonpost.gateway.prompt import ChatCall
from lagoonpost.gateway.token import EventSigner, StreamOrigin
from lagoonpost.http.message import Response, make_json_response
from lagoonpost.http.responder import Responder
from lagoonpost.runners.answer import Completed, Part, RelayedAnswer


class HandedOverRequest(NamedTuple):
    """A chat request that a gateway in shutdown handed over to this one.

    Attributes:
        service: Name of the requested service.
        workspace: The only workspace that may fetch the answer.
        body: Body of the caller's request.
        tokens: Tokens generated before the hand-over.
        expires_at: Time after which the request may be dropped, in seconds
            on the event loop's clock.
    """

    service: str
    workspace: str
    body: dict[str, Any]
    tokens: tuple[str, ...]
    expires_at: float


class AnswerSink(Protocol):
    """Destination of an answer: an event stream or one buffered response."""

    async def write_part(self, part: Part) -> None:
        """Accept the tokens of one read from the runner."""

    async def keep_alive(self) -> None:
        """Keep an idle connection to the caller open."""

    async def complete(self, completed: Completed) -> None:
        """Finish an answer that is complete."""

    async def move(self, entry: str) -> None:
        """Redirect the caller to the gateway at ``entry`` for the rest."""

    async def fail(self, problem: Response) -> None:
        """Finish the answer with a problem response."""


class BufferedAnswerSink:
    """Buffers an answer and sends it as one response.

    Args:
        responder: Responder of the caller's request.
        key: Key that signs event ids.
        origin: Identity of the answer.
        tokens: Tokens that precede the first part written to this sink.
    """

    def __init__(
        self,
        responder: Responder,
        key: bytes,
        origin: StreamOrigin,
        tokens: tuple[str, ...] = (),
    ) -> None:
        self._responder = responder
        self._key = key
        self._origin = origin
        self._texts = list(tokens)

    async def write_part(self, part: Part) -> None:
        """Buffer the tokens until the answer is complete."""
        self._origin = self._origin._replace(runner=part.runner)
        self._texts.append(part.text)

    async def keep_alive(self) -> None:
        """Do nothing: a buffered response sends no bytes before its end."""

    async def complete(self, completed: Completed) -> None:
        """Send the buffered answer as one chat completion."""
        message = {"role": "assistant", "content": "".join(self._texts)}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": completed.finish_reason,
        }
        answer = {
            "id": f"chatcmpl-{self._origin.request_id}",
            "object": "chat.completion",
            "model": self._origin.service,
            "choices": [choice],
            "usage": completed.usage,
        }
        headers = (("cache-control", "no-store"),)
        await self._responder.send(make_json_response(200, answer, headers))

    async def move(self, entry: str) -> None:
        """Redirect the caller to the URL of the answer at ``entry``."""
        token = EventSigner(self._key, self._origin).sign(0).decode()
        path = f"/v1/requests/{self._origin.request_id}?token={token}"
        location = ("location", f"http://{entry}{path}")
        await self._responder.send(
            make_json_response(303, {"entry": entry}, (location,))
        )

    async def fail(self, problem: Response) -> None:
        """Send the problem as the response."""
        await self._responder.send(problem)


class ActiveAnswer:
    """A chat request in progress and the task that answers it.

    Attributes:
        origin: Identity of the answer and the runner that generates it.
        call: The caller's request.
        relayed: Answer relayed from a runner, or None before a runner is
            chosen.
        successor: Entry address of the gateway that continues the answer,
            or None unless the answer has moved.
    """

    def __init__(self, origin: StreamOrigin, call: ChatCall) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._task = task
        self.origin = origin
        self.call = call
        self.relayed: RelayedAnswer | None = None
        self.successor: str | None = None

    def move(self, entry: str) -> None:
        """Make the answer's task redirect its caller to ``entry``."""
        if self.successor is None:
            self.successor = entry
            self.detach()
            self._task.cancel()

    def detach(self) -> None:
        """Leave the run on its runner for another gateway to resume."""
        if self.relayed is not None:
            self.relayed.detach()

    def encode_body(self) -> bytes:
        """Return the caller's request body, encoded for a peer."""
        return msgspec.json.encode(self.call.body)
