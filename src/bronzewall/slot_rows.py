"""Rows of lease slots in the table service."""

from collections.abc import Mapping

import attrs
import cbor2

from bronzewall.quota_shares import CLOCK_DRIFT
from bronzewall.types import Row, VmId


@attrs.frozen(kw_only=True)
class SlotRow:
    """Content of a slot's row.

    :param incarnation: incarnation of the holder; 0 until it has accepted
        the slot.
    :param lease_end: end of the lease by the table service's clock.
    """

    holder: VmId
    incarnation: int
    lease_end: float


@attrs.frozen(kw_only=True)
class Reading:
    """Result of one scan of the slot rows.

    :param started: own clock before the request was sent.
    :param table_time: the table service's clock after ``started``.
    """

    started: float
    table_time: float
    rows_by_slot: Mapping[int, SlotRow]
    versions_by_slot: Mapping[int, int]

    def local_end(self, lease_end: float) -> float:
        """Convert a lease's end to the own clock, less a drift margin."""
        remaining = lease_end - self.table_time
        return self.started + remaining * (1 - CLOCK_DRIFT)


def row_key(slot: int) -> str:
    """Return the key of a slot's row."""
    return f'{slot:04d}'


def encode_row(row: SlotRow) -> bytes:
    """Return the stored form of a row."""
    return cbor2.dumps(attrs.astuple(row))


def decode_row(row: Row) -> SlotRow:
    """Return the content of a stored row."""
    holder, incarnation, lease_end = cbor2.loads(row.value)
    return SlotRow(holder=holder, incarnation=incarnation, lease_end=lease_end)
