"""Fair queues: fair by weight, complete and free of starvation."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.queueing import (
    CLASSES,
    FairQueue,
    QueuedRequest,
    order_classes,
)
from lagoonpost.tables.request import RequestRow


def make_request(name: str, workspace: str = "w") -> RequestRow:
    return RequestRow(
        name, workspace, "s", "r", "check", 1, 1, (), name, 0.0, 9.0, True
    )


def push(queue: FairQueue, name: str, workspace: str, cost: float) -> None:
    request = make_request(name, workspace)
    start = queue.next_start(workspace)
    queue.push(QueuedRequest(request, cost, start, 9.0, 0.0, 0.0))


def serve(queue: FairQueue) -> QueuedRequest:
    entry = queue.head()
    assert entry is not None
    queue.remove(entry.request.id)
    queue.serve(entry)
    return entry


costs = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(1, 50)), max_size=40
)


class TestFairQueue:
    @given(costs)
    def test_serves_each_request_once(self, wanted):
        queue = FairQueue()
        for index, (workspace, cost) in enumerate(wanted):
            push(queue, str(index), workspace, cost)
        served = [serve(queue).request.id for _ in wanted]
        assert sorted(served) == sorted(str(i) for i in range(len(wanted)))
        assert queue.head() is None
        assert not queue.backlog

    @given(st.integers(1, 5), st.integers(1, 20))
    def test_tokens_follow_weights_while_all_wait(self, weight, cost):
        queue = FairQueue(weights={"a": float(weight), "b": 1.0})
        for index in range(60):
            push(queue, f"a{index}", "a", cost)
            push(queue, f"b{index}", "b", cost)
        served = [serve(queue).request.workspace for _ in range(60)]
        assert abs(served.count("a") - 60 * weight / (weight + 1)) <= 2

    @given(st.integers(1, 60))
    def test_newcomer_waits_for_one_request_per_workspace(self, backlog):
        queue = FairQueue()
        for index in range(backlog):
            push(queue, f"big{index}", "big", 10)
        serve(queue)
        push(queue, "small", "small", 10)
        served = [serve(queue).request.id for _ in range(min(2, backlog))]
        assert "small" in served


class TestClassOrder:
    def test_drafts_are_owed_a_floor(self):
        queues = {name: FairQueue() for name in CLASSES}
        push(queues["check"], "c", "w", 1)
        push(queues["draft"], "d", "w", 1)
        assert order_classes(queues, drafts=0, flights=10)[0] == "draft"
        assert order_classes(queues, drafts=2, flights=10)[0] == "check"
