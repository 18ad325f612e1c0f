"""Tests of the mean time between events."""

import pytest

from bronzewall.edge.scheduling.pace import Pace


def test_gap_follows_the_events() -> None:
    pace = Pace()
    assert pace.gap is None
    for number in range(30):
        pace.count(now=number * 0.1)
    assert pace.gap == pytest.approx(0.1)


def test_pause_is_left_out() -> None:
    # Failure: the idle time before a burst makes its pace look slow, and all
    # of its requests hopeless.
    pace = Pace()
    pace.count(now=0)
    pace.count(now=0.1)
    pace.pause()
    pace.count(now=60)
    pace.count(now=60.1)
    assert pace.gap == pytest.approx(0.1)
