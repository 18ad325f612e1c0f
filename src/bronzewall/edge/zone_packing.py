"""Compact encoding of the lists that zone leaders send to their VMs."""

import zlib
from collections.abc import Iterable
from typing import Any, TypeVar

import attrs
import cbor2

from bronzewall.edge.model import EdgeInstance, VmEntry
from bronzewall.errors import PeerMessageError
from bronzewall.types import Placement

_DAMAGE = (
    zlib.error,
    ValueError,
    TypeError,
    KeyError,
    cbor2.CBORDecodeError,
)
_PLACEMENT = 'placement'
_MAX_CONFIGURATION_BYTES = 33_554_432
_Item = TypeVar('_Item', EdgeInstance, VmEntry)


def pack_instances(instances: Iterable[EdgeInstance]) -> bytes:
    """Return the compact encoding of a list of instances."""
    return _pack(instances)


def unpack_instances(packed: bytes) -> tuple[EdgeInstance, ...]:
    """Return the instances of a packed list.

    :raises PeerMessageError: the list has another form.
    """
    return _unpack(packed, EdgeInstance)


def pack_vms(entries: Iterable[VmEntry]) -> bytes:
    """Return the compact encoding of a list of VMs."""
    return _pack(entries)


def unpack_vms(packed: bytes) -> tuple[VmEntry, ...]:
    """Return the VMs of a packed list.

    :raises PeerMessageError: the list has another form.
    """
    return _unpack(packed, VmEntry)


def pack_configuration(raw: bytes) -> bytes:
    """Return the compact encoding of a stored configuration."""
    return zlib.compress(raw)


def unpack_configuration(packed: bytes) -> bytes:
    """Return the stored form of a packed configuration.

    :raises PeerMessageError: it is damaged or too large.
    """
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(packed, _MAX_CONFIGURATION_BYTES)
    except zlib.error as exc:
        raise PeerMessageError(f'packed configuration: {exc}') from exc
    if not unpacker.eof:
        raise PeerMessageError(
            f'packed configuration: cut off or over {_MAX_CONFIGURATION_BYTES}'
            ' bytes'
        )
    return raw


def _pack(items: Iterable[EdgeInstance | VmEntry]) -> bytes:
    """Encode items as rows of field values, without field names."""
    rows = [attrs.astuple(item) for item in items]
    return zlib.compress(cbor2.dumps(rows))


def _unpack(packed: bytes, build: type[_Item]) -> tuple[_Item, ...]:
    names = [field.name for field in attrs.fields(build)]
    try:
        return tuple(
            build(**_named(names, row))
            for row in cbor2.loads(zlib.decompress(packed))
        )
    except _DAMAGE as exc:
        raise PeerMessageError(f'packed list: {exc}') from exc


def _named(names: list[str], row: list[Any]) -> dict[str, Any]:
    """Return the values of a row by field.

    Later builds append fields, which this one does not read; those that a row
    of an earlier build lacks have their default.
    """
    by_name = dict(zip(names, row, strict=False))
    region, zone, *_ = by_name[_PLACEMENT]
    by_name[_PLACEMENT] = Placement(region=region, zone=zone)
    return by_name
