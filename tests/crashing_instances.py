"""Instances that end with each request, for VMs in memory."""

import asyncio
from collections.abc import Iterable

import attrs
from edge_builders import EdgeVm

from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.errors import ConnectFailedError, UpstreamBrokenError

# Instances that have crashed are back after this time, seconds.
_RESTART_S = 4.5


@attrs.define(kw_only=True, eq=False)
class CrashingInstances:
    """Instances that end while they run a request and come back later.

    :param reached: times at which requests reached them.
    """

    reached: list[float] = attrs.field(factory=list)
    _back_at_by_address: dict[str, float] = attrs.field(factory=dict)

    def install(self, vm: EdgeVm, names: Iterable[str]) -> None:
        """Let these instances answer a VM's requests."""
        for name in names:
            vm.instances.behaviours_by_id[name] = self._crash
        vm.instances.accepts = self._is_running

    async def _crash(self, request: InstanceRequest) -> InstanceAnswer:
        if not self._is_running(request.address):
            raise ConnectFailedError('refused')
        now = asyncio.get_running_loop().time()
        self.reached.append(now)
        self._back_at_by_address[request.address] = now + _RESTART_S
        raise UpstreamBrokenError('crashed')

    def _is_running(self, address: str) -> bool:
        now = asyncio.get_running_loop().time()
        return now >= self._back_at_by_address.get(address, 0)
