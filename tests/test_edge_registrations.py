"""Tests of how VMs that the store has lost are found."""

import asyncio

from edge_builders import a_vm
from edge_fleet import settled

from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.registrations import Registrations
from bronzewall.standins.virtual_time import VirtualClock, run_virtual

_OWN = a_vm('vm-1')
_OTHER = a_vm('vm-2', started_ms=5)


def a_zone(*others) -> tuple[FleetView, Registrations]:
    """Return a zone of which the store knows the own VM."""
    fleet = FleetView(own=_OWN)
    for entry in others:
        fleet.add(entry)
    registrations = Registrations(clock=VirtualClock(), fleet=fleet)
    registrations.replace([_OWN])
    return fleet, registrations


def test_vm_is_missing_after_some_time() -> None:
    # Guards against calls for VMs that have registered a moment ago.
    async def main() -> None:
        _, registrations = a_zone(_OTHER)
        assert not registrations.missing()
        await asyncio.sleep(2.9)
        assert not registrations.missing()
        await asyncio.sleep(0.2)
        assert registrations.missing() == [_OTHER]
        registrations.update([_OTHER])
        assert not registrations.missing()

    run_virtual(main())


def test_entry_of_an_earlier_start_is_missing() -> None:
    async def main() -> None:
        _, registrations = a_zone(_OTHER)
        registrations.update([a_vm('vm-2', started_ms=4)])
        assert not registrations.missing()
        await asyncio.sleep(4)
        assert registrations.missing() == [_OTHER]

    run_virtual(main())


def test_other_zones_register_their_own_vms() -> None:
    async def main() -> None:
        _, registrations = a_zone(a_vm('vm-3', 'dhofar-a'))
        registrations.missing()
        await asyncio.sleep(4)
        assert not registrations.missing()

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
