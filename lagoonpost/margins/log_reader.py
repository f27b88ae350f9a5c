"""Reads gateways' logs and reports invalid lines with their position."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple, cast

import msgspec

from lagoonpost.margins.line import MESSAGE_TYPES, Line, M, Message, Started
from lagoonpost.tables.bounds import Bounds

_PREFIX = re.compile(rb" *(-?\d+\.\d+) (\S+) (?=\{)")
"""Elapsed seconds and gateway name before an object of a combined log."""


class LogError(Exception):
    """A line is invalid; the message names file, line and reason."""


class _Envelope(msgspec.Struct):
    message_type: str = ""


class _RawLine(NamedTuple):
    """An undecoded line.

    Attributes:
        number: Line number, from 1.
        elapsed: Elapsed seconds in the prefix; None without a prefix.
        gateway: Gateway name in the prefix; empty without a prefix.
        raw: JSON object.
        terminated: Whether the line ends with a newline.
    """

    number: int
    elapsed: float | None
    gateway: str
    raw: bytes
    terminated: bool


class Logs:
    """Decoded lines of all gateways, by message class.

    Attributes:
        start: Earliest start of the logs, in seconds since the epoch; times
            are displayed relative to it.
    """

    def __init__(self) -> None:
        self.start = 0.0
        self._lines: dict[type[Message], list[Line[Message]]] = {}

    def add(self, lines: Iterable[Line[Message]]) -> None:
        """Add lines in any order."""
        for line in lines:
            self._lines.setdefault(type(line.message), []).append(line)

    def sort(self) -> None:
        """Sort the lines chronologically."""
        for lines in self._lines.values():
            lines.sort(key=lambda line: line.at)

    def find(self, kind: type[M]) -> list[Line[M]]:
        """Return all lines with messages of a class."""
        return cast("list[Line[M]]", self._lines.get(kind, []))

    def find_bound(self, name: str) -> float | None:
        """Return a bound from the gateways' settings, or None if absent."""
        for line in reversed(self.find(Started)):
            bounds = line.message.settings.get("bounds")
            if isinstance(bounds, list):
                bound = dict(zip(Bounds._fields, bounds, strict=False)).get(
                    name
                )
                return None if bound is None else float(bound)
        return None


_DECODE_ENVELOPE = msgspec.json.Decoder(_Envelope).decode
_DECODE = {
    name: msgspec.json.Decoder(kind).decode
    for name, kind in MESSAGE_TYPES.items()
}


def read_logs(paths: Iterable[Path]) -> Logs:
    """Read and merge logs.

    Raises:
        LogError: If a line is invalid.
    """
    logs = Logs()
    starts = []
    for path in paths:
        start, lines = _read_log(path)
        starts.append(start)
        logs.add(lines)
    logs.start = min((start for start in starts if start), default=0.0)
    logs.sort()
    return logs


def _read_log(path: Path) -> tuple[float, list[Line[Message]]]:
    """Return a log's start in seconds since the epoch, and its lines."""
    start = at = 0.0
    log_gateway = ""
    messages: list[tuple[float, str, Message]] = []
    with path.open("rb") as file:
        for row in _find_objects(path, file):
            message = _decode(path, row)
            if message is None:
                continue
            stamp = message.timestamp
            if not start and stamp:
                start = stamp - (row.elapsed or 0.0)
            # A line without a timestamp takes that of the previous line.
            at = stamp or at
            if row.elapsed is not None:
                at = start + row.elapsed
            elif isinstance(message, Started):
                name = str(message.settings.get("name", ""))
                if log_gateway and name != log_gateway:
                    detail = f"a line of {name} in a log of {log_gateway}"
                    raise _make_error(path, row.number, detail)
                log_gateway = name
            messages.append((at, row.gateway, message))
    log_gateway = log_gateway or path.name.removesuffix(".log")
    return start, [
        Line(at, name or log_gateway, message)
        for at, name, message in messages
    ]


def _find_objects(path: Path, file: Iterable[bytes]) -> Iterator[_RawLine]:
    """Yield the JSON objects of a log, which has one of two formats.

    A gateway's own log has one object per line and nothing else. A combined
    log of many gateways prefixes each object with the elapsed time and the
    gateway's name, and may contain other text in between.
    """
    combined: bool | None = None
    other_line = 0
    for number, raw in enumerate(file, 1):
        match = None if raw.startswith(b"{") else _PREFIX.match(raw)
        whole = raw.endswith(b"\n")
        if match is not None:
            if combined is False:
                raise _make_error(path, number, "no JSON object")
            combined = True
            elapsed, gateway = float(match[1]), match[2].decode()
            rest = raw[match.end() :]
            yield _RawLine(number, elapsed, gateway, rest, whole)
        elif combined:
            continue
        elif raw.startswith(b"{"):
            if other_line:
                raise _make_error(path, other_line, "no JSON object")
            combined = False
            yield _RawLine(number, None, "", raw, whole)
        elif combined is False and (whole or raw.strip()):
            raise _make_error(path, number, "no JSON object")
        else:
            other_line = other_line or number
    if combined is None and other_line:
        raise _make_error(path, other_line, "no JSON object")


def _decode(path: Path, row: _RawLine) -> Message | None:
    """Decode a line; return None if its type is not used by any margin."""
    try:
        kind = _DECODE_ENVELOPE(row.raw).message_type
        decode = _DECODE.get(kind)
        return None if decode is None else decode(row.raw)
    except msgspec.DecodeError as error:
        if not row.terminated and not isinstance(
            error, msgspec.ValidationError
        ):
            # The process died while writing its last line.
            return None
        raise _make_error(path, row.number, str(error)) from error


def _make_error(path: Path, number: int, detail: str) -> LogError:
    return LogError(f"{path}, line {number}: {detail}")
