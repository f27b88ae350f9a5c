"""How changes reach gateways from the store and from peers, and how fast."""

import asyncio

import pytest
from forwarding_stack import (
    Stack,
    make_configuration,
    play,
    wait_until,
)

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.daemon import ForwardingDaemon
from lagoonpost.http.message import Address
from lagoonpost.systems import hub


class TestNews:
    def test_a_leaving_runner_gets_no_new_requests(self):
        async def story(stack: Stack):
            await stack.register("desk-1", state="draining")
            belief = stack.gateways[0].view
            await wait_until(lambda: len(belief.find_runners("desk")) == 1)
            for _ in range(8):
                await stack.call("/check/1")
            return len(stack.runners["desk-1"].received)

        assert play(story) == 0

    def test_news_comes_from_peers_while_the_store_turns_us_away(self):
        """Guards against stale state at a gateway that the store refuses.

        A key is revoked and a runner leaves while the store serves only the
        other gateway. Without gossip the refused gateway would go on to
        accept the key and use the runner.
        """

        async def story(stack: Stack):
            for task in stack.gateways[1]._tasks[:1]:
                task.cancel()
            configuration = make_configuration(2, tenants=[])
            await stack.store.put("op", "config", configuration)
            await stack.register("desk-1", state="draining")
            belief = stack.gateways[1].view
            await wait_until(lambda: belief.version == 2)
            await wait_until(lambda: len(belief.find_runners("desk")) == 1)

        play(story, gateways=2)

    def test_an_older_configuration_never_returns(self):
        async def story(stack: Stack):
            await stack.store.put("op", "config", make_configuration(5))
            belief = stack.gateways[0].view
            await wait_until(lambda: belief.version == 5)
            await stack.store.put("op", "config", make_configuration(4))
            await stack.store.put("op", "config", make_configuration(6))
            await wait_until(lambda: belief.version == 6)

        play(story)

    def test_what_can_not_be_read_changes_nothing(self):
        async def story(stack: Stack):
            await stack.store.put("op", "config", b"{not json")
            await stack.store.put("servers", "odd-1", b"\xff\x00")
            await stack.store.put("servers", "odd-2", {"service": "desk"})
            await stack.register("desk-1", slots="many")
            await stack.register("desk-2", state="dancing")
            belief = stack.gateways[0].view
            await wait_until(lambda: not belief.find_runners("desk"))
            await stack.register("desk-1")
            await wait_until(lambda: bool(belief.find_runners("desk")))
            return await stack.call("/check/1")

        assert play(story).status == 200

    def test_the_feed_goes_on_after_its_history_is_lost(self):
        async def story(stack: Stack):
            stack.store.outage = "reset"
            await asyncio.sleep(0.1)
            await stack.store.put("op", "config", make_configuration(7))
            await stack.store.delete("servers", "desk-1")
            stack.store.compact_history()
            stack.store.outage = "none"
            belief = stack.gateways[0].view
            await wait_until(lambda: belief.version == 7)
            await wait_until(lambda: not belief.is_known("desk-1"))

        play(story)

    def test_a_thawed_gateway_reads_everything_anew(self):
        """Guards against stale state after a suspension of the host.

        The connections to the store die meanwhile and the feed's answer
        never comes. Until the call times out, the gateway would serve by
        its old state.
        """

        async def story(stack: Stack):
            daemon = stack.gateways[0]
            stack.store.outage = "silent"
            await stack.store.put("op", "config", make_configuration(9))
            stack.store.outage = "none"
            daemon._follower.restart()
            await wait_until(lambda: daemon.view.version == 9)

        play(story)

    def test_settings_change_with_and_without_a_signal(self):
        async def story(stack: Stack):
            daemon = stack.gateways[0]
            path = stack.folder / "gateway-1.toml"
            good = path.read_text()
            path.write_text("not toml")
            daemon._settings_watcher.reload()
            kept = daemon._settings_watcher.settings.bounds
            path.write_text(good.replace("[bounds]", "[bounds]\ngrace_s = 3"))
            await wait_until(
                lambda: daemon._settings_watcher.settings.bounds != kept
            )
            return (
                kept.grace_seconds,
                daemon._settings_watcher.settings.bounds.grace_seconds,
            )

        assert play(story) == (8.0, 3.0)

    def test_entries_that_lapsed_in_an_outage_are_kept_a_while(self):
        """Guards against dropping all runners after a store outage.

        All entries lapse in the outage. Applied at once, the deletions would
        leave no runner, although all of them serve and rewrite their entries
        within two seconds.
        """

        async def story(stack: Stack):
            belief = stack.gateways[0].view
            follower = stack.gateways[0]._follower.endpoints
            stack.store.outage = "reset"
            await stack.store.delete("servers", "none")
            await wait_until(lambda: follower.lost)
            for id_ in stack.runners:
                await stack.store.delete("servers", id_)
            stack.store.outage = "none"
            await wait_until(lambda: not follower.lost)
            kept = len(belief.find_runners("desk"))
            await stack.register("desk-2")
            await wait_until(lambda: not belief.is_known("desk-1"))
            return kept, [each.id for each in belief.find_runners("desk")]

        assert play(story) == (2, ["desk-2"])

    def test_a_runner_that_went_while_one_gateway_had_lost_the_store(self):
        """Guards against treating a runner's departure as a lapse.

        Only one gateway's connection to the store fails, and a runner leaves
        just as it recovers. If its entry counted as lapsed in an outage, it
        would get requests for two more seconds, although all other gateways
        know of its departure.
        """

        async def story(stack: Stack):
            daemon = stack.gateways[0]
            follower = daemon._follower.endpoints
            address = daemon._store._address
            daemon._store._address = Address("127.0.0.1", 9)
            daemon._follower.restart()
            await wait_until(lambda: follower.lost)
            daemon._store._address = address
            await wait_until(lambda: not follower.lost)
            # Only changes that are applied at once count here.
            daemon.view.drop_lapsed = list
            await stack.store.delete("servers", "desk-1")
            await wait_until(lambda: not daemon.view.is_known("desk-1"))

        play(story, gateways=3)


class TestFetch:
    def test_a_silent_peer_does_not_delay_a_configuration(self):
        """Guards against a long wait for a configuration from a dead peer.

        A host that has just disappeared counts as alive for some seconds. A
        gateway that asks it for a configuration gets no answer, and would
        serve by the old configuration meanwhile.
        """

        async def story(stack: Stack):
            daemon = stack.gateways[0]
            asked: list[str] = []

            async def stay_silent(peer, request, timeout):
                asked.append(peer.name)
                await asyncio.Event().wait()

            daemon._cluster.peers.fetch = stay_silent
            for task in daemon._tasks[:1]:
                task.cancel()
            await stack.store.put("op", "config", make_configuration(2))
            await wait_until(lambda: daemon.view.version == 2)
            return asked, daemon._cluster._fetcher.find_wanted_seconds()

        asked, wanted = play(story, gateways=2)
        assert asked
        assert wanted == 0


class TestAcquaintance:
    def test_groups_that_started_apart_meet(self):
        """Guards against two groups of gateways that never find each other.

        Two pairs of gateways start without the rows by which they find each
        other, as these came late. Each pair would take itself for the whole
        system and admit whole quotas.
        """

        async def story(stack: Stack):
            await forget_gateways(stack)
            for _ in range(2):
                await stack.add_gateway()
            await wait_until(
                lambda: all(
                    len(each._cluster.peers.members()) == 4
                    for each in stack.gateways
                )
            )

        play(story, gateways=2)


async def forget_gateways(stack: Stack) -> None:
    """Delete the rows by which gateways find each other."""
    for number in range(len(stack.gateways)):
        await stack.store.delete("lagoonpost", f"member/gateway-{number + 1}")


class TestReaders:
    """In large deployments a few gateways read the store for all."""

    @pytest.fixture(autouse=True)
    def few_readers(self, monkeypatch):
        monkeypatch.setattr(hub, "MAX_MESH_GATEWAYS", 3)
        monkeypatch.setattr(hub, "BACKUP_READERS_PER_DOMAIN", 1)

    def find_readers(self, stack: Stack) -> list[ForwardingDaemon]:
        return [d for d in stack.gateways if d._cluster.is_reader()]

    def find_others(self, stack: Stack) -> list[ForwardingDaemon]:
        return [d for d in stack.gateways if not d._cluster.is_reader()]

    async def wait_resting(self, stack: Stack) -> list[ForwardingDaemon]:
        """Return the other gateways once they no longer read the store.

        The readers may change meanwhile, if one loses the store briefly.
        """

        def are_resting() -> bool:
            others = self.find_others(stack)
            tables = [d._follower.endpoints for d in others]
            tables += [d._follower.operator for d in others]
            rest = all(table._version is None for table in tables)
            return (
                rest and len(others) == len(stack.gateways) - hub.STORE_READERS
            )

        await wait_until(are_resting)
        return self.find_others(stack)

    def test_news_reaches_those_that_do_not_read(self):
        async def story(stack: Stack):
            others = await self.wait_resting(stack)
            await stack.store.put("op", "config", make_configuration(7))
            await stack.register("desk-1", state="draining")
            for daemon in others:
                belief = daemon.view
                await wait_until(lambda b=belief: b.version == 7)
                await wait_until(lambda b=belief: len(_desks(b)) == 1)
            return len(others)

        assert play(story, gateways=6) == 3

    def test_a_reader_that_was_passed_over_for_a_moment_reads_again(self):
        """Guards against a reader that is mistaken for a resting gateway."""

        async def story(stack: Stack):
            shared = stack.gateways[0]._cluster
            shared.publish_store_lost(True)
            assert not shared.is_reader()
            return stack.gateways[0] in await self.wait_resting(stack)

        assert not play(story, gateways=6)

    def test_others_read_when_the_readers_have_lost_the_store(self):
        """Guards against stale state when only the readers lose the store.

        The store refuses the readers and serves all others. A runner that
        leaves meanwhile would still get requests from every gateway, as the
        readers publish nothing.
        """

        async def story(stack: Stack):
            readers = self.find_readers(stack)
            for daemon in readers:
                daemon._store._address = Address("127.0.0.1", 9)
                daemon._follower.restart()
            await wait_until(
                lambda: not any(d._cluster.is_reader() for d in readers)
            )
            await stack.register("desk-1", state="draining")
            for daemon in stack.gateways:
                belief = daemon.view
                await wait_until(lambda b=belief: len(_desks(b)) == 1)

        play(story, gateways=6)

    @pytest.mark.parametrize("silenced", [1, 2], ids=["calls", "all"])
    def test_others_read_when_the_readers_fall_silent(self, silenced):
        """Guards against a configuration that no gateway gets."""

        async def story(stack: Stack):
            others = await self.wait_resting(stack)
            for daemon in self.find_readers(stack):
                # The first task follows the store, the second gossips.
                for task in daemon._tasks[:silenced]:
                    task.cancel()
            await stack.store.put("op", "config", make_configuration(7))
            for daemon in others:
                belief = daemon.view
                await wait_until(lambda b=belief: b.version == 7)

        play(story, gateways=6)

    def test_changes_are_gathered(self):
        """Guards against a store call for each change.

        Runners together renew their entries many times a second, and a call
        for each change would be most of the calls to the store.
        """

        async def story(stack: Stack):
            before = stack.store.calls
            for seq in range(40):
                await stack.register("desk-1", seq=seq)
                await asyncio.sleep(0.01)
            version = stack.store.version
            entries = stack.gateways[0].view.entries
            await wait_until(lambda: entries["desk-1"].version >= version)
            return stack.store.calls - before

        assert play(story) < 20

    def test_a_renewed_entry_is_not_told(self):
        """Guards against gossip without information.

        Each runner renews its entry every second. Published to all gateways,
        the renewals would fill their links.
        """

        async def story(stack: Stack):
            published = []
            shared = stack.gateways[0]._cluster
            publish = shared.peers.publish
            shared.peers.publish = lambda fact: (
                published.append(fact.key),
                publish(fact),
            )
            await stack.register("desk-1", seq=2)
            await stack.register("desk-2", state="draining")
            belief = stack.gateways[0].view
            await wait_until(lambda: len(_desks(belief)) == 1)
            return published

        assert play(story) == ["desk-2"]


def _desks(belief: ClusterState) -> list[str]:
    return [each.id for each in belief.find_runners("desk")]
