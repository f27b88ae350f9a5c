"""Places, types and values in the operators' configuration document."""

import hashlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

HIDDEN = "api_keys"
"""Field whose values are shown as digests only."""
DIGEST_CHARS = 12
"""Characters of a key's digest that are shown: enough to tell keys apart."""


class Field(NamedTuple):
    """A field of an entry.

    Attributes:
        wire: Path within the entry, with dots between names.
        accepts: Returns whether a value has the right type.
        expected: What the field holds, for messages.
        required: Whether it must be there.
    """

    wire: str
    accepts: Callable[[Any], bool]
    expected: str
    required: bool = False


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


def _is_price_table(value: Any) -> bool:
    return isinstance(value, dict) and all(map(_is_number, value.values()))


def _is_split(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict)
        and _is_text(item.get("service"))
        and _is_number(item.get("weight"))
        for item in value
    )


def _text(wire: str, required: bool = False) -> Field:
    return Field(wire, _is_text, "a text", required)


def _number(wire: str) -> Field:
    return Field(wire, _is_number, "a number")


def _whole(wire: str, required: bool = False) -> Field:
    return Field(wire, _is_whole, "a whole number", required)


def _flag(wire: str) -> Field:
    return Field(wire, lambda v: isinstance(v, bool), "true or false")


def _texts(wire: str) -> Field:
    return Field(wire, _is_text_list, "a list of texts")


FIELDS: Mapping[str, Mapping[str, Field]] = {
    "routes": {
        "name": _text("name", True),
        "host": _text("host", True),
        "prefix": _text("prefix", True),
        "kind": Field(
            "kind",
            lambda value: value in ("safe", "unsafe", "streaming"),
            "safe, unsafe or streaming",
            True,
        ),
        "shares": Field(
            "traffic_split", _is_split, "a list with service and weight"
        ),
        "service": _text("service"),
        "timeout": _number("timeout_ms"),
        "target": _number("target_latency_ms"),
        "gap": _number("gap_target_ms"),
        "max_attempts": _whole("max_attempts"),
        "priority": _whole("priority"),
        "public": _flag("public"),
        "resumable": _flag("stream_resume"),
        "regions": _texts("allowed_regions"),
    },
    "services": {
        "name": _text("name", True),
        "health_path": _text("health_path"),
        "slots": _whole("engine.slots"),
        "kv_tokens": _whole("engine.kv_capacity"),
        "min_runners": _whole("scaling.min"),
        "max_runners": _whole("scaling.max"),
        "boot_seconds": _number("scaling.boot_s"),
        "spot_price": _number("scaling.spot_price"),
        "prices": Field(
            "scaling.zone_prices", _is_price_table, "a table of numbers"
        ),
        "cold_seconds": _number("cold_start_s"),
        "cold_rate": _number("cold_per_s"),
    },
    "workspaces": {
        "name": _text("name", True),
        "keys": _texts(HIDDEN),
        "priority": _whole("priority"),
        "rate": _number("rate_per_s"),
        "burst": _number("burst"),
        "by_tokens": _text("unit"),
        "default_tokens": _number("plain_tokens"),
        "regions": _texts("allowed_regions"),
    },
    "limits": {
        "head": _whole("max_header_bytes"),
        "body": _whole("max_body_bytes"),
        "head_seconds": _number("header_timeout_ms"),
        "idle_seconds": _number("idle_timeout_ms"),
    },
}
"""Fields by section and by the name that the configuration has for them."""

_SECTIONS = {
    "routes": "routes",
    "services": "services",
    "workspaces": "tenants",
}
"""Names of the sections that hold entries."""


def read_document(body: bytes) -> dict[str, Any] | DocumentFault:
    """Parse a document, whatever its fields hold."""
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return DocumentFault("$", None, str(error))
    if not isinstance(document, dict):
        return DocumentFault("$", None, "the configuration is an object")
    return document


def find_document_faults(document: dict[str, Any]) -> list[DocumentFault]:
    """Return the values that can't be decoded or that name an entry twice."""
    faults = list(
        _check_fields("$", document, {"version": _whole("version", True)})
    )
    if "routes" not in document:
        faults.append(DocumentFault("$.routes", None, "is missing"))
    for section, wire in _SECTIONS.items():
        entries = document.get(wire) or []
        if not isinstance(entries, list):
            faults.append(DocumentFault(f"$.{wire}", None, "is no list"))
            continue
        for index, entry in enumerate(entries):
            path = f"$.{wire}[{index}]"
            if not isinstance(entry, dict):
                faults.append(DocumentFault(path, entry, "is no object"))
                continue
            faults += _check_fields(path, entry, FIELDS[section])
            if section == "routes" and not (
                entry.get("service") or entry.get("traffic_split")
            ):
                faults.append(
                    DocumentFault(f"{path}.service", None, "is missing")
                )
        faults += _find_repeated_names(wire, entries)
    limits = document.get("limits") or {}
    if not isinstance(limits, dict):
        faults.append(DocumentFault("$.limits", None, "is no object"))
    else:
        faults += _check_fields("$.limits", limits, FIELDS["limits"])
    return faults


def _check_fields(
    path: str, entry: dict[str, Any], fields: Mapping[str, Field]
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
            elif value is not None and not field.accepts(value):
                shown = _hide(value) if field.wire == HIDDEN else value
                yield DocumentFault(place, shown, f"is not {field.expected}")


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


def locate(
    document: dict[str, Any],
    section: str,
    index: int | None,
    field: str,
    item: int | None,
    part: str,
) -> tuple[str, Any]:
    """Return the JSON path and the value of a place in the configuration.

    Args:
        document: The document.
        section: Name of the section, or of a field of the document.
        index: Number of the entry; None if the section has none.
        field: Name of the field; empty for the whole entry.
        item: Number of the item in the field; None for all.
        part: Field of the item; empty for the whole item.

    Returns:
        The path, and the value as it may be shown.
    """
    wire = ""
    if field:
        wire = FIELDS[section][field].wire
    wire_section = _SECTIONS.get(section, section)
    steps: list[str | int] = [wire_section]
    if index is not None:
        steps.append(index)
        entry = document[wire_section][index]
        if field == "shares" and not entry.get(wire):
            wire, item, part = FIELDS[section]["service"].wire, None, ""
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
    return path, _hide(value) if HIDDEN in steps else value


def _take(value: Any, step: str | int) -> Any:
    try:
        return value[step]
    except (KeyError, IndexError, TypeError):
        return None


def list_objects(document: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Return the entries by ``SECTION/NAME``, with digests for keys."""
    objects: dict[str, dict[str, Any]] = {
        f"{wire}/{entry['name']}": {
            name: _hide(value) if name == HIDDEN else value
            for name, value in entry.items()
        }
        for wire in _SECTIONS.values()
        for entry in document.get(wire) or []
    }
    if document.get("limits"):
        objects["limits"] = document["limits"]
    return objects


def _hide(value: Any) -> Any:
    if isinstance(value, list):
        return [_hide(item) for item in value]
    if not isinstance(value, str):
        return "hidden"
    digest = hashlib.sha256(value.encode()).hexdigest()
    return f"sha256:{digest[:DIGEST_CHARS]}"
