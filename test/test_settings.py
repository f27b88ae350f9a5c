"""Tests of lagoonpost.settings and the command that shows them."""

from click.testing import CliRunner

from lagoonpost.cli.main import main
from lagoonpost.settings import GatewaySettings, read_settings

GOOD = {
    "name": "gw-1",
    "listen": "127.0.0.1:8101",
    "platform": "127.0.0.1:8201",
    "signing_key": "a-secret-of-the-tests",
}


class TestReadSettings:
    def test_reads_good_ones(self) -> None:
        settings = read_settings(
            GatewaySettings, {**GOOD, "seeds": ("127.0.0.1:1",)}
        )
        assert isinstance(settings, GatewaySettings)
        assert settings.seeds[0].port == 1

    def test_names_every_fault_at_once(self) -> None:
        faults = read_settings(
            GatewaySettings,
            {
                "name": "Gw 1",
                "listen": "127.0.0.1",
                "signing_key": "short-secret",
                "grace": "-1",
                "operator_digests": ("abc",),
            },
        )
        assert isinstance(faults, list)
        assert {fault.setting for fault in faults} == {
            "name",
            "listen",
            "platform",
            "signing_key",
            "grace",
            "operator_digests",
        }
        assert not any("short-secret" in str(fault) for fault in faults)


class TestSettingsCommand:
    def test_shows_origins_and_hides_secrets(self) -> None:
        done = CliRunner().invoke(
            main,
            ["settings", "--name", "gw-1", "--listen", "127.0.0.1:1"],
            env={
                "LAGOONPOST_PLATFORM": "127.0.0.1:2",
                "LAGOONPOST_SIGNING_KEY": GOOD["signing_key"],
            },
        )
        assert done.exit_code == 0, done.output
        lines = {line.split()[0]: line for line in done.output.splitlines()}
        assert lines["name"].endswith("commandline")
        assert lines["platform"].endswith("environment")
        assert lines["grace"].endswith("default")
        assert GOOD["signing_key"] not in done.output

    def test_exits_with_usage_on_faults(self) -> None:
        done = CliRunner().invoke(main, ["gateway", "--grace", "x"])
        assert done.exit_code == 2
        assert "--grace: 'x'" in done.output
        assert "--listen" in done.output
