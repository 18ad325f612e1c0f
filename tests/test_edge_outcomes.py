"""Property test of true outcomes over random orders of failures."""

import asyncio
import contextlib

from edge_builders import (
    EdgeVm,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamShedError,
    UpstreamTimeoutError,
    WrongInstanceError,
)
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual

_NOT_RUN_STATUSES = {408, 421, 429, 503}
_INSTANCES = 5
_TIMEOUT_S = 3.0
_NOT_RUN = {
    'refused connection': ConnectFailedError,
    'shed': UpstreamShedError,
    'wrong instance': WrongInstanceError,
}
_RUN = {'lost': UpstreamBrokenError, 'silent': UpstreamTimeoutError}
_STATUSES = {'good': 200, 'failed': 500, 'not run without proof': 503}
_OUTCOMES = (*_NOT_RUN, *_RUN, *_STATUSES)


def behaviour_of(outcomes: list[tuple[str, float]], ran: list[str]):
    """Return a behaviour of instances that records what has run."""
    left = iter(outcomes)

    async def behave(request: InstanceRequest) -> InstanceAnswer:
        outcome, seconds = next(left)
        if outcome in _NOT_RUN:
            raise _NOT_RUN[outcome]('drawn')
        ran.append(outcome)
        if outcome == 'silent':
            seconds = request.timeout
        await asyncio.sleep(min(seconds, request.timeout))
        if outcome in _RUN or seconds > request.timeout:
            raise _RUN.get(outcome, UpstreamTimeoutError)('drawn')
        return answer_of(request, status=_STATUSES[outcome])

    return behave


def a_serving_vm(is_idempotent: bool, attempts: int, behave) -> EdgeVm:
    """Return a VM whose instances all have one behaviour."""
    vm = an_edge_vm()
    route = an_edge_route(
        idempotent=is_idempotent, max_instances=attempts, timeout=_TIMEOUT_S
    )
    names = [f'i-{number}' for number in range(_INSTANCES)]
    vm.serve_alone(
        *map(an_edge_instance, names),
        configuration=an_edge_configuration(routes=(route,)),
    )
    vm.instances.behaviours_by_id.update(dict.fromkeys(names, behave))
    return vm


async def ask(vm: EdgeVm, leaves_after: float | None) -> int | None:
    """Return the status, or ``None`` for a caller that left."""
    task = asyncio.create_task(vm.ask())
    if leaves_after is not None:
        await asyncio.sleep(leaves_after)
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        return (await task).status
    return None


@settings(max_examples=250, derandomize=True, deadline=None)
@given(
    outcomes=st.lists(
        st.tuples(
            st.sampled_from(_OUTCOMES), st.sampled_from((0, 0.2, 0.9, 2.0))
        ),
        min_size=8,
        max_size=8,
    ),
    is_idempotent=st.booleans(),
    attempts=st.integers(1, 3),
    leaves_after=st.sampled_from((None, 0.1, 1.0)),
)
def test_outcomes_are_true(
    outcomes: list[tuple[str, float]],
    is_idempotent: bool,
    attempts: int,
    leaves_after: float | None,
) -> None:
    ran: list[str] = []

    async def main() -> None:
        behave = behaviour_of(outcomes, ran)
        vm = a_serving_vm(is_idempotent, attempts, behave)
        started_at = vm.clock.now()
        status = await ask(vm, leaves_after)
        assert vm.clock.now() - started_at < _TIMEOUT_S + 0.2
        limit = attempts if is_idempotent else 1
        assert len(ran) <= limit
        assert status not in _NOT_RUN_STATUSES or not ran
        assert status != 200 or 'good' in ran

    run_virtual(main())
