"""Fenced leases on numbered slots in the table service."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs
import structlog

from bronzewall.errors import (
    StoreConflictError,
    StoreError,
)
from bronzewall.membership import Members
from bronzewall.ports import Clock, TableService
from bronzewall.slot_plan import Move, assign_vacant, balancing_moves
from bronzewall.slot_rows import (
    Reading,
    SlotRow,
    decode_row,
    encode_row,
    row_key,
)
from bronzewall.types import RowCheck, RowWrite, VmId, VmState

# Three times the fleet of 40 VMs, so that equal shares differ by one slot.
SLOT_COUNT = 128
# Longer than the longest store outage that the VMs must bridge.
LEASE_TERM_S = 21_600.0
TABLE = 'slots'
# A longer gap between two ticks is treated as a pause of the process.
PAUSE_S = 1.0
TICK_S = 0.25
_RENEW_FRACTION = 2 / 3
_SCAN_INTERVAL_S = 10.0
# Fraction of the lease term, so that short leases are renewed in time.
_SCAN_FRACTION = 1 / 8
_RETRY_INTERVAL_S = 1.0
# Longer than the lag of the VM list and the duration of a planned stop.
_STOP_NOTICE_S = 60.0
# Incarnation in a row that its new holder has not accepted yet.
_NOT_ACCEPTED = 0
_LOG = structlog.get_logger()


@attrs.define(kw_only=True)
class PendingHandover:
    """A slot that this VM will hand over.

    :param ready_at: clock time from which no loan includes the slot.
    """

    receiver: VmId
    ready_at: float


@attrs.frozen(kw_only=True)
class PlannedStop:
    """Announced stop of a VM.

    :param incarnation: incarnation of the process that stops.
    :param until: clock time until which the VM list may still show the VM
        as live.
    """

    incarnation: int
    until: float


@attrs.define(kw_only=True, eq=False)
class SlotLeases:
    """Leases of this VM on slots.

    :param incarnation: start time of this process, nanoseconds.
    :param loan_expiry_s: seconds until loans of a destroyed VM, or of an
        earlier process of this VM, have ended everywhere.
    :param on_handed_over: called with each VM that received slots.
    """

    own_id: VmId
    incarnation: int
    clock: Clock
    table: TableService
    members: Members
    loan_expiry_s: float
    on_handed_over: Callable[[VmId], None]
    slot_count: int = SLOT_COUNT
    term_s: float = LEASE_TERM_S
    ends_by_slot: dict[int, float] = attrs.field(factory=dict)
    handovers_by_slot: dict[int, PendingHandover] = attrs.field(factory=dict)
    is_stopping: bool = False
    pauses: int = 0
    _validated_pauses: int = 0
    _unconfirmed_slots: set[int] = attrs.field(factory=set)
    _destroyed_since_by_id: dict[VmId, float] = attrs.field(factory=dict)
    _stops_by_id: dict[VmId, PlannedStop] = attrs.field(factory=dict)
    _holders: frozenset[VmId] = frozenset()
    _ready_ids: set[VmId] = attrs.field(factory=set)
    _started_at: float = 0
    _last_tick: float = 0
    _next_scan: float = 0

    def __attrs_post_init__(self) -> None:
        """Start counting ticks."""
        self._started_at = self.clock.now()
        self._last_tick = self._started_at

    def usable_slots(self, *, until: float) -> list[int]:
        """Return the slots that may be used until a clock time.

        After a pause no slot is usable until it was read from the table
        again, because another process may hold it by now.
        """
        paused = self.clock.now() - self._last_tick > PAUSE_S + TICK_S
        if paused or self.pauses != self._validated_pauses:
            return []
        return [
            slot
            for slot, end in self.ends_by_slot.items()
            if end > until and slot not in self.handovers_by_slot
        ]

    def record_planned_stop(self, vm_id: VmId, *, incarnation: int) -> None:
        """Assign no slots to a stopping VM that is still listed as live."""
        self._stops_by_id[vm_id] = PlannedStop(
            incarnation=incarnation, until=self.clock.now() + _STOP_NOTICE_S
        )

    def request_scan(self) -> None:
        """Schedule a scan of the table at the next tick."""
        self._next_scan = 0

    async def run(self) -> None:
        """Maintain the leases until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_ticks())
            group.create_task(self._run_scans())

    def tick(self) -> None:
        """Detect a pause of this process and evaluate the VM list."""
        now = self.clock.now()
        if now - self._last_tick > PAUSE_S + TICK_S:
            self.pauses += 1
            self.request_scan()
            _LOG.warning('pause_detected', seconds=now - self._last_tick)
        self._last_tick = now
        self._record_destroyed(now)

    async def refresh(self) -> None:
        """Read the table once and renew, claim and hand over slots.

        :raises StoreError: the table service failed.
        """
        pauses = self.pauses
        reading = await self._read()
        self._apply(reading)
        self._validated_pauses = pauses
        await self._renew(reading)
        if not self.is_stopping:
            await self._claim_vacant(reading)
            self._plan_handovers(reading)
        await self._hand_over(reading, self._ready_handovers())

    async def hand_over_all(self) -> None:
        """Hand all slots over to other VMs at a planned stop.

        :raises StoreError: the table service failed; the slots stay
            unusable until another VM may claim them.
        """
        self.is_stopping = True
        reading = await self._read()
        self._apply(reading)
        counts = self._counts(reading)
        counts.pop(self.own_id, None)
        receivers = assign_vacant(slots=self.ends_by_slot, counts_by_id=counts)
        await self._hand_over(reading, receivers)

    async def _run_ticks(self) -> None:
        while True:
            self.tick()
            await self.clock.sleep(TICK_S)

    async def _run_scans(self) -> None:
        while True:
            if self.clock.now() >= self._next_scan and not self.is_stopping:
                self._next_scan = self.clock.now() + min(
                    _SCAN_INTERVAL_S, self.term_s * _SCAN_FRACTION
                )
                await self._try_refresh()
            await self.clock.sleep(TICK_S)

    async def _try_refresh(self) -> None:
        try:
            await self.refresh()
        except StoreError as exc:
            self._next_scan = self.clock.now() + _RETRY_INTERVAL_S
            _LOG.info('slots_not_refreshed', error=str(exc))

    def _record_destroyed(self, now: float) -> None:
        destroyed = {
            record.vm_id
            for record in self.members.records_by_id.values()
            if record.state is VmState.DESTROYED
        }
        for vm_id in destroyed - set(self._destroyed_since_by_id):
            self._destroyed_since_by_id[vm_id] = now
        ready = {
            holder
            for holder, seen in self._destroyed_since_by_id.items()
            if holder in self._holders and now >= seen + self.loan_expiry_s
        }
        if ready - self._ready_ids:
            self.request_scan()
        elif ready:
            self._next_scan = min(self._next_scan, now + _RETRY_INTERVAL_S)
        self._ready_ids = ready

    async def _read(self) -> Reading:
        started = self.clock.now()
        table_time = await self.table.time()
        rows = await self.table.scan(table=TABLE, prefix='')
        return Reading(
            started=started,
            table_time=table_time,
            rows_by_slot={
                int(key): decode_row(row) for key, row in rows.items()
            },
            versions_by_slot={
                int(key): row.version for key, row in rows.items()
            },
        )

    def _apply(self, reading: Reading) -> None:
        self._holders = frozenset(
            row.holder for row in reading.rows_by_slot.values()
        )
        self.ends_by_slot = {
            slot: reading.local_end(row.lease_end)
            for slot, row in reading.rows_by_slot.items()
            if self._is_own(row) and slot not in self._unconfirmed_slots
        }
        for slot in set(self.handovers_by_slot) - set(self.ends_by_slot):
            self.handovers_by_slot.pop(slot)

    def _is_own(self, row: SlotRow) -> bool:
        return row.holder == self.own_id and row.incarnation == self.incarnation

    async def _renew(self, reading: Reading) -> None:
        """Renew old leases, accept received slots and resolve unconfirmed ones.

        A hand-over whose answer was lost may still take effect. Writing
        the row again either fails or makes that hand-over fail.
        """
        fresh_end = reading.table_time + self.term_s * _RENEW_FRACTION
        due = [
            slot
            for slot, row in reading.rows_by_slot.items()
            if row.holder == self.own_id
            and row.lease_end > reading.table_time
            and (
                row.incarnation == _NOT_ACCEPTED
                or self._is_own(row)
                and (
                    row.lease_end < fresh_end or slot in self._unconfirmed_slots
                )
            )
        ]
        await self._claim(reading, due)
        for slot in tuple(self._unconfirmed_slots):
            row = reading.rows_by_slot.get(slot)
            if slot in due or row is None or not self._is_own(row):
                self._unconfirmed_slots.discard(slot)

    async def _claim_vacant(self, reading: Reading) -> None:
        vacant = [
            slot
            for slot in range(self.slot_count)
            if self._is_vacant(reading, slot)
        ]
        if not vacant:
            return
        own = [
            slot
            for slot in vacant
            if self._is_from_earlier_process(reading, slot)
        ]
        others = [slot for slot in vacant if slot not in own]
        receivers = assign_vacant(
            slots=others, counts_by_id=self._counts(reading)
        )
        assigned = [slot for slot, vm in receivers.items() if vm == self.own_id]
        try:
            await self._claim(reading, own + assigned)
        except StoreConflictError:
            self._next_scan = self.clock.now() + _RETRY_INTERVAL_S

    def _is_vacant(self, reading: Reading, slot: int) -> bool:
        row = reading.rows_by_slot.get(slot)
        if row is None or row.lease_end < reading.table_time:
            return True
        now = self.clock.now()
        if self._is_from_earlier_process(reading, slot):
            return now >= self._started_at + self.loan_expiry_s
        destroyed_seen = self._destroyed_since_by_id.get(row.holder, now)
        return now >= destroyed_seen + self.loan_expiry_s

    def _is_from_earlier_process(self, reading: Reading, slot: int) -> bool:
        row = reading.rows_by_slot.get(slot)
        return (
            row is not None
            and row.holder == self.own_id
            and _NOT_ACCEPTED < row.incarnation < self.incarnation
        )

    async def _claim(self, reading: Reading, slots: Sequence[int]) -> None:
        if not slots:
            return
        lease_end = reading.table_time + self.term_s
        row = SlotRow(
            holder=self.own_id,
            incarnation=self.incarnation,
            lease_end=lease_end,
        )
        await self._write(reading, {slot: row for slot in slots})
        for slot in slots:
            self.ends_by_slot[slot] = reading.local_end(lease_end)

    def _is_stopped(self, vm_id: VmId) -> bool:
        stop = self._stops_by_id.get(vm_id)
        if stop is None or stop.until <= self.clock.now():
            return False
        # A VM that was replaced under the same id may hold slots again.
        newest = self.members.incarnations_by_id.get(vm_id, 0)
        return newest <= stop.incarnation

    def _counts(self, reading: Reading) -> dict[VmId, int]:
        counts = {
            record.vm_id: 0
            for record in self.members.records_by_id.values()
            if record.state is VmState.LIVE
            and not self._is_stopped(record.vm_id)
        }
        counts.setdefault(self.own_id, 0)
        for row in reading.rows_by_slot.values():
            if row.holder in counts and row.lease_end > reading.table_time:
                counts[row.holder] += 1
        return counts

    def _plan_handovers(self, reading: Reading) -> None:
        held = {
            slot: row.holder
            for slot, row in reading.rows_by_slot.items()
            if row.lease_end > reading.table_time
        }
        moves: Iterable[Move] = balancing_moves(
            holders_by_slot=held, counts_by_id=self._counts(reading)
        )
        planned = {
            move.slot: move.receiver
            for move in moves
            if move.slot in self.ends_by_slot
        }
        now = self.clock.now()
        for slot in set(self.handovers_by_slot) - set(planned):
            self.handovers_by_slot.pop(slot)
        for slot, receiver in planned.items():
            handover = self.handovers_by_slot.setdefault(
                slot,
                PendingHandover(
                    receiver=receiver, ready_at=now + self.loan_expiry_s
                ),
            )
            handover.receiver = receiver
            self._next_scan = min(self._next_scan, handover.ready_at)

    def _ready_handovers(self) -> dict[int, VmId]:
        now = self.clock.now()
        return {
            slot: handover.receiver
            for slot, handover in self.handovers_by_slot.items()
            if now >= handover.ready_at
        }

    async def _hand_over(
        self, reading: Reading, receivers_by_slot: Mapping[int, VmId]
    ) -> None:
        if not receivers_by_slot:
            return
        rows = {
            slot: SlotRow(
                holder=receiver,
                incarnation=_NOT_ACCEPTED,
                lease_end=reading.table_time + self.term_s,
            )
            for slot, receiver in receivers_by_slot.items()
        }
        # Not used until the outcome of the write is known.
        self._unconfirmed_slots.update(rows)
        for slot in rows:
            self.ends_by_slot.pop(slot, None)
            self.handovers_by_slot.pop(slot, None)
        await self._write(reading, rows)
        self._unconfirmed_slots.difference_update(rows)
        for receiver in set(receivers_by_slot.values()):
            self.on_handed_over(receiver)

    async def _write(
        self, reading: Reading, rows_by_slot: Mapping[int, SlotRow]
    ) -> None:
        checks = [
            RowCheck(
                table=TABLE,
                key=row_key(slot),
                version=reading.versions_by_slot.get(slot, 0),
            )
            for slot in rows_by_slot
        ]
        writes = [
            RowWrite(table=TABLE, key=row_key(slot), value=encode_row(row))
            for slot, row in rows_by_slot.items()
        ]
        await self.table.transact(checks=checks, writes=writes)
