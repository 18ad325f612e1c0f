"""Compact form of the lists that hubs send to the VMs of their zones."""

import zlib
from collections.abc import Iterable

import cbor2

from bronzewall.edge.model import EdgeInstance, VmEntry
from bronzewall.errors import PeerMessageError
from bronzewall.types import InstanceId, Placement, ServiceName, VmId

_DAMAGE = (zlib.error, ValueError, TypeError, cbor2.CBORDecodeError)


def pack_instances(instances: Iterable[EdgeInstance]) -> bytes:
    """Return a list of instances in compact form."""
    rows = [
        (
            item.instance_id,
            item.service,
            item.address,
            item.placement.region,
            item.placement.zone,
            item.slots,
            item.is_leaving,
            item.warmup,
            item.started_ms,
        )
        for item in instances
    ]
    return zlib.compress(cbor2.dumps(rows))


def unpack_instances(packed: bytes) -> tuple[EdgeInstance, ...]:
    """Return the instances of a packed list.

    :raises PeerMessageError: the list has another form.
    """
    try:
        rows = cbor2.loads(zlib.decompress(packed))
        return tuple(
            EdgeInstance(
                instance_id=InstanceId(name),
                service=ServiceName(service),
                address=address,
                placement=Placement(region=region, zone=zone),
                slots=slots,
                is_leaving=is_leaving,
                warmup=warmup,
                started_ms=started_ms,
            )
            for (
                name,
                service,
                address,
                region,
                zone,
                slots,
                is_leaving,
                warmup,
                started_ms,
            ) in rows
        )
    except _DAMAGE as exc:
        raise PeerMessageError(f'list of instances: {exc}') from exc


def pack_vms(entries: Iterable[VmEntry]) -> bytes:
    """Return a list of VMs in compact form."""
    rows = [
        (
            entry.vm_id,
            entry.placement.region,
            entry.placement.zone,
            entry.address,
            entry.strength,
            entry.started_ms,
        )
        for entry in entries
    ]
    return zlib.compress(cbor2.dumps(rows))


def unpack_vms(packed: bytes) -> tuple[VmEntry, ...]:
    """Return the VMs of a packed list.

    :raises PeerMessageError: the list has another form.
    """
    try:
        rows = cbor2.loads(zlib.decompress(packed))
        return tuple(
            VmEntry(
                vm_id=VmId(name),
                placement=Placement(region=region, zone=zone),
                address=address,
                strength=strength,
                started_ms=started_ms,
            )
            for name, region, zone, address, strength, started_ms in rows
        )
    except _DAMAGE as exc:
        raise PeerMessageError(f'list of VMs: {exc}') from exc
