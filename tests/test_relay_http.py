"""Tests of requests that one VM relays to another, over loopback."""

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator

import attrs
from edge_builders import (
    HOST,
    KEY,
    NAMES,
    PATH,
    a_place,
    an_edge_account,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
)

from bronzewall.edge.composition import Platform, build_daemon
from bronzewall.edge.daemon import EdgeDaemon
from bronzewall.edge.settings import EdgeSettings
from bronzewall.log_sink import LogSink
from bronzewall.standins.memory_store import MemoryFleetStore, SharedStore
from bronzewall.standins.raw_upstream import RawUpstream

_BODY = b'x' * 200_000
_START_S = 5.0


@attrs.define(kw_only=True, eq=False)
class Upstream:
    """An instance that records the requests that it runs.

    :param work: seconds for each request.
    :param left: whether a caller left during a request.
    """

    status: bytes = b'200 OK'
    work: float = 0.02
    heads: list[bytes] = attrs.field(factory=list)
    bodies: list[int] = attrs.field(factory=list)
    left: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self, connection, _number) -> None:
        while True:
            head = await connection.read_request()
            headers = dict(
                line.lower().partition(b': ')[::2]
                for line in head.split(b'\r\n')
            )
            size = int(headers.get(b'content-length', b'0'))
            body = await connection.reader.readexactly(size)
            self.heads.append(head)
            self.bodies.append(len(body))
            await self._work(connection)
            await connection.send(
                b'HTTP/1.1 %b\r\nT-Attempt: %b\r\nT-Seal: s\r\n'
                b'Content-Length: 4\r\n\r\nbody'
                % (self.status, headers[b't-attempt'])
            )

    async def _work(self, connection) -> None:
        """Work until done or until the caller closes the connection."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.work):
                if not await connection.reader.read(1):
                    self.left.set()


def free_addresses(count: int) -> list[str]:
    with contextlib.ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in found:
            one.bind(('127.0.0.1', 0))
        return [f'127.0.0.1:{one.getsockname()[1]}' for one in found]


def a_store(address: str, **account) -> SharedStore:
    """Return a store that lists one instance."""
    shared = SharedStore()
    shared.publish(
        an_edge_configuration(
            routes=(an_edge_route(idempotent=False, timeout=4.0),),
            accounts=(an_edge_account(**account),),
        )
    )
    instance = an_edge_instance(address=address)
    shared.instances_by_id = {instance.instance_id: instance}
    return shared


def a_daemon(name: str, shared: SharedStore, **changes) -> EdgeDaemon:
    listen, ready, peer, admin = free_addresses(4)
    place = a_place()
    settings = EdgeSettings(
        vm_id=name,
        region=place.region,
        zone=place.zone,
        listen=listen,
        ready_listen=ready,
        peer_listen=peer,
        admin_listen=admin,
        store='127.0.0.1:1',
        **changes,
    )
    platform = Platform(
        names=NAMES,
        ready_path='/ready',
        open_store=lambda clock, _metrics, _session: MemoryFleetStore(
            clock=clock, shared=shared
        ),
        reload=lambda: settings,
    )
    return build_daemon(settings, platform, LogSink())


async def start(daemon: EdgeDaemon) -> None:
    await daemon.link.start()
    await daemon.entry.start()
    await daemon._start_background()


async def know_each_other(*daemons: EdgeDaemon) -> None:
    async with asyncio.timeout(_START_S):
        while not all(
            daemon.is_ready() and daemon.link._addresses_by_id
            for daemon in daemons
        ):
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def vms(upstream: Upstream, **account) -> AsyncIterator[EdgeDaemon]:
    """Yield a VM that reaches no instance, beside one that does.

    :param account: what the other VM knows of the account, if it differs.
    """
    async with RawUpstream(script=upstream.run) as server:
        closed_address = free_addresses(1)[0]
        cut = a_daemon('vm-1', a_store(closed_address))
        other = a_daemon('vm-2', a_store(server.address, **account))
        cut.fleet.add(other.fleet.own)
        other.fleet.add(cut.fleet.own)
        for daemon in (cut, other):
            await start(daemon)
        try:
            await know_each_other(cut, other)
            yield cut
        finally:
            for daemon in (cut, other):
                await daemon.entry.stop()
                await daemon._stop_background()


async def open_request(
    address: str, body: bytes = b'', name: str = 'a', extra: str = 'X-None: 1'
):
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f'POST {PATH} HTTP/1.1',
        f'Host: {HOST}',
        f'T-Attempt: {name}',
        'T-Deadline: 4000',
        f'Authorization: Bearer {KEY}',
        'T-Account: forged',
        'X-Kept: yes',
        extra,
        f'Content-Length: {len(body)}',
        'Connection: close',
        '',
        '',
    ]
    writer.write('\r\n'.join(lines).encode() + body)
    return reader, writer


async def ask_at(address: str, **changes) -> bytes:
    reader, writer = await open_request(address, **changes)
    answer = await reader.read(-1)
    writer.close()
    return answer


async def ask(daemon: EdgeDaemon, **changes) -> bytes:
    return await ask_at(daemon.settings.listen, **changes)


async def test_relayed_request_reaches_an_instance_once() -> None:
    upstream = Upstream()
    async with vms(upstream) as cut:
        answer = await ask(cut, body=_BODY)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert b'T-Seal: s' in answer
    assert answer.endswith(b'body')
    assert upstream.bodies == [len(_BODY)]
    head = upstream.heads[0].lower()
    assert b't-account: gulf-daily' in head
    assert b'x-kept: yes' in head
    for hidden in (KEY.encode(), b'forged', b'bronzewall'):
        assert hidden not in head


async def test_error_of_an_instance_is_delivered_unchanged() -> None:
    upstream = Upstream(status=b'500 Internal Server Error')
    async with vms(upstream) as cut:
        answer = await ask(cut)
    assert answer.startswith(b'HTTP/1.1 500 ')
    assert b'T-Seal: s' in answer
    assert len(upstream.heads) == 1


async def test_refusals_on_a_kept_connection_between_vms() -> None:
    # Guards against a refusal that counts as a stray answer because it does
    # not echo the attempt.
    upstream = Upstream()
    async with vms(upstream) as cut:
        await ask(cut, name='first')
        peers = cut.path.sender.relay.peers
        other = next(iter(peers._peer_by_service.values()))
        cut.fleet.entries_by_id.pop(other.vm_id)
        for number in range(3):
            peers._peer_by_service[other.service] = attrs.evolve(
                other, used_until=1e9, ticket='unknown'
            )
            answer = await ask(cut, name=f'late-{number}')
            assert answer.startswith(b'HTTP/1.1 200 ')
    assert len(upstream.heads) == 4


async def test_only_tickets_replace_an_admission() -> None:
    # Guards against a request that costs a token on both VMs, and against
    # callers that forge the header of a relay.
    upstream = Upstream()
    async with vms(upstream, rate=0.001) as cut:
        await ask(cut)
        peers = cut.path.sender.relay.peers
        peer = next(iter(peers._peer_by_service.values()))
        refused = b'HTTP/1.1 429 '
        # Refused requests wait for a token first, so they are sent together.
        answers = await asyncio.gather(
            *(
                ask_at(peer.address, name=f'direct-{number}')
                for number in range(10)
            )
        )
        assert sum(answer.startswith(refused) for answer in answers) >= 8
        forged = [
            f'Bronzewall-Relay: {ticket} 1 9'
            for ticket in ('0' * 32, '', peer.ticket[:-1])
        ]
        answers = await asyncio.gather(
            *(ask_at(peer.address, extra=header) for header in forged)
        )
        assert all(answer.startswith(refused) for answer in answers)
        for number in range(3):
            answer = await ask(cut, name=f'relayed-{number}')
            assert answer.startswith(b'HTTP/1.1 200 ')


async def test_caller_that_leaves_is_noticed_by_the_instance() -> None:
    upstream = Upstream(work=3)
    async with vms(upstream) as cut:
        _, writer = await open_request(cut.settings.listen)
        while not upstream.heads:
            await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(0.5):
            await upstream.left.wait()


async def test_refusal_names_the_reason_of_the_other_vm() -> None:
    upstream = Upstream()
    async with vms(upstream) as cut:
        await ask(cut)
        upstream.status = b'503 Busy\r\nT-Not-Run: 1'
        answer = await ask(cut, name='busy')
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After' in head
    assert json.loads(body)['ran'] == 'no'
