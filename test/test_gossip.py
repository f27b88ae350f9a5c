"""Gossip in virtual time: packet loss, partitions, pauses and restarts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from peer_network import Network, start_cluster, start_settled

from lagoonpost.systems.gossip import TICK_SECONDS
from lagoonpost.systems.packet import Call, Failed, Leave, Tick
from lagoonpost.tables.fact import Fact

HOUR = 3600.0
TRIP = Fact("version_tripped", "assistant/v2", 1)


def make_revision(number: int) -> Fact:
    return Fact("revision", "declaration", number)


class TestSpread:
    def test_fact_reaches_all_within_two_seconds(self):
        network = Network()
        names = start_cluster(network, 40)
        network.publish(names[17], TRIP)
        network.run(2.0)
        assert all(TRIP.id in network.facts(name) for name in names)

    def test_320_members_that_lose_a_failure_domain(self):
        """A runner still gets work seconds after its termination notice.

        At the target size, a failure domain with an eighth of the members is
        lost at the moment of the notice.
        """
        network = Network()
        start_settled(network, 320)
        network.run(1.0)
        for name, node in list(network.nodes.items()):
            if node.view.me.failure_domain == "south-d1":
                network.kill(name)
        assert len(network.nodes) == 280
        network.publish("north-100", TRIP)
        network.run(2.0)
        assert all(TRIP.id in network.facts(name) for name in network.nodes)

    def test_each_fact_costs_each_member_few_calls(self):
        """Gossip saturates the gateways' CPUs when a domain is reclaimed.

        A member pushes a fact again each time it receives the fact.
        """
        network = Network()
        names = start_cluster(network, 40)
        sent = []
        send = network._send
        network._send = lambda name, node, call: (
            sent.append(call.purpose),
            send(name, node, call),
        )
        network.publish(names[0], TRIP)
        network.run(5.0)
        assert sent.count("push") <= 3 * len(names)

    def test_lost_pushes_are_recovered(self):
        """One gateway serves a tripped version forever.

        All three pushes of the trip to this gateway were lost.
        """
        network = Network()
        names = start_cluster(network, 12)
        victim = names[5]
        network.cut = lambda one, other: victim in (one, other)
        network.publish(names[0], TRIP)
        network.run(0.9)
        network.cut = lambda one, other: False
        network.run(30.0)
        assert TRIP.id in network.facts(victim)

    def test_leaving_member_still_receives_facts(self):
        """A draft that a leaving gateway still relays is lost.

        The gateway had left the rings and received no more pushes, so it
        resumed the draft on a runner that was leaving as well.
        """
        network = Network()
        names = start_cluster(network, 8)
        network.step(names[3], Leave())
        network.run(10.0)
        assert all(names[3] not in network.serving(name) for name in names)
        network.publish(names[0], TRIP)
        network.run(2.0)
        assert TRIP.id in network.facts(names[3])

    def test_groups_that_started_apart_meet(self):
        """Two groups of gateways each admit whole quotas.

        Their seeds were not listening at the start, so each group settled by
        itself and considers itself the whole system.
        """
        network = Network()
        names = []
        for group in "ab":
            first = f"{group}-0"
            network.start(first)
            network.start(f"{group}-1", [first])
            names += [first, f"{group}-1"]
        network.run(3.0)
        assert len(network.serving("a-0")) == 2
        places = [network.nodes[name].view.me.address for name in names]
        network.nodes["b-1"].add_seeds(places)
        network.run(2.0)
        assert all(len(network.serving(name)) == 4 for name in names)

    def test_one_in_five_messages_lost(self):
        network = Network(loss=0.2, twice=0.2)
        names = [f"north-{number}" for number in range(12)]
        for number, name in enumerate(names):
            network.start(name, names[:1] if number else ())
        network.run(30.0)
        for number in range(10):
            network.publish(names[number], make_revision(number + 1))
            network.run(3.0)
        network.loss = 0.0
        network.run(60.0)
        network.check_converged()
        assert network.facts(names[11])["revision/declaration"].rank == 10


class TestDetection:
    def test_lost_member_is_dead_for_all(self):
        """Callers wait for a gateway whose host has failed.

        The host failed without notice, and the peers still list the gateway.
        """
        network = Network()
        names = start_cluster(network, 9)
        network.kill(names[4])
        network.run(20.0)
        network.check_converged()

    def test_silent_link_does_not_kill(self):
        """A healthy gateway is removed from the entry list.

        Only its link to one peer is broken, and that peer suspects it.
        """
        network = Network()
        names = start_cluster(network, 9)
        pair = set(names[2:4])
        network.cut = lambda one, other: {one, other} == pair
        for _ in range(60):
            network.run(1.0)
            for name in names:
                rows = network.nodes[name].view.members.rows.values()
                assert all(row.state == "alive" for row in rows)

    def test_address_given_to_another_does_not_hide_a_loss(self):
        """A failed gateway stays listed forever.

        The cloud reassigned its address to a new host, which answers the
        probes.
        """
        network = Network()
        names = start_cluster(network, 6)
        address = network.nodes[names[3]].view.me.address
        network.kill(names[3])
        network.start("new", names[:1], address=address)
        network.run(30.0)
        network.check_converged()

    def test_failure_domain_lost_at_once(self):
        """Some surviving members keep using a leaving runner.

        A quarter of the members failed at once, and the fact was pushed to
        failed members.
        """
        for seed in range(20):
            network = Network(seed)
            names = start_cluster(network, 24)
            for number in range(0, 24, 4):
                network.kill(names[number])
            network.publish(names[1], TRIP)
            network.run(2.0)
            assert all(TRIP.id in network.facts(n) for n in network.nodes)
            network.run(20.0)
            network.check_converged()


class TestSlow:
    """Members that are overloaded themselves do not suspect others."""

    def play(self, late: float) -> list[Call]:
        """Return a member's calls after a late tick and a failed probe."""
        network = Network()
        names = start_cluster(network, 6)
        node = network.nodes[names[0]]
        now = network.now
        node.step(Tick(), now, network.rng)
        now += TICK_SECONDS + late
        calls = node.step(Tick(), now, network.rng)
        lost = next(c for c in calls if getattr(c, "purpose", "") == "probe")
        actions = node.step(Failed(lost), now + 1.0, network.rng)
        return [a for a in actions if isinstance(a, Call)]

    def test_a_member_in_time_asks_others_about_a_silent_one(self):
        assert any(call.purpose == "ask" for call in self.play(0.1))

    def test_a_late_member_suspects_nobody(self):
        """Facts take four seconds to reach all members after a power loss.

        All hosts start together and are slow. They marked each other dead,
        and the refutations kept all of them slow.
        """
        assert not any(call.purpose == "ask" for call in self.play(0.8))


class TestFreeze:
    def test_thawed_member_serves_only_what_is_in_force(self):
        """A request is routed by an outdated configuration.

        A gateway was suspended for a minute and marked dead by its peers. On
        resuming it used its old facts from the first instruction.
        """
        network = Network()
        names = start_cluster(network, 6)
        frozen = network.nodes[names[2]]
        network.freeze(names[2])
        network.run(5.0)
        network.publish(names[0], make_revision(7))
        network.run(60.0)
        assert names[2] not in network.serving(names[0])
        network.thaw(names[2])
        assert not frozen.current(network.now)
        while not frozen.current(network.now):
            network.run(0.01)
        assert frozen.view.facts.rows["revision/declaration"].rank == 7
        network.run(30.0)
        network.check_converged()

    def test_thawed_member_condemns_nobody(self):
        """All gateways disappear from the entry list for some seconds.

        For a gateway that was suspended, all its calls had timed out.
        """
        network = Network()
        names = start_cluster(network, 6)
        for delay in (0.0, 0.3, 0.6, 0.9):
            network.run(delay)
            network.freeze(names[2])
            network.run(30.0)
            network.thaw(names[2])
            for _ in range(300):
                network.run(0.1)
                rows = network.nodes[names[0]].view.members.rows.values()
                others = [row for row in rows if row.name != names[2]]
                assert all(row.state == "alive" for row in others)

    def test_inquiry_older_than_the_freeze_is_dropped(self):
        """A gateway that was suspended suspects a healthy one.

        Indirect probes were pending before the pause, and the gateway takes
        the lack of answers during the pause for a failure of the peer.
        """
        network = Network()
        names = start_cluster(network, 6)
        network.cut = lambda one, other: names[2] in (one, other)
        network.run(2.5)
        network.freeze(names[2])
        network.cut = lambda one, other: False
        network.run(30.0)
        network.thaw(names[2])
        network.run(10.0)
        accused = {row.name for row in network.verdicts}
        assert accused == {names[2]}

    def test_answer_older_than_the_freeze_does_not_count(self):
        """A resumed gateway sends work to a leaving runner.

        The sync answer that waited in its socket during the pause was older
        than the runner's termination notice.
        """
        network = Network()
        names = start_cluster(network, 6)
        node = network.start("new", names[:1])
        network.run(0.001)
        network.freeze("new")
        network.run(20.0)
        network.publish(names[0], TRIP)
        network.run(20.0)
        network.thaw("new")
        while not node.current(network.now):
            network.run(0.001)
        assert TRIP.id in network.facts("new")

    def test_all_frozen_together_serve_again(self):
        network = Network()
        names = start_cluster(network, 6)
        for name in names:
            network.freeze(name)
        network.run(60.0)
        for name in names:
            network.thaw(name)
        network.run(30.0)
        network.check_converged()


class TestPartition:
    def test_two_regions_apart_for_an_hour(self):
        """An old configuration reappears, or a region is marked dead.

        The regions are partitioned for an hour, during which both publish
        facts and a host is replaced.
        """
        network = Network()
        names = start_cluster(network, 8, ("north", "south"))
        ending = Fact(
            "runner_leaving", "r", 1, expires_after=network.now + 600.0
        )
        network.publish("north-1", ending)
        network.publish("south-1", make_revision(1))
        network.run(5.0)
        network.cut = lambda one, other: one[:5] != other[:5]
        for minute in range(60):
            network.publish("north-2", make_revision(minute + 2))
            network.publish("south-3", Fact("crash_seen", str(minute), 1))
            network.run(60.0)
            if minute == 10:
                network.kill("south-5")
                network.start("south-new", ["south-1"], "south", "south-d1")
        for name in network.nodes:
            rows = network.nodes[name].view.members.rows.values()
            far = [row for row in rows if row.region != name[:5]]
            assert all(row.state == "alive" for row in far)
        network.cut = lambda one, other: False
        network.run(30.0)
        network.check_converged()
        facts = network.facts("south-new")
        assert facts["revision/declaration"].rank == 61
        assert ending.id not in facts
        assert len(facts) == 61
        assert "south-5" not in network.serving(names[0])

    def test_lost_region_is_judged_by_its_first_new_member(self):
        """Callers are sent to a region that was lost permanently.

        Other regions do not judge its members, and no member is left there.
        """
        network = Network()
        names = start_cluster(network, 8, ("north", "south"))
        for name in names[8:]:
            network.kill(name)
        network.run(60.0)
        assert len(network.serving(names[0])) == 16
        network.start("south-new", names[:1], "south")
        network.run(60.0)
        network.check_converged()

    def test_halves_of_a_region_find_each_other(self):
        """Two separate entry lists exist forever.

        Each half of a region marked the other dead and probed only its own
        members.
        """
        network = Network()
        names = start_cluster(network, 8)
        half = set(names[:4])
        network.cut = lambda one, other: (one in half) != (other in half)
        network.run(HOUR / 6)
        assert network.serving(names[0]) == half
        network.publish(names[0], make_revision(3))
        network.publish(names[7], make_revision(2))
        network.cut = lambda one, other: False
        network.run(60.0)
        network.check_converged()
        assert network.facts(names[7])["revision/declaration"].rank == 3

    def test_all_bridges_lost_at_once(self):
        network = Network()
        start_cluster(network, 10, ("north", "south"))
        view = network.nodes["north-0"].view
        view.neighbours(network.now)
        for name in view._topology.bridges["south"][:4]:
            network.kill(name)
        network.publish("north-0", TRIP)
        network.run(30.0)
        network.check_converged()
        assert len(network.nodes) == 16

    def test_all_bridges_replaced_while_regions_are_apart(self):
        """Two regions stay disconnected after a partition.

        During the partition each region lost all its bridges, the only
        members that the other region linked to.
        """
        network = Network()
        start_cluster(network, 10, ("north", "south"))
        view = network.nodes["north-0"].view
        view.neighbours(network.now)
        bridges = view._topology.bridges
        network.cut = lambda one, other: one[:5] != other[:5]
        for name in (*bridges["north"][:4], *bridges["south"][:4]):
            network.kill(name)
        network.run(HOUR / 6)
        network.cut = lambda one, other: False
        network.run(60.0)
        network.check_converged()


class GossipMachine(RuleBasedStateMachine):
    """Random packet loss, partitions, pauses, restarts and publications.

    The network checks that the rank of a fact never decreases at a member.
    At the end all faults are removed and all members must converge.
    """

    def __init__(self):
        super().__init__()
        self.network = Network(loss=0.05, twice=0.1)
        self.names = [f"north-{n}" for n in range(3)]
        self.names += [f"south-{n}" for n in range(3)]
        for name in self.names:
            self.start(name)
        self.network.run(10.0)
        self.revision = 0

    def start(self, name):
        seeds = [other for other in self.network.nodes if other != name]
        self.network.start(name, seeds, name[:5])

    @rule(data=st.data(), seconds=st.sampled_from((0.0, 0.5, 7.0)))
    @precondition(lambda self: self.network.nodes)
    def publish(self, data, seconds):
        name = data.draw(st.sampled_from(sorted(self.network.nodes)))
        self.revision += 1
        if name not in self.network.frozen:
            self.network.publish(name, make_revision(self.revision))
        self.network.run(seconds)

    @rule(data=st.data())
    def publish_late(self, data):
        awake = set(self.network.nodes) - set(self.network.frozen)
        if awake and self.revision:
            name = data.draw(st.sampled_from(sorted(awake)))
            number = data.draw(st.integers(1, self.revision))
            self.network.publish(name, make_revision(number))

    @rule(data=st.data(), seconds=st.sampled_from((0.0, 2.0, 20.0)))
    def restart(self, data, seconds):
        name = data.draw(st.sampled_from(self.names))
        if len(self.network.nodes) > 2 and name in self.network.nodes:
            self.network.kill(name)
            self.network.run(seconds)
        if name not in self.network.nodes:
            self.start(name)

    @rule(data=st.data())
    def freeze(self, data):
        awake = set(self.network.nodes) - set(self.network.frozen)
        if len(awake) > 2:
            self.network.freeze(data.draw(st.sampled_from(sorted(awake))))

    @rule(data=st.data())
    @precondition(lambda self: self.network.frozen)
    def thaw(self, data):
        frozen = sorted(self.network.frozen)
        self.network.thaw(data.draw(st.sampled_from(frozen)))

    @rule(group=st.sets(st.sampled_from(range(6))))
    def cut(self, group):
        side = {self.names[number] for number in group}
        self.network.cut = lambda one, other: (one in side) != (other in side)

    @rule(seconds=st.sampled_from((0.1, 3.0, 30.0)))
    def wait(self, seconds):
        self.network.run(seconds)

    def teardown(self):
        self.network.cut = lambda one, other: False
        self.network.loss = 0.0
        for name in list(self.network.frozen):
            self.network.thaw(name)
        for name in self.names:
            if name not in self.network.nodes:
                self.start(name)
        self.network.run(120.0)
        self.network.check_converged()


TestGossipMachine = GossipMachine.TestCase
TestGossipMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=25, stateful_step_count=20
)
