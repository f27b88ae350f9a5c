"""Tests that CI tolerates exactly the failures listed in KNOWN-RED.txt."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import LIST, read_known_red

HERE = Path(__file__).parent
ENTRY = "{} | pytest {} | seen | issue 1\n"
TESTS = """
def test_fails():
    assert False

def test_passes():
    assert True
"""


def run_tests(folder: Path, *listed: str) -> str:
    """Run two tests with their own list and return the summary line."""
    tests = folder / "test"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        (tests / name).write_bytes((HERE / name).read_bytes())
    (tests / "test_two.py").write_text(TESTS)
    names = [f"test/test_two.py::{name}" for name in listed]
    entries = [ENTRY.format(name, name) for name in names]
    (folder / "KNOWN-RED.txt").write_text("".join(entries))
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"]
    result = subprocess.run(
        [*command, f"--rootdir={folder}", "test"],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )
    return result.stdout.strip().splitlines()[-1]


def inherits_test(node: ast.AST) -> bool:
    """Return whether a class inherits its test from a state machine."""
    return isinstance(node, ast.ClassDef) and any(
        isinstance(base, ast.Attribute) and base.attr == "TestCase"
        for base in node.bases
    )


class TestList:
    def test_each_listed_test_exists(self):
        for entry in read_known_red(LIST.read_text()):
            if entry.in_ci:
                path, *names = entry.test.split("::")
                tree = ast.parse((HERE.parent / path).read_text())
                found = {
                    node.name
                    for node in ast.walk(tree)
                    if isinstance(node, ast.ClassDef | ast.FunctionDef)
                }
                # Hypothesis state machines inherit `runTest`.
                if any(inherits_test(node) for node in ast.walk(tree)):
                    found.add("runTest")
                wanted = {name.partition("[")[0] for name in names}
                assert wanted <= found, entry.test

    def test_an_entry_without_an_issue(self):
        with pytest.raises(ValueError, match="not an entry"):
            read_known_red("test/test_two.py::test_fails | command | seen")


class TestPassingOver:
    def test_a_listed_test_that_fails(self, tmp_path):
        assert "1 passed, 1 xfailed" in run_tests(tmp_path, "test_fails")

    def test_a_listed_test_that_passes(self, tmp_path):
        """A fixed fault that stays listed would hide a regression."""
        summary = run_tests(tmp_path, "test_fails", "test_passes")
        assert "1 failed, 1 xfailed" in summary

    def test_a_test_that_is_not_listed(self, tmp_path):
        assert "1 failed, 1 passed" in run_tests(tmp_path)
