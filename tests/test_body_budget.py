"""Tests of request bodies against the limits of a VM."""

import asyncio
import contextlib

import pytest
from stopping_vm import free_ports

from bronzewall.adapters.body_budget import BodyBudget
from bronzewall.adapters.entry_http import EntryServer
from bronzewall.errors import BodiesTooLargeError
from bronzewall.metrics import Metrics
from bronzewall.ports import AnswerWriter, CallerRequest
from bronzewall.problems import RefusalError, problem_document
from bronzewall.refusals import read_whole_body, refuse_bad_input
from bronzewall.types import RequestId

_ONE = 60_000
_LIMIT = 100_000
_TOTAL = 150_000
_WORK_S = 0.3


@contextlib.asynccontextmanager
async def entry():
    held: list[int] = []

    async def handle(request: CallerRequest, writer: AnswerWriter) -> None:
        status, body = 200, b''
        try:
            held.append(len(await read_whole_body(request)))
        except RefusalError as refusal:
            problem = problem_document(
                refusal=refusal, request_id=RequestId('r')
            )
            status, body = problem.status, problem.body
        else:
            await asyncio.sleep(_WORK_S)
        await writer.start(
            status=status, headers=[('Content-Length', str(len(body)))]
        )
        await writer.write(body)
        await writer.finish()

    port = free_ports(1)[0]
    server = EntryServer(
        listen=f'127.0.0.1:{port}',
        handler=handle,
        on_bad_input=lambda error: refuse_bad_input(
            error, metrics=Metrics(), request_id=RequestId('r')
        ),
        max_body_bytes=_LIMIT,
        max_total_body_bytes=_TOTAL,
    )
    await server.start()
    yield server, port, held
    await server.stop()


def head(size: int, *more: str) -> bytes:
    lines = ['POST / HTTP/1.1', 'Host: a', f'Content-Length: {size}', *more]
    return '\r\n'.join([*lines, '', '']).encode()


async def status_of(reader: asyncio.StreamReader) -> int:
    return int((await reader.readuntil(b'\r\n\r\n')).split()[1])


async def upload(port: int, size: int = _ONE) -> int:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(head(size) + b'x' * size)
    status = await status_of(reader)
    writer.close()
    return status


async def test_uploads_beyond_the_budget_are_refused_as_not_run() -> None:
    # Pattern: several uploads at once at a VM of 200 MB.
    async with entry() as (server, port, held):
        statuses = await asyncio.gather(*(upload(port) for _ in range(5)))
        assert sorted(statuses) == [200, 200, 503, 503, 503]
        assert held == [_ONE, _ONE]
        # The room is free again when the requests have ended.
        assert not server._bodies.total
        assert await upload(port) == 200


async def test_large_body_is_refused_before_it_is_read() -> None:
    async with entry() as (_, port, held):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(head(_LIMIT + 1))
        async with asyncio.timeout(1):
            assert await status_of(reader) == 413
        assert not held
        writer.close()


async def test_caller_that_breaks_off_leaves_nothing_behind() -> None:
    async with entry() as (server, port, held):
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(head(_ONE) + b'x' * 100)
        await asyncio.sleep(0.1)
        assert server._bodies.total == _ONE
        writer.close()
        await asyncio.sleep(0.2)
        assert not server._bodies.total
        assert not held


async def test_body_is_invited_only_if_it_will_be_read() -> None:
    async with entry() as (_, port, held):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(head(_ONE, 'Expect: 100-continue'))
        assert await status_of(reader) == 100
        writer.write(b'x' * _ONE)
        assert await status_of(reader) == 200
        assert held == [_ONE]
        writer.close()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(head(_LIMIT + 1, 'Expect: 100-continue'))
        assert await status_of(reader) == 413
        writer.close()


def test_reservation_grows_with_the_body() -> None:
    budget = BodyBudget(limit=10)
    with budget.body() as one, budget.body() as other:
        one.reserve(4)
        one.reserve(6)
        other.reserve(4)
        with pytest.raises(BodiesTooLargeError):
            one.reserve(7)
        assert budget.total == 10
    assert not budget.total
