"""Contracts of the peer link and the clock, for fakes and adapters."""

import asyncio
import random
import socket
from collections.abc import Callable

import pytest

from bronzewall.adapters.system_clock import SystemClock
from bronzewall.adapters.websocket_link import WebSocketLink
from bronzewall.ports import Clock, PeerLink
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
from bronzewall.standins.virtual_time import VirtualClock
from bronzewall.types import VmId

_FIRST, _SECOND, _MISSING = VmId('vm-a'), VmId('vm-b'), VmId('vm-gone')


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


async def _exchange(first: PeerLink, second: PeerLink) -> list[bytes]:
    """Send to a missing VM, then in both directions; return all payloads."""
    arrived: list[bytes] = []
    both = asyncio.Event()

    def on_payload(payload: bytes) -> None:
        arrived.append(payload)
        if len(arrived) == 2:
            both.set()

    first.on_payload(on_payload)
    second.on_payload(on_payload)
    first.send(to=_MISSING, payload=b'lost')
    first.send(to=_SECOND, payload=b'to b')
    second.send(to=_FIRST, payload=b'to a')
    await asyncio.wait_for(both.wait(), 10)
    return sorted(arrived)


@pytest.mark.parametrize('kind', ['memory', 'websocket'])
async def test_link_delivers_both_ways_and_ignores_missing_peers(
    kind: str,
) -> None:
    """Guards against a missing peer that blocks or fails its sender."""
    if kind == 'memory':
        network = MemoryNetwork(random=random.Random(1))
        links = [
            MemoryLink(vm_id=vm, network=network) for vm in (_FIRST, _SECOND)
        ]
        assert await _exchange(*links) == [b'to a', b'to b']
        return
    addresses = {_FIRST: _free_address(), _SECOND: _free_address()}
    addresses[_MISSING] = _free_address()
    sockets = [WebSocketLink(listen=addresses[vm]) for vm in (_FIRST, _SECOND)]
    for link in sockets:
        await link.start()
        link.set_addresses(addresses)
    try:
        assert await _exchange(*sockets) == [b'to a', b'to b']
    finally:
        for link in sockets:
            await link.stop()


@pytest.mark.parametrize('make_clock', [SystemClock, VirtualClock])
async def test_clock_never_goes_back(make_clock: Callable[[], Clock]) -> None:
    """Guards against leases measured with a clock that goes back."""
    clock = make_clock()
    before, wall = clock.now(), clock.wall()
    await clock.sleep(0.01)
    assert clock.now() >= before
    assert clock.wall() > 1e9 - 1
    assert wall > 1e9 - 1
