"""Writes structured log lines to standard output without blocking."""

import asyncio
import json
import os
from collections import deque
from typing import Any

import eliot

MAX_BUFFERED_LINES = 2000
"""Limit for lines buffered for a slow reader; more are dropped and counted."""


class LogWriter:
    """An eliot destination with a bounded buffer.

    With blocking writes, a reader that stops reading would block the process
    at its next log line, and every request with it.

    Args:
        descriptor: File descriptor to write to.
    """

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._flush_scheduled = False

    def install(self) -> None:
        """Register as a destination of all eliot messages."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self)

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer one message and schedule a flush."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
        else:
            for unused in ("task_uuid", "task_level"):
                message.pop(unused, None)
            self._lines.append(_encode(message))
        # A full buffer is flushed too, or nothing would be written any more.
        if not self._flush_scheduled:
            self._flush_scheduled = True
            try:
                asyncio.get_running_loop().call_soon(self._flush)
            except RuntimeError:
                self._flush()

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self._dropped:
            dropped = {"message_type": "lagoonpost:log:dropped"}
            self._lines.append(_encode({**dropped, "lines": self._dropped}))
            self._dropped = 0
        while self._lines:
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            if written < len(line):
                self._lines.appendleft(line[written:])
                return


def _encode(message: dict[str, Any]) -> bytes:
    return (json.dumps(message, default=str) + "\n").encode()
