"""Time limits of callers' connections over real sockets.

The times in these tests are lower bounds: a connection that is cut too early
fails a test on a machine of any speed.
"""

import asyncio

import pytest
from raw_callers import HEAD, RawCaller, a_raw_server

from bronzewall.adapters.caller_timeouts import CallerTimeouts
from bronzewall.ports import AnswerWriter, CallerRequest

_LONG_S = 60
_SHORT_S = 0.4


async def _drip(caller: RawCaller, payload: bytes) -> None:
    """Send one byte after the other until the connection ends."""
    for byte in payload:
        if caller.reader.at_eof():
            return
        caller.writer.write(bytes([byte]))
        await asyncio.sleep(_SHORT_S / 8)


@pytest.mark.parametrize('requests_before', [0, 1, 3])
async def test_late_header_block_is_refused_and_closed(
    unused_tcp_port: int, requests_before: int
) -> None:
    # Guards against a caller that holds a connection with a header block that
    # never ends, each byte in time, also behind answered requests.
    limits = CallerTimeouts(header=_SHORT_S, idle=_LONG_S)
    async with a_raw_server(unused_tcp_port, limits) as server:
        caller = await server.connect()
        for _ in range(requests_before):
            assert b' 200 ' in await caller.ask()
        dripping = asyncio.create_task(
            _drip(caller, HEAD[:-2] + b'X-Long: ' + b'a' * 1000)
        )
        answer = await caller.rest()
        dripping.cancel()
        assert answer.startswith(b'HTTP/1.1 408 ')
        assert b'"ran": "no"' in answer
        assert b'Connection: close' in answer
        assert server.events['bad_input_HeaderTimeout'] == 1
        assert server.metrics.refusals['header_timeout'] == 1


async def test_header_block_in_time_is_served(unused_tcp_port: int) -> None:
    # Guards against a timer that runs on after the header block is complete,
    # or from the opening of the connection and not from the first byte.
    limits = CallerTimeouts(header=_SHORT_S, idle=_LONG_S)
    async with a_raw_server(unused_tcp_port, limits) as server:
        caller = await server.connect()
        await asyncio.sleep(_SHORT_S * 1.5)
        for _ in range(2):
            caller.writer.write(HEAD[:9])
            await asyncio.sleep(_SHORT_S / 4)
            assert b' 200 ' in await caller.ask(HEAD[9:])
            await asyncio.sleep(_SHORT_S * 1.5)
        assert not server.metrics.refusals


async def test_header_block_that_ends_by_itself_is_complete(
    unused_tcp_port: int,
) -> None:
    # Guards against a 408 for a request that runs, or after its answer, because
    # the empty line that ends its header block came alone.
    limits = CallerTimeouts(header=_SHORT_S, idle=_LONG_S)
    async with a_raw_server(unused_tcp_port, limits) as server:
        caller = await server.connect()
        for _ in range(2):
            caller.writer.write(HEAD[:-2])
            await asyncio.sleep(_SHORT_S / 4)
            assert b' 200 ' in await caller.ask(HEAD[-2:])
            await asyncio.sleep(_SHORT_S * 1.5)
        assert not server.metrics.refusals


async def test_empty_lines_between_requests_are_not_timed(
    unused_tcp_port: int,
) -> None:
    # Guards against a 408 for a caller that ends its request with CRLF.
    limits = CallerTimeouts(header=_SHORT_S / 2, idle=_LONG_S)
    async with a_raw_server(unused_tcp_port, limits) as server:
        caller = await server.connect()
        await caller.ask()
        caller.writer.write(b'\r\n')
        await asyncio.sleep(_SHORT_S)
        assert b' 200 ' in await caller.ask()


async def test_idle_connection_is_closed_without_an_answer(
    unused_tcp_port: int,
) -> None:
    # Guards against descriptors that idle callers hold. Bytes on a connection
    # without a request would be taken as the answer to the next one.
    limits = CallerTimeouts(header=_LONG_S, idle=_SHORT_S)
    async with a_raw_server(unused_tcp_port, limits) as server:
        used, unused = await server.connect(), await server.connect()
        await used.ask()
        assert await used.rest() == b''
        assert await unused.rest() == b''
        assert server.events['idle_connections_closed'] == 2


async def test_connection_may_be_reused_within_its_idle_time(
    unused_tcp_port: int,
) -> None:
    # Guards against a close before the limit: callers reuse connections that
    # have been idle for four fifths of it.
    idle_s = 1.5
    limits = CallerTimeouts(header=_LONG_S, idle=idle_s)
    async with a_raw_server(unused_tcp_port, limits) as server:
        caller = await server.connect()
        for _ in range(3):
            assert b' 200 ' in await caller.ask()
            await asyncio.sleep(idle_s * 0.8)
        assert b' 200 ' in await caller.ask()


async def test_header_that_begins_before_the_idle_limit_is_awaited(
    unused_tcp_port: int,
) -> None:
    # Guards against a close in the middle of a header block, by which the
    # caller cannot know whether its request was read.
    limits = CallerTimeouts(header=_LONG_S, idle=_SHORT_S)
    async with a_raw_server(unused_tcp_port, limits) as server:
        caller = await server.connect()
        await caller.ask()
        caller.writer.write(HEAD[:9])
        await asyncio.sleep(_SHORT_S * 2)
        assert b' 200 ' in await caller.ask(HEAD[9:])


async def test_request_in_progress_is_not_idle(unused_tcp_port: int) -> None:
    # Guards against an idle timer that counts the time of a request.
    async def slow(_request: CallerRequest, writer: AnswerWriter) -> None:
        await asyncio.sleep(_SHORT_S * 2)
        await writer.start(status=200, headers=[('Content-Length', '0')])
        await writer.finish()

    limits = CallerTimeouts(header=_LONG_S, idle=_SHORT_S)
    async with a_raw_server(unused_tcp_port, limits, slow) as server:
        caller = await server.connect()
        assert b' 200 ' in await caller.ask()
        assert await caller.rest() == b''


async def test_new_limits_hold_for_open_connections(
    unused_tcp_port: int,
) -> None:
    # Guards against limits that only connections opened later keep.
    limits = CallerTimeouts(header=_LONG_S, idle=_LONG_S)
    async with a_raw_server(unused_tcp_port, limits) as server:
        caller = await server.connect()
        await caller.ask()
        server.entry.apply_timeouts(
            CallerTimeouts(header=_LONG_S, idle=_SHORT_S)
        )
        assert await caller.rest() == b''


async def test_longer_limit_holds_for_open_connections(
    unused_tcp_port: int,
) -> None:
    # Guards against a timer that was set by the limit before.
    limits = CallerTimeouts(header=_LONG_S, idle=_SHORT_S)
    async with a_raw_server(unused_tcp_port, limits) as server:
        caller = await server.connect()
        await caller.ask()
        server.entry.apply_timeouts(
            CallerTimeouts(header=_LONG_S, idle=_LONG_S)
        )
        await asyncio.sleep(_SHORT_S * 2)
        assert b' 200 ' in await caller.ask()
