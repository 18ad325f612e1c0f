"""Fuzz of the HTTP faces of a VM and of the messages between VMs."""

import asyncio
import contextlib
import random
import zlib

import cbor2
import pytest
from edge_builders import NAMES, an_edge_vm
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_body_budget import entry
from test_instance_http import WHOLE, a_request

from bronzewall import messages
from bronzewall.adapters.instance_http import open_instance_client
from bronzewall.edge.zone_messages import (
    MemberReport,
    RefreshReply,
    RefreshRequest,
    ZoneStatus,
    ZoneSummary,
)
from bronzewall.errors import PeerMessageError, UpstreamError
from bronzewall.standins.memory_link import MemoryNetwork
from bronzewall.standins.raw_upstream import RawUpstream
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import VmId

_SEEDED = settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
# Longest time for one exchange, seconds.
_LIMIT_S = 2.0
_HEAD_LINES = (
    b'Content-Length: 4',
    b'Content-Length: 5',
    b'Content-Length: -1',
    b'Content-Length: 4, 4',
    b'Transfer-Encoding: chunked',
    b'Transfer-Encoding: gzip, chunked',
    b'Connection: close',
    b'Connection: upgrade',
    b'Upgrade: h2c',
    b'Expect: 100-continue',
    b'T-Attempt: a-1',
    b'T-Attempt: a-2',
    b'T-Seal: s',
    b'T-Not-Run: 1',
    b'Keep-Alive: timeout=x',
    b'Content-Encoding: gzip',
    b'X: ' + b'y' * 9000,
    b' folded: line',
    b'no colon',
    b'\x00: \xff',
)
_BODIES = (
    b'',
    b'body',
    b'4\r\nbody\r\n0\r\n\r\n',
    b'4;x=y\r\nbody\r\n0\r\nT: r\r\n\r\n',
    b'4\r\nbod',
    b'ffffffffffffffffff\r\nbody',
    b'-4\r\nbody\r\n0\r\n\r\n',
    WHOLE,
    WHOLE[:30],
)
_ANSWER_STARTS = (
    b'HTTP/1.1 200 OK',
    b'HTTP/1.0 200 OK',
    b'HTTP/1.1 204 None',
    b'HTTP/1.1 503 Full',
    b'HTTP/1.1 421 Other',
    b'HTTP/1.1 101 Switch',
    b'HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK',
    b'HTTP/2.0 200 OK',
    b'HTTP/1.1 -1 X',
    b'garbage',
)
_REQUEST_STARTS = (
    b'GET / HTTP/1.1',
    b'POST /x HTTP/1.1',
    b'HEAD / HTTP/1.0',
    b'GET http://h/ HTTP/1.1',
    b'OPTIONS * HTTP/1.1',
    b'GET / HTTP/0.9',
    b'PRI * HTTP/2.0',
    b'GET  / HTTP/1.1',
    b'\x16\x03\x01',
)


@st.composite
def http_texts(draw, starts) -> bytes:
    """Return one or two messages of the grammar with mutated bytes."""
    texts = []
    for _ in range(draw(st.integers(1, 2))):
        lines = draw(st.lists(st.sampled_from(_HEAD_LINES), max_size=4))
        texts += [
            b'\r\n'.join((draw(st.sampled_from(starts)), *lines, b'', b'')),
            draw(st.sampled_from(_BODIES)),
        ]
    text = b''.join(texts)
    for _ in range(draw(st.integers(0, 2))):
        at = draw(st.integers(0, len(text) - 1))
        removed = draw(st.integers(0, 3))
        text = text[:at] + draw(st.binary(max_size=3)) + text[at + removed :]
    return text


@given(text=http_texts(_ANSWER_STARTS), cut=st.integers(1, 60))
@_SEEDED
def test_answers_of_instances(text: bytes, cut: int) -> None:
    asyncio.run(_answer_with(text, cut))


async def _answer_with(text: bytes, cut: int) -> None:
    """Answer with a text in two parts, and then to a second request."""

    async def script(connection, _number):
        await connection.read_request()
        with contextlib.suppress(OSError):
            await connection.send(text[:cut])
            await asyncio.sleep(0)
            await connection.send(text[cut:])
            while True:
                await connection.read_request()
                await connection.send(WHOLE.replace(b'a-1', b'a-3'))

    client = open_instance_client(NAMES)
    async with RawUpstream(script=script) as upstream:
        with contextlib.suppress(UpstreamError):
            async with asyncio.timeout(_LIMIT_S):
                answer = await client.send(
                    a_request(upstream.address, timeout=0.1)
                )
                # What counts as a success is sealed and echoes the attempt.
                assert answer.status >= 200
                if answer.status < 300:
                    headers = {name.lower() for name, _ in answer.headers}
                    assert {'t-seal', 't-attempt'} <= headers
                    assert answer.body in {b'', b'body'} or b'body' in text
        with contextlib.suppress(UpstreamError):
            async with asyncio.timeout(_LIMIT_S):
                answer = await client.send(
                    a_request(upstream.address, attempt_id='a-3', timeout=0.1)
                )
                # Nothing of the first text answers the second request.
                assert ('T-Attempt', 'a-3') in answer.headers or (
                    answer.status >= 300
                )
    await client.session.close()


@given(text=http_texts(_REQUEST_STARTS), cut=st.integers(1, 60))
@_SEEDED
def test_requests_of_callers(text: bytes, cut: int) -> None:
    asyncio.run(_ask_with(text, cut))


async def _ask_with(text: bytes, cut: int) -> None:
    async with entry() as (server, port, _):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        for part in (text[:cut], text[cut:]):
            writer.write(part)
            await asyncio.sleep(0)
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(0.05):
                answer = await reader.read()
                assert answer.startswith((b'HTTP/1.', b''))
        writer.close()
        # The server still serves others, and holds nothing of the caller.
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        async with asyncio.timeout(_LIMIT_S):
            assert (await reader.readuntil(b'\r\n\r\n')).split()[1] == b'200'
        writer.close()
        await asyncio.sleep(0.01)
        assert not server._bodies.total


_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=4)
    | st.binary(max_size=8)
    | st.just(zlib.compress(cbor2.dumps([[1, 2]]))),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=4), inner, max_size=2)
    ),
    max_leaves=4,
)
_BODIES_OF_VMS = (
    MemberReport(stamp=1.5, in_flight={'i-1': 1}, spent={'x': 1}),
    ZoneStatus(echo=1.0, catalog_age=0.5, store_age=0.5, version=3),
    ZoneSummary(zone='muscat-b'),
    RefreshRequest(version=1, list_age=0.5),
    RefreshReply(version=1),
)


@given(
    body=st.sampled_from(_BODIES_OF_VMS),
    seed=st.integers(0, 2**32),
    value=_VALUES,
    is_raw=st.booleans(),
)
@settings(_SEEDED, max_examples=300)
def test_messages_of_vms(
    body: object, seed: int, value: object, is_raw: bool
) -> None:
    payload = _mutated(body, random.Random(seed), value, is_raw)
    with contextlib.suppress(PeerMessageError):
        messages.decode(payload)

    async def main() -> None:
        network = MemoryNetwork(random=random.Random(1))
        vm = an_edge_vm(network=network)
        vm.serve_alone()
        handler = network.handlers_by_id[vm.fleet.own.vm_id]
        handler(payload)
        vm.tick()
        assert (await vm.ask()).status == 200

    run_virtual(main())


def _mutated(
    body: object, drawn: random.Random, value: object, is_raw: bool
) -> bytes:
    """Return a message with changed bytes or one changed field."""
    payload = messages.encode(
        messages.Envelope(
            sender=VmId('vm-2'), incarnation=1, sequence=1, body=body
        )
    )
    if is_raw:
        raw = bytearray(payload)
        for _ in range(drawn.randint(1, 3)):
            raw[drawn.randrange(len(raw))] = drawn.randrange(256)
        return bytes(raw)
    document = cbor2.loads(payload)
    fields = document['b'] if isinstance(document.get('b'), dict) else document
    names = [field.name for field in type(body).__attrs_attrs__]
    fields[drawn.choice(names)] = value
    return cbor2.dumps(document)


def test_mutated_messages_reach_the_handlers() -> None:
    # The fuzz is worth little if every message is dropped by the decoder.
    body = RefreshRequest(version=1, list_age=0.5)
    payload = _mutated(body, random.Random(1), 7, False)
    assert isinstance(messages.decode(payload).body, RefreshRequest)


@pytest.mark.parametrize('field', ['raw', 'catalog', 'members'])
async def test_damaged_packed_data_is_ignored(field: str) -> None:
    async def main() -> None:
        network = MemoryNetwork(random=random.Random(1))
        vm = an_edge_vm(network=network)
        vm.serve_alone()
        status = ZoneStatus(
            echo=1.0, catalog_age=0, catalog_revision=1, **{field: b'damaged'}
        )
        payload = messages.encode(
            messages.Envelope(
                sender=VmId('vm-2'), incarnation=1, sequence=1, body=status
            )
        )
        network.handlers_by_id[vm.fleet.own.vm_id](payload)
        assert (await vm.ask()).status == 200

    await asyncio.to_thread(run_virtual, main())
