"""Tests of lagoonpost.systems.evacuation: the order of transfers."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.evacuation import (
    MIN_TOKENS,
    LinkEstimate,
    PendingTransfer,
    choose_next,
    estimate_seconds,
)

LINK = LinkEstimate(
    bytes_per_token=100.0, bytes_per_second=1e5, call_seconds=0.1
)


def _play(
    transfers: list[PendingTransfer], link: LinkEstimate
) -> tuple[int, float]:
    """Transfer one after another; return the tokens saved and the end."""
    waiting = list(transfers)
    now = 0.0
    saved = 0
    while (chosen := choose_next(waiting, link, now)) is not None:
        waiting.remove(chosen)
        now += estimate_seconds(chosen.tokens, link)
        saved += chosen.tokens
    return saved, now


class TestChooseNext:
    def test_long_draft_goes_before_a_short_one(self) -> None:
        """A long draft must be transferred before many short ones.

        With a second of notice and in order of arrival, the fixed time of the
        short transfers uses up the notice, and the long draft, the most
        expensive to recompute, is lost.
        """
        transfers = [PendingTransfer(f"s{n}", 100, 1.0) for n in range(8)]
        transfers.append(PendingTransfer("long", 800, 1.0))
        chosen = choose_next(transfers, LINK, 0.0)
        assert chosen is not None
        assert chosen.request_id == "long"
        assert _play(transfers, LINK)[0] == 800

    def test_transfer_beyond_the_deadline_is_skipped(self) -> None:
        transfers = [
            PendingTransfer("long", 5000, 1.0),
            PendingTransfer("short", 200, 1.0),
        ]
        chosen = choose_next(transfers, LINK, 0.0)
        assert chosen is not None
        assert chosen.request_id == "short"

    def test_few_tokens_are_not_worth_a_transfer(self) -> None:
        transfers = [PendingTransfer("r", MIN_TOKENS - 1, 9.0)]
        assert choose_next(transfers, LINK, 0.0) is None

    @given(
        st.lists(st.integers(1, 3000), max_size=20),
        st.floats(0.1, 5.0),
    )
    def test_nothing_outlasts_the_notice(
        self, sizes: list[int], notice: float
    ) -> None:
        transfers = [
            PendingTransfer(f"r{n}", s, notice) for n, s in enumerate(sizes)
        ]
        saved, end = _play(transfers, LINK)
        assert end <= notice or saved == 0
        fitting = [
            size
            for size in sizes
            if size >= MIN_TOKENS and estimate_seconds(size, LINK) <= notice
        ]
        # Greedy choice saves at least half of the best single transfer.
        assert 2 * saved >= max(fitting, default=0)


class TestLink:
    def test_learns_size_and_rate(self) -> None:
        link = LinkEstimate().add_sample(
            size=10_000, tokens=100, seconds=0.11, weight=0.5
        )
        assert link.bytes_per_token == 100
        assert 90_000 < link.bytes_per_second < 110_000
        slower = link.add_sample(10_000, 100, 1.01, 0.5)
        assert slower.bytes_per_second < link.bytes_per_second
