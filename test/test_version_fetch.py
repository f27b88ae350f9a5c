"""Whom a gateway asks for a configuration that it lacks."""

from collections.abc import Collection

from lagoonpost.forwarding.configuration_fetcher import unpack
from lagoonpost.systems.version_fetch import (
    FEED_SECONDS,
    HEDGE_SECONDS,
    MAX_QUESTIONS,
    SOURCE_PAUSE_SECONDS,
    SOURCE_SECONDS,
    AskPeer,
    AskStore,
    VersionFetch,
    Wait,
)

PEERS = ("a", "b", "c", "d", "e", "f")


def choose(excluded: Collection[str]) -> str | None:
    return next((peer for peer in PEERS if peer not in excluded), None)


def take(fetch: VersionFetch, now: float, reads_store: bool = False) -> list:
    """Return the steps until the next wait."""
    steps = []
    while isinstance(
        step := fetch.decide(now, reads_store, choose), AskPeer | AskStore
    ):
        steps.append(step)
    return steps


class TestVersionFetch:
    def test_who_announced_it_is_asked_first(self):
        """Guards against questions to peers that lack the version."""
        fetch = VersionFetch()
        fetch.note_version(7, "f", 10.0)
        assert take(fetch, 10.0) == [AskPeer("f")]

    def test_a_silent_peer_does_not_hold_up_others(self):
        """Guards against waits for peers that are gone, one after another."""
        fetch = VersionFetch()
        fetch.note_version(7, "f", 10.0)
        take(fetch, 10.0)
        assert take(fetch, 10.0 + HEDGE_SECONDS) == [AskPeer("a")]

    def test_the_store_is_asked_in_the_end(self):
        """Guards against a gateway that asks peers for ever."""
        fetch = VersionFetch()
        fetch.note_version(7, "f", 10.0)
        take(fetch, 10.0)
        assert AskStore() in take(fetch, 10.0 + SOURCE_SECONDS)
        fetch.note_store_ended()
        later = 10.0 + SOURCE_SECONDS + SOURCE_PAUSE_SECONDS
        assert AskStore() not in take(fetch, later - 0.01)
        assert AskStore() in take(fetch, later)

    def test_the_store_is_asked_without_peers(self):
        fetch = VersionFetch()
        fetch.note_version(7, "f", 10.0)
        fetch.note_peer_ended("f", 10.0 + SOURCE_SECONDS / 2)
        step = fetch.decide(10.0, False, lambda excluded: None)
        assert isinstance(step, Wait)
        step = fetch.decide(10.0 + SOURCE_SECONDS, False, lambda _: None)
        assert step == AskStore()

    def test_a_reader_waits_for_its_own_feed(self):
        """Guards against fetches of what the store is about to tell."""
        fetch = VersionFetch()
        fetch.note_version(7, "f", 10.0)
        assert take(fetch, 10.0, reads_store=True) == []
        assert take(fetch, 10.0 + FEED_SECONDS, reads_store=True)

    def test_questions_under_way_are_few(self):
        """Guards against a full link that carries ever more copies."""
        fetch = VersionFetch()
        fetch.note_version(7, "f", 10.0)
        asked = [
            step
            for number in range(60)
            for step in take(fetch, 10.0 + number / 10)
            if isinstance(step, AskPeer)
        ]
        assert len(asked) == MAX_QUESTIONS

    def test_a_version_that_nobody_has_is_asked_for_ever_less(self):
        """Guards against calls for ever for a version that is lost."""
        fetch = VersionFetch()
        fetch.note_version(7, "f", 0.0)
        asked = []
        for number in range(6000):
            now = number / 100
            for step in take(fetch, now):
                asked.append((now, type(step)))
                if isinstance(step, AskPeer):
                    fetch.note_peer_ended(step.peer, now)
                else:
                    fetch.note_store_ended()
        late = [step for at, step in asked if at > 50.0]
        assert late.count(AskStore) <= 1
        assert late.count(AskPeer) <= 10
        first = [step for at, step in asked if at <= 2.0]
        assert first.count(AskStore) >= 2

    def test_nothing_is_asked_once_it_is_in_force(self):
        fetch = VersionFetch()
        fetch.note_version(7, "f", 10.0)
        fetch.note_in_force(8)
        assert fetch.decide(10.0, False, choose) is None
        assert not fetch.note_version(8, "a", 11.0)

    def test_a_series_of_versions_does_not_put_off_the_store(self):
        """Guards against a time that starts anew with each version."""
        fetch = VersionFetch()
        for number in range(6):
            fetch.note_version(7 + number, "f", 10.0 + number / 10)
            take(fetch, 10.0 + number / 10)
        assert fetch.find_wanted_seconds(10.5) == 0.5


class TestUnpack:
    def test_what_is_no_packed_configuration_is_refused(self):
        """Guards against an answer that ends the gateway."""
        assert unpack(b"") is None
        assert unpack(b"not packed") is None
