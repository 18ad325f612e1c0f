"""Callers that keep connections and record what they were told."""

import asyncio
import random
import time

import attrs

_TIMEOUT_MS = 3000
_WAIT_S = 6
_HEAD_END = b'\r\n\r\n'


@attrs.define(kw_only=True)
class Told:
    """What a caller was told of one attempt.

    :param status: 0 if the connection ended without an answer.
    :param is_whole: the whole answer came.
    """

    attempt_id: str
    vm_id: str
    key: str
    path: str
    idempotent: bool
    sent_at: float
    status: int = 0
    body: bytes = b''
    is_whole: bool = False
    ended_at: float = 0


@attrs.define(kw_only=True, eq=False)
class Caller:
    """One caller that keeps its connection until the VM closes it."""

    vm_id: str
    address: str
    key: str
    number: int
    random: random.Random
    told: list[Told]
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
            await self._ask(stream, f'{self.vm_id}.{self.number}.{count}')

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(':')
        self._stream = await asyncio.open_connection(host, int(port))
        return self._stream

    async def _ask(
        self,
        stream: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        attempt_id: str,
    ) -> None:
        idempotent = self.random.random() < 0.5
        told = Told(
            attempt_id=attempt_id,
            vm_id=self.vm_id,
            key=self.key,
            path='/read/x' if idempotent else '/write/x',
            idempotent=idempotent,
            sent_at=time.monotonic(),
        )
        self.told.append(told)
        reader, writer = stream
        keep = False
        try:
            writer.write(_request(told))
            async with asyncio.timeout(_WAIT_S):
                keep = await _read_answer(reader, told)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            # Timeouts included: the status stays as far as it was read.
            keep = False
        told.ended_at = time.monotonic()
        if not keep:
            writer.close()
            self._stream = None


def _request(told: Told) -> bytes:
    method = 'GET' if told.idempotent else 'POST'
    return (
        f'{method} {told.path} HTTP/1.1\r\nHost: soak.example\r\n'
        f'X-Attempt-Id: {told.attempt_id}\r\n'
        f'X-Request-Deadline-Ms: {_TIMEOUT_MS}\r\n'
        f'Authorization: Bearer {told.key}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


async def _read_answer(reader: asyncio.StreamReader, told: Told) -> bool:
    """Read one answer; return whether the connection may be used again."""
    head = await reader.readuntil(_HEAD_END)
    lines = head.decode().split('\r\n')
    told.status = int(lines[0].split()[1])
    headers = {
        name.strip().lower(): text.strip()
        for name, _, text in (line.partition(':') for line in lines[1:])
    }
    told.body = await reader.readexactly(int(headers['content-length']))
    told.is_whole = True
    return headers.get('connection', '').lower() != 'close'
