"""Requests that reach a VM in the last moments of its planned stop."""

import asyncio
import socket
from collections.abc import Callable

import attrs
import pytest
from stopping_vm import (
    BODY,
    Caller,
    Stop,
    request_text,
    stopping_vm,
)

from bronzewall.adapters.entry_protocol import ProblemRequestHandler
from bronzewall.adapters.system_clock import SystemClock
from bronzewall.edge import daemon

# Time that these stops give the balancer to notice them, and time from their
# start to the first look at the requests in progress after it, seconds.
_SHORT_NOTICE_S = 0.2
_LOOK_S = 0.21
# Event loop iterations between a request and the look. Accepting a connection
# and starting to handle its request take fewer than the most.
_STEPS = range(9)
# Deadline of a request that ends before the process must, and of one that may
# not, milliseconds.
_DEADLINES_MS = (400, 4000)
# Time within which the end of the process ends a connection, seconds.
_SETTLE_S = 1.0


@attrs.define(kw_only=True, eq=False)
class Connections:
    """Connections that the VM accepted, and all that it read on them."""

    transports: list[asyncio.BaseTransport] = attrs.field(factory=list)
    received: bytearray = attrs.field(factory=bytearray)

    def end_process(self) -> None:
        """Cut what is open, as the end of the process does."""
        for transport in self.transports:
            transport.abort()


@pytest.fixture
def connections(monkeypatch: pytest.MonkeyPatch) -> Connections:
    found = Connections()
    made = ProblemRequestHandler.connection_made
    received = ProblemRequestHandler.data_received

    def record_connection(
        self: ProblemRequestHandler, transport: asyncio.BaseTransport
    ) -> None:
        found.transports.append(transport)
        made(self, transport)

    def record_data(self: ProblemRequestHandler, data: bytes) -> None:
        found.received.extend(data)
        received(self, data)

    monkeypatch.setattr(
        ProblemRequestHandler, 'connection_made', record_connection
    )
    monkeypatch.setattr(ProblemRequestHandler, 'data_received', record_data)
    return found


@attrs.define(kw_only=True, eq=False)
class SteppedClock(SystemClock):
    """Clock of a stop that sends a request some iterations before a look.

    :param seconds: time from the start of the stop to that look.
    """

    stop: Stop
    send: Callable[[], None]
    steps: int
    seconds: float
    is_sent: bool = False
    began_at: float = attrs.field(
        factory=lambda: asyncio.get_running_loop().time()
    )

    async def sleep(self, seconds: float) -> None:
        """Sleep; in the stop, send once and return some iterations later."""
        loop = asyncio.get_running_loop()
        left = self.began_at + self.seconds - loop.time()
        is_stop = asyncio.current_task() is self.stop.running
        if self.is_sent or not is_stop or left > seconds * 1.5:
            await asyncio.sleep(seconds)
            return
        self.is_sent = True
        await asyncio.sleep(max(0, left))
        self.send()
        for _ in range(self.steps):
            await asyncio.sleep(0)


def assert_answered_if_read(stop: Stop, connections: Connections) -> None:
    received = connections.received.decode()
    assert [
        one.name
        for one in stop.outcomes
        if not one.is_whole and f'T-Attempt: {one.name}\r\n' in received
    ] == []


# Guards against a request that is read after the last look for requests in
# progress and ends with the process, unanswered.
@pytest.mark.parametrize('is_connected', [True, False])
@pytest.mark.parametrize('deadline_ms', _DEADLINES_MS)
@pytest.mark.parametrize('steps', _STEPS)
async def test_request_after_the_last_look(
    steps: int,
    deadline_ms: int,
    is_connected: bool,
    connections: Connections,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(daemon, '_BALANCER_NOTICE_S', _SHORT_NOTICE_S)
    sockets: list[socket.socket] = []
    async with stopping_vm() as stop:
        text = request_text('crossing', deadline_ms=deadline_ms)

        def connect() -> None:
            opened = socket.socket()
            sockets.append(opened)
            if opened.connect_ex(('127.0.0.1', stop.port)):
                return
            opened.setblocking(False)

        def send() -> None:
            if not is_connected:
                connect()
            try:
                sockets[0].send(text)
            except OSError:
                return

        stop.daemon.clock = SteppedClock(
            stop=stop, send=send, steps=steps, seconds=_LOOK_S
        )
        stop.signal()
        if is_connected:
            await asyncio.sleep(_SHORT_NOTICE_S / 2)
            connect()
        await stop.running
        connections.end_process()
        reader, writer = await asyncio.open_connection(sock=sockets[0])
        stop.writers.append(writer)
        caller = Caller(reader=reader, writer=writer, outcomes=stop.outcomes)
        # A connection that was accepted and forgotten stays open.
        async with asyncio.timeout(_SETTLE_S):
            await caller.read_answer('crossing')
    assert_answered_if_read(stop, connections)


# Guards against a request whose body is not complete at the end of the stop and
# whose connection is closed without a refusal.
async def test_request_without_its_body_is_refused_at_the_end() -> None:
    async with stopping_vm() as stop:
        caller = await stop.connect()
        text = request_text('unfinished', BODY)
        caller.writer.write(text[:-900])
        await asyncio.sleep(0.1)
        stop.signal()
        await caller.read_answer('unfinished')
    assert [(one.status, one.reason) for one in stop.outcomes] == [
        (503, 'stopping')
    ]
