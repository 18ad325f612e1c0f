"""Faults of one VM's ports: pauses, lost, dropped and late store writes."""

import asyncio
import random
from collections.abc import Mapping, Sequence

import attrs

from bronzewall.errors import (
    StoreAnswerLostError,
    StoreError,
    StoreUnavailableError,
    UpstreamError,
)
from bronzewall.ports import (
    Clock,
    TableService,
    UpstreamExchange,
    UpstreamHttp,
    UpstreamRequest,
)
from bronzewall.types import Row, RowCheck, RowWrite


@attrs.define(kw_only=True)
class Pause:
    """Holds a frozen VM at its next port operation."""

    _thawed: asyncio.Event | None = None

    def freeze(self) -> None:
        """Hold the VM."""
        self._thawed = asyncio.Event()

    def thaw(self) -> None:
        """Let the VM go on."""
        if self._thawed is not None:
            self._thawed.set()
            self._thawed = None

    async def passed(self) -> None:
        """Wait while the VM is frozen."""
        while self._thawed is not None:
            await self._thawed.wait()


@attrs.define(kw_only=True)
class PausedClock:
    """Clock port of a VM that may be frozen."""

    clock: Clock
    pause: Pause

    def now(self) -> float:
        """Return monotonic time that also counts the pause."""
        return self.clock.now()

    def wall(self) -> float:
        """Return Unix time."""
        return self.clock.wall()

    async def sleep(self, seconds: float) -> None:
        """Wait, longer while frozen."""
        await self.clock.sleep(seconds)
        await self.pause.passed()


@attrs.define(kw_only=True)
class PausedUpstreams:
    """Upstream port of a VM that may be frozen."""

    upstreams: UpstreamHttp
    pause: Pause

    async def exchange(self, request: UpstreamRequest) -> UpstreamExchange:
        """Send a request when not frozen."""
        await self.pause.passed()
        try:
            exchange = await self.upstreams.exchange(request)
        except UpstreamError:
            await self.pause.passed()
            raise
        await self.pause.passed()
        return exchange


@attrs.define(kw_only=True)
class TableFaults:
    """Shares of writes, 0 to 1, whose answer is lost.

    :param lost: the write took effect.
    :param dropped: the write never takes effect.
    :param late: the write takes effect ``lateness`` seconds later.
    :param is_down: no operation succeeds.
    :param delay: seconds before and after each operation takes effect.
    """

    lost: float = 0
    dropped: float = 0
    late: float = 0
    lateness: float = 3.0
    is_down: bool = False
    delay: float = 0.004


@attrs.define(kw_only=True)
class FaultyTable:
    """Table service port of one VM.

    :param faults: shared by the VMs that have the same faults.
    """

    table: TableService
    pause: Pause
    random: random.Random
    faults: TableFaults = attrs.field(factory=TableFaults)
    _late: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def read(self, *, table: str, key: str) -> Row | None:
        """Return one row."""
        await self._begin()
        row = await self.table.read(table=table, key=key)
        await self._end()
        return row

    async def scan(self, *, table: str, prefix: str) -> Mapping[str, Row]:
        """Return rows by key."""
        await self._begin()
        rows = await self.table.scan(table=table, prefix=prefix)
        await self._end()
        return rows

    async def time(self) -> float:
        """Return the service's clock."""
        await self._begin()
        now = await self.table.time()
        await self._end()
        return now

    async def transact(
        self, *, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        """Apply the writes now, later or never."""
        await self._begin()
        draw = self.random.random()
        if draw < self.faults.dropped:
            raise StoreAnswerLostError('dropped')
        draw -= self.faults.dropped
        if draw < self.faults.late:
            task = asyncio.create_task(self._write_late(checks, writes))
            self._late.add(task)
            raise StoreAnswerLostError('late')
        await self.table.transact(checks=checks, writes=writes)
        await self._end()
        if draw - self.faults.late < self.faults.lost:
            raise StoreAnswerLostError('answer lost')

    async def _write_late(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        await asyncio.sleep(self.faults.lateness)
        try:
            await self.table.transact(checks=checks, writes=writes)
        except StoreError:
            # Another write came first; nobody waits for the answer.
            return

    async def _begin(self) -> None:
        await self.pause.passed()
        await asyncio.sleep(self.faults.delay)
        if self.faults.is_down:
            raise StoreUnavailableError('the store is down')

    async def _end(self) -> None:
        await asyncio.sleep(self.faults.delay)
        await self.pause.passed()
