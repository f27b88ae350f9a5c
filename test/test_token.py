"""Tests of lagoonpost.gateway.token."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.gateway.token import (
    EventSigner,
    StreamOrigin,
    StreamPosition,
    verify_event_id,
)

KEY = b"k" * 32
ORIGIN = StreamOrigin("r1", "school", "assistant", "e1", "abc")


class TestEventId:
    @given(st.integers(min_value=0, max_value=10**6))
    def test_verifies_what_it_signed(self, offset: int) -> None:
        text = EventSigner(KEY, ORIGIN).sign(offset).decode()
        assert verify_event_id(KEY, text) == StreamPosition(ORIGIN, offset)

    @given(
        st.integers(min_value=0, max_value=200),
        st.characters(min_codepoint=33, max_codepoint=126),
    )
    def test_rejects_any_changed_character(
        self, place: int, character: str
    ) -> None:
        text = EventSigner(KEY, ORIGIN).sign(7).decode()
        place %= len(text)
        forged = text[:place] + character + text[place + 1 :]
        if forged != text:
            assert verify_event_id(KEY, forged) is None

    @given(st.text())
    def test_rejects_arbitrary_text(self, text: str) -> None:
        assert verify_event_id(KEY, text) is None

    def test_rejects_another_key(self) -> None:
        text = EventSigner(b"other", ORIGIN).sign(7).decode()
        assert verify_event_id(KEY, text) is None
