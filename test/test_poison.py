"""Requests that crash their runners."""

from lagoonpost.systems.poison import (
    BrokenAnswer,
    BrokenAnswerTable,
    make_fingerprint,
)

POISON = make_fingerprint("pottery", "/draft/1", b"{}")


class TestBreakTable:
    def test_three_breaks_convict(self):
        """A caller sends a request that crashes its runner, at any gateway.

        Without a verdict each of its retries takes one more runner down.
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

    def test_one_break_told_by_many_counts_once(self):
        breaks = BrokenAnswerTable()
        for _ in range(9):
            breaks.note(BrokenAnswer(POISON, "chat-1", "a-1"), 1.0)
            breaks.note_down("chat-1", 1.5)
        assert not breaks.is_poison(POISON, 1.0)

    def test_lost_answers_of_a_runner_that_lives_convict_nobody(self):
        """Answers to a popular question get lost in part.

        Each of its askers would be refused for a minute, though none of
        its runners has crashed.
        """
        breaks = BrokenAnswerTable()
        for number in range(50):
            breaks.note(BrokenAnswer(POISON, "desk-1", f"a-{number}"), 1.0)
        assert not breaks.is_poison(POISON, 1.0)
        breaks.note_down("desk-1", 30.0)
        assert not breaks.is_poison(POISON, 30.0)

    def test_a_popular_request_beside_a_crash_counts_once(self):
        """Many callers ask the same question when its runner crashes.

        All their answers break off at once. Counted one by one, a single
        crash would convict the question for a minute.
        """
        breaks = BrokenAnswerTable()
        for number in range(9):
            breaks.note(BrokenAnswer(POISON, "desk-1", f"a-{number}"), 1.0)
        breaks.note_down("desk-1", 1.5)
        assert not breaks.is_poison(POISON, 2.0)

    def test_a_request_that_is_answered_in_between_is_innocent(self):
        """A popular question is under way at each of some crashes.

        A request that crashes its runners is never answered; one that was
        answered since has not crashed those before.
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

    def test_others_are_not_concerned(self):
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
