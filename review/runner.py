"""Stand-in for a runner, written after PROTOCOL.md; starts as a process too.

Each connection carries one request. Plain requests take ``work`` seconds and
get a signed answer. Requests with a ``Model`` header get a stream of events.
"""

import argparse
import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import NamedTuple


class Call(NamedTuple):
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Read one request with a length; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Call(method, target, headers, body)


def make_body(call: Call) -> bytes:
    """Return the whole body of the answer to a plain request."""
    line = f"answer to {call.headers.get('attempt-id')} {call.target}\n"
    return (line * 40).encode()


def make_event(call: Call, number: int) -> bytes:
    """Return one event of the answer to a streaming request."""
    attempt = call.headers.get("attempt-id")
    return f"id: {number}\ndata: {attempt} piece {number}\n\n".encode()


class Runner:
    """A runner on one address.

    Args:
        id_: Its id.
        note: Called with a line for each thing that it does.
        work: Seconds of work for a plain request, or between two events.
        events: Number of events of a stream.
        framed: Whether answers have a length or come in chunks; others end
            with their connection.

    Attributes:
        pause_after: Number of the event after which a stream pauses once, as
            that of a preempted request does; 0 for none.
        pause_seconds: Length of the pause.
        more_headers: Further headers of plain answers, each with its end.
    """

    def __init__(
        self,
        id_: str,
        note: Callable[[str], None],
        work: float = 0.02,
        events: int = 8,
        framed: bool = True,
    ) -> None:
        self.id = id_
        self.note = note
        self.work = work
        self.events = events
        self.framed = framed
        self.pause_after = 0
        self.pause_seconds = 0.0
        self.more_headers = ""
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            call = await read_call(reader)
            if call is not None:
                await self._answer(call, writer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    async def _answer(self, call: Call, writer: asyncio.StreamWriter) -> None:
        attempt = call.headers.get("attempt-id")
        if call.target == "/health":
            writer.write(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        if call.headers.get("target-instance", self.id) != self.id:
            writer.write(
                b"HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return
        self.note(f"runner {self.id} runs {attempt} {call.target}")
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            f"Response-Signature: signed.{self.id}.{attempt}\r\n"
        )
        if "model" in call.headers:
            await self._stream(call, writer, head)
            return
        head += self.more_headers
        body = make_body(call)
        if self.framed:
            await asyncio.sleep(self.work)
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
        else:
            head += "Connection: close\r\n\r\n"
            writer.write(head.encode() + body[: len(body) // 2])
            await asyncio.sleep(self.work)
            writer.write(body[len(body) // 2 :])
        self.note(f"runner {self.id} ends {attempt}")

    async def _stream(
        self, call: Call, writer: asyncio.StreamWriter, head: str
    ) -> None:
        last = int(call.headers.get("last-event-id", 0))
        head += "Content-Type: text/event-stream\r\n"
        framing = "Connection: close"
        if self.framed:
            framing = "Transfer-Encoding: chunked"
        writer.write(f"{head}{framing}\r\n\r\n".encode())
        for number in range(last + 1, self.events + 1):
            event = make_event(call, number)
            if self.framed:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(self.work)
            if number == self.pause_after:
                self.note(f"runner {self.id} pauses after event {number}")
                await asyncio.sleep(self.pause_seconds)
                self.note(f"runner {self.id} goes on")
        if self.framed:
            writer.write(b"0\r\n\r\n")
        attempt = call.headers.get("attempt-id")
        self.note(f"runner {self.id} ends {attempt} after event {last}")


async def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("id")
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    parser.add_argument("log")
    parser.add_argument("--work", type=float, default=0.02)
    parser.add_argument("--events", type=int, default=8)
    parser.add_argument("--unframed", action="store_true")
    given = parser.parse_args()
    with open(given.log, "a", buffering=1) as log:  # noqa: ASYNC230
        runner = Runner(
            given.id,
            lambda line: print(f"{time.time():.3f} {line}", file=log),
            given.work,
            given.events,
            framed=not given.unframed,
        )
        await runner.start(given.host, given.port)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
