"""Tests of callers' requests that break off at any byte, over loopback."""

import asyncio
import contextlib
import zlib
from collections.abc import AsyncIterator

import attrs
import pytest
from stopping_vm import free_ports

from bronzewall.adapters.entry_http import EntryServer
from bronzewall.metrics import Metrics
from bronzewall.ports import AnswerWriter, CallerRequest
from bronzewall.refusals import read_whole_body, refuse_bad_input
from bronzewall.standins.raw_upstream import RawConnection
from bronzewall.types import RequestId

_BODY = b'y' * 30
_HEAD = b'POST /cut HTTP/1.1\r\nHost: a\r\nT-Attempt: a-1\r\n'
_SIZED = b'Content-Length: 30\r\n\r\n' + _BODY
_CHUNKED = (
    b'Transfer-Encoding: chunked\r\n\r\n'
    b'f;a=b\r\n' + _BODY[:15] + b'\r\nf\r\n' + _BODY[15:] + b'\r\n0\r\n'
)
_UPGRADE = b'Connection: Upgrade\r\nUpgrade: websocket\r\n'
_REQUESTS = {
    'sized': _HEAD + _SIZED,
    'length first': _HEAD.replace(b'Host', b'Content-Length: 30\r\nHost')
    + b'\r\n'
    + _BODY,
    'chunked': _HEAD + _CHUNKED + b'\r\n',
    'trailers': _HEAD + _CHUNKED + b'X-One: 1\r\n\r\n',
    'expects': _HEAD + b'Expect: 100-continue\r\n' + _SIZED,
    'upgrade, sized': _HEAD + _UPGRADE + _SIZED,
    'upgrade, chunked': _HEAD + _UPGRADE + _CHUNKED + b'\r\n',
    'no body': b'GET /cut HTTP/1.1\r\nHost: a\r\nT-Attempt: a-1\r\n\r\n',
    'safe with a body': _HEAD.replace(b'POST', b'GET') + _SIZED,
    'HTTP/1.0': (_HEAD + _SIZED).replace(b'HTTP/1.1', b'HTTP/1.0'),
}
_BEFORE = b'GET /before HTTP/1.1\r\nHost: a\r\n\r\n'
# Lets zlib write the header of gzip.
_GZIP_WINDOW = zlib.MAX_WBITS | 16
# Time for what a server might still do after a connection has ended, seconds.
_SETTLE_S = 0.05


@attrs.define(kw_only=True, eq=False)
class Entry:
    """A server for callers and the requests that it has passed on."""

    port: int
    passed_on: list[tuple[str, bytes]] = attrs.field(factory=list)

    async def handle(
        self, request: CallerRequest, writer: AnswerWriter
    ) -> None:
        body = await read_whole_body(request)
        self.passed_on.append((request.path, body))
        await writer.start(status=200, headers=[('Content-Length', '0')])
        await writer.finish()

    async def connect(self) -> RawConnection:
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        return RawConnection(reader=reader, writer=writer)


@contextlib.asynccontextmanager
async def an_entry(*, is_parallel: bool) -> AsyncIterator[Entry]:
    entry = Entry(port=free_ports(1)[0])
    server = EntryServer(
        listen=f'127.0.0.1:{entry.port}',
        handler=entry.handle,
        on_bad_input=lambda error: refuse_bad_input(
            error, metrics=Metrics(), request_id=RequestId('r')
        ),
        max_body_bytes=1000,
        is_parallel=is_parallel,
    )
    await server.start()
    try:
        yield entry
    finally:
        await server.stop()


async def send(connection: RawConnection, text: bytes, how: str) -> None:
    """Send bytes in two parts and end the connection.

    :param how: ``close``, ``reset``, or ``half`` to end the sending only.
    """
    await connection.send(text[: len(text) // 2])
    await asyncio.sleep(0)
    await connection.send(text[len(text) // 2 :])
    if how == 'half':
        connection.writer.write_eof()
        await connection.reader.read()
        how = 'close'
    connection.end(is_reset=how == 'reset')


@pytest.mark.parametrize('is_parallel', [False, True])
@pytest.mark.parametrize('before', [b'', _BEFORE, _BEFORE * 2])
@pytest.mark.parametrize('how', ['close', 'half', 'reset'])
@pytest.mark.parametrize('name', _REQUESTS)
async def test_cut_request_is_not_passed_on(
    name: str, how: str, before: bytes, is_parallel: bool
) -> None:
    """Guards against running a request of which a part was received.

    :param before: whole requests on the same connection.
    """
    text = _REQUESTS[name]
    async with an_entry(is_parallel=is_parallel) as entry:
        connections = [await entry.connect() for _ in text]
        await asyncio.gather(
            *(
                send(connection, before + text[:cut], how)
                for cut, connection in enumerate(connections)
            )
        )
        await asyncio.sleep(_SETTLE_S)
        assert {path for path, _ in entry.passed_on} <= {'/before'}
        # The whole request is passed on, and with its whole body.
        entry.passed_on.clear()
        connection = await entry.connect()
        await connection.send(text)
        async with asyncio.timeout(2):
            while not entry.passed_on:
                await asyncio.sleep(0.01)
        connection.reset()
    body = b'' if name == 'no body' else _BODY
    assert entry.passed_on == [('/cut', body)]


@pytest.mark.parametrize('coding', ['gzip', 'deflate', 'identity'])
async def test_encoded_body_is_passed_on_unchanged(coding: str) -> None:
    """Guards against an instance that gets another body than was sent.

    Its request still has the header that names the coding.
    """
    window = _GZIP_WINDOW if coding == 'gzip' else zlib.MAX_WBITS
    packer = zlib.compressobj(wbits=window)
    body = packer.compress(_BODY * 9) + packer.flush()
    async with an_entry(is_parallel=False) as entry:
        connection = await entry.connect()
        await connection.send(
            _HEAD
            + f'Content-Encoding: {coding}\r\n'.encode()
            + f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        head = await connection.reader.readuntil(b'\r\n\r\n')
        connection.reset()
    assert head.startswith(b'HTTP/1.1 200 ')
    assert entry.passed_on == [('/cut', body)]
