"""Tests of the assignment of hubs, store readers and contenders."""

import pytest

from lagoonpost.forwarding.peer_sync import READER_PAUSE_SECONDS
from lagoonpost.forwarding.reports import (
    HUB_REPORTS_PER_SECOND,
    REPORT_SECONDS,
)
from lagoonpost.systems.hub import (
    BACKUP_READERS_PER_DOMAIN,
    DUTY_CONTENDERS,
    MAX_MESH_GATEWAYS,
    MAX_SENIORITY_DELAY_SECONDS,
    MIN_HUBS,
    READER_LONG_POLL_SECONDS,
    ReportAge,
    choose_roles,
    find_reading_reason,
    find_seniority_delay,
)
from lagoonpost.systems.membership import first_incarnation
from lagoonpost.tables.peer import Member, MemberState


def make_members(count: int, domains: int) -> list[Member]:
    return [
        Member(
            name=f"gateway-{number:03}",
            address="127.0.0.1:1",
            role="gateway",
            region="here",
            failure_domain=f"domain-{number % domains}",
            incarnation=1,
        )
        for number in range(count)
    ]


def set_state(
    members: list[Member], name: str, state: MemberState
) -> list[Member]:
    return [
        each._replace(state=state) if each.name == name else each
        for each in members
    ]


class TestRoles:
    def test_few_gateways_form_a_mesh(self):
        members = make_members(MAX_MESH_GATEWAYS, 3)
        roles = choose_roles(members, ())
        assert roles.mesh
        assert set(roles.hubs) == roles.readers == {m.name for m in members}

    def test_many_have_a_hub_in_each_domain(self):
        members = make_members(90, 4)
        roles = choose_roles(members, ())
        domains = {m.name: m.failure_domain for m in members}
        assert len(roles.hubs) == 4
        assert {domains[name] for name in roles.hubs} == {
            f"domain-{number}" for number in range(4)
        }

    @pytest.mark.parametrize(
        ("gateways", "domains"), [(67, 3), (90, 4), (195, 5), (324, 8)]
    )
    def test_few_read_in_different_domains_however_many_there_are(
        self, gateways, domains
    ):
        """Calls to the store grow with the number of failure domains."""
        members = make_members(gateways, domains)
        roles = choose_roles(members, ())
        apart = {m.failure_domain for m in members if m.name in roles.readers}
        assert len(roles.readers) == len(apart) == 3
        assert roles.readers <= set(roles.hubs)

    def test_one_domain_has_several_hubs(self):
        roles = choose_roles(make_members(40, 1), ())
        assert len(roles.hubs) == MIN_HUBS

    def test_all_choose_alike_in_whatever_order(self):
        members = make_members(50, 3)
        assert choose_roles(members, ()) == choose_roles(members[::-1], ())

    def test_gateways_that_lost_the_store_are_skipped(self):
        """No gateway learns of a leaving runner.

        The store rejects the calls of all current readers, and they remain
        the readers.
        """
        members = make_members(82, 3)
        before = choose_roles(members, ())
        after = choose_roles(members, before.readers)
        assert not before.readers & after.readers
        assert len(after.hubs) == len(before.hubs)

    def test_hubs_stay_without_the_store(self):
        """Guards against hubs that change with each loss in an outage.

        Each reader of a store that is away loses it in turn. A hub that had
        just become one knew nobody's usage and refused nearly all requests.
        """
        members = make_members(82, 3)
        before = choose_roles(members, ())
        lost: set[str] = set()
        for _ in range(5):
            roles = choose_roles(members, lost)
            assert roles.hubs == before.hubs
            assert roles.readers <= roles.receivers
            assert roles.eligible_holders <= roles.receivers
            assert not roles.readers & lost
            lost |= roles.readers

    def test_all_have_lost_the_store(self):
        members = make_members(82, 3)
        names = {each.name for each in members}
        assert choose_roles(members, names) == choose_roles(members, ())

    def test_a_suspect_is_no_hub(self):
        members = make_members(82, 3)
        first = choose_roles(members, ()).hubs[0]
        roles = choose_roles(set_state(members, first, "suspect"), ())
        assert first not in roles.hubs


class TestSeniority:
    """Guards against hubs on slow links, which lose their summaries."""

    def start(self, links: list[float], at: float) -> list[Member]:
        """Return gateways that start within half a second after ``at``."""
        return [
            member._replace(
                incarnation=first_incarnation(
                    at + 0.5 * number / len(links), find_seniority_delay(link)
                )
            )
            for number, (member, link) in enumerate(
                zip(make_members(len(links), 3), links, strict=True)
            )
        ]

    def test_after_the_loss_of_all_gateways_hubs_have_fast_links(self):
        links = [5.0] * 76 + [100.0] * 6
        members = self.start(links, 1000.0)
        fast = {member.name for member in members[76:]}
        assert set(choose_roles(members, ()).hubs) <= fast

    def test_a_fast_gateway_does_not_replace_a_running_hub(self):
        members = self.start([5.0] * 82, 1000.0)
        hubs = choose_roles(members, ()).hubs
        late = first_incarnation(1010.0, find_seniority_delay(1000.0))
        restarted = members[-1]._replace(incarnation=late)
        assert restarted.name not in hubs
        assert choose_roles([*members[:-1], restarted], ()).hubs == hubs

    def test_the_speed_of_a_link_may_be_unknown(self):
        assert find_seniority_delay(0.0) == 0.0
        assert find_seniority_delay(0.001) == MAX_SENIORITY_DELAY_SECONDS


class TestNews:
    """When a gateway reads the store itself instead of relying on readers."""

    ROLES = choose_roles(make_members(90, 3), ())
    ORDINARY = "gateway-089"

    def find_who_reads(self, heard: ReportAge, bound: float = 3.0) -> set[str]:
        return {
            each.name
            for each in make_members(90, 3)
            if find_reading_reason(each.name, self.ROLES, heard, bound)
        }

    @pytest.mark.parametrize(("gateways", "bound"), [(90, 3.0), (320, 4.0)])
    def test_others_do_not_read_while_readers_are_active(
        self, gateways, bound
    ):
        """All gateways read the store although the readers are active."""
        crowd = max(1.0, gateways / HUB_REPORTS_PER_SECOND / REPORT_SECONDS)
        hub = REPORT_SECONDS * crowd
        oldest = ReportAge(
            hub, hub + READER_PAUSE_SECONDS + READER_LONG_POLL_SECONDS
        )
        assert self.find_who_reads(oldest, bound) == self.ROLES.readers

    def test_a_few_others_read_when_no_reader_does(self):
        """An unavailable store receives the calls of all gateways."""
        reading = self.find_who_reads(ReportAge(0.4, 2.3))
        assert reading == self.ROLES.readers | self.ROLES.backups
        assert len(self.ROLES.backups) == 3 * BACKUP_READERS_PER_DOMAIN
        assert not self.ROLES.backups & self.ROLES.readers

    def test_everyone_reads_before_it_is_too_late(self):
        """A configuration never comes, as all readers and backups are gone."""
        assert self.ORDINARY not in self.find_who_reads(ReportAge(0.4, 2.4))
        assert self.ORDINARY in self.find_who_reads(ReportAge(0.4, 2.6))

    def test_everyone_reads_when_the_hub_is_silent(self):
        """A configuration change takes effect too late."""
        assert self.ORDINARY in self.find_who_reads(ReportAge(2.3, 2.3))


class TestContenders:
    @pytest.mark.parametrize("gateways", [9, 67, 195])
    def test_contenders_are_in_different_domains(self, gateways):
        """No gateway acquires the duties when a failure domain is lost."""
        members = make_sorted_members(gateways)
        roles = choose_roles(members, ())
        domains = {m.name: m.failure_domain for m in members}
        assert (
            len({domains[name] for name in roles.contenders})
            == DUTY_CONTENDERS
        )
        assert set(roles.contenders) <= set(roles.hubs)

    @pytest.mark.parametrize("gateways", [9, 67])
    def test_gateway_that_lost_the_store_is_not_eligible(self, gateways):
        members = make_sorted_members(gateways)
        first = choose_roles(members, ()).contenders[0]
        roles = choose_roles(members, {first})
        assert first not in roles.contenders
        assert first not in roles.eligible_holders

    @pytest.mark.parametrize("gateways", [9, 67, 195])
    def test_restarted_gateway_takes_no_role(self, gateways):
        """The duties wait for gateways that have just started."""
        members = make_sorted_members(gateways)
        before = choose_roles(members[1:], ())
        back = members[0]._replace(incarnation=2)
        roles = choose_roles([back, *members[1:]], ())
        assert roles.contenders == before.contenders
        assert roles.mesh or roles.hubs == before.hubs

    def test_restart_elsewhere_does_not_move_the_duties(self):
        """A restart of another gateway moves the duties of a healthy one."""
        members = make_sorted_members(9)
        (last, *_) = members[-1:]
        assert last.name in choose_roles(members, ()).eligible_holders


def make_sorted_members(count: int) -> list[Member]:
    """Return members of three domains, each with consecutive names."""
    third = count // 3
    return [
        each._replace(failure_domain=f"domain-{min(2, number // third)}")
        for number, each in enumerate(make_members(count, 1))
    ]
