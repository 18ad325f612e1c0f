"""Members, configuration and keys of a small fleet under faults."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import pytest
from builders import a_service
from fleets import SmallFleet, serves

from bronzewall.errors import NoConfigurationError
from bronzewall.publication import Publication, PublishOutcome
from bronzewall.publication_check import (
    Acceptance,
    VmAnswer,
    wait_in_force,
)
from bronzewall.published_change import PublishedChange
from bronzewall.standins.control_fleet import FleetVm
from bronzewall.standins.memory import MemoryPlatform, MemoryVmList
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import Placement, VmId, VmRecord, VmState

_LIMIT_S = 2.0
_SILENCE_S = 6.0
_VM = VmId('muscat-a-1')
Scenario = Callable[[SmallFleet], Awaitable[None]]


def _run(scenario: Scenario, *, per_zone: int = 4) -> None:
    async def main() -> None:
        fleet = SmallFleet()
        await fleet.start(per_zone=per_zone)
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    run_virtual(main())


def _others(fleet: SmallFleet, *excluded: VmId) -> list[FleetVm]:
    return [vm for vm in fleet.vms_by_id.values() if vm.vm_id not in excluded]


def test_only_readers_read_the_store() -> None:
    """Guards against a store load that grows with the number of VMs."""

    async def scenario(fleet: SmallFleet) -> None:
        before = fleet.store.reads
        await asyncio.sleep(10)
        # Two readers in each of three zones, one read each 0.3 s.
        assert fleet.store.reads - before <= 6 * 10 / 0.3

    _run(scenario, per_zone=8)


def test_published_generation_reaches_every_vm() -> None:
    """Guards against generations that reach only the readers."""

    async def scenario(fleet: SmallFleet) -> None:
        stored = await fleet.publish('p2', services=[a_service()])
        await asyncio.sleep(_LIMIT_S)
        for vm in fleet.vms_by_id.values():
            assert vm.plane.feed.generation == stored.generation

    _run(scenario, per_zone=8)


async def _isolated(fleet: SmallFleet) -> None:
    fleet.isolate(_VM)


async def _frozen(fleet: SmallFleet) -> None:
    fleet.vms_by_id[_VM].freeze()


async def _cut_from_store(fleet: SmallFleet) -> None:
    fleet.vms_by_id[_VM].platform.faults.is_down = True


async def _cut_from_peers(fleet: SmallFleet) -> None:
    fleet.isolate(_VM)
    fleet.vms_by_id[_VM].platform.faults.is_down = False


async def _receives_nothing(fleet: SmallFleet) -> None:
    for other in fleet.vms_by_id:
        fleet.network.block(sender=other, receiver=_VM)
    await _cut_from_store(fleet)


async def _sends_nothing(fleet: SmallFleet) -> None:
    for other in fleet.vms_by_id:
        fleet.network.block(sender=_VM, receiver=other)
    await _cut_from_store(fleet)


@pytest.mark.parametrize(
    'fault',
    [
        _isolated,
        _frozen,
        _cut_from_store,
        _cut_from_peers,
        _receives_nothing,
        _sends_nothing,
    ],
)
def test_withdrawn_key_stops_everywhere(fault: Scenario) -> None:
    """Guards P2 on VMs that cannot receive the withdrawal."""

    async def scenario(fleet: SmallFleet) -> None:
        assert all(map(serves, fleet.vms_by_id.values()))
        await fault(fleet)
        await fleet.publish('p2', accounts=[])
        await asyncio.sleep(_LIMIT_S)
        assert not any(map(serves, fleet.vms_by_id.values()))
        # A frozen VM must refuse as soon as it is thawed, and every VM
        # until it has the new generation.
        vm = fleet.vms_by_id[_VM]
        vm.platform.faults.is_down = False
        fleet.network.heal()
        vm.thaw()
        for _ in range(100):
            assert not serves(vm)
            await asyncio.sleep(0.05)
        assert vm.plane.feed.generation == 2

    _run(scenario)


def test_fleet_serves_through_a_store_outage() -> None:
    """Guards against refusals while the store can accept no change."""

    async def scenario(fleet: SmallFleet) -> None:
        fleet.outage(is_down=True)
        for _ in range(200):
            await asyncio.sleep(0.1)
            assert all(map(serves, fleet.vms_by_id.values()))
        fleet.outage(is_down=False)
        await fleet.publish('p2', accounts=[])
        await asyncio.sleep(_LIMIT_S)
        assert not any(map(serves, fleet.vms_by_id.values()))

    _run(scenario)


def test_change_handed_over_by_the_operator_before_an_outage() -> None:
    """Guards against a withdrawn key that is served when no VM could poll.

    VMs that get the change withdraw the key and serve the other account.
    A VM that only receives the generation number refuses.
    """

    async def scenario(fleet: SmallFleet) -> None:
        fleet.outage(is_down=True)
        stored = await fleet.publish('p2', accounts=['other'])
        informed, behind, *_ = fleet.vms_by_id.values()
        assert stored.change is not None
        informed.plane.answer(stored.change)
        assert not serves(informed)
        assert serves(informed, 'other')
        behind.plane.answer(attrs.evolve(stored.change, digest=b'wrong'))
        await asyncio.sleep(_LIMIT_S)
        for vm in fleet.vms_by_id.values():
            assert not serves(vm)
            assert serves(vm, 'other')

    _run(scenario)


def test_cut_off_region_refuses_while_the_rest_serves() -> None:
    """Guards against serving while the store may accept changes elsewhere."""

    async def scenario(fleet: SmallFleet) -> None:
        inside = {vm for vm in fleet.vms_by_id if vm.startswith('dhofar')}
        for vm_id in inside:
            fleet.isolate(vm_id)
        for vm_id in inside:
            for other in inside:
                fleet.network.blocked_pairs.discard((vm_id, other))
        await asyncio.sleep(_LIMIT_S)
        for vm in fleet.vms_by_id.values():
            assert serves(vm) is (vm.vm_id not in inside)

    _run(scenario)


def test_late_and_repeated_messages_do_not_revert() -> None:
    """Guards against a VM that returns to an older generation."""

    async def scenario(fleet: SmallFleet) -> None:
        fleet.network.duplication = 0.5
        fleet.network.jitter = 300
        seen: dict[VmId, int] = {}
        for number in range(10):
            await fleet.publish(f'p{number}', services=[a_service()])
            for _ in range(10):
                await asyncio.sleep(0.05)
                for vm in fleet.vms_by_id.values():
                    generation = vm.plane.feed.generation
                    assert generation >= seen.get(vm.vm_id, 0)
                    seen[vm.vm_id] = generation

    _run(scenario)


def test_new_vm_loads_from_a_neighbour_while_the_store_is_down() -> None:
    """Guards against a restart that needs the store."""

    async def scenario(fleet: SmallFleet) -> None:
        await fleet.vms_by_id.pop(_VM).kill()
        vm = fleet.start_vm(fleet.records[1])
        vm.plane.members.update(tuple(fleet.records))
        fleet.outage(is_down=True)
        await asyncio.sleep(_LIMIT_S)
        assert vm.plane.feed.generation == 1
        assert serves(vm)

    _run(scenario)


def test_new_vm_without_store_and_peers_has_no_configuration() -> None:
    """Guards against serving without a configuration."""

    async def scenario(fleet: SmallFleet) -> None:
        await fleet.vms_by_id.pop(_VM).kill()
        fleet.start_vm(fleet.records[1])
        fleet.isolate(_VM)
        await asyncio.sleep(_LIMIT_S)
        with pytest.raises(NoConfigurationError):
            fleet.vms_by_id[_VM].plane.feed.current()

    _run(scenario)


def test_killed_vm_is_suspected_until_it_restarts() -> None:
    """Guards against a killed member that stays usable or never returns."""

    async def scenario(fleet: SmallFleet) -> None:
        await fleet.vms_by_id.pop(_VM).kill()
        await asyncio.sleep(_SILENCE_S)
        for vm in _others(fleet):
            assert _VM not in vm.plane.members.usable_ids()
        fleet.start_vm(fleet.records[1])
        await asyncio.sleep(_SILENCE_S)
        for vm in _others(fleet):
            assert _VM in vm.plane.members.usable_ids()

    _run(scenario)


def test_one_way_cuts_suspect_nobody() -> None:
    """Guards against suspecting a member that only its own zone misses."""

    async def scenario(fleet: SmallFleet) -> None:
        watchers = [
            vm.vm_id
            for vm in _others(fleet, _VM)
            if vm.plane.members.own_placement.zone == 'muscat-a'
        ]
        for watcher in watchers:
            fleet.network.block(sender=_VM, receiver=watcher)
        await asyncio.sleep(_SILENCE_S)
        for vm in _others(fleet):
            assert not vm.plane.members.suspected_ids
        unreachable = [
            vm.vm_id
            for vm in _others(fleet)
            if _VM in vm.plane.members.unreachable_ids
        ]
        assert sorted(unreachable) == sorted(watchers)

    _run(scenario)


def test_isolated_vm_suspects_nobody() -> None:
    """Guards against an isolated VM that suspects all others."""

    async def scenario(fleet: SmallFleet) -> None:
        fleet.isolate(_VM)
        await asyncio.sleep(_SILENCE_S)
        assert not fleet.vms_by_id[_VM].plane.members.suspected_ids
        for vm in _others(fleet, _VM):
            assert vm.plane.members.suspected_ids == {_VM}

    _run(scenario)


def test_planned_stop_is_known_everywhere() -> None:
    """Guards against duties assigned to a VM that is stopping."""

    async def scenario(fleet: SmallFleet) -> None:
        fleet.vms_by_id[_VM].plane.heartbeats.announce_stop()
        await asyncio.sleep(_LIMIT_S)
        for vm in _others(fleet, _VM):
            assert _VM not in vm.plane.members.usable_ids()

    _run(scenario)


def test_change_of_the_vm_list_reaches_every_vm() -> None:
    """Guards against list changes that reach only the readers."""

    async def scenario(fleet: SmallFleet) -> None:
        records = [
            attrs.evolve(record, state=VmState.DESTROYED)
            if record.vm_id == _VM
            else record
            for record in fleet.records
        ]
        added = VmRecord(
            vm_id=VmId('new'),
            placement=Placement(region='dhofar', zone='dhofar-b'),
            peer_address='127.0.0.1:9',
        )
        fleet.store.vm_records = (*records, added)
        await asyncio.sleep(5)
        for vm in _others(fleet, _VM):
            members = vm.plane.members
            assert members.destroyed_ids() == {_VM}
            assert 'new' in members.records_by_id

    _run(scenario)


@pytest.mark.parametrize(
    ('answer', 'result', 'group'),
    [
        (VmAnswer(generation=2, serves_keyed=True), 'accepted', 'confirmed'),
        (VmAnswer(generation=1, serves_keyed=False), 'accepted', 'fenced'),
        (VmAnswer(generation=1, serves_keyed=True), 'stored', 'unconfirmed'),
        (None, 'accepted', 'fenced'),
    ],
)
def test_acceptance_of_a_publication(
    answer: VmAnswer | None, result: str, group: str
) -> None:
    """Guards against "accepted" while a VM uses an older generation."""

    async def scenario(fleet: SmallFleet) -> None:
        async def ask(record: VmRecord, _change: object) -> VmAnswer | None:
            if record.vm_id == _VM:
                return answer
            return VmAnswer(generation=2, serves_keyed=True)

        clock = VirtualClock()
        platform = MemoryPlatform(clock=clock, store=fleet.store)
        report = await wait_in_force(
            publication=Publication(
                publication_id='p',
                outcome=PublishOutcome.STORED,
                generation=2,
                change=PublishedChange(generation=2, keys_generation=2),
            ),
            vms=MemoryVmList(platform=platform),
            send_change=ask,
            clock=clock,
        )
        assert report.result is Acceptance(result)
        assert _VM in getattr(report, f'{group}_ids')

    _run(scenario)
