"""How much of a retry budget logs show to be used."""

from margin_logs import EPOCH, make_started, write

from lagoonpost.margins.log_reader import read_logs
from lagoonpost.margins.retry import RETRY_RULE
from lagoonpost.margins.rules import find_margins


def make_retry(at: float, granted: bool = True) -> dict[str, object]:
    return {
        "service": "desk",
        "granted": granted,
        "timestamp": EPOCH + at,
        "message_type": "lagoonpost:forwarding:retry",
    }


def make_request(at: float) -> dict[str, object]:
    return {
        "request": "r",
        "service": "desk",
        "version": 1,
        "steps": [],
        "took": 0.5,
        "timestamp": EPOCH + at,
        "message_type": "lagoonpost:forwarding:request",
    }


class TestRetryUse:
    def find(self, path, *messages):
        log = write(path / "a.log", make_started(0.0, "a"), *messages)
        margins = find_margins(read_logs([log]))
        return next(each for each in margins if each.rule == RETRY_RULE)

    def test_the_fullest_window_is_named(self, tmp_path):
        """Guards against repeats of several gateways that nobody sums."""
        retries = [make_retry(at) for at in (1, 30, 31, 32, 39, 41)]
        denied = [make_retry(33, granted=False)]
        requests = [make_request(at) for at in range(25, 35)]
        found = self.find(tmp_path, *retries, *denied, *requests)
        assert (found.subject, found.at) == ("desk", EPOCH + 30)
        assert found.value == round(4 / 52, 3)

    def test_logs_without_retries_say_so(self, tmp_path):
        found = self.find(tmp_path, make_request(1.0))
        assert found.value is None
        assert found.what
