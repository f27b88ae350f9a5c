"""Checks that the tests named in docs/GUARANTEES.md exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "GUARANTEES.md").read_text()
TABLE = PAGE.partition("## What checks each rule")[2].partition("\n## ")[0]
NAMED = r"(?:(test_\w+) )?(Test\w+)(?:\.(test_\w+))?"


class TestRules:
    def test_names_only_tests_that_there_are(self):
        """A renamed test must not leave a rule without its check."""
        named = re.findall(NAMED, TABLE)
        module = ""
        for module_name, class_name, test in named:
            module = module_name or module
            text = (ROOT / "test" / f"{module}.py").read_text()
            assert re.search(rf"^class {class_name}\b", text, re.M), class_name
            assert not test or f"def {test}(" in text, test
        assert len(named) > 40

    def test_names_only_promises_of_the_soak_that_there_are(self):
        """A renamed soak promise must not leave a rule without its check."""
        paths = sorted((ROOT / "soak").glob("*promises.py"))
        promises = "".join(path.read_text() for path in paths)
        named = re.findall(r"soak promise `([^`]+)`", TABLE)
        assert len(named) > 8
        for promise in named:
            assert f'"{promise}"' in promises, promise

    def test_each_rule_has_all_columns(self):
        """Every column is filled in, also for rules without a check."""
        rows = [line for line in TABLE.splitlines() if line.startswith("| ")]
        assert len(rows) > 25
        for row in rows:
            cells = [cell.strip() for cell in row.strip("|").split("|")]
            assert len(cells) == 5, row
            assert all(cells), row
