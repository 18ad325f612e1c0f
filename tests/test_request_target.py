"""Tests that request targets reach instances byte for byte."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterable

import attrs
import pytest
from edge_builders import HOST, KEY, an_edge_instance, an_edge_vm
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from test_broken_answers import a_client, a_front
from test_broken_streams import ACCOUNT_KEY, a_vm, an_entry, port_of
from test_instance_http import a_request

from bronzewall.standins.raw_upstream import RawConnection, RawUpstream

# RFC 9112, 3.2.1: origin-form = absolute-path [ "?" query ], by RFC 3986, 3.3
# and 3.4.
_UNRESERVED = (
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~'
)
_PCHARS = st.one_of(
    st.sampled_from(f"{_UNRESERVED}!$&'()*+,;=:@"),
    st.from_regex('%[0-9A-Fa-f]{2}', fullmatch=True),
    # Percent-encoded octets that a parser might decode or normalize.
    st.sampled_from(('%2F', '%2f', '%3F', '%23', '%25', '%00', '%41', '%7E')),
)
_SEGMENTS = st.one_of(
    st.sampled_from(('', '.', '..')),
    st.lists(_PCHARS, max_size=8).map(''.join),
)
_QUERIES = st.lists(st.one_of(_PCHARS, st.sampled_from('/?')), max_size=8).map(
    ''.join
)
_TARGETS = st.builds(
    lambda segments, query: '/'.join(['/drafts', *segments]) + query,
    st.lists(_SEGMENTS, min_size=1, max_size=4),
    st.one_of(st.just(''), st.just('?'), _QUERIES.map('?{}'.format)),
)
# One example starts servers, so that each has many targets. Its first
# difference names the target, and shrinking it would take minutes.
_SETTINGS = settings(max_examples=15, phases=(Phase.generate,))
_TARGET_LISTS = st.lists(_TARGETS, min_size=8, max_size=24)
_KNOWN = (
    '/drafts/17?',
    '/drafts/?',
    '/drafts/17??',
    '/drafts/17?a=%2f&b',
    '/drafts//17',
    '/drafts/a/../b/./c',
    '/drafts/a:b@c',
    '/drafts/%e4%f6',
)


@attrs.define(kw_only=True, eq=False)
class Recorder:
    """An instance that records the bytes of each request line."""

    lines: list[bytes] = attrs.field(factory=list)

    async def run(self, connection: RawConnection, _number: int) -> None:
        while True:
            head = await connection.read_request()
            self.lines.append(head.partition(b'\r\n')[0])
            await connection.send(
                b'HTTP/1.1 200 OK\r\nT-Attempt: a-1\r\nT-Seal: s\r\n'
                b'Content-Length: 4\r\n\r\nbody'
            )


async def _ask(port: int, target: str, key: str) -> None:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(
        f'GET {target} HTTP/1.1\r\nHost: {HOST}\r\nT-Attempt: a-1\r\n'
        f'Authorization: Bearer {key}\r\nConnection: close\r\n\r\n'.encode()
    )
    answer = await reader.read()
    writer.close()
    assert answer.split()[1] == b'200', (target, answer)


@contextlib.asynccontextmanager
async def _edge(address: str) -> AsyncIterator[tuple[int, str]]:
    vm = an_edge_vm()
    instance = an_edge_instance(address=address)
    vm.serve_alone(instance)
    async with a_client() as client, a_front(vm, client) as port:
        yield port, KEY


@contextlib.asynccontextmanager
async def _product(address: str) -> AsyncIterator[tuple[int, str]]:
    async with (
        a_vm(address) as vm,
        an_entry(vm.path.handle, vm.path.bad_input) as server,
    ):
        yield port_of(server), ACCOUNT_KEY


async def _received(face, targets: Iterable[str]) -> list[bytes]:
    """Return the request lines that an instance receives for targets."""
    recorder = Recorder()
    async with (
        RawUpstream(script=recorder.run) as upstream,
        face(upstream.address) as (port, key),
    ):
        for target in targets:
            await _ask(port, target, key)
    return recorder.lines


def _lines(targets: Iterable[str]) -> list[bytes]:
    return [f'GET {target} HTTP/1.1'.encode() for target in targets]


@pytest.mark.parametrize('face', [_edge, _product])
async def test_known_targets_reach_the_instance_as_sent(face) -> None:
    """Guards against an empty query or a dot segment that is dropped."""
    assert await _received(face, _KNOWN) == _lines(_KNOWN)


@pytest.mark.parametrize('face', [_edge, _product])
@_SETTINGS
@given(targets=_TARGET_LISTS)
def test_targets_reach_the_instance_as_sent(face, targets) -> None:
    """Guards against a target that is parsed and written anew."""
    assert asyncio.run(_received(face, targets)) == _lines(targets)


@_SETTINGS
@given(
    targets=st.lists(
        st.one_of(_TARGETS, _TARGETS.map(f'http://{HOST}:80{{}}'.format)),
        min_size=8,
        max_size=24,
    )
)
def test_client_sends_any_form_of_a_target_to_the_address(targets) -> None:
    """Guards against a target in absolute form that changes the address."""

    async def send_all() -> list[bytes]:
        recorder = Recorder()
        async with (
            RawUpstream(script=recorder.run) as upstream,
            a_client() as client,
        ):
            for target in targets:
                await client.send(a_request(upstream.address, target=target))
        return recorder.lines

    assert asyncio.run(send_all()) == _lines(targets)
