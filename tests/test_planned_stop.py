"""Tests of a planned stop of a VM under load, over loopback."""

import asyncio
import contextlib
import signal
import socket
from collections.abc import Awaitable, Callable

import pytest
from stopping_vm import (
    BODY,
    BODY_BYTES_BY_NAME,
    GRACE_S,
    LOSS_SLACK_S,
    NOTICE_S,
    SMALL_BUFFER_BYTES,
    STATUS_OK,
    Caller,
    Stop,
    request_text,
    stopping_vm,
)


async def keep_asking(stop: Stop, name: str) -> None:
    """Ask on one connection after the other until none is accepted."""
    number = 0
    while not stop.running.done():
        try:
            caller = await stop.connect()
        except OSError:
            return
        while await caller.ask(f'{name}-{number}'):
            number += 1
        number += 1
        caller.writer.close()


async def new_callers(stop: Stop) -> list['asyncio.Task[bool]']:
    """Connect anew for as long as the balancer may send callers."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + NOTICE_S
    tasks = []
    while loop.time() < ends_at:
        caller = await stop.connect()
        tasks.append(asyncio.create_task(caller.ask(f'new-{len(tasks)}', BODY)))
        await asyncio.sleep(0.02)
    return tasks


async def head_in_two_parts(stop: Stop, caller: Caller) -> None:
    text = request_text('head')
    caller.writer.write(text[:30])
    await asyncio.sleep(1)
    caller.writer.write(text[30:])
    await caller.read_answer('head')


async def body_in_two_parts(stop: Stop, caller: Caller) -> None:
    text = request_text('body', BODY)
    caller.writer.write(text[:-900])
    await asyncio.sleep(1)
    caller.writer.write(text[-900:])
    await caller.read_answer('body')


async def several_at_once(stop: Stop, caller: Caller) -> None:
    names = [f'pipelined-{number}' for number in range(4)]
    caller.writer.write(b''.join(map(request_text, names)))
    for name in names:
        if not await caller.read_answer(name):
            # Requests behind a closing answer were not read.
            return


async def busy_late(stop: Stop, caller: Caller) -> None:
    await asyncio.sleep(NOTICE_S)
    await caller.ask('late', BODY)


_KINDS: dict[str, Callable[[Stop, Caller], Awaitable[None]]] = {
    'head': head_in_two_parts,
    'body': body_in_two_parts,
    'several': several_at_once,
    'late': busy_late,
}


@pytest.mark.parametrize('signals', [(), (signal.SIGHUP, signal.SIGTERM)])
async def test_no_accepted_request_is_cut_off(signals: tuple[int, ...]) -> None:
    # Pattern: a rolling stop under load. Requests come on kept connections, in
    # parts, several at once and on new connections, while the balancer has
    # not noticed the stop yet.
    async with stopping_vm() as stop:
        busy = [
            asyncio.create_task(keep_asking(stop, f'kept-{number}'))
            for number in range(10)
        ]
        callers = {name: await stop.connect() for name in _KINDS}
        await asyncio.sleep(0.3)
        parts = [
            asyncio.create_task(run(stop, callers[name]))
            for name, run in _KINDS.items()
        ]
        await asyncio.sleep(0.05)
        stopped_at = asyncio.get_running_loop().time()
        stop.signal()
        later = asyncio.create_task(new_callers(stop))
        for number in signals:
            await asyncio.sleep(0.5)
            stop.signal(number)
        await asyncio.gather(*busy, *parts, *await later)
    cut = [one for one in stop.outcomes if not one.is_whole]
    # A request that crosses the close of its connection may get no answer, but
    # then it must not have been passed on.
    assert {one.name for one in cut}.isdisjoint(stop.ran)
    assert all(one.name.startswith('kept') for one in cut)
    refused = [
        one for one in stop.outcomes if one.is_whole and one.status != 200
    ]
    # Callers who still connect after the balancer has noticed are refused, and
    # what is refused does not run.
    assert {one.reason for one in refused} <= {'stopping'}
    assert {one.name for one in refused}.isdisjoint(stop.ran)
    assert all(one.at > stopped_at + NOTICE_S for one in refused)
    assert len(stop.ran) == len(set(stop.ran))
    assert len(stop.outcomes) > 150


async def test_idle_connection_is_closed_before_it_is_too_late() -> None:
    # Guards against a request that is taken on a connection which was idle
    # for most of the stop, and cut off at its end.
    async with stopping_vm() as stop:
        busy, idle = await stop.connect(), await stop.connect()
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        killed_at = loop.time() + GRACE_S
        stop.signal()
        await asyncio.sleep(NOTICE_S)
        long = asyncio.create_task(busy.ask('long', BODY))
        await asyncio.sleep(2.6)
        with contextlib.suppress(OSError):
            await idle.ask('last', BODY)
        is_in_time = loop.time() < killed_at
        await long
    whole_by_name = {one.name: one.is_whole for one in stop.outcomes}
    assert whole_by_name['long']
    # It need not be taken any more, but it must not be taken and cut off.
    is_answered = whole_by_name.get('last') and is_in_time
    assert is_answered or 'last' not in stop.ran


# Guards against a connection that stays open late in a stop although nothing
# reads it: a request that comes on it ends with the process, unanswered.
@pytest.mark.parametrize('is_kept', [True, False])
async def test_request_on_idle_connection_is_not_dropped(
    is_kept: bool,
) -> None:
    async with stopping_vm() as stop:
        busy, idle = await stop.connect(), await stop.connect()
        if is_kept:
            assert await idle.ask('first')
        else:
            await asyncio.sleep(0.3)
        stop.signal()
        await asyncio.sleep(NOTICE_S)
        long = asyncio.create_task(busy.ask('long', BODY))
        await asyncio.sleep(1)
        answer = asyncio.create_task(idle.ask('last'))
        await asyncio.wait([answer], timeout=LOSS_SLACK_S)
        is_settled = answer.done()
        await long
    whole_by_name = {one.name: one.is_whole for one in stop.outcomes}
    assert whole_by_name['long']
    assert is_settled
    assert 'last' not in stop.ran


@pytest.mark.parametrize(
    ('deadline_ms', 'status'), [(4000, 503), (2900, 503), (1000, 200)]
)
async def test_late_request_is_taken_only_if_it_cannot_be_cut_off(
    deadline_ms: int, status: int
) -> None:
    # Guards against a request that comes late in a stop, is passed on, and is
    # cut off at the end of the process.
    async with stopping_vm() as stop:
        busy = await stop.connect()
        stop.signal()
        await asyncio.sleep(NOTICE_S)
        long = asyncio.create_task(busy.ask('long', BODY))
        await asyncio.sleep(0.8)
        late = await stop.connect()
        late.writer.write(request_text('late', deadline_ms=deadline_ms))
        await late.read_answer('late')
        await long
    statuses = {one.name: one.status for one in stop.outcomes}
    assert statuses == {'long': 200, 'late': status}
    assert ('late' in stop.ran) == (status == STATUS_OK)


# Guards against a caller that keeps using a connection which the stopping VM
# is about to close, because it was not told so.
async def test_answer_to_request_in_progress_closes_its_connection() -> None:
    async with stopping_vm() as stop:
        caller = await stop.connect()
        answer = asyncio.create_task(caller.ask('long', BODY))
        await asyncio.sleep(0.2)
        stop.signal()
        is_kept = await answer
    assert not is_kept


# Guards against the end of an answer that is lost with the process because the
# caller reads it slowly.
async def test_answer_is_sent_before_the_process_ends() -> None:
    async with stopping_vm() as stop:
        caller = await stop.connect(SMALL_BUFFER_BYTES)
        assert await caller.ask('first')
        for connection in stop.daemon.entry.connections():
            assert connection.transport is not None
            connection.transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
            )
        caller.writer.write(request_text('large'))
        await caller.reader.readexactly(1)
        while stop.daemon.path.in_flight:
            await asyncio.sleep(0.01)
        stop.signal()
        # The rest of the answer waits for the caller, who pauses.
        await asyncio.sleep(NOTICE_S + 1)
        is_running = not stop.running.done()
        rest = await caller.reader.read()
    assert is_running
    assert rest.endswith(b'y' * BODY_BYTES_BY_NAME['large'])


# Guards against a new connection that is closed before its first request
# arrives.
async def test_new_connection_of_a_late_stop_gets_an_answer() -> None:
    async with stopping_vm() as stop:
        busy = await stop.connect()
        stop.signal()
        await asyncio.sleep(NOTICE_S)
        long = asyncio.create_task(busy.ask('long', BODY))
        await asyncio.sleep(0.8)
        late = await stop.connect()
        await asyncio.sleep(0.4)
        await late.ask('late')
        await long
    late_one = next(one for one in stop.outcomes if one.name == 'late')
    assert (late_one.status, late_one.reason) == (503, 'stopping')


# Guards against connections that stay open late in a stop.
async def test_idle_connection_is_closed_after_the_notice() -> None:
    async with stopping_vm() as stop:
        busy, idle = await stop.connect(), await stop.connect()
        assert await idle.ask('first')
        stop.signal()
        await asyncio.sleep(NOTICE_S)
        long = asyncio.create_task(busy.ask('long', BODY))
        async with asyncio.timeout(1):
            rest = await idle.reader.read()
        is_running = not stop.running.done()
        await long
    assert not rest
    assert is_running


# Guards against a pipelined request that is passed on to an instance and then
# lost, because the answer before it closes the connection in a stop.
async def test_pipelined_requests_that_run_are_answered() -> None:
    names = ['long', 'second', 'third']
    async with stopping_vm() as stop:
        caller = await stop.connect()
        caller.writer.write(b''.join(map(request_text, names)))
        await asyncio.sleep(0.5)
        assert sorted(stop.ran) == sorted(names)
        stop.signal()
        for name in names:
            await caller.read_answer(name)
    answered = {one.name for one in stop.outcomes if one.is_whole}
    assert set(stop.ran) <= answered


# Guards against a request that a stopping VM passes on although the answer
# before it closes the connection.
async def test_pipelined_request_of_a_stop_is_answered_or_not_passed_on() -> (
    None
):
    async with stopping_vm() as stop:
        caller = await stop.connect()
        caller.writer.write(request_text('long'))
        await asyncio.sleep(0.2)
        stop.signal()
        await asyncio.sleep(0.3)
        caller.writer.write(request_text('second'))
        for name in ('long', 'second'):
            await caller.read_answer(name)
    answered = {one.name for one in stop.outcomes if one.is_whole}
    assert set(stop.ran) <= answered


# Guards against a request whose body ends late in a stop, which is passed on
# and cut off at the end of the process.
async def test_request_whose_body_ends_late_is_not_cut_off() -> None:
    async with stopping_vm() as stop:
        caller = await stop.connect()
        loop = asyncio.get_running_loop()
        killed_at = loop.time() + GRACE_S
        stop.signal()
        await asyncio.sleep(NOTICE_S)
        text = request_text('last', BODY)
        caller.writer.write(text[:-900])
        await asyncio.sleep(killed_at - 1.2 - loop.time())
        caller.writer.write(text[-900:])
        await caller.read_answer('last')
    outcome = stop.outcomes[0]
    is_in_time = outcome.is_whole and outcome.at < killed_at
    assert is_in_time or 'last' not in stop.ran


# Guards against a process that goes on after its stop limit.
async def test_process_ends_at_its_stop_limit() -> None:
    async with stopping_vm() as stop:
        caller = await stop.connect()
        stop.signal()
        await asyncio.sleep(NOTICE_S)
        text = request_text('unfinished', BODY)
        caller.writer.write(text[:-900])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GRACE_S - NOTICE_S):
                await asyncio.shield(stop.running)
        is_done = stop.running.done()
    assert is_done


# Guards against the end of an answer that is lost to a reset: the VM closes the
# connection while the answer is in the kernel's buffers and the caller, who
# has not read that this answer is the last, sends its next request.
async def test_last_answer_survives_a_request_behind_it() -> None:
    async with stopping_vm() as stop:
        caller = await stop.connect(SMALL_BUFFER_BYTES)
        assert await caller.ask('first')
        for connection in stop.daemon.entry.connections():
            assert connection.transport is not None
            connection.transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET,
                socket.SO_SNDBUF,
                4 * BODY_BYTES_BY_NAME['large'],
            )
        stop.signal()
        await asyncio.sleep(0.3)
        caller.writer.write(request_text('large'))
        await caller.reader.readexactly(1)
        while stop.daemon.path.in_flight:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        caller.writer.write(request_text('second'))
        await asyncio.sleep(0.3)
        rest = b''
        with contextlib.suppress(OSError):
            while part := await caller.reader.read(SMALL_BUFFER_BYTES):
                rest += part
    assert rest.endswith(b'y' * BODY_BYTES_BY_NAME['large'])
    assert 'second' not in stop.ran
