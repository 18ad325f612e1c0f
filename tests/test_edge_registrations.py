"""Tests of how VMs that the store has lost are found."""

import asyncio

from edge_builders import a_vm
from edge_fleet import settled

from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.model import VmEntry
from bronzewall.edge.registrations import Registrations
from bronzewall.standins.memory_store import MemoryFleetStore, SharedStore
from bronzewall.standins.virtual_time import VirtualClock, run_virtual

_OWN = a_vm('vm-1')
_OTHER = a_vm('vm-2', started_ms=5)


async def a_zone(*others: VmEntry) -> tuple[SharedStore, Registrations]:
    """Return a zone of which the store knows the own VM."""
    fleet = FleetView(own=_OWN)
    shared = SharedStore()
    shared.register(_OWN)
    clock = VirtualClock()
    registrations = Registrations(
        clock=clock,
        fleet=fleet,
        store=MemoryFleetStore(clock=clock, shared=shared),
    )
    await registrations.read()
    for entry in others:
        fleet.add(entry)
    await registrations.register_missing()
    return shared, registrations


def test_vm_is_registered_when_it_is_missing_for_some_time() -> None:
    # Guards against calls for VMs that have registered a moment ago.
    async def main() -> None:
        shared, registrations = await a_zone(_OTHER)
        await asyncio.sleep(2.9)
        await registrations.register_missing()
        assert shared.vms() == [_OWN]
        await asyncio.sleep(0.2)
        await registrations.register_missing()
        assert shared.vms() == [_OWN, _OTHER]
        revision = shared.position()
        await asyncio.sleep(4)
        await registrations.register_missing()
        assert shared.position() == revision

    run_virtual(main())


def test_entry_of_an_earlier_start_is_missing() -> None:
    async def main() -> None:
        shared, registrations = await a_zone(_OTHER)
        shared.register(a_vm('vm-2', started_ms=4))
        await registrations.follow()
        await asyncio.sleep(4)
        await registrations.register_missing()
        assert shared.vms() == [_OWN, _OTHER]

    run_virtual(main())


def test_other_zones_register_their_own_vms() -> None:
    async def main() -> None:
        shared, registrations = await a_zone(a_vm('vm-3', 'dhofar-a'))
        await asyncio.sleep(4)
        await registrations.register_missing()
        assert shared.vms() == [_OWN]

    run_virtual(main())


def test_vms_of_an_undisturbed_zone_are_registered_once() -> None:
    # Guards against calls to the store that tell it nothing new.
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        revision = fleet.shared.position()
        await asyncio.sleep(30)
        assert fleet.shared.position() == revision
        await fleet.stop()

    run_virtual(main())
