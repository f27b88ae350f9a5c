"""Compares the object states of a ticket with those in force."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from lagoonpost.tables.ticket import ABSENT, ObjectState


class Change(NamedTuple):
    """One field that a ticket changes.

    Attributes:
        key: Key of the object, ``KIND/NAME``.
        field: Name of the field.
        old: Value in force; None if absent or the default.
        new: Value in the ticket; None if absent or the default.
    """

    key: str
    field: str
    old: Any
    new: Any

    def __str__(self) -> str:
        return f"{self.key} {self.field}: {self.old!r} -> {self.new!r}"


def list_changes(
    old: Mapping[str, ObjectState], new: Mapping[str, ObjectState]
) -> list[Change]:
    """Return all fields whose values in ``new`` and ``old`` differ."""
    return [
        change
        for key, state in new.items()
        for change in _compare(key, old.get(key, ABSENT), state)
    ]


def _compare(key: str, old: ObjectState, new: ObjectState) -> Iterator[Change]:
    fields = dict.fromkeys((*old, *new))
    for field in fields:
        if old.get(field) != new.get(field):
            yield Change(key, field, old.get(field), new.get(field))
