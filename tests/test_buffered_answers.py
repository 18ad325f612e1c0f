"""Tests of the space that answers to pipelined requests take."""

import asyncio
import contextlib

import pytest
from stopping_vm import free_ports

from bronzewall.adapters.body_budget import BodyBudget
from bronzewall.adapters.buffered_answers import BufferSpace
from bronzewall.adapters.entry_http import EntryServer
from bronzewall.problems import RefusalError

_SIZE = 100_000
_LIMIT = 400_000
_CALLERS = 6
_PIPELINED = 8
_SLOW_S = 0.3


@contextlib.asynccontextmanager
async def _an_entry():
    """Yield a server whose path /slow answers late; all answers are large."""
    totals: list[int] = []
    space = BufferSpace(budget=BodyBudget(limit=_LIMIT))

    async def handle(request, writer) -> None:
        await asyncio.sleep(_SLOW_S if request.path == '/slow' else 0.01)
        try:
            await writer.start(
                status=200, headers=[('Content-Length', str(_SIZE))]
            )
            await writer.write(bytes(_SIZE))
        except RefusalError:
            await writer.start(status=502, headers=[('Content-Length', '1')])
            await writer.write(b'x')
        totals.append(space.budget.total)
        await writer.finish()

    port = free_ports(1)[0]
    server = EntryServer(
        listen=f'127.0.0.1:{port}',
        handler=handle,
        on_bad_input=pytest.fail,
        max_body_bytes=1000,
        is_parallel=True,
        buffers=space,
    )
    await server.start()
    yield port, space, totals
    await server.stop()


async def _pipeline(port: int) -> list[bytes]:
    """Return the statuses of requests that are sent behind a slow one."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    paths = ['/slow', *(f'/{number}' for number in range(_PIPELINED))]
    statuses = []
    try:
        for path in paths:
            writer.write(f'GET {path} HTTP/1.1\r\nHost: a\r\n\r\n'.encode())
        for _ in paths:
            head = await reader.readuntil(b'\r\n\r\n')
            statuses.append(head.split()[1])
            size = head.partition(b'Content-Length: ')[2].split()[0]
            await reader.readexactly(int(size))
    finally:
        writer.close()
    return statuses


async def test_buffered_answers_stay_within_their_space() -> None:
    """Guards against slow answers that fill the memory with later ones.

    Sizes are not known at first, so that some answers are lost (502); then
    requests whose answers would not fit wait for their turn.
    """
    async with _an_entry() as (port, space, totals):
        first = await asyncio.gather(
            *(_pipeline(port) for _ in range(_CALLERS))
        )
        assert {status for found in first for status in found} <= {
            b'200',
            b'502',
        }
        assert all(found[0] == b'200' for found in first)
        later = await asyncio.gather(
            *(_pipeline(port) for _ in range(_CALLERS))
        )
        assert {status for found in later for status in found} == {b'200'}
        assert 0 < max(totals) <= _LIMIT
        assert space.budget.total == 0
        assert space.in_progress == 0


@pytest.mark.parametrize('delay', [0, 0.05, 0.2])
async def test_caller_that_leaves_frees_the_space(delay: float) -> None:
    """Guards against space that is lost for good with a connection."""
    async with _an_entry() as (port, space, _):
        for _ in range(3):
            calls = [
                asyncio.create_task(_pipeline(port)) for _ in range(_CALLERS)
            ]
            await asyncio.sleep(delay)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        await asyncio.sleep(2 * _SLOW_S)
        assert space.budget.total == 0
        assert space.in_progress == 0
