"""Tests of limits that instances state for all VMs together."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterable

import pytest
from edge_builders import an_edge_instance
from edge_limit_world import LimitWorld, a_limit_world

from bronzewall.edge.limit_permits import PermitSchedule
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import InstanceId, VmId

_VMS = {'muscat-a': 8, 'muscat-b': 4, 'dhofar-a': 8}
_INSTANCES = {'muscat-a': 2, 'muscat-b': 2, 'dhofar-a': 2}


# Guards against VMs that together exceed the limit that an instance states.
@pytest.mark.parametrize('limit', [0.5, 1, 2.5])
@pytest.mark.parametrize('seed', range(2))
def test_vms_together_keep_a_stated_limit(limit: float, seed: int) -> None:
    async def main() -> float:
        world = await a_limit_world(_VMS, _INSTANCES, seed=seed)
        await world.load(2, rate=2)
        world.limits_by_id['muscat-b/i-0'] = limit
        await world.load(12, rate=2)
        await world.fleet.stop()
        return world.excess('muscat-b/i-0')

    assert run_virtual(main()) <= 0


# Guards against a VM that alone exceeds the limit that an instance states.
def test_one_vm_keeps_a_stated_limit() -> None:
    async def main() -> float:
        vms, instances = {'muscat-b': 1}, {'muscat-b': 2}
        world = await a_limit_world(vms, instances, seed=1)
        world.limits_by_id['muscat-b/i-0'] = 1
        await world.load(12, rate=10)
        await world.fleet.stop()
        return world.excess('muscat-b/i-0')

    assert run_virtual(main()) <= 0


def _home(world: LimitWorld) -> list[str]:
    """Return the VMs of the limited instance's zone."""
    return [name for name in world.fleet.vms if name.startswith('muscat-b')]


def _cut(world: LimitWorld, ones: Iterable[str], others: Iterable[str]) -> None:
    for one, other in itertools.product(ones, others):
        world.fleet.network.block(sender=VmId(one), receiver=VmId(other))
        world.fleet.network.block(sender=VmId(other), receiver=VmId(one))


async def _lose_messages(world: LimitWorld) -> None:
    world.fleet.network.loss = 0.1


async def _split_zone(world: LimitWorld) -> None:
    home = _home(world)
    _cut(world, home[:2], home[2:])


async def _cut_zone_off(world: LimitWorld) -> None:
    _cut(world, _home(world), set(world.fleet.vms) - set(_home(world)))


async def _kill_leaders(world: LimitWorld) -> None:
    for _ in range(4):
        await asyncio.sleep(1.5)
        for name in set(world.fleet.leaders()) & set(_home(world)):
            await world.fleet.restart(name)
            world.install(world.fleet.vms[name])


async def _freeze_leader(world: LimitWorld) -> None:
    leader = VmId(_home(world)[0])
    world.fleet.network.freeze(leader)
    await asyncio.sleep(4)
    world.fleet.network.thaw(leader)


# Guards against more permits than the limit while leaders change.
@pytest.mark.parametrize(
    'disturb',
    [_lose_messages, _split_zone, _cut_zone_off, _kill_leaders, _freeze_leader],
)
@pytest.mark.parametrize('limit', [1, 2.5])
def test_limit_holds_during_disturbances(
    limit: float, disturb: Callable[[LimitWorld], Awaitable[None]]
) -> None:
    async def main() -> float:
        world = await a_limit_world(_VMS, _INSTANCES, seed=3)
        world.limits_by_id['muscat-b/i-0'] = limit
        await asyncio.gather(world.load(12, rate=2.5), disturb(world))
        await world.fleet.stop()
        return world.excess('muscat-b/i-0')

    assert run_virtual(main()) <= 0


# Guards against requests from VMs of other zones that know no limit yet.
def test_all_vms_learn_a_limit() -> None:
    async def main() -> list[float | None]:
        world = await a_limit_world(_VMS, _INSTANCES, seed=4)
        world.limits_by_id['muscat-b/i-0'] = 1.5
        await world.load(3, rate=2)
        known = [
            vm.limits.limit(InstanceId('muscat-b/i-0'))
            for vm in world.fleet.vms.values()
        ]
        await world.fleet.stop()
        return known

    assert set(run_virtual(main())) == {1.5}


# Guards against an instance that is avoided after its need has ended.
def test_ended_limit_is_noticed() -> None:
    async def main() -> tuple[int, int]:
        world = await a_limit_world({'a-1': 4}, {'a-1': 2}, seed=5)
        world.limits_by_id['a-1/i-0'] = 1
        await world.load(6, rate=4)
        world.limits_by_id.clear()
        await world.load(3, rate=4)
        ended_at = asyncio.get_running_loop().time()
        await world.load(5, rate=4)
        await world.fleet.stop()
        return tuple(
            world.count(f'a-1/i-{number}', since=ended_at)
            for number in range(2)
        )

    first, second = run_virtual(main())
    assert first >= 0.8 * second


# Pattern: every instance of a service states a limit, together a third of the
# load. What they accept is used, and the rest is refused at once.
def test_whole_service_at_its_limit() -> None:
    async def main() -> LimitWorld:
        world = await a_limit_world(_VMS, _INSTANCES, seed=6)
        for zone, count in _INSTANCES.items():
            for number in range(count):
                world.limits_by_id[f'{zone}/i-{number}'] = 2
        await world.load(4, rate=1.8)
        for recorded in (world.statuses, world.seconds, world.arrivals):
            recorded.clear()
        await world.load(12, rate=1.8)
        await world.fleet.stop()
        return world

    world = run_virtual(main())
    for name in world.limits_by_id:
        assert world.excess(name) <= 0
    served = world.statuses.count(200)
    assert served >= 0.8 * 2 * 6 * 12
    assert set(world.statuses) == {200, 503}
    refused = [
        seconds
        for status, seconds in zip(world.statuses, world.seconds, strict=True)
        if status == 503
    ]
    assert sorted(refused)[int(0.9 * len(refused))] < 0.1
    assert max(world.seconds) < 1.3


def test_request_fails_over_to_an_instance_without_a_limit() -> None:
    async def main() -> LimitWorld:
        world = await a_limit_world({'a-1': 4}, {'a-1': 2}, seed=7)
        world.limits_by_id['a-1/i-0'] = 0.5
        await world.load(10, rate=3)
        await world.fleet.stop()
        return world

    world = run_virtual(main())
    assert set(world.statuses) == {200}
    assert max(world.seconds) < 0.6


def test_limited_instance_that_left_during_the_wait_gets_nothing() -> None:
    async def main() -> LimitWorld:
        world = await a_limit_world({'a-1': 1}, {'a-1': 1}, seed=8)
        name = InstanceId('a-1/i-0')
        world.limits_by_id[name] = 2
        await world.load(2, rate=4)
        world.arrivals.clear()
        vm = world.fleet.vms['a-1/vm-0']
        asks = [asyncio.create_task(vm.ask()) for _ in range(3)]
        await asyncio.sleep(0.01)
        vm.catalog.accept(
            [an_edge_instance(name, zone='a-1', is_leaving=True)],
            confirmed_at=vm.clock.now(),
        )
        sent = len(world.arrivals)
        await asyncio.gather(*asks)
        assert len(world.arrivals) == sent
        await world.fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize('rate', [0.05, 0.5, 3, 40])
def test_permits_are_spaced(rate: float) -> None:
    schedule = PermitSchedule()
    granted = [
        step / 100
        for step in range(3000)
        if schedule.request(
            InstanceId('i-1'), rate=rate, max_wait=0, now=step / 100
        ).is_granted
    ]
    expected = max(rate, 0.1) * 30 + 2
    assert 0.7 * expected <= len(granted) <= expected


def test_permit_is_given_ahead_of_time() -> None:
    schedule = PermitSchedule()
    waits = [
        schedule.request(InstanceId('i-1'), rate=2, max_wait=0.6, now=10)
        for _ in range(5)
    ]
    assert [(reply.is_granted, reply.wait) for reply in waits] == [
        (True, 0),
        (True, 0),
        (True, 0.5),
        (False, 1),
        (False, 1),
    ]
