"""Decodes the bodies of chunked requests.

Load pattern: clients send bodies in chunks of a byte or with long extensions.
h11 makes an event of each chunk, which takes a hundred times as long as the
byte itself is worth; here a chunk takes a tenth of that, and the caller learns
how much of what it fed was framing.
"""

import re

from lagoonpost.http.body import BodyBuffer

_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\r\n\x00]*)?[ \t]*\r\n")
_TRAILER = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+:[ \t]*[^\x00\r\n]*\r\n")
_LINE_END = b"\r\n"
_HEX_DIGITS = b"0123456789abcdefABCDEF"
_AT_END = -1
"""Bytes left of a chunk whose content has ended without the end of a line."""


class ChunkError(Exception):
    """The body is not a valid sequence of chunks.

    Attributes:
        too_long: Whether a size line or the trailers are too long.
    """

    def __init__(self, detail: str, *, too_long: bool = False) -> None:
        super().__init__(detail)
        self.too_long = too_long


class ChunkDecoder:
    """Decodes one chunked body, fed as it arrives.

    Args:
        max_line: Longest line of a chunk's size and extensions, and longest
            trailers together, in bytes.

    Attributes:
        body: Content decoded so far.
        framing: Bytes fed that were no content.
        finished: Whether the body has ended.
        rest: Bytes fed that follow the body, once it has ended.
    """

    def __init__(self, max_line: int) -> None:
        self._max_line = max_line
        self._pending = b""
        self._left = 0
        self._in_trailers = False
        self._trailers = 0
        self.body = BodyBuffer()
        self.framing = 0
        self.finished = False
        self.rest = b""

    def feed(self, data: bytes, limit: int) -> None:
        """Decode what has arrived.

        Args:
            data: Bytes that follow those fed before.
            limit: Largest body in bytes; decoding stops beyond it.

        Raises:
            ChunkError: If the bytes are not valid.
        """
        data = self._pending + data
        position = 0
        before = self.body.size
        if not self._in_trailers:
            position = self._decode_chunks(data, limit)
        if self._in_trailers:
            position = self._skip_trailers(data, position)
        content = self.body.size - before
        self.framing += position - content
        if self.finished:
            self.rest, self._pending = data[position:], b""
            return
        self._pending = data[position:]
        if self.body.size <= limit and len(self._pending) > self._max_line:
            raise ChunkError(
                "a line of the framing is too long", too_long=True
            )

    def _decode_chunks(self, data: bytes, limit: int) -> int:
        """Append the content of chunks; return the position after them."""
        content, match = bytearray(), _SIZE_LINE.match
        room = limit - self.body.size
        position, left, end = 0, self._left, len(data)
        while len(content) <= room:
            if left > 0:
                part = data[position : position + left]
                content += part
                position += len(part)
                left -= len(part)
                if left:
                    break
                left = _AT_END
            if left == _AT_END:
                if not data.startswith(_LINE_END, position):
                    _check_prefix(data[position:], _LINE_END)
                    break
                position += 2
                left = 0
            line = match(data, position)
            if line is None:
                if _LINE_END in data[position:] or (
                    end - position and data[position] not in _HEX_DIGITS
                ):
                    raise ChunkError("a chunk has no valid size")
                break
            position = line.end()
            left = int(line[1], 16)
            if line.end() - line.start() > self._max_line:
                raise ChunkError("a chunk's line is too long", too_long=True)
            if not left:
                self._in_trailers = True
                break
        self._left = left
        self.body.append(content)
        return position

    def _skip_trailers(self, data: bytes, position: int) -> int:
        start = position
        while not data.startswith(_LINE_END, position):
            line = _TRAILER.match(data, position)
            if line is None:
                if _LINE_END in data[position:]:
                    raise ChunkError("a trailer is not a header field")
                break
            position = line.end()
        else:
            position += 2
            self.finished = True
        self._trailers += position - start
        if self._trailers > self._max_line:
            raise ChunkError("the trailers are too long", too_long=True)
        return position


def _check_prefix(data: bytes, expected: bytes) -> None:
    if not expected.startswith(data):
        raise ChunkError("a chunk is longer than its size")
