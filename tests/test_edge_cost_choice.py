"""Tests of the choice of an instance by learned costs and speeds."""

import asyncio

import pytest
from edge_builders import (
    a_caller_request,
    a_vm,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
    some_settings,
)

from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual

_USUAL_S = 0.1
_SLOW_FACTOR = 4


def _taking(seconds: float, status: int = 200):
    async def behave(request):
        await asyncio.sleep(seconds)
        return answer_of(request, status=status)

    return behave


async def _ask_all(vm, count: int, pause: float) -> list[float]:
    """Return the seconds that each request took."""

    async def ask() -> float:
        before = vm.clock.now()
        await vm.ask()
        return vm.clock.now() - before

    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(ask()))
        await asyncio.sleep(pause)
    return [await task for task in tasks]


def _late_beside_slow_instances(cost_aware: bool) -> int:
    """Return how many of 400 requests a third of slow instances delay."""

    async def main() -> int:
        vm = an_edge_vm(cost_aware=cost_aware)
        names = [f'i-{number}' for number in range(6)]
        vm.serve_alone(*[an_edge_instance(name) for name in names])
        for number, name in enumerate(names):
            factor = _SLOW_FACTOR if number < 2 else 1
            vm.instances.behaviours_by_id[name] = _taking(_USUAL_S * factor)
        times = await _ask_all(vm, 400, 0.02)
        return sum(seconds > 2 * _USUAL_S for seconds in times)

    return run_virtual(main())


def test_slow_instances_get_few_requests() -> None:
    # Pattern: a third of the instances takes four times as long, short of what
    # counts as overdue. Before, each of them got its part of the requests.
    without = _late_beside_slow_instances(cost_aware=False)
    assert without > 100
    assert _late_beside_slow_instances(cost_aware=True) < without / 3


def _overdue_beside_short_requests(cost_aware: bool) -> int:
    """Return how many of 30 long requests count as overdue."""

    async def main() -> int:
        vm = an_edge_vm(cost_aware=cost_aware)
        routes = (
            an_edge_route(),
            an_edge_route(
                route_id='r-long',
                prefix='/exports/',
                idempotent=False,
                target_latency=3.0,
            ),
        )
        vm.serve_alone(
            *[an_edge_instance(f'i-{number}') for number in range(6)],
            configuration=an_edge_configuration(routes=routes),
        )

        async def behave(request):
            is_long = request.target.startswith('/exports/')
            await asyncio.sleep(1 if is_long else 0.05)
            return answer_of(request)

        for number in range(6):
            vm.instances.behaviours_by_id[f'i-{number}'] = behave
        export = a_caller_request(target='/exports/1', path='/exports/1')
        for _ in range(30):
            await _ask_all(vm, 20, 0.01)
            await vm.ask(export)
        return vm.sender.metrics.events['overdue']

    return run_virtual(main())


def test_long_requests_of_a_service_with_short_ones_are_not_overdue() -> None:
    # Pattern: a service answers most requests in 50 ms and a few of another
    # route in 1 s. Each of those counted against the instance that ran it.
    assert _overdue_beside_short_requests(cost_aware=False) == 30
    assert _overdue_beside_short_requests(cost_aware=True) <= 8


@pytest.mark.parametrize(
    ('changes', 'is_learned'),
    [
        ({}, False),
        ({'cost_aware': 'false'}, False),
        ({'cost_aware': 'true'}, True),
    ],
)
def test_costs_count_only_where_they_are_asked_for(changes, is_learned) -> None:
    # Guards deployments that do not ask for it against another choice of
    # instances than before, and against the cost of learning.
    async def main() -> None:
        vm = an_edge_vm(**changes)
        vm.serve_alone()
        await vm.ask()
        assert bool(vm.sender.outcomes.work.costs._by_service) is is_learned

    run_virtual(main())


@pytest.mark.parametrize('cost_aware', ['yes', 'auto', ''])
def test_other_words_for_the_setting_are_rejected(cost_aware) -> None:
    with pytest.raises(ValueError, match='neither true nor false'):
        some_settings(a_vm(), cost_aware=cost_aware)


def test_queue_that_was_longer_than_expected_counts_for_the_deadline() -> None:
    # Guards against admitting requests under load by costs without queueing,
    # whose answers come too late.
    async def main() -> None:
        vm = an_edge_vm(cost_aware=True)
        vm.serve_alone()
        outcomes = vm.sender.outcomes
        await vm.ask()
        exchange = vm.gate.open(a_caller_request(), 'a-2', vm.clock.now())
        assert outcomes.queue_factor(exchange) == pytest.approx(1, rel=0.1)
        for _ in range(100):
            outcomes.response_times.record(exchange.service, 1)
        expected = 1 / outcomes.work.costs.service_mean(exchange.service)
        factor = outcomes.queue_factor(exchange)
        assert factor == pytest.approx(expected, rel=0.1)

    run_virtual(main())


@pytest.mark.parametrize(('status', 'warmup'), [(500, 0), (404, 0), (200, 2.5)])
def test_failed_and_cold_answers_teach_nothing(status, warmup) -> None:
    # Guards against errors that come at once, and instances that have just
    # started, moving what a request is expected to cost.
    async def main() -> None:
        vm = an_edge_vm(cost_aware=True)
        vm.serve_alone(an_edge_instance('i-1', warmup=warmup))
        vm.instances.behaviours_by_id['i-1'] = _taking(0.01, status)
        await vm.ask()
        assert not vm.sender.outcomes.work.costs._by_service

    run_virtual(main())


def test_attempt_that_is_cut_short_teaches_nothing() -> None:
    # Guards against the time until a caller gave up counting as a cost.
    async def main() -> None:
        vm = an_edge_vm(cost_aware=True)
        vm.serve_alone()
        vm.instances.behaviours_by_id['i-1'] = _taking(1)
        task = asyncio.create_task(vm.ask())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not vm.sender.outcomes.work.costs._by_service

    run_virtual(main())


def test_paths_of_a_caller_open_no_class() -> None:
    # Guards against a caller that shapes its paths to fill the memory or to
    # pass for another kind of request.
    async def main() -> None:
        vm = an_edge_vm(cost_aware=True)
        vm.serve_alone()
        for number in range(20):
            path = f'/drafts/{number}/x'
            await vm.ask(a_caller_request(target=path, path=path))
        assert len(vm.sender.outcomes.work.costs._by_class) == 1

    run_virtual(main())
