"""Time until a configuration is in force at each of many gateways."""

import pytest
from configuration_play import APPLY_SECONDS, Trouble, play_change
from played_gateways import use_played_clock

SIZES = sorted(APPLY_SECONDS)
OUTAGE_CALLS_PER_SECOND = 1.0
"""Largest number of calls of a gateway that need not read a lost store: one to
each of two tables every two seconds."""
TROUBLES = {
    "none": Trouble(),
    "a-fifth-cut-off": Trouble(cut=0.2),
    "a-third-cut-off": Trouble(cut=0.33),
    "a-third-of-pairs-cut": Trouble(pairs=0.33),
    "most-pairs-cut": Trouble(pairs=0.7, versions=4),
    "a-fifth-killed": Trouble(killed=0.2),
    "a-third-killed": Trouble(killed=0.33),
    "readers-cut-off": Trouble(cut=0.33, readers=True),
    "readers-killed": Trouble(killed=0.33, readers=True),
    "storm": Trouble(versions=12),
    "storm-and-readers-cut-off": Trouble(cut=0.33, readers=True, versions=12),
    "large": Trouble(large=True),
    "large-and-readers-cut-off": Trouble(cut=0.33, readers=True, large=True),
    "starts": Trouble(restarted=0.33, versions=4),
    "store-silent-for-readers": Trouble(silent=0.35, readers=True),
    "store-silent-for-backups": Trouble(
        silent=0.35, readers=True, backups=True
    ),
    "all-at-once": Trouble(
        cut=0.33, silent=0.35, readers=True, versions=12, large=True
    ),
}


class TestManyGateways:
    """A gateway refuses what an acknowledged configuration allows."""

    @pytest.fixture(autouse=True)
    def played_clock(self, monkeypatch):
        use_played_clock(monkeypatch)

    @pytest.mark.parametrize("name", TROUBLES)
    @pytest.mark.parametrize("gateways", SIZES)
    def test_a_version_is_in_force_in_time(self, gateways, name):
        """Guards against a version that reaches some gateways too late.

        Peers that are asked for it are gone, lack it themselves or answer
        slowly, or nobody tells a gateway of it.
        """
        result = play_change(gateways, TROUBLES[name], seed=1)
        slowest = max(result.slowest, result.slowest_cut)
        assert slowest <= APPLY_SECONDS[gateways]

    @pytest.mark.parametrize("gateways", [67, 195])
    def test_an_outage_gets_few_calls(self, gateways):
        """Guards against calls of all gateways at a store that is away."""
        result = play_change(gateways, Trouble(silent=1.0), seed=1)
        assert result.calls < OUTAGE_CALLS_PER_SECOND * gateways * 10

    @pytest.mark.parametrize("gateways", [17, 67, 195])
    def test_others_make_no_store_calls_on_calm_days(self, gateways):
        """Guards against calls to the store by gateways that don't read it."""
        result = play_change(gateways, TROUBLES["storm"], seed=2)
        assert result.calls == 0
