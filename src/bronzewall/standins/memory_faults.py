"""Faults of one VM's ports: pauses, lost, dropped and late store writes."""

import asyncio
import random
from collections import Counter
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
    :param script: fault of the n-th operation of a kind (``read``,
        ``write``, ``time``), named like the fields of ``TableFaults``.
    """

    table: TableService
    pause: Pause = attrs.field(factory=Pause)
    random: random.Random
    faults: TableFaults = attrs.field(factory=TableFaults)
    script: dict[tuple[str, int], str] = attrs.field(factory=dict)
    _counts: Counter[str] = attrs.field(factory=Counter)
    _late: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def read(self, *, table: str, key: str) -> Row | None:
        """Return one row."""
        await self._begin('read')
        row = await self.table.read(table=table, key=key)
        await self._end()
        return row

    async def scan(self, *, table: str, prefix: str) -> Mapping[str, Row]:
        """Return rows by key."""
        await self._begin('scan')
        rows = await self.table.scan(table=table, prefix=prefix)
        await self._end()
        return rows

    async def time(self) -> float:
        """Return the service's clock."""
        await self._begin('time')
        now = await self.table.time()
        await self._end()
        return now

    async def transact(
        self, *, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        """Apply the writes now, later or never."""
        fault = await self._begin('write')
        if fault == 'dropped':
            raise StoreAnswerLostError(fault)
        if fault == 'late':
            task = asyncio.create_task(self._write_late(checks, writes))
            self._late.add(task)
            raise StoreAnswerLostError(fault)
        await self.table.transact(checks=checks, writes=writes)
        await self._end()
        if fault == 'lost':
            raise StoreAnswerLostError(fault)

    async def _write_late(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        await asyncio.sleep(self.faults.lateness)
        try:
            await self.table.transact(checks=checks, writes=writes)
        except StoreError:
            # Another write came first; nobody waits for the answer.
            return

    async def _begin(self, kind: str) -> str:
        """Wait, and return the fault of a write."""
        await self.pause.passed()
        await asyncio.sleep(self.faults.delay)
        number = self._counts[kind]
        self._counts[kind] += 1
        fault = self.script.get((kind, number)) or self._draw()
        is_down = self.faults.is_down or fault == 'is_down'
        # A read whose answer is lost is the same as one that fails.
        is_scripted_read = kind != 'write' and (kind, number) in self.script
        if is_down or is_scripted_read:
            raise StoreUnavailableError('the store is down')
        return fault

    def _draw(self) -> str:
        faults = self.faults
        shares = (faults.lost, faults.dropped, faults.late)
        names = ('lost', 'dropped', 'late', '')
        weights = (*shares, 1 - sum(shares))
        return self.random.choices(names, weights)[0]

    async def _end(self) -> None:
        await asyncio.sleep(self.faults.delay)
        await self.pause.passed()
