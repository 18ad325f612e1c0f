"""Faults of one VM's ports: pauses and lost, dropped or late writes."""

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
        """Resume the VM."""
        if self._thawed is not None:
            self._thawed.set()
            self._thawed = None

    async def wait_until_thawed(self) -> None:
        """Wait while the VM is frozen."""
        while self._thawed is not None:
            await self._thawed.wait()


@attrs.define(kw_only=True)
class PausableClock:
    """Clock port of a VM that can be frozen."""

    clock: Clock
    pause: Pause

    def now(self) -> float:
        """Return monotonic time, which advances during a pause."""
        return self.clock.now()

    def wall(self) -> float:
        """Return Unix time."""
        return self.clock.wall()

    async def sleep(self, seconds: float) -> None:
        """Wait for the time, and until the VM is not frozen."""
        await self.clock.sleep(seconds)
        await self.pause.wait_until_thawed()


@attrs.define(kw_only=True)
class PausableUpstreams:
    """Upstream port of a VM that can be frozen."""

    upstreams: UpstreamHttp
    pause: Pause

    async def exchange(self, request: UpstreamRequest) -> UpstreamExchange:
        """Send a request once the VM is not frozen."""
        await self.pause.wait_until_thawed()
        try:
            exchange = await self.upstreams.exchange(request)
        except UpstreamError:
            await self.pause.wait_until_thawed()
            raise
        await self.pause.wait_until_thawed()
        return exchange


@attrs.define(kw_only=True)
class TableFaults:
    """Fractions of writes, 0 to 1, whose answer is lost.

    :param lost: the write took effect.
    :param dropped: the write never takes effect.
    :param late: the write takes effect ``late_delay`` seconds later.
    :param is_down: no operation succeeds.
    :param delay: seconds before and after each operation takes effect.
    """

    lost: float = 0
    dropped: float = 0
    late: float = 0
    late_delay: float = 3.0
    is_down: bool = False
    delay: float = 0.004


@attrs.define(kw_only=True)
class FaultyTable:
    """Table service port of one VM.

    :param faults: shared by the VMs that have the same faults.
    :param faults_by_call: fault of the n-th operation of a kind (``read``,
        ``scan``, ``write``, ``time``; n from 0), named like the fields of
        ``TableFaults``. Other operations draw a fault at random.
    """

    table: TableService
    pause: Pause = attrs.field(factory=Pause)
    random: random.Random
    faults: TableFaults = attrs.field(factory=TableFaults)
    faults_by_call: dict[tuple[str, int], str] = attrs.field(factory=dict)
    _counts: Counter[str] = attrs.field(factory=Counter)
    _late_writes: set[asyncio.Task[None]] = attrs.field(factory=set)

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
        """Return the time of the service's clock."""
        await self._begin('time')
        now = await self.table.time()
        await self._end()
        return now

    async def transact(
        self, *, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        """Apply the writes now, late or never, according to the fault."""
        fault = await self._begin('write')
        if fault == 'dropped':
            raise StoreAnswerLostError(fault)
        if fault == 'late':
            task = asyncio.create_task(self._write_late(checks, writes))
            self._late_writes.add(task)
            raise StoreAnswerLostError(fault)
        await self.table.transact(checks=checks, writes=writes)
        await self._end()
        if fault == 'lost':
            raise StoreAnswerLostError(fault)

    async def _write_late(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        await asyncio.sleep(self.faults.late_delay)
        try:
            await self.table.transact(checks=checks, writes=writes)
        except StoreError:
            # A check failed because another write came first, or the store
            # is down. No caller waits for the answer.
            return

    async def _begin(self, kind: str) -> str:
        """Delay an operation and return the fault of a write.

        :raises StoreUnavailableError: if the operation is to fail.
        """
        await self.pause.wait_until_thawed()
        await asyncio.sleep(self.faults.delay)
        number = self._counts[kind]
        self._counts[kind] += 1
        fault = self.faults_by_call.get((kind, number)) or self._draw_fault()
        is_down = self.faults.is_down or fault == 'is_down'
        # To its caller, a read whose answer is lost is a failed read.
        is_scripted_read = (
            kind != 'write' and (kind, number) in self.faults_by_call
        )
        if is_down or is_scripted_read:
            raise StoreUnavailableError('the store is down')
        return fault

    def _draw_fault(self) -> str:
        faults = self.faults
        fractions = (faults.lost, faults.dropped, faults.late)
        names = ('lost', 'dropped', 'late', '')
        weights = (*fractions, 1 - sum(fractions))
        return self.random.choices(names, weights)[0]

    async def _end(self) -> None:
        await asyncio.sleep(self.faults.delay)
        await self.pause.wait_until_thawed()
