"""Callers that read large answers slowly, over real sockets."""

import asyncio

import pytest
from raw_callers import a_raw_server
from slow_callers import LARGE_BYTES, a_slow_world

from bronzewall.adapters.caller_timeouts import CallerTimeouts
from bronzewall.ports import AnswerWriter, CallerRequest

_ROOM_BYTES = 8_000_000
_SLOW = 40


async def test_slow_readers_do_not_take_the_memory_of_others() -> None:
    # Without a bound, 40 callers that read 5 kB/s made the VM hold 20.3 MB for
    # them, and each further one 0.5 MB.
    async with a_slow_world(held_answer_bytes=_ROOM_BYTES) as world:
        await (await world.ask(key='key-b')).read_head()
        slow = [await world.ask(key='key-a') for _ in range(_SLOW)]
        statuses = await asyncio.gather(*(one.read_head() for one in slow))
        assert 2 <= statuses.count(b'200') <= 8
        assert set(statuses) == {b'200', b'503'}
        assert world.held() <= _ROOM_BYTES
        other = await world.ask(key='key-b')
        assert await other.read_head() == b'200'
        assert len(await other.read_rest(LARGE_BYTES)) == LARGE_BYTES


async def test_slow_reader_gets_its_whole_answer() -> None:
    # Guards against an answer that is ready and is cut off because its caller
    # is slow or the room is full.
    async with a_slow_world(held_answer_bytes=_ROOM_BYTES // 8) as world:
        callers = [await world.ask() for _ in range(4)]
        for caller in callers:
            assert await caller.read_head() == b'200'
        reading = [
            asyncio.create_task(caller.read_slowly()) for caller in callers
        ]
        await asyncio.sleep(1)
        assert (await (await world.ask()).read_head()) == b'503'
        for task, caller in zip(reading, callers, strict=True):
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert 0 < caller.read < LARGE_BYTES
            rest = await caller.read_rest(LARGE_BYTES)
            assert len(rest) + caller.read == LARGE_BYTES


async def test_room_of_a_caller_that_leaves_is_free() -> None:
    # Guards against bytes that stay counted after the connection is lost.
    async with a_slow_world(held_answer_bytes=LARGE_BYTES * 2) as world:
        first = await world.ask()
        await first.read_head()
        assert await (await world.ask()).read_head() == b'503'
        first.writer.transport.abort()
        async with asyncio.timeout(5):
            while await (await world.ask()).read_head() != b'200':
                await asyncio.sleep(0.1)


async def test_idle_time_begins_when_the_answer_is_taken(
    unused_tcp_port: int,
) -> None:
    # Guards against a connection that is closed as idle at the moment in which
    # a slow caller has read its answer and may send the next request.
    idle_s = 1.0
    # The kernel takes it at once.
    body = bytes(2_000_000)

    async def large(_request: CallerRequest, writer: AnswerWriter) -> None:
        await writer.start(
            status=200, headers=[('Content-Length', str(len(body)))]
        )
        await writer.write(body)
        await writer.finish()

    limits = CallerTimeouts(header=60, idle=idle_s)
    async with a_raw_server(unused_tcp_port, limits, large) as server:
        # What the caller's kernel has acknowledged counts as taken.
        caller = await server.connect(receive_bytes=8192)
        for _ in range(2):
            assert b' 200 ' in await caller.ask()
            received = 0
            for _ in range(26):
                await asyncio.sleep(idle_s / 10)
                received += len(await caller.reader.read(60_000))
            await caller.reader.readexactly(len(body) - received)
            await asyncio.sleep(idle_s * 0.7)
        assert b' 200 ' in await caller.ask()


@pytest.mark.parametrize('is_reading', [True, False])
async def test_only_a_caller_that_takes_nothing_is_cut(
    unused_tcp_port: int, is_reading: bool
) -> None:
    # Guards against an answer that is held for ever for a caller that has
    # stopped reading, and against a cut of one that is only slow.
    body = bytes(20_000_000)

    async def large(_request: CallerRequest, writer: AnswerWriter) -> None:
        await writer.start(
            status=200, headers=[('Content-Length', str(len(body)))]
        )
        await writer.write(body)
        await writer.finish()

    limits = CallerTimeouts(header=60, idle=0.3)
    async with a_raw_server(unused_tcp_port, limits, large) as server:
        caller = await server.connect()
        await caller.ask()
        received = 0
        for _ in range(20):
            await asyncio.sleep(0.1)
            if is_reading:
                received += len(await caller.reader.read(400_000))
        cut = server.events['stalled_callers_cut']
        if not is_reading:
            assert cut == 1
            return
        assert not cut
        rest = await caller.reader.readexactly(len(body) - received)
        assert received + len(rest) == len(body)
