"""Tests of lagoonpost.settings and of the ``settings`` command."""

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
                "memory_mb": "nan",
                "max_fds": "250",
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
            "memory_mb",
            "max_fds",
            "operator_digests",
        }
        assert not any("short-secret" in str(fault) for fault in faults)


class TestHostBounds:
    def test_the_hosts_memory_and_descriptors_are_read(self, tmp_path) -> None:
        """Guards against bounds of another host than the process has."""
        address = Address("127.0.0.1", 1)
        path = tmp_path / "boot.toml"
        for limits, expected in (
            ({"memory_mb": 160, "max_fds": 4100}, (160.0, 4100)),
            ({}, (0.0, 0)),
        ):
            path.write_text(
                make_settings(
                    1,
                    GatewayAddresses(*[address] * 4),
                    address,
                    address,
                    limits=limits,
                )
            )
            settings = read_host_settings(str(path))
            assert (settings.memory_mb, settings.max_fds) == expected

    def test_all_bounds_of_the_platforms_file_hold(self, tmp_path) -> None:
        """Guards against bounds in the settings file that are ignored.

        A faulty version would get the default share of the requests instead
        of the share that this deployment allows.
        """
        wire = {
            "exposure_share": 0.02,
            "exposure_slack": 7,
            "config_apply_ms": 4000,
            "drain_ms": 3000,
            "contact_ms": 5000,
        }
        address = Address("127.0.0.1", 1)
        path = tmp_path / "boot.toml"
        addresses = GatewayAddresses(address, address, address, address)
        path.write_text(
            make_settings(1, addresses, address, address, bounds=wire)
        )
        bounds = read_host_settings(str(path)).bounds
        assert (bounds.exposure_share, bounds.exposure_slack) == (0.02, 7.0)
        assert (bounds.apply_seconds, bounds.drain_seconds) == (4.0, 3.0)
        assert (bounds.propagation_seconds, bounds.contact_seconds) == (
            3.0,
            5.0,
        )


class TestSettingsCommand:
    def test_shows_origins_and_hides_secrets(self) -> None:
        result = CliRunner().invoke(
            main,
            ["settings", "--name", "gw-1", "--listen", "127.0.0.1:1"],
            env={
                "LAGOONPOST_PLATFORM": "127.0.0.1:2",
                "LAGOONPOST_SIGNING_KEY": GOOD["signing_key"],
            },
        )
        assert result.exit_code == 0, result.output
        lines = {line.split()[0]: line for line in result.output.splitlines()}
        assert lines["name"].endswith("commandline")
        assert lines["platform"].endswith("environment")
        assert lines["grace"].endswith("default")
        assert GOOD["signing_key"] not in result.output

    def test_exits_with_usage_on_faults(self) -> None:
        result = CliRunner().invoke(main, ["gateway", "--grace", "x"])
        assert result.exit_code == 2
        assert "--grace: 'x'" in result.output
        assert "--listen" in result.output
