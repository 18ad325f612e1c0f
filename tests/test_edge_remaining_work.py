"""Tests of the work that instances still have and of their speed."""

import pytest
from test_edge_request_costs import a_class

from bronzewall.edge.instance_speeds import InstanceSpeeds
from bronzewall.edge.remaining_work import RemainingWork
from bronzewall.types import InstanceId, ServiceName

_SLOTS = 4
_ID = InstanceId('i-1')


def a_work(mean: float = 0.2) -> RemainingWork:
    """Return the work of instances of a service of steady cost."""
    work = RemainingWork()
    for _ in range(100):
        work.costs.record(a_class(), mean)
    return work


def wait(work: RemainingWork, in_flight: int, now: float = 0) -> float:
    return work.wait(
        in_flight=in_flight,
        slots=_SLOTS,
        service=ServiceName('library'),
        factor=work.speeds.factor(_ID, now=now),
    )


@pytest.mark.parametrize('in_flight', [0, 3, 4, 5, 12])
def test_requests_in_flight_count_as_usual_ones(in_flight: int) -> None:
    # At instances of usual speed the same as without learned costs.
    queued = max(0, in_flight + 1 - _SLOTS)
    assert wait(a_work(), in_flight) == pytest.approx(queued / _SLOTS * 0.2)


def test_slow_instance_keeps_requests_waiting_longer() -> None:
    work = a_work()
    usual = wait(work, 6)
    for _ in range(10):
        work.record(_ID, a_class(), 1, queue_time=0, now=0)
    assert wait(work, 6) > 2 * usual
    # What a slow instance takes is not what the requests cost.
    assert work.costs.mean(a_class()) < 0.35


def test_speed_is_forgotten_after_a_while() -> None:
    # Guards against an instance that was slow once and never gets requests
    # again.
    speeds = InstanceSpeeds()
    for _ in range(10):
        speeds.record(_ID, 5, now=0)
    assert speeds.factor(_ID, now=0) > 3
    assert speeds.factor(_ID, now=60) == 1
    speeds.forget(_ID)
    assert speeds.factor(_ID, now=0) == 1


def test_number_of_estimates_is_bounded() -> None:
    # Guards the memory of a VM that sends to very many instances.
    speeds = InstanceSpeeds()
    for number in range(5000):
        speeds.record(InstanceId(f'i-{number}'), 4, now=0)
    assert len(speeds._by_id) == 4096
    assert 'i-4999' in speeds._by_id


def test_one_expensive_request_does_not_make_an_instance_slow() -> None:
    # 3 in 100 requests cost seven times as much.
    speeds = InstanceSpeeds()
    for ratio in (1, 0.8, 1.1, 7, 0.9, 0.7, 1, 1.2):
        speeds.record(_ID, ratio, now=0)
    assert speeds.factor(_ID, now=0) == 1


def test_clock_that_steps_back_does_no_harm() -> None:
    speeds = InstanceSpeeds()
    speeds.record(_ID, 4, now=100)
    speeds.record(_ID, 4, now=50)
    assert 1 <= speeds.factor(_ID, now=0) < 4
