"""Tests of answers of stores and of other VMs that break off at any byte."""

import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from cut_answers import CutServer, framings
from edge_builders import a_vm

from bronzewall.adapters.system_clock import SystemClock
from bronzewall.edge.composition import _open_store_session
from bronzewall.edge.ports import Revision
from bronzewall.errors import StoreUnavailableError
from bronzewall.metrics import Metrics
from bronzewall.platform.store import PlatformStore
from bronzewall.standins.raw_upstream import RawUpstream

_FRAMINGS = ('sized', 'chunked', 'unframed')
Call = Callable[[str], Awaitable[object]]


async def outcomes(server: CutServer, call: Call) -> list[object]:
    """Return the result or error of a call for each cut, then uncut."""
    found: list[object] = []
    async with RawUpstream(script=server.run) as upstream:
        for cut in range(len(server.text) + 1):
            server.cut = cut
            try:
                found.append(await call(upstream.address))
            except Exception as exc:
                found.append(exc)
    return found


def read_instances(store: PlatformStore) -> Awaitable[Any]:
    return store.read_instances()


def watch_instances(store: PlatformStore) -> Awaitable[Any]:
    return store.watch_instances(after=Revision(era=0, number=3), wait=1)


def read_configuration(store: PlatformStore) -> Awaitable[Any]:
    return store.read_configuration()


def register(store: PlatformStore) -> Awaitable[Any]:
    return store.register((a_vm(),))


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize(
    'call', [read_instances, watch_instances, read_configuration, register]
)
async def test_cut_answer_of_the_users_store(
    call: Callable[[PlatformStore], Awaitable[Any]],
    framing: str,
    is_reset: bool,
) -> None:
    """Guards against a list without rows, or an older one, from a part."""
    value = base64.b64encode(b'{}').decode()
    rows = [{'key': key, 'value': value} for key in ('config', 'i-1')]
    document = {'tableRows': rows, 'hasMore': False, 'now': 1.5}
    body = json.dumps({**document, 'schemaVersion': 41}).encode()
    text = framings(body, 'application/json')[framing]
    session = _open_store_session()

    async def on(address: str) -> object:
        store = PlatformStore(
            address=address,
            session=session,
            clock=SystemClock(),
            metrics=Metrics(),
            region_by_zone={},
        )
        return await call(store)

    server = CutServer(text=text, is_reset=is_reset)
    *cut, whole = await outcomes(server, on)
    await session.close()
    if call is register and framing == 'unframed' and not is_reset:
        # The whole head shows that the rows were written.
        cut = cut[: text.index(b'\r\n\r\n')]
    assert all(isinstance(found, StoreUnavailableError) for found in cut)
    if framing == 'unframed' and is_reset:
        assert isinstance(whole, StoreUnavailableError)
    elif call is not register:
        assert whole.revision == Revision(era=0, number=41)
