"""Tests of VMs that reach no instance."""

import asyncio
import math
from collections.abc import Awaitable, Callable

import attrs
import pytest
from edge_builders import (
    a_caller_request,
    a_vm,
    an_edge_instance,
    an_edge_vm,
)
from edge_path_world import PathWorld, a_path_world

from bronzewall.edge.directory import Directory
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.edge.relay_header import RelayHeader
from bronzewall.edge.relay_peers import RelayPeer
from bronzewall.ports import CallerRequest
from bronzewall.problems import Reason, RefusalError, problem_document
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import RequestId, ServiceName, VmId

_VMS = {'muscat-a': 8, 'muscat-b': 4, 'dhofar-a': 8}
# Time after which callers of VMs without a path must be served, seconds.
_STABILITY_S = 3.0


async def _play(
    cut: list[str], *, how: str, prefix: str, seed: int = 1
) -> tuple[PathWorld, float]:
    """Return a world after a cut, and the time from which its bound holds."""
    world = await a_path_world(_VMS, seed=seed, how=how)
    await world.load(2, rate=1.5, prefix=prefix)
    world.cut(cut)
    bound_from = asyncio.get_running_loop().time() + _STABILITY_S
    await world.load(8, rate=1.5, prefix=prefix)
    await world.fleet.stop()
    return world, bound_from


def _most() -> list[str]:
    return [
        f'{zone}/vm-{number}'
        for zone, count in _VMS.items()
        for number in range(count * 5 // 8)
    ]


def _zone() -> list[str]:
    return [f'muscat-a/vm-{number}' for number in range(8)]


# Guards against callers that are refused because only their VM has no path.
@pytest.mark.parametrize('cut', [_most, _zone])
@pytest.mark.parametrize('how', ['silent', 'reset', 'new'])
@pytest.mark.parametrize('prefix', ['/drafts/', '/pages/'])
def test_callers_of_vms_without_a_path_are_served(
    prefix: str, how: str, cut
) -> None:
    async def main() -> bool:
        world, bound_from = await _play(cut(), how=how, prefix=prefix)
        return world.keeps_bound(since=bound_from)

    assert run_virtual(main())


# Guards against callers that are refused because their VM does not reach the
# service that they use.
@pytest.mark.parametrize('cut', [_most, _zone])
@pytest.mark.parametrize('how', ['silent', 'reset'])
def test_callers_of_vms_without_a_path_to_a_service_are_served(
    how: str, cut
) -> None:
    async def main() -> PathWorld:
        world = await a_path_world(_VMS, seed=8, how=how, cut_service='drafts')
        await world.load(2, rate=1.5)
        world.cut(cut())
        await world.load(3, rate=1.5)
        world.attempts.clear()
        await world.load(6, rate=1.5)
        await world.fleet.stop()
        return world

    world = run_virtual(main())
    assert world.keeps_bound(since=0)
    served, total = world.served(is_cut=True, since=0)
    assert served >= 0.95 * total
    seconds = sorted(one.seconds for one in world.attempts)
    assert seconds[int(0.9 * len(seconds))] < 1
    assert max(world.runs_by_id.values()) == 1


# Pattern: all instances of a service are down. What no VM can serve must not
# wait longer because VMs ask each other.
def test_service_that_is_down_is_refused_without_detours() -> None:
    async def main() -> PathWorld:
        world = await a_path_world(
            _VMS, seed=9, how='reset', cut_service='drafts'
        )
        world.cut(list(world.fleet.vms))
        await world.load(8, rate=1.5)
        await world.fleet.stop()
        return world

    world = run_virtual(main())
    assert not world.served(is_cut=True, since=0)[0]
    seconds = sorted(one.seconds for one in world.attempts)
    assert seconds[int(0.95 * len(seconds))] < 0.1
    assert world.relayed <= len(world.attempts)


# Guards against a lost path that counts as failures of the instances.
@pytest.mark.parametrize('how', ['silent', 'reset'])
def test_vms_with_a_path_trust_the_instances(how: str) -> None:
    async def main() -> float:
        world = await a_path_world(_VMS, seed=2, how=how)
        await world.load(2, rate=1.5)
        world.cut(_most())
        worst = [float(0)]
        load = asyncio.create_task(world.load(8, rate=1.5))
        while not load.done():
            await asyncio.sleep(0.1)
            for name in set(world.fleet.vms) - set(world.cut_at):
                vm = world.fleet.vms[name]
                estimates = vm.state.zone_estimates.significant(
                    now=vm.clock.now()
                )
                worst.extend(estimates.values())
        await world.fleet.stop()
        return max(worst)

    assert run_virtual(main()) < 0.3


# Guards against requests that are refused as crashing instances because the
# connections of VMs without a path broke.
def test_lost_path_makes_no_crash_suspects() -> None:
    async def main() -> tuple[int, int]:
        world = await a_path_world(_VMS, seed=3, how='reset')
        world.has_one_target = True
        await world.load(2, rate=1.5, prefix='/pages/')
        cut_at = asyncio.get_running_loop().time()
        world.cut(_most())
        await world.load(5, rate=1.5, prefix='/pages/')
        await world.fleet.stop()
        return world.served(is_cut=False, since=cut_at)

    served, total = run_virtual(main())
    assert served == total


async def _lose_messages(world: PathWorld) -> None:
    world.fleet.network.loss = 0.1


async def _kill_others(world: PathWorld) -> None:
    """Kill and restart VMs that have a path, one after the other."""
    for name in sorted(set(world.fleet.vms) - set(world.cut_at)):
        await world.fleet.restart(name, pause=0.3)
        world.install(world.fleet.vms[name])
        await asyncio.sleep(0.5)


async def _heal_and_cut(world: PathWorld) -> None:
    for _ in range(4):
        await asyncio.sleep(1.2)
        names = list(world.cut_at)
        world.cut_at.clear()
        await asyncio.sleep(0.8)
        world.cut(names)


# Guards against requests that run twice, or run although a refusal said no.
@pytest.mark.parametrize(
    'disturb', [_lose_messages, _kill_others, _heal_and_cut]
)
@pytest.mark.parametrize('how', ['silent', 'reset', 'new'])
def test_relayed_requests_run_at_most_once(
    how: str, disturb: Callable[[PathWorld], Awaitable[None]]
) -> None:
    async def main() -> PathWorld:
        world = await a_path_world(_VMS, seed=5, how=how)
        await world.load(1, rate=1.5)
        world.cut(_most())
        await asyncio.gather(world.load(10, rate=1.5), disturb(world))
        await world.fleet.stop()
        return world

    world = run_virtual(main())
    assert world.relayed > 50
    assert max(world.runs_by_id.values()) == 1
    for one in world.attempts:
        if one.status in {429, 503}:
            assert one.name not in world.runs_by_id


# Pattern: no VM reaches an instance. Nothing can be served, so requests are
# refused at once.
def test_whole_fleet_without_a_path_refuses_at_once() -> None:
    async def main() -> PathWorld:
        world = await a_path_world(_VMS, seed=6)
        await world.load(2, rate=1.5)
        world.cut(list(world.fleet.vms))
        await world.load(4, rate=1.5)
        world.attempts.clear()
        await world.load(5, rate=1.5)
        await world.fleet.stop()
        return world

    world = run_virtual(main())
    assert {one.status for one in world.attempts} == {503}
    seconds = sorted(one.seconds for one in world.attempts)
    assert seconds[int(0.95 * len(seconds))] < 0.1
    assert seconds[-1] < 0.5


# Guards against a detour that lasts longer than its reason.
def test_path_that_has_returned_is_used() -> None:
    async def main() -> tuple[int, set[int]]:
        world = await a_path_world(_VMS, seed=7)
        world.cut(_zone())
        await world.load(5, rate=1.5)
        world.cut_at.clear()
        await asyncio.sleep(1.5)
        world.attempts.clear()
        before = world.relayed
        await world.load(3, rate=1.5)
        await world.fleet.stop()
        return (
            world.relayed - before,
            {one.status for one in world.attempts},
        )

    assert run_virtual(main()) == (0, {200})


def _relayed_request(version: int) -> CallerRequest:
    request = a_caller_request()
    header = RelayHeader(ticket='none', version=version, max_instances=1)
    return attrs.evolve(
        request, headers=[*request.headers, ('Bronzewall-Relay', str(header))]
    )


# Guards against an older configuration that is used for a request which the
# relaying VM accepted by a newer one.
@pytest.mark.parametrize(('version', 'status'), [(1, 200), (2, 503)])
def test_vm_with_an_older_configuration_refuses(
    version: int, status: int
) -> None:
    async def main() -> int:
        vm = an_edge_vm()
        vm.serve_alone()
        return (await vm.ask(_relayed_request(version))).status

    assert run_virtual(main()) == status


# Guards against requests that VMs without a path send to each other.
def test_relayed_request_is_not_relayed_again() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone()
        vm.fleet.add(a_vm('vm-2'))
        vm.instance_paths.path_to(ServiceName('drafts')).is_lost = True
        writer = await vm.ask(_relayed_request(1))
        assert writer.status == 503
        assert vm.clock.now() < 0.01
        assert not vm.instances.requests

    run_virtual(main())


# Guards against a second VM that runs more instances than the route allows.
def test_relayed_request_keeps_to_the_instances_left() -> None:
    async def main() -> int:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance('i-1'), an_edge_instance('i-2'))

        async def fail(request: InstanceRequest) -> InstanceAnswer:
            return answer_of(request, status=500)

        for name in ('i-1', 'i-2'):
            vm.instances.behaviours_by_id[name] = fail
        assert (await vm.ask(_relayed_request(1))).status == 500
        return len(vm.instances.requests)

    assert run_virtual(main()) == 1


@attrs.define(kw_only=True, eq=False)
class Peers:
    """Two VMs that agreed to serve requests."""

    directory: Directory
    found: list[RelayPeer]

    async def find(
        self, _service: ServiceName, _regions: object = None
    ) -> RelayPeer | None:
        return self.found[0] if self.found else None

    def drop(self, peer: RelayPeer) -> None:
        self.found.remove(peer)


# Guards against callers of a VM without a path who are refused because the VM
# that it relays to stops, although others serve.
def test_request_is_relayed_to_another_vm_if_one_stops() -> None:
    async def main() -> int:
        vm = an_edge_vm()
        vm.serve_alone()
        vm.instance_paths.path_to(ServiceName('drafts')).is_lost = True
        vm.path.sender.relay.peers = Peers(
            directory=vm.path.gate.directory,
            found=[
                RelayPeer(
                    service=ServiceName('drafts'),
                    vm_id=VmId(name),
                    address='127.0.0.1:1',
                    ticket='t',
                    used_until=math.inf,
                )
                for name in ('vm-2', 'vm-3')
            ],
        )

        async def refuse(request: InstanceRequest) -> InstanceAnswer:
            problem = problem_document(
                refusal=RefusalError(reason=Reason.STOPPING),
                request_id=RequestId(request.attempt_id),
                is_exact=True,
            )
            return InstanceAnswer(
                status=problem.status,
                headers=tuple(problem.headers),
                body=problem.body,
            )

        async def serve(request: InstanceRequest) -> InstanceAnswer:
            return answer_of(request, status=200)

        vm.instances.behaviours_by_id['vm-2'] = refuse
        vm.instances.behaviours_by_id['vm-3'] = serve
        return (await vm.ask(a_caller_request())).status

    assert run_virtual(main()) == 200
