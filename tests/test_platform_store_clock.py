"""Tests of times of the store on this VM's clock."""

import pytest

from bronzewall.platform.store_clock import StoreClock


def test_answer_of_a_long_watch_is_dated_by_short_calls() -> None:
    clock = StoreClock()
    # The store is 100 s ahead; calls take 4 ms to it and 4 ms back.
    assert clock.date(110.004, sent_at=10, received_at=10.008) == 10
    dated = clock.date(112.304, sent_at=10.5, received_at=12.308)
    assert dated == pytest.approx(12.3)


def test_answer_that_was_held_up_is_not_dated_late() -> None:
    clock = StoreClock()
    clock.date(110.004, sent_at=10, received_at=10.008)
    dated = clock.date(110.604, sent_at=10.5, received_at=12.4)
    assert dated == pytest.approx(10.6)


def test_first_answer_is_dated_when_its_call_was_sent() -> None:
    assert StoreClock().date(50, sent_at=3, received_at=9) == 3


@pytest.mark.parametrize('jump', [5, -5])
def test_jump_of_a_clock_dates_the_answer_early(jump: float) -> None:
    # This VM stood still and its clock with it, or the store started again.
    clock = StoreClock()
    clock.date(110, sent_at=10, received_at=10.008)
    assert clock.date(112 + jump, sent_at=11, received_at=12) <= 11
    assert clock.date(113 + jump, sent_at=12, received_at=13) <= 12.01
