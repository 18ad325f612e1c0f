"""Tests of peer messages: invalid input raises typed errors only."""

import asyncio
import random
import socket

import attrs
import cbor2
import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.adapters.websocket_link import WebSocketLink
from bronzewall.errors import (
    DuplicateKindError,
    PeerKindError,
    PeerMessageError,
    PeerTimeoutError,
    PeerVersionError,
)
from bronzewall.messages import Envelope, decode, encode, message
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import VmId


@message('test_ping')
@attrs.frozen(kw_only=True)
class Ping:
    """Message of these tests."""

    number: int


def _wire(**changes: object) -> bytes:
    wire = {'v': 1, 't': 'test_ping', 'f': 'a', 'i': 1, 'n': 2}
    return cbor2.dumps({**wire, 'b': {'number': 3}, **changes})


@pytest.mark.parametrize(
    ('payload', 'error'),
    [
        (b'', PeerMessageError),
        (b'\xff\xff', PeerMessageError),
        (cbor2.dumps([1]), PeerMessageError),
        (_wire()[:-3], PeerMessageError),
        (_wire(v=2), PeerVersionError),
        (_wire(t='unknown'), PeerKindError),
        (_wire(b={'number': 'x'}), PeerKindError),
        (_wire(b={'number': 'x', 'more': 2}), PeerKindError),
        (_wire(b={'more': 2}), PeerKindError),
        (_wire(b=None), PeerKindError),
        (_wire(f=7), PeerMessageError),
        (_wire(n=None), PeerMessageError),
        (_wire(c=[1]), PeerMessageError),
        (_wire(r={}), PeerMessageError),
    ],
)
def test_invalid_payload_is_a_typed_error(payload: bytes, error: type) -> None:
    """Guards against an invalid message that closes a connection."""
    with pytest.raises(PeerMessageError) as caught:
        decode(payload)
    assert caught.type is error


def test_field_of_a_later_build_is_not_read() -> None:
    """Guards against VMs that do not hear each other during an upgrade."""
    envelope = decode(_wire(b={'number': 1, 'more': 2, 'again': None}))
    assert envelope.body == Ping(number=1)
    assert envelope.unread_fields == {'more', 'again'}
    assert not decode(_wire()).unread_fields


def test_unread_fields_are_counted_and_logged_once() -> None:
    """Guards against a log line for each message of an upgrade."""
    network = MemoryNetwork(random=random.Random(1))
    endpoint = PeerEndpoint(
        vm_id=VmId('b'),
        incarnation=1,
        link=MemoryLink(vm_id=VmId('b'), network=network),
    )
    received: list[Envelope] = []
    endpoint.serve(Ping, received.append)
    with structlog.testing.capture_logs() as lines:
        for sender in ('a', 'a', 'c'):
            endpoint.receive(_wire(f=sender, b={'number': 1, 'more': 2}))
    assert len(received) == 3
    assert endpoint.counters['unread_fields_Ping'] == 3
    assert [line['vm'] for line in lines] == ['a', 'c']
    assert lines[0]['fields'] == ['more']


_CBOR_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from('vtfinbcr'), inner, max_size=8)
    ),
    max_leaves=8,
)


@given(st.binary(max_size=40) | _CBOR_VALUES.map(cbor2.dumps))
def test_decode_raises_only_message_errors(payload: bytes) -> None:
    """Guards against untyped errors from arbitrary payloads."""
    try:
        decode(payload)
    except PeerMessageError:
        return
    pytest.fail('random bytes were accepted')


@given(st.integers(-(2**63), 2**63), st.none() | st.integers(0, 9))
def test_envelope_round_trip(number: int, call_id: int | None) -> None:
    """Guards against fields that are lost or changed on the wire."""
    sent = Envelope(
        sender=VmId('a'),
        incarnation=1,
        sequence=2,
        body=Ping(number=number),
        call_id=call_id,
    )
    assert decode(encode(sent)) == sent


def test_call_times_out_when_replies_are_cut() -> None:
    """Guards against a call that never ends after a one-way cut."""

    async def main() -> None:
        network = MemoryNetwork(random=random.Random(1))
        first, second = (
            PeerEndpoint(
                vm_id=VmId(name),
                incarnation=1,
                link=MemoryLink(vm_id=VmId(name), network=network),
            )
            for name in ('a', 'b')
        )
        second.serve(Ping, lambda envelope: envelope.body)
        sent = Ping(number=4)
        reply = await first.call(to=VmId('b'), message=sent, timeout=1)
        assert reply == sent
        network.block(sender=VmId('b'), receiver=VmId('a'))
        with pytest.raises(PeerTimeoutError):
            await first.call(to=VmId('b'), message=sent, timeout=1)

    run_virtual(main())


async def test_websocket_link_works_after_invalid_payloads() -> None:
    """Guards against a link that one invalid message closes."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    receiving = WebSocketLink(listen=f'127.0.0.1:{port}')
    endpoint = PeerEndpoint(vm_id=VmId('b'), incarnation=1, link=receiving)
    arrived = asyncio.Event()
    endpoint.serve(Ping, lambda _envelope: arrived.set())
    sending = WebSocketLink(listen='127.0.0.1:1')
    sending.set_addresses({VmId('b'): f'127.0.0.1:{port}'})
    await receiving.start()
    for payload in (b'\xff', _wire(v=9), _wire()):
        sending.send(to=VmId('b'), payload=payload)
    await asyncio.wait_for(arrived.wait(), 10)
    await sending.stop()
    await receiving.stop()
    assert endpoint.counters['PeerMessageError'] == 1
    assert endpoint.counters['PeerVersionError'] == 1


def test_type_tag_is_used_once() -> None:
    """Guards against two classes registered with one type tag.

    Two modules had both registered "suspicion", and the order of imports
    decided which class was used.
    """
    with pytest.raises(DuplicateKindError, match='Ping'):
        message('test_ping')(Envelope)
