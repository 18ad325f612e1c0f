"""Broken connections of instances that crash, and of those that go on."""

import asyncio

import attrs
import pytest
from crashing_instances import CrashingInstances
from edge_builders import EdgeVm, an_edge_instance, an_edge_vm
from edge_fleet import settled

from bronzewall.edge.crash_tracker import CRASH_INSTANCES
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.errors import UpstreamBrokenError
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual

_NAMES = tuple(f'i-{number}' for number in range(8))
_WORK_S = 0.5
_OK = 200


@attrs.define(kw_only=True, eq=False)
class ResetInstances:
    """Sound instances; connections to them can be reset.

    :param resets: callers of connections that a reset breaks.
    """

    resets: list[asyncio.Event] = attrs.field(factory=list)

    def install(self, vm: EdgeVm) -> None:
        """Let these instances answer a VM's requests."""
        for name in _NAMES:
            vm.instances.behaviours_by_id[name] = self._work

    def reset(self) -> None:
        """Reset the connections that are in use."""
        for one in self.resets:
            one.set()

    async def _work(self, request: InstanceRequest) -> InstanceAnswer:
        reset = asyncio.Event()
        self.resets.append(reset)
        try:
            async with asyncio.timeout(_WORK_S):
                await reset.wait()
        except TimeoutError:
            return answer_of(request)
        raise UpstreamBrokenError('reset')


# Guards against a page in progress on several connections that are reset at
# once, which all VMs then refuse as a request that crashes instances.
@pytest.mark.parametrize('resets', [1, 3])
def test_reset_of_connections_is_no_crash(resets: int) -> None:
    async def main() -> None:
        fleet = await settled('a', 'b')
        fleet.list_instances(*[an_edge_instance(name) for name in _NAMES])
        await asyncio.sleep(2)
        instances = ResetInstances()
        for vm in fleet.vms.values():
            instances.install(vm)
        for _ in range(resets):
            asking = [asyncio.create_task(fleet.vms['b'].ask()) for _ in _NAMES]
            await asyncio.sleep(_WORK_S / 2)
            instances.reset()
            await asyncio.gather(*asking)
            await asyncio.sleep(1)
        for vm in fleet.vms.values():
            assert (await vm.ask()).status == _OK
        await fleet.stop()

    run_virtual(main())


# Guards against a crash that is taken for a reset.
def test_instances_that_end_are_crashes() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(*[an_edge_instance(name) for name in _NAMES])
        crashing = CrashingInstances()
        crashing.install(vm, _NAMES)
        while len(crashing.reached) < CRASH_INSTANCES:
            await vm.ask()
        reached = len(crashing.reached)
        answer = await vm.ask()
        assert answer.status == 503
        assert len(crashing.reached) == reached

    run_virtual(main())


# Guards against a new connection for each of many requests that break at once.
def test_breaks_of_one_moment_share_a_probe() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        instance = an_edge_instance()
        vm.serve_alone(instance)
        probes: list[str] = []

        def accepts(address: str) -> bool:
            probes.append(address)
            return True

        vm.instances.accepts = accepts
        evidence = vm.sender.outcomes.crashes
        for number in range(20):
            evidence.record_break(bytes([number]), instance)
        for number in range(20):
            await evidence.settle(bytes([number]))
        assert len(probes) == 1

    run_virtual(main())


# Guards against a retry that waits for the probe of another request's instance.
def test_request_waits_for_its_own_breaks_only() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance())
        vm.instances.connect_time = _WORK_S
        evidence = vm.sender.outcomes.crashes
        evidence.record_break(b'other', an_edge_instance())
        began_at = vm.clock.now()
        await evidence.settle(b'own')
        assert vm.clock.now() == began_at
        await evidence.settle(b'other')
        assert vm.clock.now() == began_at + _WORK_S

    run_virtual(main())
