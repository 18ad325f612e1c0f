"""Fleet of VMs with the real control plane over in-memory ports."""

import asyncio
import random
from typing import TypeVar

import attrs

from bronzewall.control_plane import ControlPlane
from bronzewall.membership import Members
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.standins.memory import MemoryPlatform, MemoryVmList
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
from bronzewall.standins.virtual_time import VirtualClock
from bronzewall.types import VmId, VmRecord


class FreezableClock(VirtualClock):
    """Clock whose sleeps do not return while the VM is frozen."""

    def __init__(self, *, offset: float = 0) -> None:
        """Start with the VM not frozen."""
        super().__init__(offset=offset)
        self.thawed = asyncio.Event()
        self.thawed.set()

    async def sleep(self, seconds: float) -> None:
        """Wait for the time, and until the VM is not frozen."""
        await super().sleep(seconds)
        await self.thawed.wait()


@attrs.define(kw_only=True, eq=False)
class FleetVm:
    """One VM of a fleet on virtual time."""

    record: VmRecord
    clock: FreezableClock
    platform: MemoryPlatform
    network: MemoryNetwork
    endpoint: PeerEndpoint
    plane: ControlPlane

    @property
    def vm_id(self) -> VmId:
        """Id of the VM."""
        return self.record.vm_id

    def accepts(self, key: str) -> bool:
        """Return whether a request with a key would be run now."""
        feed = self.plane.feed
        return (
            feed.generation > 0
            and feed.current().keys.find(key) is not None
            and self.plane.may_serve_keyed()
        )

    def freeze(self) -> None:
        """Stop the VM's tasks and hold its messages."""
        self.clock.thawed.clear()
        self.network.freeze(self.vm_id)

    def thaw(self) -> None:
        """Resume the VM's tasks and deliver the messages held."""
        self.clock.thawed.set()
        self.network.thaw(self.vm_id)

    async def kill(self) -> None:
        """Stop the VM without notice to its peers."""
        self.network.kill(self.vm_id)
        await self.plane.stop()
        await self.endpoint.close()


_VmT = TypeVar('_VmT', bound=FleetVm)


def start_vm(
    vm_class: type[_VmT],
    *,
    record: VmRecord,
    clock: FreezableClock,
    platform: MemoryPlatform,
    network: MemoryNetwork,
    incarnation: int,
) -> _VmT:
    """Start a VM; an earlier one of the same id must have been killed.

    :param vm_class: :class:`FleetVm` or a subclass of it.
    :param incarnation: also the seed of the VM's random choices.
    """
    endpoint = PeerEndpoint(
        vm_id=record.vm_id,
        incarnation=incarnation,
        link=MemoryLink(vm_id=record.vm_id, network=network),
    )
    plane = ControlPlane(
        clock=clock,
        random=random.Random(incarnation),
        members=Members(own_id=record.vm_id, own_placement=record.placement),
        endpoint=endpoint,
        table=platform,
        objects=platform,
        vm_list=MemoryVmList(platform=platform),
    )
    vm = vm_class(
        record=record,
        clock=clock,
        platform=platform,
        network=network,
        endpoint=endpoint,
        plane=plane,
    )
    plane.start()
    return vm
