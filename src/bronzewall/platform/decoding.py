"""Decodes the rows that instances and VMs store."""

import contextlib
import json
from collections.abc import Mapping

from bronzewall.edge.entry_checks import check_instance, check_vm
from bronzewall.edge.model import EdgeInstance, VmEntry
from bronzewall.errors import StoreEntryError
from bronzewall.platform import fields
from bronzewall.types import InstanceId, Placement, ServiceName, VmId
from bronzewall.wire_checks import shown

_INSTANCE_STATES = ('ready', 'draining')


def decode_instance(
    key: str, raw: bytes, *, region_by_zone: Mapping[str, str]
) -> EdgeInstance:
    """Return the instance from one row.

    :param key: key of the row; only it holds the instance id.
    :param region_by_zone: regions of the known zones.
    :raises StoreEntryError: the row is malformed, its state unknown, or a
        value is none that an instance can have.
    """
    wire = fields.document(raw)
    zone = fields.text(wire, 'zone')
    state = fields.text(wire, 'instanceState')
    if state not in _INSTANCE_STATES:
        raise StoreEntryError(f'unknown instance state {shown(state)}')
    found = EdgeInstance(
        instance_id=InstanceId(key),
        service=ServiceName(fields.text(wire, 'serviceName')),
        address=fields.text(wire, 'address'),
        placement=Placement(region=region_by_zone.get(zone, ''), zone=zone),
        # Without a slot, an instance still serves one request at a time.
        slots=fields.integer(wire, 'capacitySlots') or 1,
        is_leaving=state == 'draining',
        # Seconds left of the slow start.
        warmup=fields.number(wire, 'warmupLeft'),
        # Start of the process, Unix milliseconds.
        started_ms=fields.integer(wire, 'born') if 'born' in wire else 0,
    )
    check_instance(found)
    return found


def report_counts(raw_by_key: Mapping[str, bytes]) -> dict[InstanceId, int]:
    """Return the reports that instances have written since their start.

    Rows without a readable count are left out; malformed rows are logged
    where their instances are decoded.
    """
    counts: dict[InstanceId, int] = {}
    for key, raw in raw_by_key.items():
        with contextlib.suppress(StoreEntryError):
            counts[InstanceId(key)] = fields.integer(
                fields.document(raw), 'sequence'
            )
    return counts


def decode_vm(key: str, raw: bytes) -> VmEntry:
    """Return the VM from one row.

    :raises StoreEntryError: the row is malformed, or a value is none that a
        VM can have.
    """
    wire = fields.document(raw)
    found = VmEntry(
        vm_id=VmId(key),
        placement=Placement(
            region=fields.text(wire, 'region'), zone=fields.text(wire, 'zone')
        ),
        address=fields.text(wire, 'address'),
        strength=fields.number(wire, 'strength'),
        started_ms=fields.integer(wire, 'started_ms'),
    )
    check_vm(found)
    return found


def encode_vm(entry: VmEntry) -> bytes:
    """Return the encoded row of a VM."""
    return json.dumps(
        {
            'region': entry.placement.region,
            'zone': entry.placement.zone,
            'address': entry.address,
            'strength': entry.strength,
            'started_ms': entry.started_ms,
        }
    ).encode()
