"""Tests of waiting for room: load patterns and failures on one VM."""

import asyncio
import functools
import random
from collections import Counter
from collections.abc import Callable

import attrs
from edge_builders import (
    HOST,
    EdgeVm,
    a_caller_request,
    an_edge_account,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)

from bronzewall.errors import UpstreamShedError
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual

_SLOTS = 2
_WORK_S = 0.2


@attrs.define(kw_only=True)
class SlottedInstance:
    """An instance that runs two requests at once, the others in order.

    :param rejects: whether it rejects a request.
    :param work: seconds for which it runs a request.
    """

    rejects: Callable[[], bool] = bool
    work: float = _WORK_S
    most_at_once: int = 0
    _at_once: int = 0
    _slots: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(_SLOTS)
    )

    async def __call__(self, request):
        if self.rejects():
            raise UpstreamShedError('rejected')
        self._at_once += 1
        self.most_at_once = max(self.most_at_once, self._at_once)
        async with self._slots:
            await asyncio.sleep(self.work)
        self._at_once -= 1
        return answer_of(request)


def a_scheduling_vm(
    *, instances: int = 2, accounts=None, **changes
) -> tuple[EdgeVm, list[SlottedInstance]]:
    """Return a VM with instances of two slots and routes of two ranks."""
    vm = an_edge_vm(**{'scheduling': 'on', **changes})
    common = {'idempotent': False, 'timeout': 1.5, 'target_latency': 1.0}
    routes = [
        an_edge_route(
            route_id=f'r-{rank}',
            prefix=f'/rank-{rank}/',
            priority=rank,
            **common,
        )
        for rank in (0, 1, 2)
    ]
    names = [f'i-{number}' for number in range(instances)]
    vm.serve_alone(
        *[an_edge_instance(name, slots=_SLOTS) for name in names],
        configuration=an_edge_configuration(
            routes=tuple(routes),
            accounts=accounts or (an_edge_account(),),
        ),
    )
    behaviours = [SlottedInstance() for _ in names]
    vm.instances.behaviours_by_id.update(zip(names, behaviours, strict=True))
    return vm, behaviours


def a_ranked_request(number: int, *, rank: int = 1, key: str = 'key-1'):
    path = f'/rank-{rank}/{number}'
    return a_caller_request(
        target=path,
        path=path,
        headers=(
            ('Host', HOST),
            ('T-Attempt', f'a-{rank}-{number}'),
            ('T-Deadline', '3000'),
            ('Authorization', f'Bearer {key}'),
        ),
    )


async def timed_ask(vm, request):
    """Return the status, the seconds to the answer and its headers."""
    started = vm.clock.now()
    answer = await vm.ask(request)
    return answer.status, vm.clock.now() - started, dict(answer.headers)


def in_time(results) -> int:
    return sum(
        status == 200 and seconds <= 1.0 for status, seconds, _ in results
    )


async def flood(vm, *, per_second: float, seconds: float, request_of):
    tasks = []
    for number in range(int(per_second * seconds)):
        tasks.append(asyncio.create_task(timed_ask(vm, request_of(number))))
        await asyncio.sleep(1 / per_second)
    return [await task for task in tasks]


def test_twice_the_capacity_is_served_in_time() -> None:
    # Pattern: a burst of twice what the instances can do. Served by age, a
    # standing queue makes nearly all answers late. What can be served within
    # the target latency is 20 requests a second.
    async def main() -> None:
        vm, _ = a_scheduling_vm()
        results = await flood(
            vm, per_second=40, seconds=8, request_of=a_ranked_request
        )
        capacity = 20 * 8
        assert in_time(results) >= 0.9 * capacity

    run_virtual(main())


def test_hopeless_requests_are_refused_at_once() -> None:
    # Pattern: as above; a request that cannot be served must not be held.
    async def main() -> None:
        vm, _ = a_scheduling_vm()
        results = await flood(
            vm, per_second=60, seconds=6, request_of=a_ranked_request
        )
        refused = [item for item in results if item[0] == 503]
        held = [seconds for _, seconds, _ in refused if seconds > 0.5]
        assert len(refused) > 100
        assert len(held) <= len(refused) / 4
        times = [float(headers['Retry-After']) for _, _, headers in refused]
        assert min(times) > 0

    run_virtual(main())


def test_instances_keep_short_queues() -> None:
    # Failure: requests wait in the queues of instances, where an urgent one
    # cannot overtake them and a full queue rejects them.
    async def main() -> None:
        vm, instances = a_scheduling_vm()
        await flood(vm, per_second=40, seconds=5, request_of=a_ranked_request)
        most = max(item.most_at_once for item in instances)
        assert most <= 2 * _SLOTS

    run_virtual(main())


def test_urgent_requests_are_served_and_others_do_not_starve() -> None:
    # Pattern: urgent and other requests, each alone beyond three quarters of
    # the capacity.
    async def main() -> None:
        vm, _ = a_scheduling_vm()
        urgent, other = await asyncio.gather(
            flood(
                vm,
                per_second=15,
                seconds=8,
                request_of=lambda number: a_ranked_request(number, rank=0),
            ),
            flood(
                vm,
                per_second=15,
                seconds=8,
                request_of=lambda number: a_ranked_request(number, rank=2),
            ),
        )
        assert in_time(urgent) >= 0.95 * len(urgent)
        assert in_time(other) >= 0.1 * len(other)

    run_virtual(main())


def test_flood_of_one_account_takes_from_itself() -> None:
    # Pattern: one account sends 6 times its usual, within its rate; each of
    # the five others needs a twentieth of the capacity.
    accounts = tuple(
        an_edge_account(account_id=f'c-{number}', keys=(f'key-{number}',))
        for number in range(6)
    )

    async def main() -> None:
        vm, _ = a_scheduling_vm(accounts=accounts)
        rng = random.Random(1)

        def request_of(number: int):
            account = 0 if rng.random() < 0.9 else rng.randrange(1, 6)
            return a_ranked_request(number, key=f'key-{account}')

        served, sent = Counter(), Counter()

        async def ask(number: int) -> None:
            request = request_of(number)
            key = dict(request.headers)['Authorization']
            status, _, _ = await timed_ask(vm, request)
            sent[key] += 1
            served[key] += status == 200

        tasks = []
        for number in range(400):
            tasks.append(asyncio.create_task(ask(number)))
            await asyncio.sleep(1 / 40)
        await asyncio.gather(*tasks)
        small = [key for key in sent if key != 'Bearer key-0']
        assert all(served[key] >= 0.9 * sent[key] for key in small)

    run_virtual(main())


def test_pace_of_an_outage_is_forgotten() -> None:
    # Pattern: instances take 1.4 s for a while; after a calm time come bursts
    # that they could serve. The pace of the slow time refused a third of them.
    async def main() -> None:
        vm, instances = a_scheduling_vm()
        for item in instances:
            item.work = 1.4
        await flood(vm, per_second=8, seconds=3, request_of=a_ranked_request)
        for item in instances:
            item.work = _WORK_S
        await asyncio.sleep(20)
        # The mean response time is relearned first.
        await flood(vm, per_second=5, seconds=20, request_of=a_ranked_request)
        results = []
        for burst in range(10):
            tasks = [
                asyncio.create_task(
                    timed_ask(vm, a_ranked_request(1000 + burst * 14 + number))
                )
                for number in range(14)
            ]
            results += [await task for task in tasks]
            await asyncio.sleep(1)
        refused = sum(status != 200 for status, _, _ in results)
        assert refused <= 0.02 * len(results)

    run_virtual(main())


def test_requests_bound_elsewhere_do_not_block_the_others() -> None:
    # Failure: urgent requests whose home region is full stand before requests
    # for which another region has room.
    async def main() -> None:
        vm, _ = a_scheduling_vm()
        homes = {0: ('muscat',), 1: ('dhofar',)}
        routes = tuple(
            an_edge_route(
                route_id=f'r-{rank}',
                prefix=f'/rank-{rank}/',
                priority=rank,
                idempotent=False,
                timeout=1.5,
                home_regions=frozenset(regions),
            )
            for rank, regions in homes.items()
        )
        vm.directory.accept(
            an_edge_configuration(version=2, routes=routes),
            raw=b'2',
            source='test',
        )
        names = {'i-0': 'muscat-a', 'i-1': 'dhofar-a', 'i-2': 'dhofar-b'}
        for name in names:
            vm.instances.behaviours_by_id[name] = SlottedInstance()
        vm.catalog.accept(
            [
                an_edge_instance(name, zone=zone, slots=_SLOTS)
                for name, zone in names.items()
            ],
            confirmed_at=vm.clock.now() + 1,
        )
        _, other = await asyncio.gather(
            flood(
                vm,
                per_second=15,
                seconds=8,
                request_of=lambda number: a_ranked_request(number, rank=0),
            ),
            flood(
                vm,
                per_second=10,
                seconds=8,
                request_of=lambda number: a_ranked_request(number, rank=1),
            ),
        )
        assert sum(status == 200 for status, _, _ in other) >= len(other) - 2

    run_virtual(main())


def test_three_ranks_beyond_the_capacity() -> None:
    # Pattern: the most urgent rank alone exceeds the capacity; a rank in
    # between must not be served less than the least urgent one.
    async def main() -> None:
        vm, _ = a_scheduling_vm()
        found = await asyncio.gather(
            *[
                flood(
                    vm,
                    per_second=per_second,
                    seconds=10,
                    request_of=functools.partial(a_ranked_request, rank=rank),
                )
                for rank, per_second in ((0, 25), (1, 10), (2, 10))
            ]
        )
        urgent, middle, least = (
            sum(status == 200 for status, _, _ in results) / len(results)
            for results in found
        )
        assert urgent > 0.5
        assert middle >= 0.8 * least
        assert least > 0

    run_virtual(main())


def test_rejected_request_waits_for_a_retry() -> None:
    # Pattern: all instances reject half of what comes for a while and the
    # retry budget is short. A request waits for its retry while there is time.
    async def main() -> None:
        vm, instances = a_scheduling_vm(instances=6)
        vm.sender.budget.slack = 0
        rng = random.Random(2)

        def rejects() -> bool:
            return rng.random() < 0.55

        for item in instances:
            item.rejects = rejects
        results = await flood(
            vm, per_second=10, seconds=6, request_of=a_ranked_request
        )
        served = sum(status == 200 for status, _, _ in results)
        # The budget pays for 0.18 second sends a request: 0.45 * 1.18.
        assert served >= 0.5 * len(results)
        sends = len(vm.instances.requests)
        assert sends <= len(results) * 1.2 + 2
        assert vm.sender.metrics.events['wait_sent'] > 0

    run_virtual(main())


def test_caller_that_leaves_frees_its_place() -> None:
    # Failure: a place that is reserved for a request whose caller has left is
    # lost for the rest of the VM's life.
    async def main() -> None:
        vm, _ = a_scheduling_vm(instances=1)
        tasks = [
            asyncio.create_task(timed_ask(vm, a_ranked_request(number)))
            for number in range(8)
        ]
        await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert not vm.state.own_in_flight
        status, seconds, _ = await timed_ask(vm, a_ranked_request(99))
        assert status == 200
        assert seconds <= 3 * _WORK_S

    run_virtual(main())


def test_caller_that_leaves_while_waiting_returns_its_token() -> None:
    # Failure: callers that give up while their requests wait use up the rate of
    # their account although nothing has run.
    account = an_edge_account(rate=10, burst=10)

    async def main() -> None:
        vm, _ = a_scheduling_vm(instances=1, accounts=(account,))
        tasks = [
            asyncio.create_task(timed_ask(vm, a_ranked_request(number)))
            for number in range(8)
        ]
        await asyncio.sleep(0.05)
        admission = vm.state.admission
        before = admission.tokens(account, now=vm.clock.now())
        waiting = len(vm.scheduler.rooms_by_service['drafts'].requests)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        after = admission.tokens(account, now=vm.clock.now())
        assert waiting
        assert after - before >= waiting - 0.1

    run_virtual(main())


def test_instances_that_leave_end_the_wait() -> None:
    # Failure: requests wait until their deadline for instances that are gone.
    async def main() -> None:
        vm, _ = a_scheduling_vm(instances=1)
        tasks = [
            asyncio.create_task(timed_ask(vm, a_ranked_request(number)))
            for number in range(6)
        ]
        await asyncio.sleep(0.05)
        vm.catalog.accept(
            (an_edge_instance('x-1', service='elsewhere'),),
            confirmed_at=vm.clock.now(),
        )
        results = [await task for task in tasks]
        refused = [seconds for status, seconds, _ in results if status == 503]
        assert refused
        assert max(refused) <= 0.3

    run_virtual(main())


def test_scheduling_follows_the_configuration() -> None:
    # Deployments without routes of large requests or answers are served as
    # before unless a setting asks for scheduling.
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance())
        scheduler = vm.sender.scheduler
        assert not scheduler.is_enabled()
        vm.directory.accept(
            an_edge_configuration(
                version=2, routes=(an_edge_route(is_bulk=True),)
            ),
            raw=b'2',
            source='test',
        )
        assert scheduler.is_enabled()
        assert not an_edge_vm(scheduling='off').sender.scheduler.is_enabled()

    run_virtual(main())
