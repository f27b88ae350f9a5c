"""Checks a ticket's content, from a file or a request alike."""

import re
from collections.abc import Mapping
from typing import Any

import msgspec

from lagoonpost.declarations.schema import (
    KIND_BY_SECTION,
    SPEC_BY_KIND,
    find_unknown_fields,
)
from lagoonpost.tables.ticket import (
    ABSENT,
    FieldError,
    InvalidTicket,
    ObjectState,
    Ticket,
)

MAX_TICKET_NUMBER = 99_999_999
"""Row keys carry eight digits, so that they sort by number."""

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_HEAD = {"ticket", "reason"}


def parse_ticket(content: Any) -> Ticket | InvalidTicket:
    """Check plain data against the ticket format.

    Args:
        content: The file or request body, as dicts, lists and scalars.

    Returns:
        The ticket with each state in its one normal form, or all faults.
    """
    if not isinstance(content, Mapping):
        return InvalidTicket((FieldError("$", "expected a mapping"),))
    faults = _check_head(content)
    objects: dict[str, ObjectState] = {}
    for section, named in content.items():
        if section in _HEAD:
            continue
        if section not in KIND_BY_SECTION:
            allowed = ", ".join((*sorted(_HEAD), *KIND_BY_SECTION))
            faults.append(
                FieldError(str(section), f"unknown; one of {allowed}")
            )
        elif not isinstance(named, Mapping):
            faults.append(
                FieldError(section, "expected names and their states")
            )
        else:
            for name, raw in named.items():
                path = f"{section}.{name}"
                kind = KIND_BY_SECTION[section]
                state = _check_object(kind, name, raw, path, faults)
                objects[f"{kind}/{name}"] = state
    if not objects and not faults:
        faults.append(FieldError("$", "the ticket touches nothing"))
    if faults:
        return InvalidTicket(tuple(faults))
    return Ticket(content["ticket"], content["reason"], objects)


def format_content(ticket: Ticket) -> dict[str, Any]:
    """Return the plain data that ``parse_ticket`` reads as ``ticket``."""
    section_of = {kind: section for section, kind in KIND_BY_SECTION.items()}
    content: dict[str, Any] = {
        "ticket": ticket.number,
        "reason": ticket.reason,
    }
    for key, state in ticket.objects.items():
        kind, _, name = key.partition("/")
        content.setdefault(section_of[kind], {})[name] = state
    return content


def _check_head(content: Mapping[Any, Any]) -> list[FieldError]:
    faults = []
    number = content.get("ticket")
    # A YAML `true` is an int to Python.
    if type(number) is not int or not 1 <= number <= MAX_TICKET_NUMBER:
        message = f"expected a whole number from 1 to {MAX_TICKET_NUMBER}"
        faults.append(FieldError("ticket", message))
    reason = content.get("reason")
    if not isinstance(reason, str) or not reason.strip():
        faults.append(FieldError("reason", "expected why the change is made"))
    return faults


def _check_object(
    kind: str, name: Any, raw: Any, path: str, faults: list[FieldError]
) -> ObjectState:
    parts = name.split("/") if isinstance(name, str) else [""]
    if len(parts) != (2 if kind == "version" else 1):
        form = "SERVICE/VERSION" if kind == "version" else "one name"
        faults.append(FieldError(path, f"expected {form}"))
    elif not all(map(_NAME.fullmatch, parts)):
        message = "names have a-z, 0-9, dot, dash and underscore"
        faults.append(FieldError(path, f"{message}; at most 63 characters"))
    if raw == ABSENT:
        return ABSENT
    try:
        spec = msgspec.convert(raw, SPEC_BY_KIND[kind])
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(" - at `$")
        faults.append(FieldError(path + place.rstrip("`"), message))
        return ABSENT
    for unknown in find_unknown_fields(raw, spec):
        faults.append(FieldError(path + unknown[1:], "unknown field"))
    state: ObjectState = msgspec.to_builtins(spec)
    return state
