"""Which parts of the scheduling are in effect."""

import pytest

from lagoonpost.systems.hub import MAX_MESH_GATEWAYS
from lagoonpost.systems.scheduling import choose_parts, parse_scheduling
from lagoonpost.tables.scheduling import ALL_PARTS, NO_PARTS, Scheduling


class TestParseScheduling:
    def test_named_parts_are_in_effect_at_any_size(self):
        setting = parse_scheduling("draws, speeds")
        wanted = Scheduling(draws=True, speeds=True)
        assert choose_parts(setting, 1) == wanted
        assert choose_parts(setting, 300) == wanted

    def test_an_unknown_part_is_named_in_the_error(self):
        """Guards against a misspelt part that is silently off."""
        with pytest.raises(ValueError, match="'speed'"):
            parse_scheduling("draws,speed")


class TestChooseParts:
    def test_few_gateways_keep_the_choice_of_the_best_of_all(self):
        setting = parse_scheduling("auto")
        assert choose_parts(setting, MAX_MESH_GATEWAYS) == NO_PARTS

    def test_many_gateways_use_all_parts(self):
        setting = parse_scheduling("auto")
        assert choose_parts(setting, MAX_MESH_GATEWAYS + 1) == ALL_PARTS

    def test_parts_stay_while_a_gateway_comes_and_goes(self):
        """Guards against parts that go in and out of effect at the limit.

        Suspicions of gateways come and go, and each one changed the urgencies
        that requests state.
        """
        setting = parse_scheduling("auto")
        parts = NO_PARTS
        seen = []
        for gateways in (16, 17, 16, 17, 12, 16):
            parts = choose_parts(setting, gateways, parts)
            seen.append(parts == ALL_PARTS)
        assert seen == [False, True, True, True, True, True]
        assert choose_parts(setting, 8, parts) == NO_PARTS

    @pytest.mark.parametrize("gateways", [1, 300])
    def test_off_holds_at_any_size(self, gateways):
        setting = parse_scheduling("off")
        assert choose_parts(setting, gateways) == NO_PARTS
