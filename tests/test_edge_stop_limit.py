"""Waits of requests in a VM that stops."""

import asyncio
import functools
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from edge_builders import (
    EdgeVm,
    a_caller_request,
    an_edge_configuration,
    an_edge_route,
    an_edge_vm,
)

from bronzewall.edge.exchange import EdgeExchange
from bronzewall.ports import CallerRequest
from bronzewall.problems import Ran, Reason, RefusalError
from bronzewall.standins.memory_fleet import MemoryAnswer
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import InstanceId

_NOTICE_S = 2.6
_LIMIT_S = 5.7
_DEADLINE_MS = 10_000
_FOREVER_S = 60.0
# Requests in progress that fill the instance.
_IN_FLIGHT = 50
_CONFIGURATION = an_edge_configuration(
    routes=(an_edge_route(timeout=_DEADLINE_MS / 1000),)
)


def a_long_request(
    deadline_ms: int = _DEADLINE_MS, **changes: Any
) -> CallerRequest:
    request = a_caller_request(**changes)
    headers = tuple(
        (name, str(deadline_ms) if name == 'T-Deadline' else text)
        for name, text in request.headers
    )
    return a_caller_request(**changes, headers=headers)


def an_open_exchange(vm: EdgeVm, deadline_ms: int) -> EdgeExchange:
    return vm.gate.open(a_long_request(deadline_ms), 'a-1', vm.clock.now())


async def never_read() -> bytes:
    await asyncio.sleep(_FOREVER_S)
    return b''


async def wait_for_room(vm: EdgeVm) -> MemoryAnswer:
    for _ in range(_IN_FLIGHT):
        vm.state.add_in_flight(InstanceId('i-1'))
    return await vm.ask(a_long_request())


async def wait_for_body(vm: EdgeVm) -> MemoryAnswer:
    return await vm.ask(a_long_request(read_body=never_read))


_WAITS: dict[str, Callable[[EdgeVm], Awaitable[MemoryAnswer]]] = {
    'room': wait_for_room,
    'body': wait_for_body,
}


# Guards against a request that waits in a stopping VM, runs on no instance, and
# loses its connection in place of a refusal.
@pytest.mark.parametrize('sent_at', [-0.5, 0.5, 2.0])
@pytest.mark.parametrize('kind', _WAITS)
def test_request_that_waits_is_refused_before_the_end(
    kind: str, sent_at: float
) -> None:
    async def play() -> None:
        vm = an_edge_vm(scheduling='on')
        vm.serve_alone(configuration=_CONFIGURATION)
        begin = functools.partial(
            vm.gate.stop.begin, notice=_NOTICE_S, limit=_LIMIT_S
        )
        loop = asyncio.get_running_loop()
        stops_at = loop.time() + max(0, -sent_at)
        loop.call_at(stops_at, begin)
        await asyncio.sleep(max(0, sent_at))
        answer = await _WAITS[kind](vm)
        assert answer.status == 503
        assert json.loads(answer.body)['ran'] == 'no'
        assert loop.time() <= stops_at + _LIMIT_S

    run_virtual(play())


async def stopped_wait(
    *, deadline_ms: int = _DEADLINE_MS, needed: float = 0, runs: int = 0
) -> tuple[RefusalError | None, float]:
    """Wait for long in a VM that stops at once; return how long it was."""
    vm = an_edge_vm()
    vm.serve_alone(configuration=_CONFIGURATION)
    vm.gate.stop.begin(notice=_NOTICE_S, limit=_LIMIT_S)
    exchange = an_open_exchange(vm, deadline_ms)
    exchange.runs = runs
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    try:
        async with vm.gate.stop.waiting(exchange, needed=needed):
            await asyncio.sleep(_FOREVER_S)
    except RefusalError as refusal:
        return refusal, loop.time() - began_at
    return None, loop.time() - began_at


# Guards against a request that is sent to an instance with too little time left
# to be answered before the process ends.
@pytest.mark.parametrize(
    ('needed', 'waited'), [(0, 5.7), (1.2, 4.5), (5.7, 0), (30.0, 0)]
)
def test_wait_leaves_the_time_that_an_instance_needs(
    needed: float, waited: float
) -> None:
    refusal, seconds = run_virtual(stopped_wait(needed=needed))
    assert refusal is not None
    assert (refusal.reason, refusal.ran) == (Reason.STOPPING, Ran.NO)
    assert seconds == pytest.approx(waited)


# Guards against a refusal of requests that the stop cannot cut off.
def test_request_whose_deadline_is_before_the_end_is_not_refused() -> None:
    _, seconds = run_virtual(stopped_wait(deadline_ms=2000, needed=5))
    assert seconds == pytest.approx(_LIMIT_S)


# Guards against a refusal that says "not run" of a request that may have run.
def test_refusal_of_a_request_that_may_have_run_says_so() -> None:
    refusal, _ = run_virtual(stopped_wait(runs=1))
    assert refusal is not None
    assert (refusal.reason, refusal.ran) == (Reason.ANSWER_LOST, Ran.UNKNOWN)


# Guards against a timeout of the wait itself that is taken for the stop's.
def test_other_timeouts_pass() -> None:
    async def play() -> None:
        vm = an_edge_vm()
        vm.serve_alone(configuration=_CONFIGURATION)
        exchange = an_open_exchange(vm, _DEADLINE_MS)
        with pytest.raises(TimeoutError):
            async with vm.gate.stop.waiting(exchange), asyncio.timeout(1):
                await asyncio.sleep(_FOREVER_S)

    run_virtual(play())
