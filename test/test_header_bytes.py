"""Header values are passed on byte by byte."""

import asyncio

import pytest
from forwarding_stack import Stack, play

from lagoonpost.http.message import Headers, encode_headers

NAME = "Škoda é".encode().decode("latin-1")


class TestHeaders:
    def test_received_bytes_are_sent_again(self):
        """Guards against values that are decoded and can't be encoded."""
        every = bytes((9, *range(32, 127), *range(128, 256)))
        fields: Headers = (("x-name", every.decode("latin-1")),)
        assert encode_headers(fields) == [(b"x-name", every)]

    def test_a_name_of_the_configuration_is_sent_as_utf_8(self):
        fields: Headers = (("x-name", "Škoda"),)
        assert encode_headers(fields) == [(b"x-name", "Škoda".encode())]

    @pytest.mark.parametrize("path", ["/book/1", "/draft/1"])
    def test_an_answer_with_any_byte_in_a_header_reaches_its_caller(
        self, path
    ):
        """Guards against a booking that ran and a closed connection."""

        async def story(stack: Stack) -> tuple[int, str | None]:
            for runner in stack.runners.values():
                runner.more_headers = (("x-name", NAME),)
            answer = await stack.call(path, "POST", b"{}")
            return answer.status, answer.header("x-name")

        assert play(story) == (200, NAME)

    def test_a_request_with_any_byte_in_a_header_reaches_its_runner(self):
        """Guards against a request that can't be sent on."""

        async def story(stack: Stack) -> list[str | None]:
            answer = await stack.call(
                "/book/1", "POST", b"{}", headers=(("x-name", NAME),)
            )
            await asyncio.sleep(0)
            assert answer.status == 200
            return [
                received.request.header("x-name")
                for runner in stack.runners.values()
                for received in runner.received
                if received.request.header("attempt-id")
            ]

        assert play(story) == [NAME]
