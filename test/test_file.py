"""Tests of lagoonpost.declarations.file."""

from pathlib import Path

import pytest

from lagoonpost.declarations.content import format_content, parse_ticket
from lagoonpost.declarations.file import load_ticket
from lagoonpost.tables.ticket import InvalidTicket, Ticket

EXAMPLES = Path(__file__).parent.parent / "examples" / "tickets"

WRONG = """\
ticket: 0
reason: wrong all over
services:
  assistant:
    kind: model
    routes:
      - {path: /a, class: draft, repeatable: true, first: 1}
      - path: /b
        class: daft
        repeatable: true
        first: 1
  booking:
    kind: plain
workspaces:
  school:
    key_sha256: secret
runners:
  v1.engine-1:
    endpoint: localhost
    service: assistant
    version: v1
    host: h
    failure_domain: a
  v1.engine-2:
    endpoint: 127.0.0.1:80
    service: assistant
    version: v1
    host: h
    failure_domain: a
    slotz: 3
machines: {}
"""


def load(tmp_path: Path, text: str) -> Ticket | InvalidTicket:
    file = tmp_path / "ticket.yaml"
    file.write_text(text, encoding="utf-8")
    return load_ticket(file)


class TestFaults:
    def test_names_line_and_field_of_each(self, tmp_path: Path) -> None:
        loaded = load(tmp_path, WRONG)
        assert isinstance(loaded, InvalidTicket)
        lines_and_fields = [
            (fault.line, fault.field) for fault in loaded.errors
        ]
        assert lines_and_fields == [
            (1, "ticket"),
            (9, "services.assistant.routes[1].class"),
            (12, "services.booking"),
            (16, "workspaces.school.key_sha256"),
            (19, "runners.v1.engine-1.endpoint"),
            (30, "runners.v1.engine-2.slotz"),
            (31, "machines"),
        ]

    def test_object_given_twice_is_refused(self, tmp_path: Path) -> None:
        """A file lists the same runner twice.

        A YAML loader would keep the last state and silently drop the first.
        """
        text = "ticket: 1\nreason: r\nrunners:\n  a: {}\n  a: {}\n"
        loaded = load(tmp_path, text)
        assert isinstance(loaded, InvalidTicket)
        assert [(f.line, f.field) for f in loaded.errors] == [(5, "a")]

    @pytest.mark.parametrize(
        "text", ["", "a: [", "- 1", "ticket: 1\nreason: nothing touched\n"]
    )
    def test_what_is_no_ticket_is_a_fault(
        self, tmp_path: Path, text: str
    ) -> None:
        assert isinstance(load(tmp_path, text), InvalidTicket)


class TestExamples:
    @pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.yaml")))
    def test_loads_and_survives_the_wire(self, path: Path) -> None:
        ticket = load_ticket(path)
        assert isinstance(ticket, Ticket)
        assert parse_ticket(format_content(ticket)) == ticket
