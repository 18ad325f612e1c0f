"""Callers with persistent connections that record each answer."""

import asyncio
import random
import time

import attrs

_DEADLINE_MS = 3000
_ANSWER_TIMEOUT_S = 6
_HEAD_END = b'\r\n\r\n'


@attrs.define(kw_only=True)
class Attempt:
    """One request of a caller and the answer it received.

    :param status: 0 if the connection ended without an answer.
    :param instance_id: instance that answered, empty for none.
    :param is_whole: the whole answer was read.
    :param sent_at: monotonic time in seconds, as is ``ended_at``.
    """

    attempt_id: str
    vm_id: str
    key: str
    path: str
    idempotent: bool
    sent_at: float
    status: int = 0
    instance_id: str = ''
    body: bytes = b''
    is_whole: bool = False
    ended_at: float = 0


@attrs.define(kw_only=True, eq=False)
class Caller:
    """One caller that reuses its connection until the VM closes it.

    :param pause: mean seconds between requests.
    """

    vm_id: str
    address: str
    key: str
    number: int
    random: random.Random
    attempts: list[Attempt]
    pause: float = 0.05
    _stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        count = 0
        while True:
            await asyncio.sleep(self.pause * self.random.uniform(0.5, 1.5))
            count += 1
            try:
                stream = self._stream or await self._connect()
            except OSError:
                # The VM is down; nothing was sent.
                continue
            await self._send_request(
                stream, f'{self.vm_id}.{self.number}.{count}'
            )

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(':')
        self._stream = await asyncio.open_connection(host, int(port))
        return self._stream

    async def _send_request(
        self,
        stream: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        attempt_id: str,
    ) -> None:
        idempotent = self.random.random() < 0.5
        attempt = Attempt(
            attempt_id=attempt_id,
            vm_id=self.vm_id,
            key=self.key,
            path='/read/x' if idempotent else '/write/x',
            idempotent=idempotent,
            sent_at=time.monotonic(),
        )
        self.attempts.append(attempt)
        reader, writer = stream
        keep = False
        try:
            writer.write(_request(attempt))
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                keep = await _read_answer(reader, attempt)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            # Also on a timeout: what was read before the failure is kept.
            keep = False
        attempt.ended_at = time.monotonic()
        if not keep:
            writer.close()
            self._stream = None


def _request(attempt: Attempt) -> bytes:
    method = 'GET' if attempt.idempotent else 'POST'
    return (
        f'{method} {attempt.path} HTTP/1.1\r\nHost: soak.example\r\n'
        f'X-Attempt-Id: {attempt.attempt_id}\r\n'
        f'X-Request-Deadline-Ms: {_DEADLINE_MS}\r\n'
        f'Authorization: Bearer {attempt.key}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


async def _read_answer(reader: asyncio.StreamReader, attempt: Attempt) -> bool:
    """Read one answer; return whether the connection can be reused."""
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
