"""Validates the content of a ticket, whether from a file or a request."""

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
"""Row keys hold the number in eight digits, so that they sort by it."""

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_HEAD = {"ticket", "reason"}


def parse_ticket(content: Any) -> Ticket | InvalidTicket:
    """Validate decoded data against the ticket format.

    Args:
        content: The decoded file or request body, made of dicts, lists and
            scalars.

    Returns:
        The ticket with every state in normalized form, or all errors.
    """
    if not isinstance(content, Mapping):
        return InvalidTicket((FieldError("$", "expected a mapping"),))
    errors = _check_head(content)
    objects: dict[str, ObjectState] = {}
    for section, states_by_name in content.items():
        if section in _HEAD:
            continue
        if section not in KIND_BY_SECTION:
            allowed = ", ".join((*sorted(_HEAD), *KIND_BY_SECTION))
            errors.append(
                FieldError(
                    str(section), f"unknown section; expected one of {allowed}"
                )
            )
        elif not isinstance(states_by_name, Mapping):
            errors.append(
                FieldError(section, "expected a mapping of names to states")
            )
        else:
            for name, raw in states_by_name.items():
                path = f"{section}.{name}"
                kind = KIND_BY_SECTION[section]
                state = _check_object(kind, name, raw, path, errors)
                objects[f"{kind}/{name}"] = state
    if not objects and not errors:
        errors.append(FieldError("$", "the ticket changes no objects"))
    if errors:
        return InvalidTicket(tuple(errors))
    return Ticket(content["ticket"], content["reason"], objects)


def format_content(ticket: Ticket) -> dict[str, Any]:
    """Return the data from which ``parse_ticket`` restores ``ticket``."""
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
    errors = []
    number = content.get("ticket")
    # A YAML `true` becomes a bool, which is a subclass of int.
    if type(number) is not int or not 1 <= number <= MAX_TICKET_NUMBER:
        message = f"expected a whole number from 1 to {MAX_TICKET_NUMBER}"
        errors.append(FieldError("ticket", message))
    reason = content.get("reason")
    if not isinstance(reason, str) or not reason.strip():
        errors.append(
            FieldError("reason", "expected the reason for the change")
        )
    return errors


def _check_object(
    kind: str, name: Any, raw: Any, path: str, errors: list[FieldError]
) -> ObjectState:
    segments = name.split("/") if isinstance(name, str) else [""]
    if len(segments) != (2 if kind == "version" else 1):
        form = "SERVICE/VERSION" if kind == "version" else "one name"
        errors.append(FieldError(path, f"expected {form}"))
    elif not all(map(_NAME.fullmatch, segments)):
        message = "names may contain a-z, 0-9, dot, dash and underscore"
        errors.append(FieldError(path, f"{message}; at most 63 characters"))
    if raw == ABSENT:
        return ABSENT
    try:
        spec = msgspec.convert(raw, SPEC_BY_KIND[kind])
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(" - at `$")
        errors.append(FieldError(path + location.rstrip("`"), message))
        return ABSENT
    for unknown in find_unknown_fields(raw, spec):
        errors.append(FieldError(path + unknown[1:], "unknown field"))
    state: ObjectState = msgspec.to_builtins(spec)
    return state
