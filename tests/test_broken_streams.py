"""Tests of streamed answers that break off after their start."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from builders import (
    ACCOUNT_KEY,
    a_configuration,
    a_fleet,
    a_route,
    a_service,
    an_instance,
)
from cut_answers import (
    BODY,
    CHUNKED,
    CHUNKS,
    cut_one_byte_later_each_time,
)
from stopping_vm import free_ports

from bronzewall.adapters.entry_http import EntryServer
from bronzewall.adapters.upstream_http import AiohttpUpstreams, open_session
from bronzewall.ports import AnswerWriter, CallerRequest
from bronzewall.problems import Problem
from bronzewall.standins.memory_fleet import MemoryVm
from bronzewall.standins.raw_upstream import RawUpstream
from bronzewall.types import VmId

_START = b'HTTP/1.1 200 OK\r\nX-Kept: 1\r\n'
_ANSWERS = {
    'sized': _START + b'Content-Length: 50\r\n\r\n' + BODY,
    'chunked': _START + CHUNKED + CHUNKS + b'\r\n',
    'trailers': _START + CHUNKED + CHUNKS + b'X-One: 1\r\n\r\n',
    'interim': b'HTTP/1.1 103 Hints\r\nX-Kept: 1\r\n\r\n'
    + _START
    + CHUNKED
    + CHUNKS
    + b'\r\n',
}
# Callers whose answers break off at the same time.
_AT_ONCE = 16
_VERSIONS = ('1.0', '1.1')


async def ask(port: int, version: str) -> tuple[bytes, bool]:
    """Return all that a caller receives, and whether it was reset."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        f'GET /drafts/7 HTTP/{version}\r\nHost: a\r\nConnection: close\r\n'
        f'Authorization: Bearer {ACCOUNT_KEY}\r\n\r\n'.encode()
    )
    received = b''
    is_reset = False
    try:
        while part := await reader.read(65_536):
            received += part
    except ConnectionResetError:
        is_reset = True
    writer.close()
    return received, is_reset


def whole_body(received: bytes, *, is_reset: bool) -> bytes | None:
    """Return the body that a caller takes for whole, if any."""
    head, _, body = received.partition(b'\r\n\r\n')
    if b'chunked' in head:
        *chunks, last = body.split(b'\r\n0\r\n\r\n')
        if not chunks or last:
            return None
        # Each chunk is a line with its size and a line.
        return b''.join(chunks[0].split(b'\r\n')[1::2])
    if b'Content-Length' in head:
        size = int(head.partition(b'Content-Length: ')[2].split()[0])
        return body if len(body) == size else None
    return None if is_reset or not head else body


@contextlib.asynccontextmanager
async def an_entry(handler, on_bad_input) -> AsyncIterator[EntryServer]:
    server = EntryServer(
        listen=f'127.0.0.1:{free_ports(1)[0]}',
        handler=handler,
        on_bad_input=on_bad_input,
        max_body_bytes=1000,
    )
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


def port_of(server: EntryServer) -> int:
    return int(server.listen.partition(':')[2])


@contextlib.asynccontextmanager
async def a_vm(address: str) -> AsyncIterator[MemoryVm]:
    """Yield a VM that sends its requests to one real address."""
    route = a_route(retries=0)
    fleet = a_fleet([route], vms=1, instances=1)
    vm = fleet.vms_by_id[VmId('vm-0')]
    service = a_service(
        instances=[an_instance('drafts-0', address=address)], routes=[route]
    )
    vm.path.feed.apply_configuration(
        a_configuration(generation=9, services=[service])
    )
    session = open_session()
    vm.path.upstreams = AiohttpUpstreams(session=session)
    try:
        yield vm
    finally:
        await session.close()
        await fleet.close()


@pytest.mark.parametrize('version', _VERSIONS)
@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('name', _ANSWERS)
async def test_caller_sees_that_an_answer_broke_off(
    name: str, is_reset: bool, version: str
) -> None:
    """Guards against a part of an answer that looks whole to its caller.

    To callers of HTTP/1.0 a chunked answer ends with the connection.
    """
    text = _ANSWERS[name]
    script = cut_one_byte_later_each_time(text, is_reset=is_reset)
    async with (
        RawUpstream(script=script) as upstream,
        a_vm(upstream.address) as vm,
        an_entry(vm.path.handle, vm.path.bad_input) as server,
    ):
        port = port_of(server)
        for first in range(0, len(text), _AT_ONCE):
            count = min(_AT_ONCE, len(text) - first)
            for received, was_reset in await asyncio.gather(
                *(ask(port, version) for _ in range(count))
            ):
                if whole_body(received, is_reset=was_reset) is not None:
                    assert received.split()[1] == b'502'
                    assert b'X-Kept' not in received
        received, was_reset = await ask(port, version)
        assert whole_body(received, is_reset=was_reset) == BODY
        assert b'X-Kept: 1' in received
        assert len(upstream.connections) == len(text) + 1


@pytest.mark.parametrize('version', _VERSIONS)
async def test_caller_sees_that_a_stop_cut_its_answer(version: str) -> None:
    """Guards against an orderly close when a stop ends a handler."""
    is_started = asyncio.Event()
    handlers = []

    async def handle(_request: CallerRequest, writer: AnswerWriter) -> None:
        handlers.append(asyncio.current_task())
        await writer.start(status=200, headers=())
        await writer.write(BODY)
        is_started.set()
        await asyncio.sleep(60)

    async with an_entry(handle, pytest.fail) as server:
        asked = asyncio.create_task(ask(port_of(server), version))
        await is_started.wait()
        handlers[0].cancel()
        received, was_reset = await asked
    assert BODY in received
    assert whole_body(received, is_reset=was_reset) is None


async def test_whole_answer_to_an_old_caller_ends_in_order() -> None:
    """Guards against a reset that discards the rest of a whole answer."""
    body = BODY * 100_000

    async def handle(_request: CallerRequest, writer: AnswerWriter) -> None:
        await writer.start(status=200, headers=())
        await writer.write(body)
        await writer.finish()

    async with an_entry(handle, pytest.fail) as server:
        received, was_reset = await ask(port_of(server), '1.0')
    assert whole_body(received, is_reset=was_reset) == body


@pytest.mark.parametrize('version', _VERSIONS)
@pytest.mark.parametrize('size', [None, 90, 400])
async def test_error_after_the_start_adds_nothing_to_an_answer(
    version: str, size: int | None
) -> None:
    """Guards against a second answer in the body of the first."""
    headers = [] if size is None else [('Content-Length', str(size))]

    async def handle(_request: CallerRequest, writer: AnswerWriter) -> None:
        await writer.start(status=200, headers=headers)
        await writer.write(BODY)
        raise KeyError

    def on_bad_input(_error: str) -> Problem:
        return Problem(status=400, headers=(), body=b'y' * 900)

    async with an_entry(handle, on_bad_input) as server:
        received, was_reset = await ask(port_of(server), version)
    assert whole_body(received, is_reset=was_reset) is None
    assert b'HTTP/1' not in received[8:]
