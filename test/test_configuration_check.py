"""Tests for the check of a configuration before it is sent."""

import json

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.cli.main import main
from lagoonpost.cli.option import ExitCode
from lagoonpost.declarations.document import find_document_faults
from lagoonpost.http.message import Address
from lagoonpost.platform.configuration import (
    DOCUMENT,
    decode_configuration,
)
from lagoonpost.systems.configuration_check import (
    Deployment,
    check_configuration,
)
from lagoonpost.tables.quota import QuotaBounds
from lagoonpost_standins.deployment import (
    KEY,
    GatewayAddresses,
    make_configuration,
    make_route,
    make_settings,
)

SOUND = make_configuration(
    routes=[
        make_route("draft", "streaming", "chat", stream_resume=True),
        make_route("check", "safe", "desk"),
    ]
)


def change(path: str, value):
    """Return a sound configuration with another value at a path."""
    document = json.loads(json.dumps(SOUND))
    *steps, last = [int(s) if s.isdigit() else s for s in path.split(".")]
    entry = document
    for step in steps:
        entry = entry[step] if isinstance(step, int) else entry.get(step)
    if isinstance(entry, list) and last == len(entry):
        entry.append(value)
    else:
        entry[last] = value
    return document


def run(folder, document, *options, against=None, settings=None):
    """Return the exit code and the output of the command."""
    (folder / "new.json").write_text(
        document if isinstance(document, str) else json.dumps(document)
    )
    arguments = ["check-config", str(folder / "new.json"), *options]
    if against is not None:
        (folder / "old.json").write_text(json.dumps(against))
        arguments += ["--against", str(folder / "old.json")]
    if settings is not None:
        (folder / "settings.toml").write_text(settings)
        arguments += ["--settings", str(folder / "settings.toml")]
    result = CliRunner().invoke(main, arguments)
    return result.exit_code, result.output


class TestRules:
    @pytest.mark.parametrize(
        ("path", "value", "severity", "place"),
        [
            ("routes.0.host", "", "error", "$.routes[0].host"),
            ("routes.0.prefix", "/draft", "error", "$.routes[0].prefix"),
            (
                "routes.2",
                make_route("draft", "safe", "desk") | {"name": "again"},
                "error",
                "$.routes[0].prefix",
            ),
            ("routes.1.service", "none", "error", "$.routes[1].service"),
            (
                "routes.1.traffic_split",
                [
                    {"service": "desk", "weight": 1},
                    {"service": "chat", "weight": 0},
                ],
                "warning",
                "$.routes[1].traffic_split[1].weight",
            ),
            (
                "routes.1.traffic_split",
                [{"service": "desk", "weight": 0}],
                "error",
                "$.routes[1].traffic_split",
            ),
            ("routes.1.timeout_ms", 499, "error", "target_latency_ms"),
            ("routes.0.gap_target_ms", 5001, "error", "gap_target_ms"),
            ("routes.1.gap_target_ms", 50, "warning", "gap_target_ms"),
            ("routes.1.kind", "unsafe", "warning", "$.routes[1].max_attempts"),
            ("routes.0.kind", "unsafe", "error", "$.routes[0].stream_resume"),
            ("routes.1.priority", 10, "warning", "$.routes[1].priority"),
            ("services.2", {"name": "old"}, "warning", "$.services[2]"),
            ("services.1.cold_per_s", 2, "warning", "cold_per_s"),
            (
                "services.0.scaling",
                {"min": 3, "max": 2, "zone_prices": {"domain-a": 1}},
                "error",
                "$.services[0].scaling.min",
            ),
            (
                "services.0.scaling",
                {"min": 1, "max": 2, "zone_prices": {"domain-x": 1}},
                "error",
                "$.services[0].scaling.zone_prices",
            ),
            (
                "tenants.1",
                {"name": "other", "api_keys": [KEY]},
                "error",
                "$.tenants[0].api_keys[0]",
            ),
            ("tenants.0.api_keys", [], "warning", "$.tenants[0].api_keys"),
            ("tenants.0.rate_per_s", 0.1, "error", "$.tenants[0].rate_per_s"),
            ("tenants.0.burst", 5, "warning", "$.tenants[0].burst"),
            (
                "routes.1.allowed_regions",
                ["there"],
                "error",
                "$.routes[1].allowed_regions[0]",
            ),
            ("limits.max_body_bytes", -1, "error", "$.limits.max_body_bytes"),
            ("version", 0, "error", "$.version"),
        ],
    )
    def test_finds_a_fault_at_its_place(
        self, tmp_path, path, value, severity, place
    ):
        address = Address("127.0.0.1", 1)
        addresses = GatewayAddresses(*[address] * 4)
        settings = make_settings(1, addresses, address, address)
        code, output = run(
            tmp_path,
            change(path, value),
            "--json",
            against=SOUND | {"version": 0},
            settings=settings,
        )
        findings = json.loads(output)["findings"]
        assert any(
            f["severity"] == severity and f["path"].endswith(place)
            for f in findings
        ), findings
        assert (code == ExitCode.FAILED) == (severity == "error")
        assert KEY not in output

    def test_a_sound_configuration_has_none(self, tmp_path):
        assert run(tmp_path, SOUND) == (0, "no faults\n")

    def test_a_quota_by_tokens_is_below_a_request(self):
        tenant = {"name": "t", "api_keys": ["k"], "unit": "tokens"}
        tenant |= {"rate_per_s": 10, "plain_tokens": 100}
        body = json.dumps(change("tenants.0", tenant)).encode()
        (finding,) = check_configuration(
            decode_configuration(body), Deployment(None, QuotaBounds(8.0, 0.1))
        )
        assert finding.place.field == "rate"

    def test_only_errors_fail(self, tmp_path):
        code, output = run(tmp_path, change("routes.1.priority", 10))
        assert code == 0
        assert output.startswith("warning: $.routes[1].priority: 10: ")


class TestDocument:
    @pytest.mark.parametrize(
        ("path", "value", "place"),
        [
            ("routes.0.kind", "saef", "$.routes[0].kind"),
            ("routes.0.timeout_ms", "5s", "$.routes[0].timeout_ms"),
            ("routes.0.name", None, "$.routes[0].name"),
            ("routes.1.name", "draft", "$.routes[1].name"),
            ("routes.1.service", None, "$.routes[1].service"),
            ("services.0.engine", 5, "$.services[0].engine.slots"),
            ("tenants.0.api_keys", KEY, "$.tenants[0].api_keys"),
            ("tenants", {}, "$.tenants"),
            ("version", None, "$.version"),
        ],
    )
    def test_tells_the_place_of_what_cannot_be_decoded(
        self, tmp_path, path, value, place
    ):
        """Guards against one message for a document of some hundred entries.

        A key in the wrong place must not be printed either.
        """
        document = change(path, value) if value != {} else SOUND | {path: 5}
        code, output = run(tmp_path, document)
        assert code == ExitCode.FAILED
        assert f"error: {place}: " in output
        assert KEY not in output

    def test_no_json_is_an_error(self, tmp_path):
        code, output = run(tmp_path, "{")
        assert (code, output[:9]) == (ExitCode.FAILED, "error: $:")

    @given(st.data())
    def test_what_has_no_faults_can_be_decoded(self, data):
        """Guards against an error without a place, from the decoder."""
        section = data.draw(st.sampled_from(["routes", "services", "tenants"]))
        fields = DOCUMENT.fields[
            "workspaces" if section == "tenants" else section
        ]
        wire = data.draw(st.sampled_from([f.wire for f in fields.values()]))
        value = data.draw(
            st.none()
            | st.booleans()
            | st.integers(-2, 2)
            | st.floats(allow_nan=False, allow_infinity=False)
            | st.sampled_from(["", "safe", "1", [], ["a"], {}, [{}], [1]])
        )
        document = change(f"{section}.0.{wire.partition('.')[0]}", value)
        if not find_document_faults(document, DOCUMENT):
            decode_configuration(json.dumps(document).encode())


class TestDifferences:
    def test_lists_what_is_added_removed_and_changed(self, tmp_path):
        new = change("routes.0.timeout_ms", 9000) | {"version": 2}
        new["routes"][1] |= {"name": "look", "prefix": "/look/"}
        new["tenants"][0]["api_keys"] = ["another-key"]
        code, output = run(tmp_path, new, against=SOUND)
        assert code == 0
        assert "changed: routes/draft\n  timeout_ms: 5000 -> 9000" in output
        assert "added: routes/look\n" in output
        assert "removed: routes/check\n" in output
        assert 'api_keys: ["sha256:' in output
        assert KEY not in output
        assert "another-key" not in output

    def test_an_unreadable_other_file_is_a_wrong_command(self, tmp_path):
        code, _ = run(tmp_path, SOUND, against={"version": "x"})
        assert code == ExitCode.USAGE
