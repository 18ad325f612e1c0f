"""In-memory table service, object store and VM list with faults."""

from collections.abc import Mapping, Sequence

import attrs

from bronzewall.errors import (
    ObjectMissingError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from bronzewall.ports import Clock
from bronzewall.types import Row, RowCheck, RowWrite, VmRecord


@attrs.define(kw_only=True)
class StoreFaults:
    """Faults of the platform, set by tests.

    :param is_down: every operation fails and changes nothing.
    :param delay: seconds before each operation takes effect.
    :param answer_delay: seconds between the effect and the answer.
    :param lose_answers: number of next writes that take effect but whose
        answer is lost.
    """

    is_down: bool = False
    delay: float = 0
    answer_delay: float = 0
    lose_answers: int = 0


@attrs.define(kw_only=True)
class StoreData:
    """Contents of the store, shared by all clients.

    :param reads: number of read operations.
    :param writes: number of write operations.
    :param last_version: version of the row written last.
    """

    rows_by_table: dict[str, dict[str, Row]] = attrs.field(factory=dict)
    objects_by_name: dict[str, bytes] = attrs.field(factory=dict)
    vm_records: tuple[VmRecord, ...] = ()
    reads: int = 0
    writes: int = 0
    last_version: int = 0


@attrs.define(kw_only=True)
class MemoryPlatform:
    """Table service, object store and VM list of one client.

    Clients share ``store`` and may have separate faults, so that a test
    can disconnect one VM from the store.
    """

    clock: Clock
    store: StoreData = attrs.field(factory=StoreData)
    faults: StoreFaults = attrs.field(factory=StoreFaults)

    async def operate(self) -> None:
        """Delay or fail an operation according to the faults."""
        if self.faults.delay:
            await self.clock.sleep(self.faults.delay)
        if self.faults.is_down:
            raise StoreUnavailableError('the store is down')

    async def read(self, *, table: str, key: str) -> Row | None:
        """Return one row."""
        await self.operate()
        self.store.reads += 1
        row = self.store.rows_by_table.get(table, {}).get(key)
        await self._answer()
        return row

    async def scan(self, *, table: str, prefix: str) -> Mapping[str, Row]:
        """Return rows by key."""
        await self.operate()
        self.store.reads += 1
        rows = self.store.rows_by_table.get(table, {})
        found = {
            key: row for key, row in rows.items() if key.startswith(prefix)
        }
        await self._answer()
        return found

    async def transact(
        self, *, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        """Apply the writes if the checks hold."""
        await self.operate()
        for check in checks:
            self._verify(check)
        self.store.writes += 1
        for write in writes:
            self._apply(write)
        await self._answer()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise StoreAnswerLostError('answer lost after the write')

    async def time(self) -> float:
        """Return the time of the service's clock."""
        await self.operate()
        return self.clock.wall()

    async def put(self, *, name: str, body: bytes) -> None:
        """Store an object."""
        await self.operate()
        self.store.writes += 1
        self.store.objects_by_name[name] = body

    async def get(self, *, name: str) -> bytes:
        """Return an object."""
        await self.operate()
        self.store.reads += 1
        try:
            body = self.store.objects_by_name[name]
        except KeyError:
            raise ObjectMissingError(f'no object {name!r}') from None
        await self._answer()
        return body

    async def _answer(self) -> None:
        if self.faults.answer_delay:
            await self.clock.sleep(self.faults.answer_delay)

    def _verify(self, check: RowCheck) -> None:
        rows = self.store.rows_by_table.get(check.table, {})
        row = rows.get(check.key)
        version = row.version if row else 0
        if version != check.version:
            raise StoreConflictError(
                f'{check.table}/{check.key}: version {version}, '
                f'expected {check.version}'
            )

    def _apply(self, write: RowWrite) -> None:
        rows = self.store.rows_by_table.setdefault(write.table, {})
        if write.value is None:
            rows.pop(write.key, None)
            return
        self.store.last_version += 1
        rows[write.key] = Row(
            value=write.value, version=self.store.last_version
        )


@attrs.define(kw_only=True)
class MemoryVmList:
    """VM list port over the same store data."""

    platform: MemoryPlatform

    async def read(self) -> Sequence[VmRecord]:
        """Return the records."""
        await self.platform.operate()
        return self.platform.store.vm_records
