"""Days of troubles: read from files, checked, and written."""

import json
import re
import tomllib
from pathlib import Path
from typing import NamedTuple, cast

Value = str | int | float
Trouble = dict[str, Value]

_NUMBER = (int, float)
_FIELDS: dict[str, tuple[type, ...]] = {
    "at": _NUMBER,
    "kind": (str,),
    "for_s": _NUMBER,
    "gap_s": _NUMBER,
    "share": _NUMBER,
    "x": _NUMBER,
    "count": (int,),
    "how": (str,),
    "on": (str,),
    "zone": (str,),
    "to_zone": (str,),
    "region": (str,),
    "service": (str,),
    "class": (str,),
}
"""Fields of a trouble with their types."""

_HEAD: dict[str, tuple[type, ...]] = {
    "name": (str,),
    "seed": (int,),
    "slot": (str,),
    "zero": _NUMBER,
    "one": _NUMBER,
}
"""Fields of a day that are checked; others are passed on as they are."""

_RANGES: dict[str, tuple[float, float]] = {
    "at": (0.0, float("inf")),
    "for_s": (0.0, float("inf")),
    "gap_s": (0.0, float("inf")),
    "share": (0.0, 1.0),
    "count": (1, float("inf")),
}
"""Least and greatest value of a trouble's numbers."""


class DayError(Exception):
    """A file holds no valid day; the text names file, line and field."""


class Day(NamedTuple):
    """A day; its parts are never changed in place.

    Attributes:
        name: Label.
        seed: What the bench draws the rest of the day from.
        plan: Planned work.
        faults: The rest of the troubles.
        head: The other fields as they stand in the file.
    """

    name: str
    seed: int
    plan: tuple[Trouble, ...]
    faults: tuple[Trouble, ...]
    head: dict[str, object]


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
    days = []
    for number, table in enumerate(tables):
        wrong = find_fault(table)
        if wrong:
            where, detail = wrong
            line = lines.get((number, *where), lines.get((number,), 1))
            raise DayError(f"{path}, line {line}: {detail}")
        days.append(_make_day(table))
    return days


def find_fault(
    table: dict[str, object],
) -> tuple[tuple[str, int], str] | None:
    """Return where a day's table is wrong and how; None if it is valid.

    A place is a field's name and, within a list of troubles, the number of
    the trouble; 0 for other fields.
    """
    for name, types in _HEAD.items():
        if name in table or name in ("name", "seed"):
            fault = _find_wrong(name, table.get(name), types)
            if fault:
                return (name, 0), fault
    for part in ("plan", "faults"):
        troubles = table.get(part, [])
        if not isinstance(troubles, list):
            return (part, 0), f"{part}: not a list of troubles"
        for number, trouble in enumerate(troubles):
            fault = _find_faulty_field(trouble)
            if fault:
                return (part, number), fault
    return None


def _find_faulty_field(trouble: object) -> str:
    if not isinstance(trouble, dict):
        return "a trouble is no table"
    for name in ("at", "kind"):
        if name not in trouble:
            return f"{name}: missing"
    for name, value in trouble.items():
        if name not in _FIELDS:
            return f"{name}: no field of a trouble"
        fault = _find_wrong(name, value, _FIELDS[name])
        if fault:
            return fault
    return ""


def _find_wrong(name: str, value: object, types: tuple[type, ...]) -> str:
    if value is None:
        return f"{name}: missing"
    if isinstance(value, bool) or not isinstance(value, types):
        kinds = " or ".join(each.__name__ for each in types)
        return f"{name}: {value!r} is not {kinds}"
    least, most = _RANGES.get(name, (float("-inf"), float("inf")))
    if isinstance(value, _NUMBER) and not least <= value <= most:
        return f"{name}: {value} is not within {least:g} to {most:g}"
    return ""


def _make_day(table: dict[str, object]) -> Day:
    own = ("name", "seed", "plan", "faults")
    return Day(
        name=cast(str, table["name"]),
        seed=cast(int, table["seed"]),
        plan=tuple(cast("list[Trouble]", table.get("plan", []))),
        faults=tuple(cast("list[Trouble]", table.get("faults", []))),
        head={name: each for name, each in table.items() if name not in own},
    )


def _find_lines(text: str) -> dict[tuple[object, ...], int]:
    """Return the lines of days, of their fields and of their troubles.

    The reader of TOML tells no lines. A trouble is a table in one line of a
    list, or a section of its own.
    """
    lines: dict[tuple[object, ...], int] = {}
    day, part, count = -1, "", {"plan": 0, "faults": 0}
    for number, line in enumerate(text.splitlines(), 1):
        code = line.strip()
        if code.startswith("#"):
            continue
        if code.startswith("[[day]]"):
            day, part, count = day + 1, "", {"plan": 0, "faults": 0}
            lines[(day,)] = number
        elif section := re.match(r"\[\[day\.(plan|faults)\]\]", code):
            lines[(day, section[1], count[section[1]])] = number
            count[section[1]] += 1
            part = "section"
        elif part != "section" and (field := re.match(r"(\w+)\s*=", code)):
            part = field[1]
            lines[(day, part, 0)] = number
        if part in count:
            for _ in range(code.count("{")):
                lines[(day, part, count[part])] = number
                count[part] += 1
    return lines


def write_day(day: Day, comment: str = "") -> str:
    """Return a day as the text of a file, a comment line before it."""
    lines = [f"# {comment}"] if comment else []
    lines += ["[[day]]", f"name = {_write(day.name)}", f"seed = {day.seed}"]
    lines += [f"{name} = {_write(each)}" for name, each in day.head.items()]
    for part, troubles in (("plan", day.plan), ("faults", day.faults)):
        lines += [f"{part} = ["]
        lines += [f"  {_write(each)}," for each in troubles]
        lines += ["]"]
    return "\n".join(lines) + "\n"


def _write(value: object) -> str:
    if isinstance(value, dict):
        inner = ", ".join(f"{name} = {_write(v)}" for name, v in value.items())
        return f"{{ {inner} }}"
    if isinstance(value, list):
        return f"[{', '.join(map(_write, value))}]"
    # A JSON string is a TOML string but for characters beyond the first plane.
    return json.dumps(value, ensure_ascii=False)
