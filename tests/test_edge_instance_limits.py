"""Tests of the limits that instances state."""

import structlog

from bronzewall.edge.instance_limits import InstanceLimits
from bronzewall.types import InstanceId

ONE = InstanceId('i-1')


def stated(*limits: float) -> InstanceLimits:
    """Return limits after answers at 1, 2, ... s, each within 0.1 s."""
    known = InstanceLimits()
    for second, limit in enumerate(limits, start=1):
        known.record_answer(ONE, limit, sent_at=second - 0.1, now=second)
    return known


def test_last_stated_limit_applies() -> None:
    assert stated(2.5, 1.5).limits_by_id() == {ONE: 1.5}


def test_answer_without_a_limit_ends_it() -> None:
    known = stated(2.5)
    known.record_answer(ONE, None, sent_at=1.1, now=1.5)
    assert known.limit(ONE) is None


def test_answer_to_an_older_request_does_not_end_a_limit() -> None:
    known = stated(2.5)
    known.record_answer(ONE, None, sent_at=0.5, now=1.5)
    assert known.limit(ONE) == 2.5


def test_each_change_is_logged() -> None:
    with structlog.testing.capture_logs() as lines:
        known = stated(2.5, 2.5, 1.5)
        known.record_answer(ONE, None, sent_at=4, now=5)
    assert [(line['before'], line['limit']) for line in lines] == [
        (None, 2.5),
        (2.5, 1.5),
        (1.5, None),
    ]
