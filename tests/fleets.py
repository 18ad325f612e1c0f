"""A small fleet with the real control plane, on virtual time."""

import asyncio
import random
from typing import Any

import attrs
from builders import a_service, a_vm_record, an_account

from bronzewall.control_plane import ControlPlane
from bronzewall.key_table import key_digest
from bronzewall.membership import Members
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.publication import Publication, publish
from bronzewall.standins.memory import (
    MemoryPlatform,
    MemoryVmList,
    StoreData,
)
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
from bronzewall.standins.virtual_time import VirtualClock
from bronzewall.types import VmId, VmRecord

ZONES = ('muscat-a', 'muscat-b', 'dhofar-a')


class PausableClock(VirtualClock):
    """Clock whose sleepers stay asleep while the VM is frozen."""

    def __init__(self) -> None:
        """Start thawed."""
        super().__init__()
        self.thawed = asyncio.Event()
        self.thawed.set()

    async def sleep(self, seconds: float) -> None:
        """Wait, and on until the VM is thawed."""
        await super().sleep(seconds)
        await self.thawed.wait()


@attrs.frozen(kw_only=True)
class FleetVm:
    """One VM of the fleet."""

    vm_id: VmId
    clock: PausableClock
    platform: MemoryPlatform
    plane: ControlPlane
    endpoint: PeerEndpoint


@attrs.define(kw_only=True, eq=False)
class SmallFleet:
    """Three zones with some VMs each."""

    store: StoreData = attrs.field(factory=StoreData)
    network: MemoryNetwork = attrs.field(
        factory=lambda: MemoryNetwork(random=random.Random(1))
    )
    vms_by_id: dict[VmId, FleetVm] = attrs.field(factory=dict)
    records: list[VmRecord] = attrs.field(factory=list)
    incarnation: int = 1

    async def start(self, *, per_zone: int) -> None:
        """Publish once, start all VMs and let them find each other."""
        await self.publish('first', services=[a_service()], accounts=['key'])
        self.records = [
            a_vm_record(f'{zone}-{number}', zone)
            for zone in ZONES
            for number in range(per_zone)
        ]
        self.store.vm_records = tuple(self.records)
        for record in self.records:
            self.start_vm(record)
        await asyncio.sleep(4)

    def start_vm(self, record: VmRecord) -> FleetVm:
        """Start one VM."""
        self.incarnation += 1
        clock = PausableClock()
        platform = MemoryPlatform(clock=clock, store=self.store)
        endpoint = PeerEndpoint(
            vm_id=record.vm_id,
            incarnation=self.incarnation * 1000,
            link=MemoryLink(vm_id=record.vm_id, network=self.network),
        )
        plane = ControlPlane(
            clock=clock,
            random=random.Random(self.incarnation),
            members=Members(
                own_id=record.vm_id, own_placement=record.placement
            ),
            endpoint=endpoint,
            table=platform,
            objects=platform,
            vm_list=MemoryVmList(platform=platform),
        )
        vm = FleetVm(
            vm_id=record.vm_id,
            clock=clock,
            platform=platform,
            plane=plane,
            endpoint=endpoint,
        )
        self.vms_by_id[record.vm_id] = vm
        plane.start()
        return vm

    async def kill(self, vm_id: VmId) -> None:
        """End a VM without notice."""
        vm = self.vms_by_id.pop(vm_id)
        self.network.kill(vm_id)
        await vm.plane.stop()
        await vm.endpoint.close()

    async def stop(self) -> None:
        """End all VMs."""
        for vm_id in tuple(self.vms_by_id):
            await self.kill(vm_id)

    async def publish(
        self, publication_id: str, *, accounts: Any = None, services: Any = ()
    ) -> Publication:
        """Publish as an operator; ``accounts`` lists the keys."""
        platform = MemoryPlatform(clock=VirtualClock(), store=self.store)
        if accounts is not None:
            accounts = [an_account(key_digests=digests(accounts))]
        return await publish(
            services=services,
            accounts=accounts,
            publisher='amal',
            publication_id=publication_id,
            table=platform,
            objects=platform,
        )

    def outage(self, *, is_down: bool) -> None:
        """Switch the store off or on for all VMs."""
        for vm in self.vms_by_id.values():
            vm.platform.faults.is_down = is_down

    def isolate(self, vm_id: VmId) -> None:
        """Cut one VM from its peers and from the store."""
        self.vms_by_id[vm_id].platform.faults.is_down = True
        for other in self.vms_by_id:
            self.network.cut(sender=vm_id, receiver=other)
            self.network.cut(sender=other, receiver=vm_id)


def digests(keys: Any) -> tuple[bytes, ...]:
    """Return the digests of keys."""
    return tuple(key_digest(key) for key in keys)


def serves(vm: FleetVm, key: str = 'key') -> bool:
    """Return whether a VM would run a request with a key."""
    feed = vm.plane.feed
    return (
        feed.generation > 0
        and feed.current().keys.find(key) is not None
        and vm.plane.may_serve_keyed()
    )
