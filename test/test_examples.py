"""Tests that what `make run` starts with can be read."""

from pathlib import Path

from honcho.environ import parse

from lagoonpost.http.message import parse_address

ROOT = Path(__file__).parent.parent


class TestRunSettings:
    def test_names_the_entries_of_the_procfile(self) -> None:
        """`make run` came up and ended at once.

        The list of entries lost its spaces on the way through the file of
        settings, so the first ticket was sent to one address made of nine.
        """
        settings = parse((ROOT / "examples" / "run.env").read_text())
        entries = settings["LAGOONPOST_ENTRY"].split()
        procfile = (ROOT / "Procfile").read_text()
        listened = [
            line.split("--listen ")[1].split()[0]
            for line in procfile.splitlines()
            if line.startswith("gateway-")
        ]
        assert [str(parse_address(entry)) for entry in entries] == listened
