"""Callers that record each answer they receive."""

import asyncio
import random
import time

import attrs

from soak.instances import WORK_TIME_HEADER

_HEAD_END = b'\r\n\r\n'
_BODY = b'x' * 64
_MS_PER_S = 1000
# Timeouts of the routes, seconds.
SHORT_TIMEOUT_S = 2.5
LONG_TIMEOUT_S = 8.0
# Seconds after a request's deadline in which its answer may still come.
_ANSWER_SLACK_S = 3.0

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@attrs.frozen(kw_only=True)
class Habits:
    """How a caller sends its requests.

    :param pauses: least and most seconds between requests.
    :param deadlines: least and most seconds for which the caller waits.
    :param work_times: least and most seconds that instances work on a request,
        zero for their usual time.
    :param batch: requests sent at once; if there are several, all are
        idempotent.
    :param part_pause: most seconds between the two parts of a request, zero if
        it is sent at once.
    :param has_long_timeout: use the routes with the long timeout.
    :param connects_early: connect before the pause, so that also a new
        connection is idle.
    :param keeps_connection: send more than one request on a connection.
    """

    pauses: tuple[float, float]
    deadlines: tuple[float, float] = (3, 3)
    work_times: tuple[float, float] = (0, 0)
    batch: int = 1
    part_pause: float = 0
    has_long_timeout: bool = False
    connects_early: bool = False
    keeps_connection: bool = True


FREQUENT = Habits(pauses=(0.025, 0.075))
IDLE = Habits(
    pauses=(1, 6),
    deadlines=(3, 8),
    work_times=(0.03, 1),
    has_long_timeout=True,
    connects_early=True,
)
LONG = Habits(
    pauses=(0.1, 0.5),
    deadlines=(3, 8),
    work_times=(1, 2),
    has_long_timeout=True,
)
PIPELINING = Habits(
    pauses=(0.2, 1),
    deadlines=(3, 8),
    work_times=(0.03, 0.5),
    batch=3,
    has_long_timeout=True,
)
IN_PARTS = Habits(
    pauses=(0.2, 1.5),
    deadlines=(3, 8),
    part_pause=0.5,
    has_long_timeout=True,
)
NEW_CONNECTIONS = Habits(
    pauses=(0.2, 0.8),
    deadlines=(0.5, 3),
    has_long_timeout=True,
    keeps_connection=False,
)
# Habits of the callers of one VM. Earlier builds lose requests of others than
# the frequent ones at planned stops.
FREQUENT_CALLERS = (FREQUENT,) * 3
CALLER_HABITS = (
    *FREQUENT_CALLERS,
    *(IDLE,) * 6,
    *(LONG,) * 2,
    PIPELINING,
    IN_PARTS,
    NEW_CONNECTIONS,
)


@attrs.define(kw_only=True)
class Attempt:
    """One request of a caller and the answer it received.

    :param deadline: seconds for which the caller waits.
    :param route_timeout: seconds after which the VM may give up.
    :param written_at: monotonic time after its last byte was sent, zero if it
        was not sent as a whole.
    :param is_behind: another request on its connection was not answered yet.
    :param status: 0 if the connection ended without an answer.
    :param instance_id: instance that answered, empty for none.
    :param is_whole: the whole answer was read.
    :param is_unread: the VM had not read all bytes when the connection ended.
    :param sent_at: monotonic time in seconds, as is ``ended_at``.
    """

    attempt_id: str
    vm_id: str
    key: str
    path: str
    idempotent: bool
    sent_at: float
    deadline: float = 3
    route_timeout: float = SHORT_TIMEOUT_S
    written_at: float = 0
    is_behind: bool = False
    status: int = 0
    instance_id: str = ''
    body: bytes = b''
    is_whole: bool = False
    is_unread: bool = False
    ended_at: float = 0


@attrs.define(kw_only=True, eq=False)
class Caller:
    """One caller that reuses its connection until the VM closes it.

    :param slowdown: factor of the pauses between requests.
    """

    vm_id: str
    address: str
    key: str
    number: int
    random: random.Random
    attempts: list[Attempt]
    habits: Habits = FREQUENT
    slowdown: float = 1
    _count: int = 0
    _stream: Stream | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._pause()
                stream = await self._open_stream()
                if stream is not None:
                    await self._send_batch(stream)
        finally:
            self._close()

    async def _pause(self) -> None:
        if self.habits.connects_early:
            await self._open_stream()
        pause = self.random.uniform(*self.habits.pauses)
        await asyncio.sleep(self.slowdown * pause)

    async def _open_stream(self) -> Stream | None:
        """Return the open connection or a new one, ``None`` without VM."""
        if self._stream is not None:
            reader, _ = self._stream
            if not reader.at_eof() and reader.exception() is None:
                return self._stream
            self._close()
        host, _, port = self.address.rpartition(':')
        try:
            self._stream = await asyncio.open_connection(host, int(port))
        except OSError:
            # The VM is down; nothing was sent.
            return None
        return self._stream

    def _close(self) -> None:
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None

    async def _send_batch(self, stream: Stream) -> None:
        """Send the requests of a batch, then read their answers."""
        reader, _ = stream
        batch = []
        try:
            for position in range(self.habits.batch):
                batch.append(self._next_attempt(is_behind=position > 0))
                await self._write(batch[-1], stream)
            keep = True
            for attempt in batch:
                keep = keep and await _read_answer(reader, attempt)
                attempt.ended_at = time.monotonic()
        except (OSError, ValueError, asyncio.IncompleteReadError) as exc:
            # Also on a timeout: what was read before the failure is kept.
            keep = False
            # The system resets a connection that is closed with unread bytes.
            batch[-1].is_unread = isinstance(exc, ConnectionError)
        for attempt in batch:
            attempt.ended_at = attempt.ended_at or time.monotonic()
        if not keep or not self.habits.keeps_connection:
            self._close()

    def _next_attempt(self, *, is_behind: bool) -> Attempt:
        habits = self.habits
        self._count += 1
        idempotent = self.random.random() < 0.5 or habits.batch > 1
        kind = 'read' if idempotent else 'write'
        prefix, timeout = '', SHORT_TIMEOUT_S
        if habits.has_long_timeout:
            prefix, timeout = '/long', LONG_TIMEOUT_S
        attempt = Attempt(
            attempt_id=f'{self.vm_id}.{self.number}.{self._count}',
            vm_id=self.vm_id,
            key=self.key,
            path=f'{prefix}/{kind}/x',
            idempotent=idempotent,
            sent_at=time.monotonic(),
            deadline=self.random.uniform(*habits.deadlines),
            route_timeout=timeout,
            is_behind=is_behind,
        )
        self.attempts.append(attempt)
        return attempt

    async def _write(self, attempt: Attempt, stream: Stream) -> None:
        reader, writer = stream
        request = _request(
            attempt, work_time=self.random.uniform(*self.habits.work_times)
        )
        if self.habits.part_pause:
            size = self.random.randrange(1, len(request))
            writer.write(request[:size])
            await asyncio.sleep(self.random.uniform(0, self.habits.part_pause))
            if reader.at_eof():
                raise ConnectionResetError('closed between two parts')
            request = request[size:]
        writer.write(request)
        await writer.drain()
        attempt.written_at = time.monotonic()


def _request(attempt: Attempt, *, work_time: float) -> bytes:
    method, body = ('GET', b'') if attempt.idempotent else ('POST', _BODY)
    head = (
        f'{method} {attempt.path} HTTP/1.1\r\nHost: soak.example\r\n'
        f'X-Attempt-Id: {attempt.attempt_id}\r\n'
        f'X-Request-Deadline-Ms: {attempt.deadline * _MS_PER_S:.0f}\r\n'
        f'{WORK_TIME_HEADER}: {work_time}\r\n'
        f'Authorization: Bearer {attempt.key}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def _read_answer(reader: asyncio.StreamReader, attempt: Attempt) -> bool:
    """Read one answer; return whether the connection can be reused."""
    async with asyncio.timeout(attempt.deadline + _ANSWER_SLACK_S):
        head = await reader.readuntil(_HEAD_END)
        lines = head.decode().split('\r\n')
        attempt.status = int(lines[0].split()[1])
        headers = {
            name.strip().lower(): text.strip()
            for name, _, text in (line.partition(':') for line in lines[1:])
        }
        attempt.instance_id = headers.get('x-response-seal', '')
        attempt.body = await reader.readexactly(int(headers['content-length']))
    attempt.is_whole = True
    return headers.get('connection', '').lower() != 'close'
