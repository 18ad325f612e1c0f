"""Paths and CBOR bodies of the platform's HTTP interface."""

from typing import Any

import attrs
import cbor2

from bronzewall.types import (
    Placement,
    Row,
    RowCheck,
    RowWrite,
    VmId,
    VmRecord,
    VmState,
)

READ_PATH = '/table/read'
SCAN_PATH = '/table/scan'
TRANSACT_PATH = '/table/transact'
TIME_PATH = '/table/time'
OBJECT_PATH = '/objects/'
VMS_PATH = '/vms'
STATUS_CONFLICT = 409
STATUS_MISSING = 404
STATUS_DOWN = 503


def row_to_wire(row: Row | None) -> Any:
    """Return the wire form of a row."""
    return None if row is None else attrs.asdict(row)


def row_from_wire(wire: Any) -> Row | None:
    """Return the row that a wire form encodes."""
    return None if wire is None else Row(**wire)


def transaction_to_wire(checks: Any, writes: Any) -> bytes:
    """Return the request body of a transaction."""
    return cbor2.dumps(
        {
            'checks': [attrs.asdict(check) for check in checks],
            'writes': [attrs.asdict(write) for write in writes],
        }
    )


def transaction_from_wire(
    body: bytes,
) -> tuple[list[RowCheck], list[RowWrite]]:
    """Return the checks and writes that a request body encodes."""
    wire = cbor2.loads(body)
    checks = [RowCheck(**check) for check in wire['checks']]
    return checks, [RowWrite(**write) for write in wire['writes']]


def vm_record_to_wire(record: VmRecord) -> dict[str, str]:
    """Return the wire form of a VM record."""
    return {
        'vm_id': record.vm_id,
        'region': record.placement.region,
        'zone': record.placement.zone,
        'peer_address': record.peer_address,
        'state': record.state.value,
        'admin_address': record.admin_address,
    }


def vm_record_from_wire(wire: dict[str, str]) -> VmRecord:
    """Return the VM record that a wire form encodes."""
    return VmRecord(
        vm_id=VmId(wire['vm_id']),
        placement=Placement(region=wire['region'], zone=wire['zone']),
        peer_address=wire['peer_address'],
        state=VmState(wire['state']),
        admin_address=wire.get('admin_address', ''),
    )
