"""Days of troubles: read from files, checked, and written."""

import json
import re
import tomllib
from pathlib import Path
from typing import Annotated, NamedTuple, cast

import msgspec

Value = str | int | float
DayEvent = dict[str, Value]

_PLACE = re.compile(r"at `\$\.(\w+)(?:\[(\d+)\])?")
"""Field of a day in an error's text, and the number of the trouble."""

_Seconds = Annotated[float, msgspec.Meta(ge=0)]


class _Trouble(msgspec.Struct, forbid_unknown_fields=True):
    """Fields of a trouble; the bench looks at kinds and variants."""

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


class _Table(msgspec.Struct):
    """Fields of a day that are checked; others are passed on."""

    name: str
    seed: int
    slot: str = ""
    plan: list[_Trouble] = []
    faults: list[_Trouble] = []


class DayError(Exception):
    """A file holds no valid day; the text names file, line and field."""


class Day(NamedTuple):
    """A day; its parts are never changed in place.

    Attributes:
        name: Label.
        seed: What the bench draws the rest of the day from.
        troubles: Planned work, then the faults.
        planned: How many of these are planned work.
        head: The other fields as they stand in the file.
    """

    name: str
    seed: int
    events: tuple[DayEvent, ...]
    planned_count: int
    other_fields: dict[str, object]

    def replace_event(self, place: int, trouble: DayEvent) -> "Day":
        """Return the day with another trouble at a place."""
        before, after = self.events[:place], self.events[place + 1 :]
        return self._replace(events=(*before, trouble, *after))


def read_days(path: Path) -> list[Day]:
    """Return the days of a file.

    Raises:
        DayError: If the file holds none, or one that isn't valid.
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
            msgspec.convert(table, _Table)
        except msgspec.ValidationError as error:
            found = _PLACE.search(str(error))
            place = (found[1], int(found[2] or 0)) if found else ("", 0)
            line = lines.get((number, *place), lines.get((number, "", 0)))
            raise DayError(f"{path}, line {line}: {error}") from error
    return [_make_day(table) for table in tables]


def _make_day(table: dict[str, object]) -> Day:
    head = dict(table)
    name, seed = cast(str, head.pop("name")), cast(int, head.pop("seed"))
    plan = cast("list[Trouble]", head.pop("plan", []))
    faults = cast("list[Trouble]", head.pop("faults", []))
    return Day(name, seed, (*plan, *faults), len(plan), head)


def _find_lines(text: str) -> dict[tuple[int, str, int], int]:
    """Return the lines of days, of their fields and of their troubles.

    The reader of TOML tells no lines. In a list, a trouble is in one line.
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
    """Return a day as the text of a file, a comment line before it."""
    lines = [f"# {comment}"] if comment else []
    lines += ["[[day]]", f"name = {_write(day.name)}", f"seed = {day.seed}"]
    lines += [
        f"{name} = {_write(each)}" for name, each in day.other_fields.items()
    ]
    written = [f"  {_write(each)}," for each in day.events]
    lines += ["plan = [", *written[: day.planned_count], "]"]
    lines += ["faults = [", *written[day.planned_count :], "]"]
    return "\n".join(lines) + "\n"


def _write(value: object) -> str:
    if isinstance(value, dict):
        inner = ", ".join(f"{name} = {_write(v)}" for name, v in value.items())
        return f"{{ {inner} }}"
    if isinstance(value, list):
        return f"[{', '.join(map(_write, value))}]"
    # Numbers and strings are written in TOML as in JSON, unless JSON escapes
    # characters beyond the first plane.
    return json.dumps(value, ensure_ascii=False)
