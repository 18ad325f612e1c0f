"""Tests of the mean time between events."""

import pytest

from bronzewall.edge.scheduling.pace import Pace


def test_gap_follows_the_events() -> None:
    pace = Pace()
    assert pace.gap(now=0) is None
    for number in range(30):
        pace.count(now=number * 0.1)
    assert pace.gap(now=2.9) == pytest.approx(0.1)


def test_pause_is_left_out() -> None:
    # Failure: the idle time before a burst makes its pace look slow, and all
    # of its requests hopeless.
    pace = Pace()
    pace.count(now=0)
    pace.count(now=0.1)
    pace.pause()
    pace.count(now=60)
    pace.count(now=60.1)
    assert pace.gap(now=60.1) == pytest.approx(0.1)


def test_old_pace_is_forgotten() -> None:
    # Failure: after an outage the pace of that time makes all requests of the
    # next burst look hopeless, so that it is never measured again.
    pace = Pace()
    for number in range(5):
        pace.count(now=number * 3)
    pace.pause()
    assert pace.gap(now=20) is None


def test_time_without_an_event_counts() -> None:
    # Failure: requests are held to their deadlines while all instances hang.
    pace = Pace()
    pace.count(now=0)
    pace.count(now=0.1)
    assert pace.gap(now=1.1) == pytest.approx(1)
