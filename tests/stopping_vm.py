"""A VM that stops, with callers and an instance, over loopback."""

import asyncio
import contextlib
import json
import os
import signal
import socket

import attrs
from edge_builders import (
    HOST,
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

_WORK_S = 0.15
_WORK_S_BY_NAME = {'long': 3.0, 'last': 1.5}
# Bodies of answers. A large one exceeds what the kernel buffers for a
# connection with small buffers, but not what the VM buffers, bytes.
_BODY_BYTES = 5000
BODY_BYTES_BY_NAME = {'large': 60_000}
SMALL_BUFFER_BYTES = 8192
_READER_LIMIT_BYTES = 65_536
GRACE_S = 6.0
STATUS_OK = 200
BODY = b'x' * 2000
# The balancer may send new connections for this long, seconds.
NOTICE_S = 2.2
# A request that was read is answered, or its connection closed, within this
# time if nothing is sent to an instance, seconds.
LOSS_SLACK_S = 0.2


@attrs.define(kw_only=True)
class Outcome:
    """What a caller saw of one request.

    :param is_whole: the answer was complete.
    :param reason: reason of a refusal.
    :param at: event loop time at which it came.
    """

    name: str
    status: int = 0
    is_whole: bool = False
    reason: str = ''
    at: float = 0


def free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in found:
            one.bind(('127.0.0.1', 0))
        return [one.getsockname()[1] for one in found]


def request_text(
    name: str, body: bytes = b'', *, deadline_ms: int = 4000
) -> bytes:
    method = 'POST' if body else 'GET'
    lines = [
        f'{method} {PATH} HTTP/1.1',
        f'Host: {HOST}',
        f'T-Attempt: {name}',
        f'T-Deadline: {deadline_ms}',
        f'Content-Length: {len(body)}',
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + body


@attrs.define(kw_only=True, eq=False)
class Caller:
    """One connection of a caller."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    outcomes: list[Outcome]

    async def read_answer(self, name: str) -> bool:
        """Record an answer; return whether the connection stays open."""
        outcome = Outcome(name=name)
        self.outcomes.append(outcome)
        try:
            head = await self.reader.readuntil(b'\r\n\r\n')
            lines = head.lower().split(b'\r\n')
            outcome.status = int(lines[0].split()[1])
            sizes = [one for one in lines if one.startswith(b'content-length')]
            body = await self.reader.readexactly(int(sizes[0].split()[1]))
        except (asyncio.IncompleteReadError, OSError):
            return False
        outcome.is_whole = True
        outcome.at = asyncio.get_running_loop().time()
        if outcome.status != STATUS_OK:
            outcome.reason = json.loads(body)['reason']
        return b'connection: close' not in lines

    async def ask(self, name: str, body: bytes = b'') -> bool:
        self.writer.write(request_text(name, body))
        return await self.read_answer(name)


@attrs.define(kw_only=True, eq=False)
class Stop:
    """A VM with one instance, and callers that record their outcomes."""

    port: int
    daemon: EdgeDaemon
    upstream: RawUpstream
    running: 'asyncio.Task[None]'
    ran: list[str]
    outcomes: list[Outcome] = attrs.field(factory=list)
    writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def connect(self, buffer_bytes: int = 0) -> Caller:
        """Connect a caller, with a receive buffer of a given size if any."""
        opened = socket.socket()
        if buffer_bytes:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        opened.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            opened, ('127.0.0.1', self.port)
        )
        reader, writer = await asyncio.open_connection(
            sock=opened, limit=buffer_bytes or _READER_LIMIT_BYTES
        )
        self.writers.append(writer)
        return Caller(reader=reader, writer=writer, outcomes=self.outcomes)

    def signal(self, number: int = signal.SIGTERM) -> None:
        os.kill(os.getpid(), number)


async def answer_all(ran: list[str], connection) -> None:
    while True:
        head = await connection.read_request()
        headers = {
            line.partition(b':')[0].lower(): line.partition(b':')[2].strip()
            for line in head.split(b'\r\n')
        }
        size = int(headers.get(b'content-length', b'0'))
        if size:
            await connection.reader.readexactly(size)
        name = headers[b't-attempt'].decode()
        ran.append(name)
        await asyncio.sleep(_WORK_S_BY_NAME.get(name, _WORK_S))
        size = BODY_BYTES_BY_NAME.get(name, _BODY_BYTES)
        await connection.send(
            b'HTTP/1.1 200 OK\r\nT-Attempt: %b\r\nT-Seal: s\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (name.encode(), size, b'y' * size)
        )


@contextlib.asynccontextmanager
async def stopping_vm():
    ran: list[str] = []

    async def script(connection, _number):
        await answer_all(ran, connection)

    async with RawUpstream(script=script) as upstream:
        shared = SharedStore()
        route = an_edge_route(open_to_all=True, timeout=4.0)
        shared.publish(
            an_edge_configuration(
                routes=(route,), accounts=(an_edge_account(),)
            )
        )
        instance = an_edge_instance(address=upstream.address, slots=500)
        shared.instances_by_id = {instance.instance_id: instance}
        ports = free_ports(4)
        addresses = [f'127.0.0.1:{port}' for port in ports]
        place = a_place()
        settings = EdgeSettings(
            vm_id='vm-1',
            region=place.region,
            zone=place.zone,
            listen=addresses[0],
            ready_listen=addresses[1],
            peer_listen=addresses[2],
            admin_listen=addresses[3],
            store='127.0.0.1:1',
            stop_limit=GRACE_S,
        )
        daemon = build_daemon(
            settings,
            Platform(
                names=NAMES,
                ready_path='/ready',
                open_store=lambda clock, _metrics, _session: MemoryFleetStore(
                    clock=clock, shared=shared
                ),
                reload=lambda: settings,
            ),
            LogSink(),
        )
        running = asyncio.create_task(daemon.run())
        while not daemon.is_ready():
            await asyncio.sleep(0.02)
        stop = Stop(
            port=ports[0],
            daemon=daemon,
            upstream=upstream,
            running=running,
            ran=ran,
        )
        yield stop
        async with asyncio.timeout(GRACE_S):
            await running
        for writer in stop.writers:
            writer.close()
