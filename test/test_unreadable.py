"""Bytes from outside that can't be read end no process."""

import contextlib
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonpost.http.message import Address, Response
from lagoonpost.peers.messenger import DatagramMessenger
from lagoonpost.platform.configuration import (
    InvalidRowError,
    decode_configuration,
)
from lagoonpost.platform.endpoint import decode_endpoint, decode_sequence
from lagoonpost.platform.headers import parse_request_headers, read_notice
from lagoonpost.platform.kv_cache import _read_outcome
from lagoonpost.platform.rollout import decode_final_phase, decode_order
from lagoonpost.systems.shift import ShiftOrder
from lagoonpost_standins.deployment import make_configuration, make_entry

ADDRESS = Address("127.0.0.1", 1)
ENTRY = make_entry("desk", ADDRESS, "domain-a")
ORDER = {"service": "desk", "to": "v2", "duration_s": 10}
NESTED = (b"[" * 5_000, b'{"a":' * 5_000, b"\x91" * 5_000)
ODD = (
    None,
    "",
    "\ud7ff\x00é",
    -1,
    1e308,
    10**400,
    [],
    {},
    [[]],
    True,
)


def decode_all(body: bytes) -> None:
    """Decode bytes as everything that is read from outside."""
    DatagramMessenger()._dispatch(body, ADDRESS)
    decode_sequence(body)
    decode_final_phase(body, ShiftOrder("desk", "v2", 10.0, 1))
    for status in (200, 404, 409, 503):
        for stop in (False, True):
            _read_outcome(Response(status, (), body), ADDRESS, stop)
    for decode in (
        lambda: decode_endpoint("desk-1", body),
        lambda: decode_configuration(body),
        lambda: decode_order(body, 1),
    ):
        with contextlib.suppress(InvalidRowError):
            decode()


def put(value: Any, path: list[int], odd: Any) -> Any:
    """Return a value in which one part is replaced."""
    if not path or not isinstance(value, dict | list) or not value:
        return odd
    keys = sorted(value) if isinstance(value, dict) else range(len(value))
    key = list(keys)[path[0] % len(value)]
    copy = value.copy()
    copy[key] = put(value[key], path[1:], odd)
    return copy


class TestBytes:
    @pytest.mark.parametrize("body", NESTED)
    def test_nested_values_are_unreadable(self, body: bytes):
        """Guards against an entry of lists in lists that ends gateways."""
        decode_all(body)

    @settings(max_examples=300)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_decoded_or_unreadable(self, body: bytes):
        """Guards against bytes that end a process."""
        decode_all(body)

    @settings(max_examples=300)
    @given(
        st.sampled_from([ENTRY, ORDER, make_configuration()]),
        st.lists(st.integers(0, 7), max_size=4),
        st.sampled_from(ODD),
        st.integers(0, 400),
    )
    def test_odd_values_are_decoded_or_unreadable(self, value, path, odd, cut):
        """Guards against wrong types, huge numbers and cut-off rows."""
        body = json.dumps(put(value, path, odd)).encode()
        decode_all(body)
        decode_all(body[:cut])

    @settings(max_examples=300)
    @given(
        st.sampled_from(
            ("deadline-ms", "token-count", "prompt-prefix", "retry-after")
        ),
        st.text(
            st.characters(min_codepoint=32, max_codepoint=255), max_size=40
        ),
    )
    def test_any_header_is_parsed(self, name: str, value: str):
        """Guards against header values that end a request's handling."""
        parse_request_headers(((name, value),))
        read_notice(503, ((name, value),))
