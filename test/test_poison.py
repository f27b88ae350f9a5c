"""Tests of lagoonpost.systems.poison."""

from lagoonpost.systems.poison import (
    BrokenAnswer,
    BrokenAnswerTable,
    make_fingerprint,
)

POISON = make_fingerprint("pottery", "/draft/1", b"{}")


class TestBreakTable:
    def test_three_breaks_convict(self):
        """A request that crashes its runners must be refused eventually.

        Its caller resends it through any gateway; without a verdict each retry
        takes another runner down.
        """
        breaks = BrokenAnswerTable()
        for number in range(3):
            assert not breaks.is_poison(POISON, 1.0)
            breaks.note(
                BrokenAnswer(POISON, f"chat-{number}", f"a-{number}"), 1.0
            )
            breaks.note_down(f"chat-{number}", 1.5)
        assert breaks.is_poison(POISON, 1.0)
        assert not breaks.is_poison(POISON, 100.0)

    def test_duplicate_reports_of_a_break_count_once(self):
        breaks = BrokenAnswerTable()
        for _ in range(9):
            breaks.note(BrokenAnswer(POISON, "chat-1", "a-1"), 1.0)
            breaks.note_down("chat-1", 1.5)
        assert not breaks.is_poison(POISON, 1.0)

    def test_lost_answers_of_a_runner_that_lives_convict_nobody(self):
        """Lost answers without a crash must not convict a request.

        Some answers to a popular request are lost although no runner crashes.
        If they counted, all of its callers would be refused for a minute.
        """
        breaks = BrokenAnswerTable()
        for number in range(50):
            breaks.note(BrokenAnswer(POISON, "desk-1", f"a-{number}"), 1.0)
        assert not breaks.is_poison(POISON, 1.0)
        breaks.note_down("desk-1", 30.0)
        assert not breaks.is_poison(POISON, 30.0)

    def test_a_popular_request_beside_a_crash_counts_once(self):
        """A crash must count once, however many callers sent the request.

        Many callers send the same request when its runner crashes, and all
        their answers break off at once. Counted separately, a single crash
        would refuse the request for a minute.
        """
        breaks = BrokenAnswerTable()
        for number in range(9):
            breaks.note(BrokenAnswer(POISON, "desk-1", f"a-{number}"), 1.0)
        breaks.note_down("desk-1", 1.5)
        assert not breaks.is_poison(POISON, 2.0)

    def test_a_request_that_is_answered_in_between_is_innocent(self):
        """An answer must clear a request of its earlier breaks.

        A popular request is in flight during several crashes. A request that
        crashes its runners is never answered, so one that was answered since
        did not cause the earlier crashes.
        """
        breaks = BrokenAnswerTable()
        for number in range(9):
            breaks.note(
                BrokenAnswer(POISON, f"desk-{number}", f"a-{number}"), 1.0
            )
            if number % 2:
                breaks.note_down(f"desk-{number}", 1.5)
            breaks.note_answered(POISON)
            breaks.note_down(f"desk-{number}", 1.6)
        assert not breaks.is_poison(POISON, 2.0)

    def test_fingerprints_differ_by_workspace_path_and_body(self):
        others = {
            make_fingerprint("market", "/draft/1", b"{}"),
            make_fingerprint("pottery", "/draft/2", b"{}"),
            make_fingerprint("pottery", "/draft/1", b"[]"),
        }
        assert len(others | {POISON}) == 4

    def test_memory_is_bounded(self):
        breaks = BrokenAnswerTable()
        for number in range(20_000):
            breaks.note(
                BrokenAnswer(f"f-{number}", f"chat-{number}", "a"), 1.0
            )
            breaks.note_down(f"chat-{number}", 1.0)
        assert len(breaks._breaks) <= 10_001
