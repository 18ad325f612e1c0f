"""Fleet of VMs that run admission only, over in-memory ports."""

import asyncio
import contextlib
import random
from collections.abc import Collection, Mapping
from typing import Any

import attrs

from bronzewall.config_model import Account
from bronzewall.errors import StoreError
from bronzewall.membership import Members
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.quota import PooledQuota, QuotaParts, build_quota
from bronzewall.slots import LEASE_TERM_S
from bronzewall.standins.memory import (
    MemoryPlatform,
    MemoryVmList,
    StoreData,
    StoreFaults,
)
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
from bronzewall.standins.virtual_time import VirtualClock
from bronzewall.types import AccountId, Placement, VmId, VmRecord, VmState

REGIONS = ('muscat', 'dhofar', 'sharqiyah')
ZONES_PER_REGION = 2
LIST_INTERVAL_S = 1.0
_SAME_ZONE_S = 0.0002
_BETWEEN_ZONES_S = 0.001
_BETWEEN_REGIONS_S = 0.008
_JITTER = 0.2
_STORE_DELAY_S = 0.004
_MAX_CLOCK_OFFSET_S = 1e6
_NS_PER_S = 1e9


class FreezableClock(VirtualClock):
    """Clock of a VM that can be paused; time advances during a pause."""

    def __init__(self, *, offset: float) -> None:
        """Start with the VM running."""
        super().__init__(offset=offset)
        self.running = asyncio.Event()
        self.running.set()

    async def sleep(self, seconds: float) -> None:
        """Wait for the time, and until the VM is not frozen."""
        await super().sleep(seconds)
        await self.running.wait()


@attrs.define(kw_only=True, eq=False)
class FleetVm:
    """One VM.

    :param quota: admission of this VM. The static baseline replaces it.
    """

    vm_id: VmId
    placement: Placement
    clock: FreezableClock
    members: Members
    quota: Any
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    is_killed: bool = False
    is_frozen: bool = False

    @property
    def is_serving(self) -> bool:
        """Whether the load balancer sends requests to this VM."""
        return not self.is_killed and not self.is_frozen


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """All VMs, their network and the platform.

    :param term_s: term of slot leases in seconds.
    """

    random: random.Random
    accounts: Mapping[AccountId, Account]
    network: MemoryNetwork
    store: StoreData = attrs.field(factory=StoreData)
    faults: StoreFaults = attrs.field(
        factory=lambda: StoreFaults(delay=_STORE_DELAY_S)
    )
    vms_by_id: dict[VmId, FleetVm] = attrs.field(factory=dict)
    term_s: float = LEASE_TERM_S
    has_regional_pools: bool = True

    def start(self) -> None:
        """Start all VMs."""
        for vm_id in self.vms_by_id:
            self.start_vm(vm_id)

    def start_vm(self, vm_id: VmId) -> None:
        """Start a new process of a VM, with a new incarnation."""
        vm = self.vms_by_id[vm_id]
        vm.is_killed = False
        vm.quota = self._quota(vm)
        vm.tasks = [
            asyncio.create_task(self._follow_list(vm)),
            asyncio.create_task(self._run(vm)),
        ]

    def kill(self, vm_id: VmId) -> None:
        """Kill a VM's process without notice."""
        vm = self.vms_by_id[vm_id]
        vm.is_killed = True
        for task in vm.tasks:
            task.cancel()
        self.network.kill(vm_id)

    def freeze(self, vm_id: VmId) -> None:
        """Pause a VM."""
        vm = self.vms_by_id[vm_id]
        vm.is_frozen = True
        vm.clock.running.clear()
        self.network.freeze(vm_id)

    def thaw(self, vm_id: VmId) -> None:
        """Resume a paused VM."""
        vm = self.vms_by_id[vm_id]
        vm.is_frozen = False
        vm.clock.running.set()
        self.network.thaw(vm_id)

    def set_listed_state(
        self, vm_ids: Collection[VmId], state: VmState
    ) -> None:
        """Set the state of VMs in the platform's list."""
        self.store.vm_records = tuple(
            attrs.evolve(record, state=state)
            if record.vm_id in vm_ids
            else record
            for record in self.store.vm_records
        )

    def block_regions(self, sender: str, receiver: str) -> None:
        """Drop all messages from one region to another."""
        for source in self.vms_by_id.values():
            for target in self.vms_by_id.values():
                pair = (source.placement.region, target.placement.region)
                if pair == (sender, receiver):
                    self.network.block(
                        sender=source.vm_id, receiver=target.vm_id
                    )

    def pool_coordinators(self) -> list[VmId]:
        """Return the VMs that coordinate a pool now."""
        return [
            vm.vm_id
            for vm in self.vms_by_id.values()
            if isinstance(vm.quota, PooledQuota)
            and vm.quota.pool_coordinator.is_open
            and not vm.is_killed
        ]

    async def stop(self) -> None:
        """Cancel all tasks."""
        tasks = [task for vm in self.vms_by_id.values() for task in vm.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _quota(self, vm: FleetVm) -> PooledQuota:
        endpoint = PeerEndpoint(
            vm_id=vm.vm_id,
            incarnation=int(vm.clock.wall() * _NS_PER_S),
            link=MemoryLink(vm_id=vm.vm_id, network=self.network),
        )
        quota = build_quota(
            QuotaParts(
                clock=vm.clock,
                endpoint=endpoint,
                members=vm.members,
                table=self._platform(vm),
                accounts=lambda: self.accounts,
                has_regional_pools=self.has_regional_pools,
            )
        )
        quota.slots.term_s = self.term_s
        return quota

    def _platform(self, vm: FleetVm) -> MemoryPlatform:
        return MemoryPlatform(
            clock=vm.clock, store=self.store, faults=self.faults
        )

    async def _run(self, vm: FleetVm) -> None:
        # VMs start at different times, so that their tasks are not
        # synchronized.
        await vm.clock.sleep(self.random.random())
        await vm.quota.run()

    async def _follow_list(self, vm: FleetVm) -> None:
        vm_list = MemoryVmList(platform=self._platform(vm))
        while True:
            with contextlib.suppress(StoreError):
                vm.members.update(tuple(await vm_list.read()))
            await vm.clock.sleep(LIST_INTERVAL_S)


def build_fleet(
    *, size: int, accounts: Mapping[AccountId, Account], rng: random.Random
) -> Fleet:
    """Return a fleet over three regions with two zones each."""
    placements_by_id = {
        VmId(f'vm-{number:02d}'): _placement(number) for number in range(size)
    }

    def delay(sender: VmId, receiver: VmId) -> float:
        source, target = placements_by_id[sender], placements_by_id[receiver]
        if source.region != target.region:
            return _BETWEEN_REGIONS_S
        return _SAME_ZONE_S if source == target else _BETWEEN_ZONES_S

    network = MemoryNetwork(random=rng, delay=delay, jitter=_JITTER)
    fleet = Fleet(random=rng, accounts=accounts, network=network)
    fleet.store.vm_records = tuple(
        VmRecord(vm_id=vm_id, placement=placement, peer_address='')
        for vm_id, placement in placements_by_id.items()
    )
    for vm_id, placement in placements_by_id.items():
        fleet.vms_by_id[vm_id] = FleetVm(
            vm_id=vm_id,
            placement=placement,
            clock=FreezableClock(offset=rng.random() * _MAX_CLOCK_OFFSET_S),
            members=Members(own_id=vm_id, own_placement=placement),
            quota=None,
        )
    return fleet


def _placement(number: int) -> Placement:
    region = REGIONS[number % len(REGIONS)]
    zone = number // len(REGIONS) % ZONES_PER_REGION
    return Placement(region=region, zone=f'{region}-{zone}')
