"""Tests of instances that turn requests away and state a pause."""

import asyncio
from collections.abc import Callable

import attrs
import pytest
from edge_builders import (
    EdgeVm,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)

from bronzewall.edge.instance_pauses import InstancePauses
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.errors import UpstreamShedError
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import InstanceId

# Requests may reach an instance until this time after it has stated a pause,
# seconds, and so many in the rest of it.
_NOTICE_S = 0.5
_ALLOWED = 2
_LENGTH_S = 12.0
_RESPONSE_S = 0.02


@attrs.define(kw_only=True)
class PausingInstance:
    """Turns requests away with a pause until a time.

    :param is_shed: it says that the requests have not run.
    :param answered: times at which it stated the pause.
    :param arrivals: times at which requests came.
    """

    pause: float
    ends_at: float
    is_shed: bool = True
    answered: list[float] = attrs.field(factory=list)
    arrivals: list[float] = attrs.field(factory=list)

    async def behave(self, request: InstanceRequest) -> InstanceAnswer:
        loop = asyncio.get_running_loop()
        self.arrivals.append(loop.time())
        await asyncio.sleep(_RESPONSE_S)
        if loop.time() >= self.ends_at:
            return answer_of(request)
        self.answered.append(loop.time())
        if self.is_shed:
            raise UpstreamShedError('full', pause=self.pause)
        return attrs.evolve(answer_of(request, status=503), pause=self.pause)

    def most_in_a_pause(self) -> int:
        """Return the most requests that came in one stated pause."""
        return max(
            (
                sum(
                    at + _NOTICE_S < arrival < at + self.pause
                    for arrival in self.arrivals
                )
                for at in self.answered
            ),
            default=0,
        )


def a_vm_with(
    pausing: int, others: int, *, is_idempotent: bool = True, **fields
) -> tuple[EdgeVm, list[PausingInstance]]:
    """Return a VM and the instances that pause for the whole test."""
    vm = an_edge_vm()
    route = an_edge_route(idempotent=is_idempotent, max_instances=3)
    names = [f'i-{number}' for number in range(pausing + others)]
    vm.serve_alone(
        *(an_edge_instance(name, started_ms=1) for name in names),
        configuration=an_edge_configuration(routes=(route,)),
    )
    found = [
        PausingInstance(
            **{'pause': 2.0, 'ends_at': vm.clock.now() + _LENGTH_S, **fields}
        )
        for _ in range(pausing)
    ]
    for name, instance in zip(names, found, strict=False):
        vm.instances.behaviours_by_id[name] = instance.behave
    return vm, found


async def ask_all_the_time(
    vm: EdgeVm, record: Callable[[int, float], None]
) -> None:
    """Send 25 requests a second and record statuses and durations."""

    async def ask() -> None:
        started_at = vm.clock.now()
        status = (await vm.ask()).status
        record(status, vm.clock.now() - started_at)

    tasks = []
    for _ in range(int(_LENGTH_S * 25)):
        tasks.append(asyncio.create_task(ask()))
        await asyncio.sleep(0.04)
    await asyncio.gather(*tasks)


@pytest.mark.parametrize('is_shed', [True, False])
@pytest.mark.parametrize('is_idempotent', [True, False])
@pytest.mark.parametrize('pause', [1.0, 2.0, 5.0])
@pytest.mark.parametrize(('pausing', 'others'), [(3, 0), (2, 2), (1, 0)])
def test_pause_that_an_instance_states_is_kept(
    pausing: int, others: int, pause: float, is_idempotent: bool, is_shed: bool
) -> None:
    # Guards against requests to an instance that has turned one away and
    # wants none for some time, also if all instances do.
    statuses: list[int] = []

    async def main() -> None:
        vm, found = a_vm_with(
            pausing,
            others,
            is_idempotent=is_idempotent,
            pause=pause,
            is_shed=is_shed,
        )
        await ask_all_the_time(vm, lambda status, _: statuses.append(status))
        worst = max(instance.most_in_a_pause() for instance in found)
        assert worst <= _ALLOWED

    run_virtual(main())
    if others:
        assert statuses.count(200) > 0.95 * len(statuses)


def test_request_is_refused_at_once_while_all_instances_pause() -> None:
    # Guards against callers who wait, or stay away for a whole pause: another
    # VM may serve them.
    async def main() -> None:
        vm, _ = a_vm_with(2, 0, pause=3.0)
        await vm.ask()
        started_at = vm.clock.now()
        answer = await vm.ask()
        assert answer.status == 503
        assert vm.clock.now() == started_at
        headers = dict(answer.headers)
        assert 0 < float(headers['Retry-After']) <= 0.5

    run_virtual(main())


def test_instance_is_used_after_its_pause() -> None:
    async def main() -> None:
        vm, found = a_vm_with(1, 0, pause=3.0)
        await vm.ask()
        found[0].ends_at = 0
        await asyncio.sleep(2.9)
        assert (await vm.ask()).status == 503
        await asyncio.sleep(0.2)
        assert (await vm.ask()).status == 200

    run_virtual(main())


def test_next_process_of_an_instance_does_not_pause() -> None:
    async def main() -> None:
        vm, found = a_vm_with(1, 0, pause=30.0)
        await vm.ask()
        found[0].ends_at = 0
        restarted = an_edge_instance('i-0', started_ms=2)
        vm.catalog.accept([restarted], confirmed_at=vm.clock.now())
        assert (await vm.ask()).status == 200

    run_virtual(main())


def test_shorter_pause_does_not_end_a_longer_one() -> None:
    pauses = InstancePauses()
    instance_id = InstanceId('i-1')
    pauses.record(instance_id, 5, now=10)
    pauses.record(instance_id, 1, now=11)
    assert pauses.time_left(instance_id, now=11) == 4
    assert pauses.time_left(instance_id, now=15) == 0
