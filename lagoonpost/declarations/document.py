"""Reads and checks JSON documents by tables of their fields.

A table gives the place of each field in an entry of the document. Decoding and
checking use the same tables: decoding takes whatever can be converted, so that
a document in force stays in force, and the check names all that is not as it
should be.
"""

import hashlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

DIGEST_CHARS = 12
"""Characters of a hidden value's digest that are shown: enough to tell the
values apart."""


class Kind(NamedTuple):
    """Kind of values.

    Attributes:
        accepts: Returns whether a value is of this kind.
        expected: What the values are, for messages.
        convert: Returns a value as it is used; None if the field is decoded
            otherwise.
    """

    accepts: Callable[[Any], bool]
    expected: str
    convert: Callable[[Any], Any] | None = None


class Field(NamedTuple):
    """A field of an entry.

    Attributes:
        wire: Path within the entry, with dots between names.
        kind: Kind of its values.
        default: Value of a field that is missing or empty.
        unit: Number of the document's units in one of ours.
        required: Whether the field must be there.
    """

    wire: str
    kind: Kind
    default: Any = None
    unit: float = 1.0
    required: bool = False


Fields = Mapping[str, Field]


class Schema(NamedTuple):
    """Fields of a document.

    Attributes:
        root: Fields of the document itself.
        sections: Name in the document of each section with entries.
        objects: Name in the document of each section that is one entry.
        fields: Fields by section and by our name.
        hidden: Name of the field whose values are shown as digests only.
        alternatives: For each section, fields of which an entry needs one;
            the last one is named if it has none.
    """

    root: Fields
    sections: Mapping[str, str]
    objects: Mapping[str, str]
    fields: Mapping[str, Fields]
    hidden: str
    alternatives: Mapping[str, tuple[str, ...]]


class DocumentFault(NamedTuple):
    """A value that can't be decoded.

    Attributes:
        path: JSON path of the value.
        value: The value as it may be shown; None if it is missing.
        message: What is wrong.
    """

    path: str
    value: Any
    message: str


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


def _is_text_list(value: Any) -> bool:
    return isinstance(value, list) and all(map(_is_text, value))


def _is_number_table(value: Any) -> bool:
    return isinstance(value, dict) and all(map(_is_number, value.values()))


def _convert_texts(value: list[Any]) -> tuple[str, ...]:
    return tuple(str(each) for each in value)


def _convert_table(value: dict[Any, Any]) -> dict[str, float]:
    return {str(name): float(number) for name, number in value.items()}


class Kinds:
    """The usual kinds of values."""

    ANY = Kind(lambda _: True, "")
    TEXT = Kind(_is_text, "a text", str)
    NUMBER = Kind(_is_number, "a number", float)
    WHOLE = Kind(_is_whole, "a whole number", int)
    FLAG = Kind(lambda v: isinstance(v, bool), "true or false", bool)
    TEXTS = Kind(_is_text_list, "a list of texts", _convert_texts)
    NUMBERS = Kind(_is_number_table, "a table of numbers", _convert_table)

    @staticmethod
    def choose_of(choices: Mapping[str, str]) -> Kind:
        """Return the kind of the names of choices.

        Args:
            choices: What each name stands for.
        """
        *names, last = choices
        return Kind(
            lambda value: _is_text(value) and value in choices,
            f"{', '.join(names)} or {last}",
            choices.__getitem__,
        )

    @staticmethod
    def list_of(fields: Mapping[str, Kind]) -> Kind:
        """Return the kind of lists of objects with these fields."""

        def accepts(value: Any) -> bool:
            return isinstance(value, list) and all(
                isinstance(item, dict)
                and all(k.accepts(item.get(n)) for n, k in fields.items())
                for item in value
            )

        return Kind(accepts, f"a list with {' and '.join(fields)}")


def read_fields(entry: dict[str, Any], fields: Fields) -> dict[str, Any]:
    """Return the converted values of an entry's fields, by our names.

    Raises:
        KeyError: If a required field is missing.
        AttributeError: If a field is within something else than an object.
        ValueError, TypeError: If a value can't be converted.
    """
    return {
        name: _read_field(entry, field, field.kind.convert)
        for name, field in fields.items()
        if field.kind.convert is not None
    }


def _read_field(
    entry: dict[str, Any], field: Field, convert: Callable[[Any], Any]
) -> Any:
    *outer, last = field.wire.split(".")
    for name in outer:
        entry = entry.get(name) or {}
    value = entry[last] if field.required else entry.get(last)
    if value is None or (not value and field.default is not None):
        return field.default
    converted = convert(value)
    return converted if field.unit == 1.0 else converted / field.unit


def read_document(body: bytes) -> dict[str, Any] | DocumentFault:
    """Parse a document, whatever its fields hold."""
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return DocumentFault("$", None, str(error))
    if not isinstance(document, dict):
        return DocumentFault("$", None, "the document is no object")
    return document


def find_document_faults(
    document: dict[str, Any], schema: Schema
) -> list[DocumentFault]:
    """Return the values that can't be decoded or that name an entry twice."""
    faults = list(_check_fields("$", document, schema.root, schema.hidden))
    for section, wire in schema.sections.items():
        if not isinstance(document.get(wire) or [], list):
            faults.append(DocumentFault(f"$.{wire}", None, "is no list"))
            continue
        entries = document.get(wire) or []
        for index, entry in enumerate(entries):
            path = f"$.{wire}[{index}]"
            faults += _check_entry(path, entry, section, schema)
        faults += _find_repeated_names(wire, entries)
    for section, wire in schema.objects.items():
        entry = document.get(wire) or {}
        faults += _check_entry(f"$.{wire}", entry, section, schema)
    return faults


def _check_entry(
    path: str, entry: Any, section: str, schema: Schema
) -> Iterator[DocumentFault]:
    if not isinstance(entry, dict):
        yield DocumentFault(path, None, "is no object")
        return
    fields = schema.fields[section]
    yield from _check_fields(path, entry, fields, schema.hidden)
    names = schema.alternatives.get(section, ())
    if names and not any(entry.get(name) for name in names):
        yield DocumentFault(f"{path}.{names[-1]}", None, "is missing")


def _check_fields(
    path: str, entry: dict[str, Any], fields: Fields, hidden: str
) -> Iterator[DocumentFault]:
    for field in fields.values():
        place = f"{path}.{field.wire}"
        value: Any = entry
        for name in field.wire.split("."):
            if value is None:
                break
            if not isinstance(value, dict):
                yield DocumentFault(place, value, "is in no object")
                break
            value = value.get(name)
        else:
            if value is None and field.required:
                yield DocumentFault(place, None, "is missing")
            elif value is not None and not field.kind.accepts(value):
                shown = _hide(value) if field.wire == hidden else value
                message = f"is not {field.kind.expected}"
                yield DocumentFault(place, shown, message)


def _find_repeated_names(
    wire: str, entries: list[Any]
) -> Iterator[DocumentFault]:
    first: dict[str, int] = {}
    for index, entry in enumerate(entries):
        name = entry.get("name") if isinstance(entry, dict) else None
        if not isinstance(name, str):
            continue
        if name in first:
            yield DocumentFault(
                f"$.{wire}[{index}].name",
                name,
                f"is the name of $.{wire}[{first[name]}] as well",
            )
        first.setdefault(name, index)


class Place(NamedTuple):
    """A place in a document, in our names.

    Attributes:
        section: Name of the section, or of a field of the document.
        number: Number of the entry; None if the section has none.
        field: Name of the field; empty for the whole entry.
        item: Number of the item in the field; None for all.
        part: Field of the item; empty for the whole item.
    """

    section: str
    number: int | None
    field: str
    item: int | None
    part: str


def locate(
    document: dict[str, Any], schema: Schema, place: Place
) -> tuple[str, Any]:
    """Return the JSON path of a place, and the value as it may be shown.

    A field that the entry doesn't have stands for the one that the entry has
    in its place, if there is one.
    """
    section, index, field, item, part = place
    wire = schema.fields[section][field].wire if field else ""
    names = {**schema.sections, **schema.objects}
    wire_section = names.get(section, section)
    steps: list[str | int] = [wire_section]
    if index is not None:
        steps.append(index)
        entry = document[wire_section][index]
        others = schema.alternatives.get(section, ())
        if wire in others and not entry.get(wire):
            wire, item, part = others[-1], None, ""
    steps += wire.split(".") if wire else []
    steps += [item] if item is not None else []
    steps += [part] if part else []
    value: Any = document
    path = "$"
    for step in steps:
        path += f"[{step}]" if isinstance(step, int) else f".{step}"
        value = _take(value, step)
    if index is not None and not field:
        value = value.get("name")
    return path, _hide(value) if schema.hidden in steps else value


def _take(value: Any, step: str | int) -> Any:
    try:
        return value[step]
    except (KeyError, IndexError, TypeError):
        return None


def list_objects(
    document: dict[str, Any], schema: Schema
) -> dict[str, dict[str, Any]]:
    """Return the entries by ``SECTION/NAME``, with digests for what is hidden.

    A section that is one entry has its own name.
    """
    objects: dict[str, dict[str, Any]] = {
        f"{wire}/{entry['name']}": {
            name: _hide(value) if name == schema.hidden else value
            for name, value in entry.items()
        }
        for wire in schema.sections.values()
        for entry in document.get(wire) or []
    }
    for wire in schema.objects.values():
        if document.get(wire):
            objects[wire] = document[wire]
    return objects


def _hide(value: Any) -> Any:
    if isinstance(value, list):
        return [_hide(item) for item in value]
    if not isinstance(value, str):
        return "hidden"
    digest = hashlib.sha256(value.encode()).hexdigest()
    return f"sha256:{digest[:DIGEST_CHARS]}"
