"""A small fleet with the real control plane on virtual time."""

import asyncio
import random
from typing import Any

import attrs
from builders import a_service, a_vm_record, an_account

from bronzewall.key_table import key_digest
from bronzewall.publication import Publication, publish
from bronzewall.standins.control_fleet import FleetVm, FreezableClock, start_vm
from bronzewall.standins.memory import MemoryPlatform, StoreData
from bronzewall.standins.memory_link import MemoryNetwork
from bronzewall.standins.virtual_time import VirtualClock
from bronzewall.types import VmId, VmRecord

ZONES = ('muscat-a', 'muscat-b', 'dhofar-a')


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
        """Publish once, start all VMs and wait until they are connected."""
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
        self.incarnation += 1000
        clock = FreezableClock()
        vm = start_vm(
            FleetVm,
            record=record,
            clock=clock,
            platform=MemoryPlatform(clock=clock, store=self.store),
            network=self.network,
            incarnation=self.incarnation,
        )
        self.vms_by_id[record.vm_id] = vm
        return vm

    async def stop(self) -> None:
        """End all VMs."""
        for vm in self.vms_by_id.values():
            await vm.kill()

    async def publish(
        self, publication_id: str, *, accounts: Any = None, services: Any = ()
    ) -> Publication:
        """Publish as an operator; ``accounts`` lists the keys."""
        platform = MemoryPlatform(clock=VirtualClock(), store=self.store)
        if accounts is not None:
            digests = tuple(key_digest(key) for key in accounts)
            accounts = [an_account(key_digests=digests)]
        return await publish(
            services=services,
            accounts=accounts,
            publisher='amal',
            publication_id=publication_id,
            table=platform,
            objects=platform,
        )

    def outage(self, *, is_down: bool) -> None:
        """Make the store unavailable or available to all VMs."""
        for vm in self.vms_by_id.values():
            vm.platform.faults.is_down = is_down

    def isolate(self, vm_id: VmId) -> None:
        """Disconnect one VM from its peers and from the store."""
        self.vms_by_id[vm_id].platform.faults.is_down = True
        for other in self.vms_by_id:
            self.network.block(sender=vm_id, receiver=other)
            self.network.block(sender=other, receiver=vm_id)


def serves(vm: FleetVm, key: str = 'key') -> bool:
    """Return whether a VM would run a request with a key."""
    return vm.accepts(key)
