"""Loads ticket files in YAML and reports each error with its line."""

import re
from pathlib import Path
from typing import Any

import yaml

from lagoonpost.declarations.content import parse_ticket
from lagoonpost.tables.ticket import FieldError, InvalidTicket, Ticket


def load_ticket(path: Path) -> Ticket | InvalidTicket:
    """Load a ticket file.

    Args:
        path: Path of a YAML file.

    Returns:
        The ticket, or all errors with file and line.

    Raises:
        OSError: If the file cannot be read.
    """
    loader = yaml.SafeLoader(path.read_text(encoding="utf-8"))
    try:
        node = loader.get_single_node()
        if node is None:
            return InvalidTicket(
                (FieldError("$", "the file is empty", str(path), 1),)
            )
        duplicates = _find_duplicates(node, str(path))
        if duplicates:
            return InvalidTicket(tuple(duplicates))
        content = loader.construct_document(node)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 1
        message = str(error.problem or error)
        return InvalidTicket((FieldError("$", message, str(path), line),))
    finally:
        loader.dispose()
    ticket = parse_ticket(content)
    if isinstance(ticket, Ticket):
        return ticket
    return InvalidTicket(
        tuple(
            fault._replace(file=str(path), line=_find_line(node, fault.field))
            for fault in ticket.errors
        )
    )


def _find_duplicates(node: yaml.Node, file: str) -> list[FieldError]:
    # YAML loaders keep the last of several equal keys. If a ticket lists an
    # object twice, its first state would be dropped silently.
    errors = []
    if isinstance(node, yaml.MappingNode):
        seen: set[Any] = set()
        for key, value in node.value:
            if key.value in seen:
                line = key.start_mark.line + 1
                errors.append(
                    FieldError(str(key.value), "duplicate key", file, line)
                )
            seen.add(key.value)
            errors += _find_duplicates(value, file)
    elif isinstance(node, yaml.SequenceNode):
        for item in node.value:
            errors += _find_duplicates(item, file)
    return errors


def _find_line(node: yaml.Node, field: str) -> int:
    """Return the line of the deepest node on the path to ``field``."""
    line = node.start_mark.line + 1
    rest = field
    while rest:
        step = _step_into(node, rest)
        if step is None:
            break
        node, line, rest = step
    return line


def _step_into(
    node: yaml.Node, rest: str
) -> tuple[yaml.Node, int, str] | None:
    # Names may contain dots, so the keys of the mapping decide where a name
    # ends.
    rest = rest.removeprefix(".")
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            text = str(key.value)
            tail = rest.removeprefix(text)
            if rest.startswith(text) and (not tail or tail[0] in ".["):
                return value, key.start_mark.line + 1, tail
    elif isinstance(node, yaml.SequenceNode):
        match = re.match(r"\[(\d+)\]", rest)
        if match and int(match[1]) < len(node.value):
            item = node.value[int(match[1])]
            return item, item.start_mark.line + 1, rest[match.end() :]
    return None
