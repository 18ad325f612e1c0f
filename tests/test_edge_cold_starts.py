"""Tests of instances that bear only a low rate while they are cold."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Mapping

import attrs
import pytest
from edge_builders import (
    EdgeVm,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)
from edge_limit_world import LimitWorld, a_limit_world

from bronzewall.edge.model import ColdStart, EdgeInstance
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import InstanceId, ServiceName, VmId

_VMS = {'muscat-a': 8, 'muscat-b': 4, 'dhofar-a': 8}
_INSTANCES = {'muscat-a': 2, 'muscat-b': 2, 'dhofar-a': 2}
_COLD = InstanceId('muscat-b/i-0')
_RATE = 4
_COLD_STARTS: Mapping[ServiceName, ColdStart] = {
    ServiceName('drafts'): ColdStart(rate=_RATE, duration=3)
}
# The bound on what a cold instance gets in any second: this factor on its rate
# and requests besides.
_FACTOR = 1.5
_SLACK = 8
_BOUND = _RATE * _FACTOR + _SLACK
# Time after which a leader has told its zone of a new list, seconds.
_TOLD_S = 0.5


def _with_cold_starts(world: LimitWorld) -> None:
    route = an_edge_route(idempotent=False, timeout=2.0)
    world.fleet.shared.publish(
        an_edge_configuration(3, routes=(route,), cold_starts=_COLD_STARTS)
    )


def _turn(world: LimitWorld, warmup: float, *names: str) -> None:
    """List instances with another warm-up time."""
    listed = world.fleet.shared.instances_by_id
    changed = {
        name: attrs.evolve(listed[name], warmup=warmup) for name in names
    }
    world.fleet.list_instances(*{**listed, **changed}.values())


def _most_in_a_second(world: LimitWorld, name: str, *, since: float) -> int:
    times = [
        one.at
        for one in world.arrivals
        if one.instance == name and one.at >= since
    ]
    return max(
        (sum(begin <= at < begin + 1 for at in times) for begin in times),
        default=0,
    )


def _home(world: LimitWorld) -> list[str]:
    return [name for name in world.fleet.vms if name.startswith('muscat-b')]


async def _nothing(_world: LimitWorld) -> None:
    """Leave the fleet undisturbed."""


async def _lose_messages(world: LimitWorld) -> None:
    world.fleet.network.loss = 0.1


async def _split_zone(world: LimitWorld) -> None:
    home = [VmId(name) for name in _home(world)]
    for one, other in itertools.product(home[:2], home[2:]):
        world.fleet.network.block(sender=one, receiver=other)
        world.fleet.network.block(sender=other, receiver=one)


async def _kill_leaders(world: LimitWorld) -> None:
    for _ in range(3):
        await asyncio.sleep(1.5)
        for name in set(world.fleet.leaders()) & set(_home(world)):
            await world.fleet.restart(name)
            world.install(world.fleet.vms[name])


# Guards against VMs that together send a cold instance more than it bears,
# also while leaders change or the zone is split.
@pytest.mark.parametrize(
    'disturb', [_nothing, _lose_messages, _split_zone, _kill_leaders]
)
def test_vms_together_keep_the_rate_of_a_cold_instance(
    disturb: Callable[[LimitWorld], Awaitable[None]],
) -> None:
    async def main() -> tuple[int, int]:
        world = await a_limit_world(_VMS, _INSTANCES, seed=1)
        _with_cold_starts(world)
        await world.load(2, rate=5)
        _turn(world, 30, _COLD)
        since = asyncio.get_running_loop().time() + _TOLD_S
        await asyncio.gather(world.load(8, rate=5), disturb(world))
        most = _most_in_a_second(world, _COLD, since=since)
        await world.fleet.stop()
        return most, world.count(_COLD, since=since)

    most, count = run_virtual(main())
    assert most <= _BOUND
    assert count > 0


# Guards against a limit that outlasts the cold time, on any VM.
def test_warm_instance_has_no_limit() -> None:
    async def main() -> list[float | None]:
        world = await a_limit_world(_VMS, _INSTANCES, seed=2)
        _with_cold_starts(world)
        await asyncio.sleep(1)
        _turn(world, 1, _COLD)
        await world.load(2, rate=5)
        _turn(world, 0, _COLD)
        await world.load(2, rate=2)
        found = [vm.limits.limit(_COLD) for vm in world.fleet.vms.values()]
        stated = [vm.limits.limits_by_id() for vm in world.fleet.vms.values()]
        await world.fleet.stop()
        assert not any(stated)
        return found

    assert set(run_virtual(main())) == {None}


# Guards against requests that wait for cold instances or are refused although
# warm ones of another zone have room.
def test_work_goes_to_warm_instances() -> None:
    async def main() -> LimitWorld:
        world = await a_limit_world(
            {'muscat-a': 4, 'dhofar-a': 2},
            {'muscat-a': 9, 'dhofar-a': 9},
            seed=3,
        )
        _with_cold_starts(world)
        await asyncio.sleep(1)
        cold = [f'muscat-a/i-{number}' for number in range(9)]
        _turn(world, 30, *cold)
        await asyncio.sleep(1)
        await world.load(4, rate=15)
        await world.fleet.stop()
        return world

    world = run_virtual(main())
    assert set(world.statuses) == {200}
    assert max(world.seconds) < 1


# Pattern: all instances of a service are cold and bear a part of the load. What
# they bear is used, and the rest is refused at once.
def test_load_that_no_instance_takes_is_refused_at_once() -> None:
    async def main() -> LimitWorld:
        world = await a_limit_world({'muscat-a': 4}, {'muscat-a': 2}, seed=4)
        _with_cold_starts(world)
        await asyncio.sleep(1)
        _turn(world, 30, 'muscat-a/i-0', 'muscat-a/i-1')
        await asyncio.sleep(1)
        await world.load(5, rate=10)
        await world.fleet.stop()
        return world

    world = run_virtual(main())
    assert set(world.statuses) == {200, 503}
    assert world.statuses.count(200) >= 0.8 * 5 * 2 * _RATE
    refused = [
        seconds
        for status, seconds in zip(world.statuses, world.seconds, strict=True)
        if status == 503
    ]
    assert max(refused) < 0.1


def _a_cold_vm(**changes) -> EdgeVm:
    """Return a VM with a cold instance ``i-1`` and a warm one, ``i-2``."""
    vm = an_edge_vm()
    vm.serve_alone(
        an_edge_instance('i-1', warmup=3),
        an_edge_instance('i-2'),
        configuration=an_edge_configuration(**changes),
    )
    return vm


# Guards against a limit where the configuration states none, as before.
def test_cold_instance_without_a_stated_rate_has_no_limit() -> None:
    async def main() -> tuple[float | None, set[InstanceId]]:
        vm = _a_cold_vm()
        return vm.limits.limit(InstanceId('i-1')), vm.limits.limited_ids()

    assert run_virtual(main()) == (None, set())


# Guards against an instance that stays cold because nobody says otherwise: the
# store may be out of reach.
def test_cold_time_passes_without_the_store() -> None:
    async def main() -> list[float | None]:
        vm = _a_cold_vm(cold_starts=_COLD_STARTS)
        limits = []
        for _ in range(2):
            limits.append(vm.limits.limit(InstanceId('i-1')))
            await asyncio.sleep(3.01)
        return limits

    assert run_virtual(main()) == [_RATE, None]


# Guards against an instance that becomes cold again while it is cold, and whose
# first time ends.
def test_time_that_rises_is_told_to_the_zone() -> None:
    async def main() -> list[float | None]:
        world = await a_limit_world({'muscat-a': 4}, {'muscat-a': 2}, seed=5)
        _with_cold_starts(world)
        name = 'muscat-a/i-0'
        await asyncio.sleep(1)
        for warmup in (3, 1.5, 0.2, 3, 1.5):
            _turn(world, warmup, name)
            await asyncio.sleep(1)
        found = [
            vm.limits.limit(InstanceId(name)) for vm in world.fleet.vms.values()
        ]
        await world.fleet.stop()
        return found

    assert set(run_virtual(main())) == {_RATE}


# Guards against a second send beside a slow one that needs no permit.
def test_cold_instance_gets_no_hedge() -> None:
    async def main() -> list[str]:
        vm = an_edge_vm()
        vm.serve_alone(
            an_edge_instance('i-1'),
            an_edge_instance('i-2', warmup=30),
            configuration=an_edge_configuration(cold_starts=_COLD_STARTS),
        )
        sent: list[str] = []

        async def stall(request: InstanceRequest) -> InstanceAnswer:
            sent.append(request.instance_id)
            await asyncio.sleep(2)
            return answer_of(request)

        for name in ('i-1', 'i-2'):
            vm.instances.behaviours_by_id[name] = stall
        await vm.ask()
        return sent

    assert run_virtual(main()) == ['i-1']


# Guards against a rate lower than the stated one that is taken for the other.
def test_lower_of_two_limits_holds() -> None:
    async def main() -> list[float | None]:
        vm = _a_cold_vm(cold_starts=_COLD_STARTS)
        name = InstanceId('i-1')
        found = []
        for stated in (1, 9):
            now = vm.clock.now()
            vm.limits.record_answer(name, stated, sent_at=now, now=now)
            found.append(vm.limits.limit(name))
        return found

    assert run_virtual(main()) == [1, _RATE]


# Guards against a process that counts as another one because its warm-up time
# has changed while a request waited for its permit.
def test_warming_instance_stays_usable() -> None:
    async def main() -> list[bool]:
        vm = _a_cold_vm(cold_starts=_COLD_STARTS)
        before = vm.catalog.usable(ServiceName('drafts'))[0]
        later: list[EdgeInstance] = [
            attrs.evolve(before, warmup=0),
            attrs.evolve(before, started_ms=7),
        ]
        found = []
        for item in later:
            vm.catalog.accept((item,), confirmed_at=vm.clock.now())
            found.append(vm.selector.is_usable(before, now=vm.clock.now()))
        return found

    assert run_virtual(main()) == [True, False]
