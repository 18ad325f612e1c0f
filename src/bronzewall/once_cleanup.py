"""Deletes expired idempotency keys in small batches."""

import itertools

import attrs
import structlog

from bronzewall.errors import OnceRowError, StoreError
from bronzewall.membership import Members
from bronzewall.once_rows import ONCE_TABLE, TableClock, decode_entry
from bronzewall.ports import Clock, TableService
from bronzewall.rendezvous import rank_vms
from bronzewall.types import Row, RowCheck, RowWrite
from bronzewall.wire_checks import shown

# Rows are spread evenly over prefixes of their hexadecimal keys; with 4
# digits a prefix holds 66 rows at 50 claims/s.
_PREFIX_DIGITS = 4
PREFIXES = len('0123456789abcdef') ** _PREFIX_DIGITS
# The VMs of the fleet together scan the whole table once in this time.
_SWEEP_INTERVAL_S = 43_200.0
_BATCH_ROWS = 25
# Expired rows are kept for this long, so that clocks need not agree closely.
_GRACE_S = 600.0
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class OnceSweep:
    """Deletes expired rows under the prefixes assigned to this VM.

    Two VMs may clean the same prefix at the same time, because each delete
    is conditional on the version that was read.

    :param deleted: number of rows deleted.
    """

    clock: Clock
    table: TableService
    table_clock: TableClock
    members: Members
    deleted: int = 0

    async def run(self) -> None:
        """Clean up until cancelled."""
        for number in itertools.cycle(range(PREFIXES)):
            prefix = f'{number:0{_PREFIX_DIGITS}x}'
            if self._is_coordinator(prefix):
                try:
                    await self.clean(prefix)
                except StoreError as exc:
                    # The next sweep covers this prefix again.
                    _LOG.info('once_not_cleaned', error=str(exc))
            await self.clock.sleep(_SWEEP_INTERVAL_S / PREFIXES)

    async def clean(self, prefix: str) -> None:
        """Delete at most one batch of expired rows of a prefix.

        :raises StoreError: a call failed; the batch may have been deleted.
        """
        expired_before = await self.table_clock.lower_bound() - _GRACE_S
        rows = await self.table.scan(table=ONCE_TABLE, prefix=prefix)
        expired = {
            key: row
            for key, row in rows.items()
            if _has_expired(key, row, expired_before)
        }
        batch = dict(itertools.islice(expired.items(), _BATCH_ROWS))
        if not batch:
            return
        await self.table.transact(
            checks=[
                RowCheck(table=ONCE_TABLE, key=key, version=row.version)
                for key, row in batch.items()
            ],
            writes=[
                RowWrite(table=ONCE_TABLE, key=key, value=None) for key in batch
            ],
        )
        self.deleted += len(batch)

    def _is_coordinator(self, prefix: str) -> bool:
        coordinators = rank_vms(
            duty=f'once-sweep/{prefix}', vm_ids=self.members.usable_ids()
        )
        return coordinators[:1] == [self.members.own_id]


def _has_expired(key: str, row: Row, before: float) -> bool:
    """Return whether a row has expired; one that cannot be read has not."""
    try:
        return decode_entry(row).expires < before
    except OnceRowError as exc:
        _LOG.info('once_row_kept', key=shown(key), error=shown(str(exc)))
        return False
