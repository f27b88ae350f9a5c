"""Checks that docs/REFERENCE.md documents the entire public interface."""

import re
from pathlib import Path

import click

from lagoonpost.cli.main import main
from lagoonpost.cli.option import ExitCode
from lagoonpost.gateway.server import HTTP_ROUTES

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "REFERENCE.md").read_text()
SOURCES = sorted((ROOT / "lagoonpost").rglob("*.py"))


def find_in_sources(pattern: str) -> set[str]:
    found: set[str] = set()
    for path in SOURCES:
        found.update(re.findall(pattern, path.read_text()))
    return found


class TestReference:
    def test_names_every_command(self) -> None:
        for name in main.commands:
            assert f"`{name}`" in PAGE or f"lagoonpost {name}" in PAGE, name

    def test_names_every_setting_of_a_gateway(self) -> None:
        for parameter in main.commands["gateway"].params:
            assert isinstance(parameter, click.Option)
            assert f"`{parameter.opts[0]}`" in PAGE
            assert f"`{parameter.envvar}`" in PAGE

    def test_names_every_setting_of_a_forwarding_gateway(self) -> None:
        for parameter in main.commands["serve"].params:
            assert isinstance(parameter, click.Option)
            assert f"`{parameter.opts[0]}`" in PAGE
            assert f"`{parameter.envvar}`" in PAGE

    def test_names_every_metric_of_a_forwarding_gateway(self) -> None:
        names = find_in_sources(r'"(lagoonpost_[a-z_]+)",\n')
        assert len(names) > 6
        for name in sorted(names):
            assert f"`{name}`" in PAGE, name

    def test_names_every_endpoint(self) -> None:
        for endpoint in HTTP_ROUTES:
            assert f"`{endpoint.path}`" in PAGE, endpoint.path

    def test_names_every_exit_code(self) -> None:
        for code in ExitCode:
            assert f"| {code.value} | {code.name} |" in PAGE, code

    def test_names_every_log_line(self) -> None:
        names = find_in_sources(r'message_type="(lagoonpost:[a-z_:]+)"')
        names |= {
            f"lagoonpost:answer:{word}"
            for word in find_in_sources(r'self\._log\("([a-z_]+)"')
        }
        assert len(names) > 10
        for name in sorted(names):
            assert f"`{name}`" in PAGE, name

    def test_names_every_metric(self) -> None:
        names = find_in_sources(r'metrics\.(?:count|time)\(f?"([a-z_]+)')
        assert len(names) > 4
        for name in sorted(names):
            assert re.search(rf"`{name}(\.REASON)?`", PAGE), name
