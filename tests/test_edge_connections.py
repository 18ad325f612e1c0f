"""Connections that an instance accepts from all VMs together."""

import asyncio
import random
from math import inf

import attrs
import pytest
from edge_builders import (
    EdgeVm,
    a_vm,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.edge.model import EdgeService
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.standins.memory_fleet import MemoryAnswer
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import InstanceId, ServiceName

_DRAFTS = ServiceName('drafts')


@attrs.define(kw_only=True, eq=False)
class CountedInstances:
    """Instances that count the requests in progress, thus connections."""

    vm: EdgeVm
    seconds: float = 0.1
    most_by_id: dict[str, int] = attrs.field(factory=dict)
    _now_by_id: dict[str, int] = attrs.field(factory=dict)

    async def behave(self, request: InstanceRequest) -> InstanceAnswer:
        name = request.instance_id
        now = self._now_by_id.get(name, 0) + 1
        self._now_by_id[name] = now
        self.most_by_id[name] = max(now, self.most_by_id.get(name, 0))
        try:
            await asyncio.sleep(self.seconds)
        finally:
            self._now_by_id[name] -= 1
        return answer_of(request)


def a_vm_with_limit(
    limit: int | None,
    *,
    vms: int = 1,
    instances: int = 2,
    seconds: float = 0.1,
    is_idempotent: bool = True,
) -> tuple[EdgeVm, CountedInstances]:
    """Return a VM of a fleet and instances that accept some connections."""
    vm = an_edge_vm()
    for number in range(1, vms):
        vm.fleet.add(a_vm(f'other-{number}'))
    route = an_edge_route(idempotent=is_idempotent, target_latency=None)
    service = EdgeService(service=_DRAFTS, max_connections=limit)
    names = [f'i-{number}' for number in range(instances)]
    vm.serve_alone(
        *(an_edge_instance(name, slots=50) for name in names),
        configuration=an_edge_configuration(
            routes=(route,), services=(service,)
        ),
    )
    counted = CountedInstances(vm=vm, seconds=seconds)
    for name in names:
        vm.instances.behaviours_by_id[name] = counted.behave
    return vm, counted


async def ask_at_once(vm: EdgeVm, count: int) -> list[MemoryAnswer]:
    return await asyncio.gather(*(vm.ask() for _ in range(count)))


@pytest.mark.parametrize(
    ('limit', 'vms', 'share'),
    [(360, 1, 360), (360, 7, 51), (360, 400, 1), (1, 1, 1), (None, 5, inf)],
)
def test_share_is_the_part_of_one_vm(limit, vms, share) -> None:
    # Guards against shares that sum up to more than an instance accepts, and
    # against a VM that may send nothing.
    async def main() -> None:
        vm, _ = a_vm_with_limit(limit, vms=vms)
        found = vm.sender.chooser.connections.share(_DRAFTS)
        assert found == share

    run_virtual(main())


@pytest.mark.parametrize('is_idempotent', [True, False])
def test_share_is_never_exceeded(is_idempotent: bool) -> None:
    # Guards against connections beyond the limit, which the instance resets.
    # Without the limit, 29 of the 30 requests are at one instance.
    async def main() -> None:
        vm, counted = a_vm_with_limit(12, vms=3, is_idempotent=is_idempotent)
        answers = await ask_at_once(vm, 30)
        assert counted.most_by_id == {'i-0': 4, 'i-1': 4}
        # Eight are served at once and as many again after 0.1 and 0.2 s; the
        # rest would have waited for longer than 0.25 s.
        assert [one.status for one in answers].count(200) == 24
        assert {one.status for one in answers} == {200, 503}
        events = vm.sender.metrics.events
        assert events['connection_awaited'] == 22
        assert events['connection_refused'] == 6

    run_virtual(main())


def test_refusal_states_that_nothing_ran() -> None:
    # Guards against a refusal without the time to come back, and against a
    # wait that takes the caller's whole time.
    async def main() -> None:
        vm, _ = a_vm_with_limit(1, instances=1, seconds=2.0)
        started = vm.clock.now()
        first = asyncio.create_task(vm.ask())
        await asyncio.sleep(0.01)
        second = await vm.ask()
        assert vm.clock.now() - started < 0.3
        assert (second.status, dict(second.headers)['Retry-After']) == (
            503,
            '0.50',
        )
        assert b'"ran": "no"' in second.body
        first.cancel()

    run_virtual(main())


def test_other_instance_is_used_before_a_request_waits() -> None:
    # Guards against a wait for the nearest instance while another is free.
    async def main() -> None:
        vm, counted = a_vm_with_limit(1, instances=0)
        vm.catalog.accept(
            (
                an_edge_instance('near'),
                an_edge_instance('far', zone='sohar-a'),
            ),
            confirmed_at=vm.clock.now(),
        )
        for name in ('near', 'far'):
            vm.instances.behaviours_by_id[name] = counted.behave
        answers = await ask_at_once(vm, 2)
        assert [one.status for one in answers] == [200, 200]
        assert counted.most_by_id == {'near': 1, 'far': 1}
        assert not vm.sender.metrics.events['connection_awaited']

    run_virtual(main())


def test_waiting_requests_are_served_in_their_order() -> None:
    # Guards against a request that waits while later ones take its turn.
    async def main() -> None:
        vm, _ = a_vm_with_limit(1, instances=1, seconds=0.05)
        ended: list[int] = []

        async def ask(number: int) -> None:
            await vm.ask()
            ended.append(number)

        async with asyncio.TaskGroup() as group:
            for number in range(4):
                group.create_task(ask(number))
                await asyncio.sleep(0.01)
        assert ended == [0, 1, 2, 3]

    run_virtual(main())


def test_hedged_request_keeps_the_limit() -> None:
    # Guards against a second attempt on a connection beyond the limit.
    async def main() -> None:
        vm, counted = a_vm_with_limit(1, seconds=1.5)
        answers = await ask_at_once(vm, 2)
        assert [one.status for one in answers] == [200, 200]
        assert counted.most_by_id == {'i-0': 1, 'i-1': 1}

    run_virtual(main())


def test_new_limit_is_in_force_with_its_configuration() -> None:
    # Guards against a limit that is read only at the start.
    async def main() -> None:
        vm, _ = a_vm_with_limit(8)
        connections = vm.sender.chooser.connections
        service = EdgeService(service=_DRAFTS, max_connections=3)
        vm.directory.accept(
            an_edge_configuration(2, services=(service,)),
            raw=b'2',
            source='test',
        )
        assert connections.share(_DRAFTS) == 3
        vm.directory.accept(an_edge_configuration(3), raw=b'3', source='test')
        assert connections.share(_DRAFTS) == inf

    run_virtual(main())


def test_caller_that_leaves_hands_its_turn_on() -> None:
    # Guards against a turn that ends with the caller to whom it came: the next
    # one waited although the connection was free.
    async def main() -> None:
        vm, _ = a_vm_with_limit(1, instances=1)
        vm.state.add_in_flight(InstanceId('i-0'))
        leaving, staying = (asyncio.create_task(vm.ask()) for _ in range(2))
        await asyncio.sleep(0.05)
        vm.state.remove_in_flight(InstanceId('i-0'))
        leaving.cancel()
        assert (await staying).status == 200

    run_virtual(main())


@given(seed=st.integers(0, 10_000))
def test_no_waiter_is_lost(seed: int) -> None:
    """Guards against a wake that a caller takes with it when it leaves."""

    async def main() -> None:
        vm, counted = a_vm_with_limit(2, instances=1, seconds=0.02)
        chance = random.Random(seed)
        tasks = []
        for _ in range(20):
            tasks.append(asyncio.create_task(vm.ask()))
            await asyncio.sleep(chance.uniform(0, 0.02))
            if chance.random() < 0.3:
                chance.choice(tasks).cancel()
        answers = await asyncio.gather(*tasks, return_exceptions=True)
        assert counted.most_by_id['i-0'] <= 2
        connections = vm.sender.chooser.connections
        assert not any(connections._waiters_by_service.values())
        # The load is under what two connections bear.
        assert all(
            isinstance(one, asyncio.CancelledError) or one.status == 200
            for one in answers
        )
        assert not vm.state.own_in_flight[InstanceId('i-0')]

    run_virtual(main())
