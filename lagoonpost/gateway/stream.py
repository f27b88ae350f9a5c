"""One caller's event stream: signed ids, visible life, a clear end."""

import asyncio
import time
from typing import Any

import msgspec

from lagoonpost.gateway.token import EventSigner, StreamOrigin
from lagoonpost.http.message import Headers, Response
from lagoonpost.http.responder import Responder
from lagoonpost.runners.answer import Completed, Part

# A teacher whose assistant went quiet gave up: callers and the proxies
# before them take 15 s without a byte for a dead connection.
KEEP_ALIVE_SECONDS = 5.0
STREAM_HEADERS: Headers = (
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
)
_DONE = b"data: [DONE]\n\n"
_encode = msgspec.json.Encoder().encode


class StreamingAnswerSink:
    """Writes one answer as chat-completion chunks.

    Args:
        responder: The caller's open response.
        key: Key that signs event ids.
        origin: The answer; its runner changes when the answer moves.
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
        # All but the text is the same in each chunk of a stream.
        self._head = _encode(head)[:-1]
        self._text_prefix = (
            self._head + b',"choices":[{"index":0,"delta":{"content":'
        )
        self._text_suffix = b'},"finish_reason":null}]}\n\n'

    async def write_part(self, part: Part) -> None:
        """Send the tokens that one read from the runner brought."""
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
        """Send a comment if nothing was sent for a while."""
        if self._loop.time() - self._last_write_at >= KEEP_ALIVE_SECONDS:
            await self._write(b": alive\n\n")

    async def complete(self, completed: Completed) -> None:
        """Send the closing chunk; only this makes a stream whole."""
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
        """Tell the caller where to resume, and close."""
        data = _encode({"entry": entry})
        await self._write(b"event: moved\ndata: %b\n\n" % data)
        await self._responder.finish()

    async def fail(self, problem: Response) -> None:
        """Send a problem: as the response, or as the last event."""
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
