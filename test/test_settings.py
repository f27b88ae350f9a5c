"""Tests of lagoonpost.settings and the command that shows them."""

from click.testing import CliRunner

from lagoonpost.cli.main import main
from lagoonpost.http.message import Address
from lagoonpost.platform.settings import read_host_settings
from lagoonpost.settings import GatewaySettings, read_settings
from lagoonpost_standins.deployment import GatewayAddresses, make_settings

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


class TestHostBounds:
    def test_all_bounds_of_the_platforms_file_hold(self, tmp_path) -> None:
        """A bad version gets the share that another deployment allows."""
        wire = {
            "exposure_share": 0.02,
            "exposure_slack": 7,
            "config_apply_ms": 4000,
            "drain_ms": 3000,
            "contact_ms": 5000,
        }
        here = Address("127.0.0.1", 1)
        path = tmp_path / "boot.toml"
        addresses = GatewayAddresses(here, here, here, here)
        path.write_text(make_settings(1, addresses, here, here, bounds=wire))
        bounds = read_host_settings(str(path)).bounds
        assert (bounds.exposure_share, bounds.exposure_slack) == (0.02, 7.0)
        assert (bounds.apply_seconds, bounds.drain_seconds) == (4.0, 3.0)
        assert (bounds.propagation_seconds, bounds.contact_seconds) == (
            3.0,
            5.0,
        )


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
