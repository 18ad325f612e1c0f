"""Tests of a store that is restored from a copy while VMs use it."""

import asyncio

import pytest
from edge_builders import a_vm, an_edge_configuration
from edge_builders import an_edge_instance as build_instance
from edge_fleet import Fleet, settled

from bronzewall.standins.memory_store import SharedStore
from bronzewall.standins.virtual_time import run_virtual

# Seconds within which a change must be in force.
_BOUND_S = 2.0
# Seconds for which the store is away; its copy is as current as the case says.
_AWAY_S = 0.03
# Seconds until every VM that runs is registered again.
_REGISTERED_S = 5.0


def an_edge_instance(name: str, **changes):
    """Return an instance that states the start of its process."""
    return build_instance(name, started_ms=1, **changes)


async def restore(fleet: Fleet, copy: SharedStore) -> None:
    """Let the store be away for a moment and come back from a copy."""
    fleet.shared.is_unavailable = True
    await asyncio.sleep(_AWAY_S)
    fleet.shared.restore(copy)
    fleet.shared.is_unavailable = False


def usable_ids(fleet: Fleet, name: str) -> list[str]:
    """Return the instances that a VM may use."""
    usable = fleet.vms[name].catalog.usable('drafts')
    return [item.instance_id for item in usable]


async def settled_with(*names: str) -> Fleet:
    """Return a settled fleet of two VMs that knows some instances."""
    fleet = await settled('a', 'b')
    fleet.list_instances(*(an_edge_instance(name) for name in names))
    await asyncio.sleep(1)
    return fleet


@pytest.mark.parametrize('away', [0.1, 0.2, 0.3, 0.5, 1])
def test_change_at_a_revision_assigned_again_is_not_missed(
    away: float,
) -> None:
    # Guards against a watch that goes on from a revision of before a restore:
    # an answer that was on its way set it after the other watch had failed.
    async def main() -> None:
        fleet = await settled_with('i-1', 'i-2')
        copy = fleet.shared.copy()
        fleet.vms['a'].store.answer_delay = away + 0.1
        later = (an_edge_instance('i-2'), an_edge_instance('i-3'))
        fleet.list_instances(an_edge_instance('i-1'), *later)
        await asyncio.sleep(0.05)
        fleet.shared.is_unavailable = True
        fleet.vms['a'].store.answer_delay = 0
        await asyncio.sleep(away)
        fleet.shared.restore(copy)
        fleet.list_instances(an_edge_instance('i-1', is_leaving=True), *later)
        fleet.shared.is_unavailable = False
        await asyncio.sleep(_BOUND_S)
        for name in fleet.vms:
            assert usable_ids(fleet, name) == ['i-2', 'i-3']
        await fleet.stop()

    run_virtual(main())


def test_vm_registered_at_a_revision_assigned_again_is_found() -> None:
    # Guards against a watch of the VMs that goes on from a revision of before
    # a restore.
    async def main() -> None:
        fleet = await settled('a')
        copy = fleet.shared.copy()
        fleet.shared.register(a_vm('x', 'dhofar-a'))
        await asyncio.sleep(1)
        await restore(fleet, copy)
        for name in ('z', 'y'):
            fleet.shared.register(a_vm(name, 'dhofar-a'))
        await asyncio.sleep(_REGISTERED_S)
        assert 'z' in fleet.vms['a'].fleet.entries_by_id
        await fleet.stop()

    run_virtual(main())


def test_vms_are_registered_again() -> None:
    # Guards against VMs that nobody who starts later knows: their entries
    # were written after the copy was made.
    async def main() -> None:
        fleet = await settled('a', 'b')
        copy = fleet.shared.copy()
        await fleet.restart('b')
        fleet.add('c', started_ms=20_000)
        fleet.run_vm('c')
        await asyncio.sleep(2)
        await restore(fleet, copy)
        await asyncio.sleep(_REGISTERED_S)
        for vm in fleet.vms.values():
            assert vm.fleet.own in fleet.shared.vms()
        await fleet.stop()

    run_virtual(main())


def test_leaving_instance_of_an_older_copy_stays_unused() -> None:
    # Guards against entries of the copy that bring an instance back which has
    # stated that it leaves, or which has gone.
    async def main() -> None:
        fleet = await settled_with('i-1', 'i-2', 'i-3')
        copy = fleet.shared.copy()
        leaving = an_edge_instance('i-1', is_leaving=True)
        fleet.list_instances(leaving, an_edge_instance('i-3'))
        await asyncio.sleep(1)
        await restore(fleet, copy)
        for _ in range(20):
            await asyncio.sleep(0.1)
            for name in fleet.vms:
                assert usable_ids(fleet, name) == ['i-3']
        fleet.list_instances(leaving, an_edge_instance('i-3'))
        await asyncio.sleep(_BOUND_S)
        for name in fleet.vms:
            assert usable_ids(fleet, name) == ['i-3']
        await fleet.stop()

    run_virtual(main())


def test_instance_newer_than_the_copy_stays_in_use() -> None:
    # Guards against instances that are taken for gone until they have written
    # their entries again.
    async def main() -> None:
        fleet = await settled_with('i-1')
        copy = fleet.shared.copy()
        fleet.list_instances(an_edge_instance('i-1'), an_edge_instance('i-2'))
        await asyncio.sleep(1)
        await restore(fleet, copy)
        for _ in range(15):
            await asyncio.sleep(0.1)
            for name in fleet.vms:
                assert usable_ids(fleet, name) == ['i-1', 'i-2']
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize('raw', [b'1', None])
def test_older_configuration_confirms_no_keys(raw: bytes | None) -> None:
    # Guards against a withdrawn key that works on because the store, which has
    # lost the withdrawal, answers.
    async def main() -> None:
        fleet = await settled('a', 'b')
        copy = fleet.shared.copy()
        copy.raw = raw
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(1)
        await restore(fleet, copy)
        restored_at = asyncio.get_running_loop().time()
        await asyncio.sleep(3)
        for vm in fleet.vms.values():
            assert vm.directory.version == 2
            assert vm.freshness.confirmed_at <= restored_at
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(1)
        for vm in fleet.vms.values():
            assert vm.freshness.confirmed_at > restored_at
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize('strength', [2, 0.5])
def test_restarted_vm_gets_the_newest_configuration_of_the_fleet(
    strength: float,
) -> None:
    # Guards against a return to the configuration of the copy by way of a VM
    # that has just started, be it the leader or not.
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        copy = fleet.shared.copy()
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(1)
        await fleet.kill('a')
        await restore(fleet, copy)
        vm = fleet.add('a', started_ms=20_000, strength=strength)
        fleet.run_vm('a')
        await asyncio.sleep(1)
        for one in fleet.vms.values():
            assert one.directory.version == 2
        assert vm.election.is_leader == (strength > 1)
        await fleet.stop()

    run_virtual(main())
