"""Tests of what requests are learned to cost."""

import itertools
from collections.abc import Iterable

import pytest

from bronzewall.edge.request_costs import CostClass, RequestCosts, work_time
from bronzewall.types import RouteId, ServiceName


def a_class(route: str = 'browse', service: str = 'library') -> CostClass:
    return CostClass(service=ServiceName(service), route=RouteId(route))


def learned(times: Iterable[float]) -> RequestCosts:
    costs = RequestCosts()
    for seconds in times:
        costs.record(a_class(), seconds)
    return costs


def test_routes_of_one_service_are_told_apart() -> None:
    # Guards against one mean for requests of 80 ms and of 2.8 s.
    costs = RequestCosts()
    for _ in range(50):
        costs.record(a_class('quiz'), 0.08)
        costs.record(a_class('export'), 2.8)
    assert costs.mean(a_class('quiz')) < 0.25
    assert costs.mean(a_class('export')) > 2.5


def test_new_route_begins_with_its_service_and_new_service_with_a_guess() -> (
    None
):
    costs = learned(itertools.repeat(0.2, 50))
    assert costs.mean(a_class('new')) == pytest.approx(0.2)
    assert costs.mean(a_class('new', 'other')) == 0.5
    # One unusual answer does not decide what a new route costs.
    costs.record(a_class('new'), 2)
    assert costs.mean(a_class('new')) < 0.7


@pytest.mark.parametrize('factor', [2, 0.5])
def test_jump_in_cost_is_followed(factor: float) -> None:
    # Guards against a service that is released anew, twice as slow or fast,
    # and judged by its past: 35 answers halve what came before.
    costs = learned(itertools.repeat(0.2, 2000))
    for _ in range(105):
        costs.record(a_class(), 0.2 * factor)
    assert costs.mean(a_class()) == pytest.approx(0.2 * factor, rel=0.15)


def test_memory_is_bounded_by_the_routes_used_last() -> None:
    # Guards against 66,000 routes, or ones that change with every version.
    costs = RequestCosts()
    for number in range(5000):
        costs.record(a_class(f'r-{number}'), 0.1)
        costs.record(a_class('kept'), 0.1)
    assert len(costs._by_class) == 1024
    assert a_class('kept') in costs._by_class


def test_time_in_the_queue_is_not_work() -> None:
    assert work_time(1.2, queue_time=1) == pytest.approx(0.2)
    # A wrong estimate of the queue leaves some work.
    assert work_time(1, queue_time=5) == pytest.approx(0.1)
