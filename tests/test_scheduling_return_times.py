"""Tests of the times at which refused callers come back."""

import pytest

from bronzewall.edge.scheduling.return_times import (
    MAX_RETURN_S,
    MIN_RETURN_S,
    ReturnTimes,
)


def test_callers_refused_together_return_one_after_another() -> None:
    # Failure: all refused callers return at once and are refused again.
    returns = ReturnTimes()
    times = [returns.assign(backlog=1, gap=0.1, now=10) for _ in range(4)]
    assert times == pytest.approx([1, 1.1, 1.2, 1.3])


def test_return_is_neither_too_soon_nor_too_late() -> None:
    returns = ReturnTimes()
    times = [returns.assign(backlog=0, gap=1, now=0) for _ in range(20)]
    assert times[0] == MIN_RETURN_S
    assert times[-1] == MAX_RETURN_S


def test_unknown_pace_returns_at_the_latest_time() -> None:
    inf = float('inf')
    assert ReturnTimes().assign(backlog=inf, gap=inf, now=0) == MAX_RETURN_S
