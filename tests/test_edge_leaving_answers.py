"""Tests of instances whose answers state that they leave."""

import asyncio

import attrs
import pytest
from edge_builders import (
    EdgeVm,
    a_caller_request,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)
from edge_fleet import Fleet, settled

from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.errors import UpstreamShedError
from bronzewall.standins.memory_store import Behaviour, answer_of
from bronzewall.standins.virtual_time import run_virtual

# Seconds after which no request may reach an instance that leaves.
_BOUND_S = 2.0
_LEAVING_ID = 'i-1'


def an_instance(name: str, **changes) -> EdgeInstance:
    """Return an instance that states the start of its process."""
    return an_edge_instance(name, started_ms=1, **changes)


def leaving_with(status: int | None) -> Behaviour:
    """Answer with a status, or turn requests away if it is ``None``."""

    async def behave(request: InstanceRequest) -> InstanceAnswer:
        await asyncio.sleep(0.02)
        if status is None:
            raise UpstreamShedError('full', is_leaving=True)
        return attrs.evolve(answer_of(request, status=status), is_leaving=True)

    return behave


def reached(vm: EdgeVm) -> list[str]:
    """Return the instances that requests have reached, in order."""
    return [request.instance_id for request in vm.instances.requests]


async def ask_for(vm: EdgeVm, seconds: float) -> None:
    """Send requests for some time, twenty a second."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        await vm.ask()
        await asyncio.sleep(0.05)


@pytest.mark.parametrize('status', [200, 404, 500, None])
@pytest.mark.parametrize('is_idempotent', [True, False])
def test_instance_that_states_that_it_leaves_gets_no_request(
    status: int | None, is_idempotent: bool
) -> None:
    # Guards against requests to an instance that says in its answers that it
    # leaves, while the store, which is down, lists it as ready.
    async def main() -> None:
        vm = an_edge_vm()
        route = an_edge_route(idempotent=is_idempotent)
        vm.serve_alone(
            *(an_instance(f'i-{number}') for number in range(4)),
            configuration=an_edge_configuration(routes=(route,)),
        )
        await ask_for(vm, 1)
        # The best instance gets the next request.
        leaving_id = reached(vm)[-1]
        vm.instances.behaviours_by_id[leaving_id] = leaving_with(status)
        vm.instances.requests.clear()
        await ask_for(vm, _BOUND_S)
        assert reached(vm).count(leaving_id) == 1
        await ask_for(vm, 30)
        assert reached(vm).count(leaving_id) == 1

    run_virtual(main())


def test_requests_under_way_do_not_hold_the_news_back() -> None:
    # Guards against hedged and simultaneous requests that go on to it.
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(*(an_instance(f'i-{number}') for number in range(3)))
        vm.instances.behaviours_by_id[_LEAVING_ID] = leaving_with(200)
        for _ in range(10):
            await asyncio.gather(*(vm.ask() for _ in range(6)))
        first = reached(vm)[:6].count(_LEAVING_ID)
        assert reached(vm).count(_LEAVING_ID) == first

    run_virtual(main())


def test_no_list_brings_a_leaving_instance_back() -> None:
    # Guards against a store or a leader that does not know yet.
    async def main() -> None:
        fleet = await settled('a', 'b')
        fleet.list_instances(*(an_instance(f'i-{number}') for number in (1, 2)))
        await asyncio.sleep(1)
        for vm in fleet.vms.values():
            vm.instances.behaviours_by_id[_LEAVING_ID] = leaving_with(200)
            await vm.ask()
            await vm.ask()
            vm.instances.requests.clear()
        for number in range(5):
            # Each change makes all VMs replace their lists.
            fleet.list_instances(
                an_instance('i-1'),
                an_instance('i-2'),
                an_instance(f'i-{number + 10}', service='other'),
            )
            for vm in fleet.vms.values():
                await ask_for(vm, 0.5)
        for vm in fleet.vms.values():
            assert set(reached(vm)) == {'i-2'}
        await fleet.stop()

    run_virtual(main())


def test_process_that_starts_again_is_used() -> None:
    # Guards against an instance that stays unused after its restart.
    async def main() -> None:
        fleet: Fleet = await settled('a')
        vm = fleet.vms['a']
        fleet.list_instances(an_instance('i-1'), an_instance('i-2'))
        await asyncio.sleep(1)
        vm.instances.behaviours_by_id[_LEAVING_ID] = leaving_with(200)
        await ask_for(vm, 1)
        del vm.instances.behaviours_by_id[_LEAVING_ID]
        restarted = attrs.evolve(an_instance('i-1'), started_ms=2)
        fleet.list_instances(restarted, an_instance('i-2'))
        await asyncio.sleep(2)
        vm.instances.requests.clear()
        await ask_for(vm, 1)
        assert set(reached(vm)) == {'i-1', 'i-2'}
        await fleet.stop()

    run_virtual(main())


def test_service_whose_instances_all_leave_is_refused_at_once() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_instance(_LEAVING_ID))
        vm.instances.behaviours_by_id[_LEAVING_ID] = leaving_with(200)
        assert (await vm.ask()).status == 200
        started_at = vm.clock.now()
        refused = await vm.ask(a_caller_request())
        assert refused.status == 503
        assert vm.clock.now() - started_at < 0.01
        assert len(vm.instances.requests) == 1

    run_virtual(main())
