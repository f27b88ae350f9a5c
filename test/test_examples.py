"""Checks that the settings of `make run` can be parsed."""

from pathlib import Path

from honcho.environ import parse

from lagoonpost.http.message import parse_address

ROOT = Path(__file__).parent.parent


class TestRunSettings:
    def test_names_the_entries_of_the_procfile(self) -> None:
        """`make run` starts and exits at once.

        This happens if the list of entries loses its spaces in the settings
        file: the first ticket is then sent to one address made of nine.
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
