"""Tests of zones that are evacuated and taken back."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import pytest
from edge_builders import (
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)
from edge_fleet import Fleet
from edge_limit_world import LimitWorld, a_limit_world
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.edge.evacuations import Evacuations
from bronzewall.edge.model import ColdStart
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.edge.zone_messages import EvacuationList
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import InstanceId, ServiceName, VmId

_ZONE = 'muscat-b'
_VMS = {'muscat-a': 6, _ZONE: 4, 'dhofar-a': 6}
_INSTANCES = {'muscat-a': 3, _ZONE: 3, 'dhofar-a': 3}
_RATE = 4
_COLD_TIME_S = 3
_COLD_STARTS = {
    ServiceName('drafts'): ColdStart(rate=_RATE, duration=_COLD_TIME_S)
}
# Most requests that an instance may get in any second of its cold time.
_COLD_BOUND = _RATE * 1.5 + 8
# Time within which an evacuation must be in force, seconds: the bound of the
# platform is 5 s, that of a configuration 2 s in these fleets.
_BOUND_S = 2.0


def _a_list(number: int, *zones: str, era: int = 0) -> EvacuationList:
    return EvacuationList(era=era, number=number, zones=sorted(zones))


@given(
    steps=st.lists(st.sets(st.sampled_from('abc')), min_size=1),
    data=st.data(),
)
def test_newest_list_stands_in_any_order(steps, data) -> None:
    """Guards against an older list, from a slow VM, that takes one back."""
    lists = [_a_list(number, *zones) for number, zones in enumerate(steps)]
    evacuations = Evacuations()
    for found in data.draw(st.permutations(lists * 2)):
        evacuations.accept(found, source='test')
    assert evacuations.zones == steps[-1]


def test_restored_store_takes_no_evacuation_back() -> None:
    """Guards against a copy of the store that lacks an evacuation."""
    evacuations = Evacuations()
    steps = [
        (_a_list(9, 'a', 'b'), {'a', 'b'}),
        (_a_list(4, 'c', era=1), {'a', 'b', 'c'}),
        (_a_list(5, 'a', era=1), {'a', 'b'}),
        (_a_list(6, era=1), {'b'}),
        (_a_list(7, 'b', era=1), {'b'}),
        (_a_list(8, era=1), set()),
    ]
    for found, zones in steps:
        evacuations.accept(found, source='test')
        assert evacuations.zones == zones


def _publish(world: LimitWorld) -> None:
    route = an_edge_route(idempotent=False, timeout=2.0)
    world.fleet.shared.publish(
        an_edge_configuration(3, routes=(route,), cold_starts=_COLD_STARTS)
    )


def _arrivals(world: LimitWorld, *, since: float) -> list[float]:
    """Return the times at which instances of the zone got requests."""
    return [
        one.at
        for one in world.arrivals
        if one.instance.startswith(_ZONE) and one.at >= since
    ]


def _zone_vms(world: LimitWorld) -> list[str]:
    return [name for name in world.fleet.vms if name.startswith(_ZONE)]


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _nothing(_world: LimitWorld) -> None:
    """Leave the fleet undisturbed."""


async def _lose_messages(world: LimitWorld) -> None:
    world.fleet.network.loss = 0.1


async def _cut_store_off(world: LimitWorld) -> None:
    """Take the store from all VMs of the zone."""
    for name in _zone_vms(world):
        world.fleet.vms[name].store.is_unavailable = True


async def _cut_leader_off(world: LimitWorld) -> None:
    """Take one VM from all others of its zone."""
    one, *others = (VmId(name) for name in _zone_vms(world))
    for other in others:
        world.fleet.network.block(sender=one, receiver=other)
        world.fleet.network.block(sender=other, receiver=one)


async def _kill_leaders(world: LimitWorld) -> None:
    for name in world.fleet.leaders():
        await world.fleet.restart(name)
        world.install(world.fleet.vms[name])


# Guards against a VM that goes on sending to an evacuated zone: without a
# leader, without the store, or with messages lost.
@pytest.mark.parametrize(
    'disturb',
    [_nothing, _lose_messages, _cut_store_off, _cut_leader_off, _kill_leaders],
)
def test_evacuated_zone_gets_nothing(
    disturb: Callable[[LimitWorld], Awaitable[None]],
) -> None:
    async def main() -> tuple[int, int, int]:
        world = await a_limit_world(_VMS, _INSTANCES, seed=1)
        _publish(world)
        await world.load(2, rate=3)
        before = len(_arrivals(world, since=0))
        world.fleet.shared.evacuate(_ZONE)
        bound_from = _now() + _BOUND_S
        await asyncio.gather(world.load(6, rate=3), disturb(world))
        during = len(_arrivals(world, since=bound_from))
        world.fleet.shared.take_back(_ZONE)
        taken_back_at = _now()
        await world.load(6, rate=3)
        await world.fleet.stop()
        return before, during, len(_arrivals(world, since=taken_back_at))

    before, during, after = run_virtual(main())
    assert before > 0
    assert during == 0
    assert after > 0


# Guards against a zone that gets its whole load at once when it is taken back,
# although its instances may be cold.
def test_return_is_as_orderly_as_a_cold_start() -> None:
    async def main() -> tuple[int, list[float | None], list[float | None]]:
        world = await a_limit_world(_VMS, _INSTANCES, seed=2)
        _publish(world)
        world.fleet.shared.evacuate(_ZONE)
        await world.load(3, rate=8)
        world.fleet.shared.take_back(_ZONE)
        taken_back_at = _now()
        vms = world.fleet.vms.values()
        name = InstanceId(f'{_ZONE}/i-0')
        await asyncio.sleep(_BOUND_S)
        limits = [vm.limits.limit(name) for vm in vms]
        await world.load(_COLD_TIME_S, rate=8)
        await asyncio.sleep(_BOUND_S)
        later = [vm.limits.limit(name) for vm in vms]
        await world.fleet.stop()
        times = [
            one.at
            for one in world.arrivals
            if one.instance == name
            and taken_back_at <= one.at < taken_back_at + _COLD_TIME_S
        ]
        most = max(
            (sum(begin <= at < begin + 1 for at in times) for begin in times),
            default=0,
        )
        return most, limits, later

    most, limits, later = run_virtual(main())
    assert most <= _COLD_BOUND
    assert set(limits) == {_RATE}
    assert set(later) == {None}


# Guards against an evacuation that ends because the store cannot be read.
def test_what_is_known_stands_without_the_store() -> None:
    async def main() -> list[set[str]]:
        fleet = Fleet('a', 'b', 'c')
        await fleet.start()
        await asyncio.sleep(3)
        fleet.shared.evacuate(_ZONE)
        await asyncio.sleep(_BOUND_S)
        fleet.shared.is_unavailable = True
        await asyncio.sleep(3)
        # The others tell the VM that starts.
        await fleet.restart('c')
        await asyncio.sleep(3)
        found = [set(vm.state.evacuations.zones) for vm in fleet.vms.values()]
        await fleet.stop()
        return found

    found = run_virtual(main())
    assert len(found) == 3
    assert all(zones == {_ZONE} for zones in found)


# Guards against an evacuation that only the zone leaders know: a VM that hears
# none of them asks any other.
def test_vm_without_a_leader_learns_of_an_evacuation() -> None:
    async def main() -> set[str]:
        fleet = Fleet('a', 'b', 'c')
        fleet.add('d', zone='dhofar-a', zones=2)
        await fleet.start()
        await asyncio.sleep(3)
        names = [VmId(name) for name in 'abc']
        for one, other in itertools.product(names[:2], names[2:]):
            fleet.network.block(sender=one, receiver=other)
            fleet.network.block(sender=other, receiver=one)
        fleet.vms['c'].store.is_unavailable = True
        fleet.shared.evacuate(_ZONE)
        await asyncio.sleep(5)
        found = set(fleet.vms['c'].state.evacuations.zones)
        await fleet.stop()
        return found

    assert run_virtual(main()) == {_ZONE}


# Guards against a request that waits for its permit while the instance's zone
# is evacuated.
def test_waiting_request_does_not_reach_an_evacuated_zone() -> None:
    async def main() -> tuple[list[str], int]:
        fleet = Fleet('a')
        vm = fleet.vms['a']
        fleet.list_instances(
            an_edge_instance('i-1', 'muscat-a', warmup=30),
            an_edge_instance('i-2', _ZONE, warmup=30),
        )
        fleet.shared.publish(an_edge_configuration(2, cold_starts=_COLD_STARTS))
        await fleet.start()
        await asyncio.sleep(4)
        sent: list[str] = []

        async def answer(request: InstanceRequest) -> InstanceAnswer:
            sent.append(request.instance_id)
            return answer_of(request)

        vm.instances.behaviours_by_id.update({'i-1': answer, 'i-2': answer})
        tasks = [asyncio.create_task(vm.ask()) for _ in range(8)]
        await asyncio.sleep(0.01)
        before = len(sent)
        vm.state.evacuations.accept(
            _a_list(10**6, 'muscat-a', _ZONE), source='test'
        )
        statuses = [(await task).status for task in tasks]
        await fleet.stop()
        return sent[before:], statuses.count(503)

    sent, refused = run_virtual(main())
    assert not sent
    assert refused > 0


# Guards against requests that wait or fail where a whole service is evacuated.
def test_evacuated_service_is_refused_at_once() -> None:
    async def main() -> tuple[int, float, int]:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance())
        vm.state.evacuations.accept(_a_list(1, 'muscat-a'), source='test')
        started = vm.clock.now()
        status = (await vm.ask()).status
        events = vm.path.metrics.events
        assert events['zones_evacuated'] == 1
        return (
            status,
            vm.clock.now() - started,
            events['no_instance_while_evacuated'],
        )

    assert run_virtual(main()) == (503, 0, 1)
