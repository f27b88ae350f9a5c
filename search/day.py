"""Days: seeded schedules of planned work and faults, stored as TOML."""

import json
import re
import tomllib
from pathlib import Path
from typing import Annotated, NamedTuple, cast

import msgspec

Value = str | int | float
DayEvent = dict[str, Value]

_ERROR_FIELD = re.compile(r"at `\$\.(\w+)(?:\[(\d+)\])?")
"""Matches the field of a day in an error message, and the event's index."""

_Seconds = Annotated[float, msgspec.Meta(ge=0)]


class _EventSchema(msgspec.Struct, forbid_unknown_fields=True):
    """Schema of an event; the bench checks kinds and variants."""

    at: _Seconds
    kind: str
    for_s: _Seconds = 0
    gap_s: _Seconds = 0
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1
    count: Annotated[int, msgspec.Meta(ge=1)] = 1
    x: float = 1
    how: str = ""
    on: str = ""
    zone: str = ""
    to_zone: str = ""
    region: str = ""
    service: str = ""
    class_: str = msgspec.field(default="", name="class")


class _DaySchema(msgspec.Struct):
    """Schema of a day; fields that are not listed are passed on unchecked."""

    name: str
    seed: int
    slot: str = ""
    plan: list[_EventSchema] = []
    faults: list[_EventSchema] = []


class DayError(Exception):
    """A file has no valid day; the message names file, line and field."""


class Day(NamedTuple):
    """A seeded schedule of events, treated as immutable.

    Attributes:
        name: Label.
        seed: Seed from which the bench draws the rest of the day.
        events: Planned work, followed by the faults.
        planned_count: Number of events that are planned work.
        other_fields: Other fields of the file, unchanged.
    """

    name: str
    seed: int
    events: tuple[DayEvent, ...]
    planned_count: int
    other_fields: dict[str, object]

    def replace_event(self, index: int, event: DayEvent) -> "Day":
        """Return the day with the event at an index replaced."""
        before, after = self.events[:index], self.events[index + 1 :]
        return self._replace(events=(*before, event, *after))


def read_days(path: Path) -> list[Day]:
    """Return the days of a file.

    Raises:
        DayError: If the file has no day, or an invalid one.
    """
    text = path.read_text()
    try:
        tables = tomllib.loads(text).get("day")
    except tomllib.TOMLDecodeError as error:
        raise DayError(f"{path}: {error}") from error
    if not isinstance(tables, list) or not tables:
        raise DayError(f"{path}, line 1: day: no [[day]] in the file")
    lines = _find_lines(text)
    for number, table in enumerate(tables):
        try:
            msgspec.convert(table, _DaySchema)
        except msgspec.ValidationError as error:
            found = _ERROR_FIELD.search(str(error))
            field = (found[1], int(found[2] or 0)) if found else ("", 0)
            line = lines.get((number, *field), lines.get((number, "", 0)))
            raise DayError(f"{path}, line {line}: {error}") from error
    return [_make_day(table) for table in tables]


def _make_day(table: dict[str, object]) -> Day:
    fields = dict(table)
    name, seed = cast(str, fields.pop("name")), cast(int, fields.pop("seed"))
    plan = cast("list[DayEvent]", fields.pop("plan", []))
    faults = cast("list[DayEvent]", fields.pop("faults", []))
    return Day(name, seed, (*plan, *faults), len(plan), fields)


def _find_lines(text: str) -> dict[tuple[int, str, int], int]:
    """Return the line numbers of days, their fields and their events.

    Needed because `tomllib` reports no lines of values. Each event of a list
    must be on one line.

    Returns:
        Line numbers by index of the day, field (empty for the day itself) and
        index of the event.
    """
    lines = {}
    day, part, count = -1, "", 0
    for number, line in enumerate(text.splitlines(), 1):
        code = line.strip()
        if code.startswith("[[day]]"):
            day, part = day + 1, ""
            lines[(day, "", 0)] = number
        elif field := re.match(r"(\w+)\s*=", code):
            part, count = field[1], 0
            lines[(day, part, 0)] = number
        if part in ("plan", "faults") and not code.startswith("#"):
            for _ in range(code.count("{")):
                lines[(day, part, count)] = number
                count += 1
    return lines


def write_day(day: Day, comment: str = "") -> str:
    """Return a day as TOML, preceded by a comment line if one is given."""
    lines = [f"# {comment}"] if comment else []
    lines += [
        "[[day]]",
        f"name = {_format_value(day.name)}",
        f"seed = {day.seed}",
    ]
    lines += [
        f"{name} = {_format_value(value)}"
        for name, value in day.other_fields.items()
    ]
    written = [f"  {_format_value(event)}," for event in day.events]
    lines += ["plan = [", *written[: day.planned_count], "]"]
    lines += ["faults = [", *written[day.planned_count :], "]"]
    return "\n".join(lines) + "\n"


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        inner = ", ".join(
            f"{name} = {_format_value(v)}" for name, v in value.items()
        )
        return f"{{ {inner} }}"
    if isinstance(value, list):
        return f"[{', '.join(map(_format_value, value))}]"
    # Numbers and strings are the same in TOML and JSON, as long as JSON does
    # not escape characters outside the basic multilingual plane.
    return json.dumps(value, ensure_ascii=False)
