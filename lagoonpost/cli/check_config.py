"""The ``check-config`` command, which checks a configuration in a file."""

import json
from pathlib import Path
from typing import Any, NamedTuple

import click

from lagoonpost.cli.option import ExitCode, fail
from lagoonpost.declarations.document import (
    DocumentFault,
    Place,
    find_document_faults,
    list_objects,
    locate,
    read_document,
)
from lagoonpost.declarations.plan import Change, list_changes
from lagoonpost.platform.configuration import (
    DOCUMENT,
    InvalidRowError,
    decode_configuration,
)
from lagoonpost.platform.settings import SettingsError, read_host_settings
from lagoonpost.systems.configuration_check import (
    Deployment,
    Severity,
    check_configuration,
)
from lagoonpost.tables.bounds import Bounds
from lagoonpost.tables.quota import QuotaBounds
from lagoonpost.tables.ticket import ABSENT

_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


class _Line(NamedTuple):
    """A finding as it is printed."""

    severity: Severity
    path: str
    value: Any
    message: str

    def __str__(self) -> str:
        return (
            f"{self.severity}: {self.path}: {_format(self.value)}:"
            f" {self.message}"
        )


class _Difference(NamedTuple):
    """An entry that differs from the version in force, as it is printed."""

    kind: str
    entry: str
    changes: list[Change]

    def __str__(self) -> str:
        lines = [f"{self.kind}: {self.entry}"]
        lines += [
            f"  {c.field}: {_format(c.old)} -> {_format(c.new)}"
            for c in self.changes
        ]
        return "\n".join(lines)


@click.command("check-config")
@click.argument("file", type=_FILE)
@click.option(
    "--against",
    type=_FILE,
    help="The configuration in force, to show what differs.",
)
@click.option(
    "--settings",
    type=_FILE,
    help="A gateway's settings, for failure domains and bounds of quotas.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check_config(
    file: Path, against: Path | None, settings: Path | None, as_json: bool
) -> None:
    r"""Check the configuration in FILE before it is sent.

    Example: lagoonpost check-config new.json --against in-force.json

    API keys are shown as digests.

    \b
    Exit codes: 0 no errors (there may be warnings), 1 errors in FILE,
    2 wrong command line, or another file can't be read.
    """
    old = None if against is None else _read_other(against)
    body = file.read_bytes()
    document = read_document(body)
    differences: list[_Difference] = []
    if isinstance(document, DocumentFault):
        lines = [_Line("error", *document)]
    else:
        faults = find_document_faults(document, DOCUMENT)
        lines = [_Line("error", *fault) for fault in faults]
        if not faults:
            lines = _check(body, document, _describe(settings, old))
            differences = [] if old is None else _compare(old, document)
    if as_json:
        found = [line._asdict() for line in lines]
        listed = [
            difference._asdict()
            | {"changes": [c._asdict() for c in difference.changes]}
            for difference in differences
        ]
        click.echo(json.dumps({"findings": found, "differences": listed}))
    else:
        text = "\n".join(map(str, [*lines, *differences]))
        click.echo(text or "no faults")
    if any(line.severity == "error" for line in lines):
        raise click.exceptions.Exit(ExitCode.FAILED)


def _check(
    body: bytes, document: dict[str, Any], deployment: Deployment
) -> list[_Line]:
    try:
        configuration = decode_configuration(body)
    except InvalidRowError as error:
        return [_Line("error", "$", None, str(error))]
    return [
        _Line(
            finding.severity,
            *locate(document, DOCUMENT, Place(*finding.place)),
            finding.message,
        )
        for finding in check_configuration(configuration, deployment)
    ]


def _describe(settings: Path | None, old: dict[str, Any] | None) -> Deployment:
    """Return what is known of the deployment."""
    regions = None
    bounds = Bounds()
    if settings is not None:
        try:
            host = read_host_settings(str(settings))
        except SettingsError as error:
            raise fail(str(error), ExitCode.USAGE) from error
        regions, bounds = host.regions, host.bounds
    quota = QuotaBounds(
        bounds.quota_window, bounds.quota_overage, bounds.quota_slack
    )
    return Deployment(regions, quota, old["version"] if old else None)


def _read_other(path: Path) -> dict[str, Any]:
    document = read_document(path.read_bytes())
    faults = (
        [document]
        if isinstance(document, DocumentFault)
        else find_document_faults(document, DOCUMENT)
    )
    if faults:
        line = _Line("error", *faults[0])
        raise fail(f"{path}: {line}", ExitCode.USAGE)
    assert isinstance(document, dict)
    return document


def _compare(old: dict[str, Any], new: dict[str, Any]) -> list[_Difference]:
    before, after = (list_objects(each, DOCUMENT) for each in (old, new))
    removed = {key: ABSENT for key in before if key not in after}
    by_entry: dict[str, list[Change]] = {}
    for change in list_changes(before, after | removed):
        changes = by_entry.setdefault(change.key, [])
        if change.field not in ABSENT:
            changes.append(change)
    return [
        _Difference(
            "removed"
            if entry in removed
            else "changed"
            if entry in before
            else "added",
            entry,
            changes,
        )
        for entry, changes in by_entry.items()
    ]


def _format(value: Any) -> str:
    return "absent" if value is None else json.dumps(value)
