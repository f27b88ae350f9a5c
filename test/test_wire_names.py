"""Checks that wire names of the platform occur only in its adapter."""

import re
from pathlib import Path

import pytest

PRODUCT = Path(__file__).parent.parent / "lagoonpost"
ADAPTER = PRODUCT / "platform"
NAMES = (
    "attempt-id",
    "target-instance",
    "not-executed",
    "response-signature",
    "deadline-ms",
    "token-count",
    "prompt-prefix",
    "request-urgency",
    "kv-hold",
    "kv-from",
    "expected_rev",
    "rows-feed",
    "rows-get",
    "rows-tx",
    "fence-token",
    "duty-holder",
    "usage_report",
    "autoscale",
    "config_apply_ms",
    "internal_ports",
    "max_attempts_ms",
    "target_latency_ms",
    "stream_resume",
    "api_keys",
    "/v1/resolve",
    "/v1/ready",
    "LAGOONPOST_CONFIG",
)
SOURCES = [
    path
    for path in sorted(PRODUCT.rglob("*.py"))
    if ADAPTER not in path.parents
]


class TestWireNames:
    @pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.name)
    def test_no_wire_name_outside_the_adapter(self, path):
        text = path.read_text()
        found = [
            name for name in NAMES if name in text or name in text.lower()
        ]
        assert found == []

    def test_the_adapter_decides_nothing(self):
        """Checks the size; import contracts keep decisions out of it."""
        lines = sum(
            len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py")
        )
        assert lines < 1200

    def test_names_are_really_those_of_the_adapter(self):
        text = "".join(path.read_text() for path in ADAPTER.glob("*.py"))
        missing = [name for name in NAMES if name.lower() not in text.lower()]
        assert not [name for name in missing if not re.search("_ms", name)]
