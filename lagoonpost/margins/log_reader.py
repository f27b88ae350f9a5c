"""Reads gateways' logs, and says where a line can't be read."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple, cast

import msgspec

from lagoonpost.margins.line import MESSAGE_TYPES, Line, M, Message, Started
from lagoonpost.platform.settings import Bounds

_PREFIX = re.compile(rb" *(-?\d+\.\d+) (\S+) (?=\{)")
"""What stands before each object in a log of many gateways."""


class LogError(Exception):
    """A line can't be read; the text names file, line and reason."""


class _Envelope(msgspec.Struct):
    message_type: str = ""


class _RawLine(NamedTuple):
    """A line as it stands in a file.

    Attributes:
        number: Its number.
        elapsed: Seconds that stand before it; None if none do.
        gateway: Name that stands before it; empty if none does.
        raw: The object.
        whole: Whether the line has an end.
    """

    number: int
    elapsed: float | None
    gateway: str
    raw: bytes
    terminated: bool


class Logs:
    """Lines of all gateways.

    Attributes:
        start: Time in seconds since the epoch that others are told from.
    """

    def __init__(self) -> None:
        self.start = 0.0
        self._lines: dict[type[Message], list[Line[Message]]] = {}

    def add(self, lines: Iterable[Line[Message]]) -> None:
        """Add lines, in any order."""
        for line in lines:
            self._lines.setdefault(type(line.message), []).append(line)

    def sort(self) -> None:
        """Put the lines in the order of time."""
        for lines in self._lines.values():
            lines.sort(key=lambda each: each.at)

    def find(self, kind: type[M]) -> list[Line[M]]:
        """Return all lines of a kind."""
        return cast("list[Line[M]]", self._lines.get(kind, []))

    def find_bound(self, name: str) -> float | None:
        """Return a bound as gateways were told it; None if none says it."""
        for line in reversed(self.find(Started)):
            told = line.message.settings.get("bounds")
            if isinstance(told, list):
                bound = dict(zip(Bounds._fields, told, strict=False)).get(name)
                return None if bound is None else float(bound)
        return None


_DECODE_ENVELOPE = msgspec.json.Decoder(_Envelope).decode
_DECODE = {
    name: msgspec.json.Decoder(kind).decode
    for name, kind in MESSAGE_TYPES.items()
}


def read_logs(paths: Iterable[Path]) -> Logs:
    """Read logs.

    Raises:
        LogError: If a line can't be read.
    """
    logs = Logs()
    starts = []
    for path in paths:
        start, lines = _read_log(path)
        starts.append(start)
        logs.add(lines)
    logs.start = min((each for each in starts if each), default=0.0)
    logs.sort()
    return logs


def _read_log(path: Path) -> tuple[float, list[Line[Message]]]:
    """Return from when a log's times are told, and its lines."""
    start = at = 0.0
    own = ""
    said: list[tuple[float, str, Message]] = []
    with path.open("rb") as file:
        for row in _find_objects(path, file):
            message = _decode(path, row)
            if message is None:
                continue
            stamp = message.timestamp
            if not start and stamp:
                start = stamp - (row.elapsed or 0.0)
            # A line without a time was written with the one before it.
            at = stamp or at
            if row.elapsed is not None:
                at = start + row.elapsed
            elif isinstance(message, Started):
                name = str(message.settings.get("name", ""))
                if own and name != own:
                    detail = f"a line of {name} in a log of {own}"
                    raise _make_error(path, row.number, detail)
                own = name
            said.append((at, row.gateway, message))
    own = own or path.name.removesuffix(".log")
    return start, [
        Line(at, name or own, message) for at, name, message in said
    ]


def _find_objects(path: Path, file: Iterable[bytes]) -> Iterator[_RawLine]:
    """Yield the objects of a log, which has them in one of two forms.

    A gateway's own log has one object a line and nothing else. In a log of
    many, time and name stand before each, and other text among them.
    """
    many: bool | None = None
    other = 0
    for number, raw in enumerate(file, 1):
        match = None if raw.startswith(b"{") else _PREFIX.match(raw)
        whole = raw.endswith(b"\n")
        if match is not None:
            if many is False:
                raise _make_error(path, number, "no JSON object")
            many = True
            elapsed, gateway = float(match[1]), match[2].decode()
            rest = raw[match.end() :]
            yield _RawLine(number, elapsed, gateway, rest, whole)
        elif many:
            continue
        elif raw.startswith(b"{"):
            if other:
                raise _make_error(path, other, "no JSON object")
            many = False
            yield _RawLine(number, None, "", raw, whole)
        elif many is False and (whole or raw.strip()):
            raise _make_error(path, number, "no JSON object")
        else:
            other = other or number
    if many is None and other:
        raise _make_error(path, other, "no JSON object")


def _decode(path: Path, row: _RawLine) -> Message | None:
    """Return what a line says; None if no margin is read from it."""
    try:
        kind = _DECODE_ENVELOPE(row.raw).message_type
        decode = _DECODE.get(kind)
        return None if decode is None else decode(row.raw)
    except msgspec.DecodeError as error:
        if not row.terminated and not isinstance(
            error, msgspec.ValidationError
        ):
            # The process ended while it wrote its last line.
            return None
        raise _make_error(path, row.number, str(error)) from error


def _make_error(path: Path, number: int, detail: str) -> LogError:
    return LogError(f"{path}, line {number}: {detail}")
