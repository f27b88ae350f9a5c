"""Accepted chat requests while they run on this gateway."""

import asyncio
from typing import Any, NamedTuple, Protocol

import msgspec

from lagoonpost.gateway.prompt import ChatCall
from lagoonpost.gateway.token import EventSigner, StreamOrigin
from lagoonpost.http.message import Response, make_json_response
from lagoonpost.http.responder import Responder
from lagoonpost.runners.answer import Completed, Part, RelayedAnswer


class HandedOverRequest(NamedTuple):
    """A request that a leaving gateway handed to this one.

    Attributes:
        service: Service asked for.
        workspace: The only workspace that may fetch its answer.
        body: The caller's request.
        tokens: Tokens that were generated so far.
        until: When it may be forgotten, on the loop's clock.
    """

    service: str
    workspace: str
    body: dict[str, Any]
    tokens: tuple[str, ...]
    expires_at: float


class AnswerSink(Protocol):
    """Where an answer goes: a stream of events, or one whole response."""

    async def write_part(self, part: Part) -> None:
        """Take the tokens that one read from the runner brought."""

    async def keep_alive(self) -> None:
        """Show the caller that the answer is still coming."""

    async def complete(self, completed: Completed) -> None:
        """End the answer; it is whole."""

    async def move(self, entry: str) -> None:
        """Send the caller to another gateway for the rest."""

    async def fail(self, problem: Response) -> None:
        """End the answer with a problem."""


class BufferedAnswerSink:
    """Sink that answers a caller who waits for the whole answer.

    Args:
        responder: The caller's open response.
        key: Key that signs event ids.
        origin: The answer.
        tokens: Tokens that come before those written here.
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
        """Keep the tokens until the answer is whole."""
        self._origin = self._origin._replace(runner=part.runner)
        self._texts.append(part.text)

    async def keep_alive(self) -> None:
        """Do nothing: a whole answer has no bytes before its end."""

    async def complete(self, completed: Completed) -> None:
        """Send the whole answer as one chat completion."""
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
        """Redirect the caller to where the answer can be fetched."""
        token = EventSigner(self._key, self._origin).sign(0).decode()
        path = f"/v1/requests/{self._origin.request_id}?token={token}"
        location = ("location", f"http://{entry}{path}")
        await self._responder.send(
            make_json_response(303, {"entry": entry}, (location,))
        )

    async def fail(self, problem: Response) -> None:
        """Send the problem."""
        await self._responder.send(problem)


class ActiveAnswer:
    """One accepted chat request and the task that answers it.

    Attributes:
        origin: Identity of the answer and the runner that generates it.
        call: The caller's request.
        relayed: The answer on its way from a runner, once it has one.
        successor: Entry that the caller is sent to, once moved.
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
        """Have the answer's task send its caller to another gateway."""
        if self.successor is None:
            self.successor = entry
            self.detach()
            self._task.cancel()

    def detach(self) -> None:
        """Let the runner go on for whichever gateway is asked next."""
        if self.relayed is not None:
            self.relayed.detach()

    def encode_body(self) -> bytes:
        """Return the caller's request for a peer."""
        return msgspec.json.encode(self.call.body)
