"""Tests of header values that aiohttp reads and cannot write."""

import asyncio

import pytest
from edge_builders import HOST, KEY, an_edge_instance, an_edge_vm
from test_broken_answers import a_client, a_front
from test_broken_streams import ACCOUNT_KEY, a_vm, an_entry, port_of

from bronzewall.standins.raw_upstream import RawConnection, RawUpstream

_CONTROL = [b'\x01', b'\x08', b'\x0b', b'\x1f', b'\x7f']
_OTHER = [b'\xff', b'caf\xe9', 'café'.encode(), b'\t']


async def _exchange(face: str, *, sent: bytes = b'', answered: bytes = b''):
    """Return what a caller gets and the heads that the instance gets."""
    heads: list[bytes] = []

    async def script(connection: RawConnection, _number: int) -> None:
        while True:
            heads.append(await connection.read_request())
            await connection.send(
                b'HTTP/1.1 200 OK\r\nT-Attempt: a-1\r\nT-Seal: s\r\nX-Odd: a'
                + answered
                + b'z\r\nContent-Length: 4\r\n\r\nbody'
            )

    async def ask(port: int, key: str) -> bytes:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            f'GET /drafts/1 HTTP/1.1\r\nHost: {HOST}\r\nT-Attempt: a-1\r\n'
            f'Authorization: Bearer {key}\r\nConnection: close\r\n'
            'X-Odd: a'.encode()
            + sent
            + b'z\r\n\r\n'
        )
        received = await reader.read()
        writer.close()
        return received

    async with RawUpstream(script=script) as upstream:
        if face == 'edge':
            vm = an_edge_vm()
            vm.serve_alone(an_edge_instance(address=upstream.address))
            async with a_client() as client, a_front(vm, client) as port:
                return await ask(port, KEY), heads
        async with (
            a_vm(upstream.address) as vm,
            an_entry(vm.path.handle, vm.path.bad_input) as server,
        ):
            return await ask(port_of(server), ACCOUNT_KEY), heads


@pytest.mark.parametrize('text', _CONTROL)
@pytest.mark.parametrize('face', ['edge', 'product'])
async def test_control_character_in_an_answer(face: str, text: bytes) -> None:
    """Guards against a connection that is closed without an answer."""
    received, heads = await _exchange(face, answered=text)
    assert received.startswith(b'HTTP/1.1 502 ')
    assert b'X-Odd' not in received
    assert heads


@pytest.mark.parametrize('text', _OTHER)
@pytest.mark.parametrize('face', ['edge', 'product'])
async def test_other_bytes_in_an_answer(face: str, text: bytes) -> None:
    """Guards against a whole answer that is lost for one header."""
    received, _ = await _exchange(face, answered=text)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert b'X-Odd: a' in received
    assert received.endswith(b'body')


@pytest.mark.parametrize('text', _CONTROL)
@pytest.mark.parametrize('face', ['edge', 'product'])
async def test_control_character_in_a_request(face: str, text: bytes) -> None:
    """Guards against a caller that makes instances look as if they failed."""
    received, heads = await _exchange(face, sent=text)
    assert received.split()[1] == b'400'
    assert not heads


@pytest.mark.parametrize('text', _OTHER)
@pytest.mark.parametrize('face', ['edge', 'product'])
async def test_other_bytes_in_a_request(face: str, text: bytes) -> None:
    """Guards against a proper request that no instance can get."""
    received, heads = await _exchange(face, sent=text)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert len(heads) == 1
