"""Tests of row merging, neighbour selection and refutation."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.membership import (
    BRIDGES_PER_REGION,
    RINGS,
    build_topology,
    choose_bridge_links,
    choose_neighbours,
    first_incarnation,
    mark_dead,
    mark_suspect,
    refute,
)
from lagoonpost.tables.fact import Fact, FactTable, merge_facts
from lagoonpost.tables.peer import (
    TOMBSTONE_SECONDS,
    Member,
    MemberTable,
    merge_members,
)

STATES = ("alive", "suspect", "dead", "left")
members_of_one_name = st.builds(
    Member,
    name=st.just("a"),
    address=st.sampled_from(("10.0.0.1:1", "10.0.0.2:1")),
    role=st.just("gateway"),
    region=st.just("north"),
    failure_domain=st.just("north-1"),
    incarnation=st.integers(1, 3),
    state=st.sampled_from(STATES),
    changed=st.sampled_from((1.0, 2.0)),
)
facts_of_one_key = st.builds(
    Fact,
    kind=st.just("version_tripped"),
    key=st.just("k"),
    rank=st.integers(1, 3),
    body=st.sampled_from((b"", b"x")),
    expires_after=st.sampled_from((10.0, 20.0)),
)


def make_member(number: int, region: str = "north", **fields) -> Member:
    row = Member(
        name=f"{region}-{number}",
        address=f"10.0.0.{number}:1",
        role="gateway",
        region=region,
        failure_domain=f"{region}-{number % 4}",
        incarnation=1,
    )
    return row._replace(**fields)


def check_merge(merge, one, two, three):
    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))
    assert merge(one, one) == one


class TestMerge:
    @given(facts_of_one_key, facts_of_one_key, facts_of_one_key)
    def test_facts_merge_alike_in_any_order(self, one, two, three):
        check_merge(merge_facts, one, two, three)

    @given(members_of_one_name, members_of_one_name, members_of_one_name)
    def test_members_merge_alike_in_any_order(self, one, two, three):
        check_merge(merge_members, one, two, three)

    @given(st.lists(facts_of_one_key), st.randoms())
    def test_digest_depends_on_rows_alone(self, facts, rng):
        first, second = FactTable(), FactTable()
        for fact in facts:
            first.merge(fact, 0.0)
        rng.shuffle(facts)
        for fact in facts + facts:
            second.merge(fact, 0.0)
        assert first.rows == second.rows
        assert first.digest.buckets == second.digest.buckets

    def test_expired_fact_does_not_come_back(self):
        """A runner that returned long ago gets no work.

        Its old leaving fact has expired everywhere except at a process whose
        clock is behind, which gossips it again.
        """
        table = FactTable()
        fact = Fact("runner_leaving", "r", 1, expires_after=10.0)
        table.merge(fact, 9.0)
        table.drop_expired(10.0)
        assert table.merge(fact, 10.0) is None
        assert table.rows == {}
        assert table.digest.buckets == FactTable().digest.buckets

    def test_tombstone_outlives_the_row_it_buries(self):
        """A failed host is listed again after a partition.

        A member that was partitioned for an hour still lists it as alive.
        """
        table = MemberTable()
        alive = make_member(1)
        dead = mark_dead(mark_suspect(alive, 100.0))
        table.merge(dead, 104.0)
        back = 104.0 + 3600
        table.drop_expired(back)
        assert table.merge(alive, back) is None
        table.drop_expired(105.0 + TOMBSTONE_SECONDS)
        assert table.rows == {}


class TestRefute:
    @given(members_of_one_name, members_of_one_name)
    def test_refutation_outranks_the_claim(self, me, claim):
        mine = me._replace(state="alive")
        row = refute(mine, claim, 50.0)
        if row is None:
            held = merge_members(mine, claim)
            assert held.state == "alive"
            assert held.incarnation == mine.incarnation
        else:
            assert merge_members(row, claim) == row
            assert row.incarnation > max(mine.incarnation, claim.incarnation)

    def test_restart_with_its_clock_behind_is_believed(self):
        earlier = make_member(1, incarnation=first_incarnation(900.0))
        restarted = earlier._replace(incarnation=first_incarnation(100.0))
        row = refute(restarted, earlier, 100.0)
        assert row is not None
        assert merge_members(earlier, row) == row

    def test_member_that_left_is_not_revived(self):
        left = make_member(1, state="left")
        assert refute(left, left._replace(state="dead"), 1.0) is None


class TestNeighbours:
    @given(st.integers(1, 60), st.sets(st.integers(0, 59), max_size=20))
    def test_all_are_reached_over_neighbours(self, count, avoided):
        """Some gateways never receive a change.

        After a loss, the remaining members form two groups that are not
        neighbours of each other.
        """
        rows = [make_member(number) for number in range(count)]
        topology = build_topology(rows, "north")
        avoid = {rows[n].name for n in avoided if 0 < n < count}
        reached = {rows[0].name}
        edge = [rows[0].name]
        while edge:
            name = edge.pop()
            near = set(choose_neighbours(topology, name, avoid)) - reached
            reached |= near
            edge.extend(near)
        assert reached == {row.name for row in rows} - avoid

    def test_number_does_not_grow_with_the_members(self):
        rows = [make_member(number) for number in range(320)]
        topology = build_topology(rows, "north")
        for row in rows:
            assert len(choose_neighbours(topology, row.name)) <= RINGS

    def test_only_bridges_talk_to_other_regions(self):
        rows = [
            make_member(number, region)
            for region in ("north", "south")
            for number in range(40)
        ]
        topology = build_topology(rows, "north")
        linked = [row for row in rows if choose_bridge_links(topology, row)]
        assert len(linked) == 2 * BRIDGES_PER_REGION
        for row in linked:
            names = choose_bridge_links(topology, row)
            assert all(not name.startswith(row.region) for name in names)

    def test_bridges_are_in_different_failure_domains(self):
        """Two regions are disconnected by the loss of one failure domain.

        All bridges were in that domain.
        """
        rows = [make_member(number) for number in range(40)]
        rows += [make_member(number, "south") for number in range(40)]
        topology = build_topology(rows, "north")
        linked = [row for row in rows if choose_bridge_links(topology, row)]
        domains = {row.failure_domain for row in linked}
        assert len(domains) == 2 * BRIDGES_PER_REGION
