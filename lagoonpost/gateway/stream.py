"""Event stream of one answer: signed ids, keep-alives, an explicit end."""

import asyncio
import time
from typing import Any

import msgspec

from lagoonpost.gateway.token import EventSigner, StreamOrigin
from lagoonpost.http.message import Headers, Response
from lagoonpost.http.responder import Responder
from lagoonpost.runners.answer import Completed, Part

# Callers, and proxies between them and the gateway, give up on a connection
# after 15 s without a byte.
KEEP_ALIVE_SECONDS = 5.0
STREAM_HEADERS: Headers = (
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
)
_DONE = b"data: [DONE]\n\n"
_encode = msgspec.json.Encoder().encode


class StreamingAnswerSink:
    """Streams an answer as chat-completion chunks.

    Args:
        responder: Responder of the caller's request.
        key: Key that signs event ids.
        origin: Identity of the answer; its runner is updated whenever
            another runner continues the answer.
    """

    def __init__(
        self, responder: Responder, key: bytes, origin: StreamOrigin
    ) -> None:
        self._responder = responder
        self._key = key
        self._origin = origin
        self._signer = EventSigner(key, origin)
        self._loop = asyncio.get_running_loop()
        self._last_write_at = self._loop.time()
        head = {
            "id": f"chatcmpl-{origin.request_id}",
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": origin.service,
        }
        # Only the text differs between the chunks of a stream, so the rest is
        # encoded once.
        self._head = _encode(head)[:-1]
        self._text_prefix = (
            self._head + b',"choices":[{"index":0,"delta":{"content":'
        )
        self._text_suffix = b'},"finish_reason":null}]}\n\n'

    async def write_part(self, part: Part) -> None:
        """Send the tokens of one read from the runner."""
        if part.runner != self._origin.runner:
            self._origin = self._origin._replace(runner=part.runner)
            self._signer = EventSigner(self._key, self._origin)
        sign, before, after = (
            self._signer.sign,
            self._text_prefix,
            self._text_suffix,
        )
        data = b"".join(
            b"id: %b\ndata: %b%b%b"
            % (sign(number), before, _encode(token), after)
            for number, token in enumerate(part.tokens, part.offset + 1)
        )
        await self._write(data)

    async def keep_alive(self) -> None:
        """Send a comment if the stream was idle for `KEEP_ALIVE_SECONDS`."""
        if self._loop.time() - self._last_write_at >= KEEP_ALIVE_SECONDS:
            await self._write(b": alive\n\n")

    async def complete(self, completed: Completed) -> None:
        """Send the final chunk; a stream without it is incomplete."""
        choice = {
            "index": 0,
            "delta": {},
            "finish_reason": completed.finish_reason,
        }
        rest: dict[str, Any] = {"choices": [choice], "usage": completed.usage}
        chunk = self._head + b"," + _encode(rest)[1:]
        await self._write(b"data: %b\n\n%b" % (chunk, _DONE))
        await self._responder.finish()

    async def move(self, entry: str) -> None:
        """Send the entry at which to resume, and close the stream."""
        data = _encode({"entry": entry})
        await self._write(b"event: moved\ndata: %b\n\n" % data)
        await self._responder.finish()

    async def fail(self, problem: Response) -> None:
        """Send a problem as the response, or as the last event if started."""
        if not self._responder.started:
            await self._responder.send(problem)
            return
        await self._write(b"event: error\ndata: %b\n\n" % problem.body)
        await self._responder.finish()

    async def _write(self, data: bytes) -> None:
        self._last_write_at = self._loop.time()
        if not self._responder.started:
            request_id = ("x-request-id", self._origin.request_id)
            await self._responder.start(200, (*STREAM_HEADERS, request_id))
        await self._responder.write(data)
