"""Tests of the HTTP server for callers over raw sockets."""

import asyncio
import re
import socket

import pytest

from bronzewall.adapters.entry_http import EntryServer
from bronzewall.ports import AnswerWriter, CallerRequest
from bronzewall.problems import (
    Problem,
    Reason,
    RefusalError,
    problem_document,
)
from bronzewall.types import RequestId

_LIMIT = 1000
_STOP_TIMEOUT_S = 3
_HEAD = b'POST /drafts/1 HTTP/1.1\r\nHost: a\r\n'


async def _handle(request: CallerRequest, writer: AnswerWriter) -> None:
    body = await request.read_body()
    await writer.start(status=200, headers=[('X-Size', str(len(body)))])
    await writer.finish()


async def _send(payload: bytes, errors: list[str]) -> bytes:
    def on_bad_input(error: str) -> Problem:
        errors.append(error)
        return problem_document(
            refusal=RefusalError(reason=Reason.BAD_REQUEST),
            request_id=RequestId('r'),
        )

    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    server = EntryServer(
        listen=f'127.0.0.1:{port}',
        handler=_handle,
        on_bad_input=on_bad_input,
        max_body_bytes=_LIMIT,
    )
    await server.start()
    try:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(payload)
        return await reader.read(2000)
    finally:
        writer.close()
        await server.stop()


@pytest.mark.parametrize(
    'payload',
    [
        b'\x16\x03\x01\x02\x00\x01\x00\r\n\r\n',
        b'GET /drafts/1\r\n\r\n',
        _HEAD + b'Content-Length: ten\r\n\r\n',
        _HEAD + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
        _HEAD
        + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        _HEAD + b'X-Long: ' + b'a' * 20_000 + b'\r\n\r\n',
        _HEAD + b'Bad Header: a\r\n\r\n',
    ],
)
async def test_bad_http_is_a_counted_problem_document(payload: bytes) -> None:
    """Guards against request smuggling and against uncounted bad input."""
    errors: list[str] = []
    answer = await _send(payload, errors)
    status_line = answer.split(b'\r\n')[0]
    # The version of an unparsable request is unknown; aiohttp answers with 1.0.
    assert status_line.split(b' ')[1] == b'400'
    assert b'application/problem+json' in answer
    assert b'"ran": "no"' in answer
    assert len(errors) == 1


async def test_whole_body_is_read_once() -> None:
    """Guards against a body that is truncated or runs into the next request."""
    errors: list[str] = []
    answer = await _send(_HEAD + b'Content-Length: 3\r\n\r\nabc', errors)
    assert b'X-Size: 3' in answer
    assert not errors


@pytest.mark.parametrize('turns', range(8))
async def test_stop_does_not_wait_for_a_connection_that_it_accepted(
    turns: int, unused_tcp_port: int
) -> None:
    # Guards against a connection that is accepted while all others are closed,
    # stays open, drops its request and holds the stop up until SIGKILL.
    server = _a_server(_handle, unused_tcp_port)
    await server.start()
    with socket.socket() as caller:
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            caller, ('127.0.0.1', unused_tcp_port)
        )
        for _ in range(turns):
            await asyncio.sleep(0)
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            await server.stop()


async def test_pipelined_request_reports_its_queueing_time(
    unused_tcp_port: int,
) -> None:
    # The time limit of a request runs from its arrival, not from the start of
    # its handling.
    queueing_times = []

    async def slow(request: CallerRequest, writer: AnswerWriter) -> None:
        queueing_times.append(request.waited)
        await asyncio.sleep(0.2)
        await writer.start(status=200, headers=[('Content-Length', '0')])
        await writer.finish()

    server = _a_server(slow, unused_tcp_port, is_parallel=False)
    await server.start()
    reader, writer = await asyncio.open_connection('127.0.0.1', unused_tcp_port)
    head = b'GET /drafts/1 HTTP/1.1\r\nHost: a\r\n\r\n'
    writer.write(head + head)
    for _ in range(2):
        await reader.readuntil(b'\r\n\r\n')
    writer.write(head)
    await reader.readuntil(b'\r\n\r\n')
    writer.close()
    await server.stop()
    # The first and the last request were not queued behind another one. Their
    # times are compared with the second one, not with an upper bound.
    assert queueing_times[1] >= 0.15
    assert max(queueing_times[0], queueing_times[2]) < queueing_times[1]


def _a_server(handler, port: int, *, is_parallel: bool = True) -> EntryServer:
    return EntryServer(
        listen=f'127.0.0.1:{port}',
        handler=handler,
        on_bad_input=lambda _error: pytest.fail('bad input'),
        max_body_bytes=_LIMIT,
        is_parallel=is_parallel,
    )


async def test_pipelined_requests_run_concurrently(
    unused_tcp_port: int,
) -> None:
    # Handled one after the other, the third request would wait for two others.
    running, max_running = 0, 0

    async def slow(request: CallerRequest, writer: AnswerWriter) -> None:
        nonlocal running, max_running
        running += 1
        max_running = max(max_running, running)
        # The handler of the last request ends first.
        await asyncio.sleep(0.1 * (5 - int(request.path[-1])))
        running -= 1
        await writer.start(
            status=200,
            headers=[('X-Path', request.target), ('Content-Length', '0')],
        )
        await writer.finish()

    server = _a_server(slow, unused_tcp_port)
    await server.start()
    reader, writer = await asyncio.open_connection('127.0.0.1', unused_tcp_port)
    for number in range(3):
        writer.write(f'GET /{number} HTTP/1.1\r\nHost: a\r\n\r\n'.encode())
    answers = [await reader.readuntil(b'\r\n\r\n') for _ in range(3)]
    writer.close()
    await server.stop()
    assert max_running == 3
    for number, answer in enumerate(answers):
        assert f'X-Path: /{number}\r\n'.encode() in answer


async def test_request_with_a_body_does_not_run_concurrently(
    unused_tcp_port: int,
) -> None:
    # A request with a body may be unsafe to repeat, so it must not run before
    # the earlier request is answered.
    events = []

    async def slow(request: CallerRequest, writer: AnswerWriter) -> None:
        events.append(f'{request.method} begins')
        body = await request.read_body()
        await asyncio.sleep(0.1)
        events.append(f'{request.method} ends')
        await writer.start(
            status=200,
            headers=[('X-Size', str(len(body))), ('Content-Length', '0')],
        )
        await writer.finish()

    server = _a_server(slow, unused_tcp_port)
    await server.start()
    reader, writer = await asyncio.open_connection('127.0.0.1', unused_tcp_port)
    writer.write(
        b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'
        b'POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab'
        b'GET /3 HTTP/1.1\r\nHost: a\r\n\r\n'
    )
    await reader.readuntil(b'\r\n\r\n')
    assert b'X-Size: 2' in await reader.readuntil(b'\r\n\r\n')
    await reader.readuntil(b'\r\n\r\n')
    writer.close()
    await server.stop()
    assert events[:4] == ['GET begins', 'GET ends', 'POST begins', 'POST ends']


async def test_pipelined_requests_are_cancelled_with_their_connection(
    unused_tcp_port: int,
) -> None:
    # Work for a disconnected caller would occupy instances for nothing.
    cancelled = []

    async def hang(request: CallerRequest, writer: AnswerWriter) -> None:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.append(request.target)
            raise

    server = _a_server(hang, unused_tcp_port)
    await server.start()
    _, writer = await asyncio.open_connection('127.0.0.1', unused_tcp_port)
    for number in range(3):
        writer.write(f'GET /{number} HTTP/1.1\r\nHost: a\r\n\r\n'.encode())
    await asyncio.sleep(0.1)
    writer.transport.abort()
    await asyncio.sleep(0.2)
    await server.stop()
    assert sorted(cancelled) == ['/0', '/1', '/2']


# Guards against an answer that belongs to another request: requests behind an
# upgrade request are parsed without a call of data_received.
async def test_requests_behind_an_upgrade_get_their_own_answers(
    unused_tcp_port: int,
) -> None:
    ran = []

    async def answer_path(request: CallerRequest, writer: AnswerWriter) -> None:
        ran.append(request.path)
        await asyncio.sleep(0.3)
        await writer.start(
            status=200,
            headers=[('X-Path', request.path), ('Content-Length', '0')],
        )
        await writer.finish()

    server = EntryServer(
        listen=f'127.0.0.1:{unused_tcp_port}',
        handler=answer_path,
        on_bad_input=lambda _error: pytest.fail('bad input'),
        max_body_bytes=1000,
        is_parallel=True,
    )
    await server.start()
    reader, writer = await asyncio.open_connection('127.0.0.1', unused_tcp_port)
    paths = ['/1', '/2', '/3', '/4']
    heads = [
        f'GET {path} HTTP/1.1\r\nHost: a\r\n\r\n'.encode() for path in paths
    ]
    heads[0] = heads[0].replace(
        b'\r\n\r\n', b'\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n'
    )
    writer.write(b''.join(heads[:3]))
    # The second request is in progress, and the third one is queued.
    while '/2' not in ran:
        await asyncio.sleep(0.01)
    writer.write(heads[3])
    answers = [await reader.readuntil(b'\r\n\r\n') for _ in paths]
    writer.close()
    await server.stop()
    answered = [
        re.findall(rb'X-Path: (\S+)', answer)[0].decode() for answer in answers
    ]
    assert answered == paths
    assert sorted(ran) == paths
