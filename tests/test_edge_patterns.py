"""Tests of load patterns: queueing, refusals and choice of instances."""

import asyncio
import math
import random

import pytest
from edge_builders import (
    HOST,
    a_caller_request,
    a_vm,
    an_edge_account,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)

from bronzewall.errors import UpstreamTimeoutError
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual


def partly_failing(rate: float, rng: random.Random):
    async def behave(request):
        if rng.random() < rate:
            return answer_of(request, status=500)
        await asyncio.sleep(0.1)
        return answer_of(request)

    return behave


async def _ask_all(vm, count: int, pause: float) -> list[int]:
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(vm.ask()))
        await asyncio.sleep(pause)
    return [(await task).status for task in tasks]


@pytest.mark.parametrize('seed', range(5))
def test_failing_third_non_idempotent(seed: int) -> None:
    # Pattern: a third of the instances fail most requests while the others have
    # free slots. Even distribution would fail a quarter of all requests.
    async def main() -> None:
        vm = an_edge_vm()
        route = an_edge_route(idempotent=False)
        names = [f'i-{number}' for number in range(6)]
        vm.serve_alone(
            *[an_edge_instance(name) for name in names],
            configuration=an_edge_configuration(routes=(route,)),
        )
        rng = random.Random(seed)
        for name in names[:2]:
            vm.instances.behaviours_by_id[name] = partly_failing(0.75, rng)
        statuses = await _ask_all(vm, 200, 0.03)
        assert statuses.count(500) / len(statuses) <= 0.06

    run_virtual(main())


@pytest.mark.parametrize('seed', range(5))
def test_failing_half_idempotent(seed: int) -> None:
    # Pattern: half of the instances fail; idempotent requests are retried.
    async def main() -> None:
        vm = an_edge_vm()
        names = [f'i-{number}' for number in range(6)]
        vm.serve_alone(*[an_edge_instance(name) for name in names])
        rng = random.Random(seed)
        for name in names[:3]:
            vm.instances.behaviours_by_id[name] = partly_failing(0.75, rng)
        statuses = await _ask_all(vm, 200, 0.03)
        assert statuses.count(200) / len(statuses) >= 0.98

    run_virtual(main())


def test_recovered_instance_is_used_again() -> None:
    # Pattern: an instance fails for some seconds and is healthy again.
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance('i-1'), an_edge_instance('i-2'))
        vm.instances.behaviours_by_id['i-1'] = partly_failing(
            1, random.Random(1)
        )
        await _ask_all(vm, 100, 0.05)
        vm.instances.behaviours_by_id.clear()
        await _ask_all(vm, 400, 0.05)
        late = vm.instances.requests[-100:]
        assert sum(item.instance_id == 'i-1' for item in late) >= 20

    run_virtual(main())


def test_burst_overflows_to_another_zone_only_when_own_is_full() -> None:
    # Pattern: a burst in one zone while another zone of the region has free
    # slots.
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(
            an_edge_instance('near'),
            an_edge_instance('far', zone='muscat-b'),
        )
        vm.instances.response_time = 0.8
        await _ask_all(vm, 40, 0.6)
        assert {item.instance_id for item in vm.instances.requests} == {'near'}
        statuses = await asyncio.gather(*[vm.ask() for _ in range(12)])
        used = {item.instance_id for item in vm.instances.requests}
        assert used == {'near', 'far'}
        assert {writer.status for writer in statuses} == {200}

    run_virtual(main())


def test_request_that_would_miss_its_deadline_is_refused_at_once() -> None:
    # Pattern: overload. A request that cannot be answered before its deadline
    # is refused on arrival and not at its deadline.
    async def main() -> None:
        vm = an_edge_vm()
        vm.instances.response_time = 1.0
        vm.serve_alone(an_edge_instance(slots=1))
        for _ in range(30):
            await vm.ask()
        started = vm.clock.now()
        tasks = [asyncio.create_task(vm.ask()) for _ in range(20)]
        done, pending = await asyncio.wait(tasks, timeout=0.05)
        refused = [task.result().status for task in done]
        assert len(refused) >= 10
        assert set(refused) == {503}
        assert vm.clock.now() - started < 0.1
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)

    run_virtual(main())


def queueing(slots: int, seconds: float):
    """Return the behaviour of an instance that serves its queue in order."""
    free = asyncio.Semaphore(slots)

    async def behave(request):
        async with free:
            await asyncio.sleep(seconds)
        return answer_of(request)

    return behave


@pytest.mark.parametrize('source', ['account', 'route'])
def test_urgent_requests_under_overload(source: str) -> None:
    # Pattern: three times the load that a service can handle, a fifth of it
    # urgent. In a common queue, urgent requests would wait behind all others.
    async def main() -> None:
        vm = an_edge_vm()
        ranks = {'urgent': 0, 'usual': 2}
        on_route = source == 'route'
        vm.serve_alone(
            an_edge_instance(slots=4),
            configuration=an_edge_configuration(
                routes=tuple(
                    an_edge_route(
                        route_id=name,
                        prefix=f'/{name}/',
                        priority=rank if on_route else 1,
                    )
                    for name, rank in ranks.items()
                ),
                accounts=tuple(
                    an_edge_account(
                        account_id=name,
                        keys=(name,),
                        priority=None if on_route else rank,
                    )
                    for name, rank in ranks.items()
                ),
            ),
        )
        vm.instances.behaviours_by_id['i-1'] = queueing(4, 0.4)
        tasks_by_name: dict[str, list] = {'urgent': [], 'usual': []}
        for number in range(600):
            name = 'usual' if number % 5 else 'urgent'
            request = a_caller_request(
                target=f'/{name}/1',
                headers=(
                    ('Host', HOST),
                    ('T-Deadline', '2000'),
                    ('Authorization', f'Bearer {name}'),
                ),
            )
            tasks_by_name[name].append(asyncio.create_task(vm.ask(request)))
            await asyncio.sleep(1 / 30)
        served_by_name = {
            name: sum([(await task).status == 200 for task in tasks])
            for name, tasks in tasks_by_name.items()
        }
        assert served_by_name['urgent'] / 120 >= 0.95
        # The service can handle ten requests a second; the requests that are
        # not urgent use the remaining capacity.
        assert sum(served_by_name.values()) >= 0.9 * 10 * 20

    run_virtual(main())


def test_account_over_its_rate_does_not_affect_others() -> None:
    # Pattern: one account sends at seven times its rate beside a small one.
    async def main() -> None:
        vm = an_edge_vm()
        hot = an_edge_account(account_id='hot', keys=('hot',), rate=5, burst=5)
        calm = an_edge_account(
            account_id='calm', keys=('calm',), rate=5, burst=5
        )
        vm.serve_alone(
            configuration=an_edge_configuration(accounts=(hot, calm))
        )

        def keyed(key: str):
            headers = [
                (name, f'Bearer {key}' if name == 'Authorization' else text)
                for name, text in a_caller_request().headers
            ]
            return a_caller_request(headers=headers)

        # Requests do not wait for the answers of those before them.
        asked: dict[str, list[asyncio.Future]] = {'hot': [], 'calm': []}
        for step in range(200):
            key = 'calm' if step % 10 == 0 else 'hot'
            asked[key].append(asyncio.ensure_future(vm.ask(keyed(key))))
            await asyncio.sleep(0.025)
        results = {
            key: [answer.status for answer in await asyncio.gather(*tasks)]
            for key, tasks in asked.items()
        }
        assert set(results['calm']) == {200}
        assert results['hot'].count(429) > 50

    run_virtual(main())


@pytest.mark.parametrize('seed', range(3))
def test_unresponsive_instances_non_idempotent(seed: int) -> None:
    # Pattern: some instances accept requests and do not answer (incident
    # inc-7011 of majlis-grid). Non-idempotent requests are lost there until the
    # missing answers are detected.
    async def main() -> None:
        vm = an_edge_vm()
        route = an_edge_route(idempotent=False, timeout=1.5)
        names = [f'i-{number}' for number in range(6)]
        vm.serve_alone(
            *[an_edge_instance(name) for name in names],
            configuration=an_edge_configuration(routes=(route,)),
        )
        vm.instances.response_time = 0.25
        await _ask_all(vm, 120, 0.08)
        rng = random.Random(seed)

        async def partly_unresponsive(request):
            if rng.random() < 0.6:
                await asyncio.sleep(request.timeout)
                raise UpstreamTimeoutError('silent')
            await asyncio.sleep(0.25)
            return answer_of(request)

        for name in names[:2]:
            vm.instances.behaviours_by_id[name] = partly_unresponsive
        statuses = await _ask_all(vm, 120, 0.08)
        assert statuses.count(504) <= 6

    run_virtual(main())


@pytest.mark.parametrize('instances', [8, 30])
def test_vms_begin_with_different_instances(instances: int) -> None:
    # Pattern: a day begins and each VM sends its first requests. All VMs began
    # with the first instances of the list, and the others got nothing.
    async def main() -> None:
        used = set()
        for number in range(40):
            vm = an_edge_vm(a_vm(f'vm-{number}'))
            vm.serve_alone(
                *(an_edge_instance(f'i-{one}') for one in range(instances))
            )
            assert (await vm.ask()).status == 200
            used.add(vm.instances.requests[0].instance_id)
        # Distinct instances if each VM drew one at random.
        expected = instances * (1 - math.exp(-40 / instances))
        assert len(used) > 0.7 * expected

    run_virtual(main())
