"""Compact encoding of the lists that zone leaders send to their VMs."""

import zlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar

import attrs
import cbor2
import structlog

from bronzewall.edge.entry_checks import check_instance, check_vm
from bronzewall.edge.model import EdgeInstance, VmEntry
from bronzewall.errors import PeerMessageError, StoreEntryError
from bronzewall.types import Placement
from bronzewall.wire_checks import shown

_PLACEMENT = 'placement'
# Largest configuration and list, bytes.
_MAX_UNPACKED_BYTES = 33_554_432
_LOG = structlog.get_logger()
_Item = TypeVar('_Item', EdgeInstance, VmEntry)


def pack_instances(instances: Iterable[EdgeInstance]) -> bytes:
    """Return the compact encoding of a list of instances."""
    return _pack(instances)


def unpack_instances(packed: bytes) -> tuple[EdgeInstance, ...]:
    """Return the instances of a packed list, without odd ones.

    :raises PeerMessageError: the list has another form.
    """
    return tuple(_unpack(packed, EdgeInstance, check_instance))


def pack_vms(entries: Iterable[VmEntry]) -> bytes:
    """Return the compact encoding of a list of VMs."""
    return _pack(entries)


def unpack_vms(packed: bytes) -> tuple[VmEntry, ...]:
    """Return the VMs of a packed list, without odd ones.

    :raises PeerMessageError: the list has another form.
    """
    return tuple(_unpack(packed, VmEntry, check_vm))


def pack_configuration(raw: bytes) -> bytes:
    """Return the compact encoding of a stored configuration."""
    return zlib.compress(raw)


def unpack_configuration(packed: bytes) -> bytes:
    """Return the stored form of a packed configuration.

    :raises PeerMessageError: it is damaged or too large.
    """
    return _decompress(packed)


def _pack(items: Iterable[EdgeInstance | VmEntry]) -> bytes:
    """Encode items as rows of field values, without field names."""
    rows = [attrs.astuple(item) for item in items]
    return zlib.compress(cbor2.dumps(rows))


def _decompress(packed: bytes) -> bytes:
    """Return the unpacked bytes.

    :raises PeerMessageError: they are damaged or too many.
    """
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(packed, _MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise PeerMessageError(f'packed data: {exc}') from exc
    if not unpacker.eof:
        raise PeerMessageError(
            f'packed data: cut off or over {_MAX_UNPACKED_BYTES} bytes'
        )
    return raw


def _unpack(
    packed: bytes, build: type[_Item], check: Callable[[_Item], None]
) -> Iterator[_Item]:
    """Yield the items of a list, without those that a check rejects.

    The sender may be of a build that does not check them.

    :raises PeerMessageError: the list has another form.
    """
    names = [field.name for field in attrs.fields(build)]
    for row in _rows(packed):
        try:
            item = build(**_named(names, row))
        except (ValueError, TypeError, KeyError) as exc:
            raise PeerMessageError(f'row of a packed list: {exc}') from exc
        try:
            check(item)
        except StoreEntryError as exc:
            _LOG.warning(
                'packed_entry_ignored', entry=shown(row), error=str(exc)
            )
        else:
            yield item


def _rows(packed: bytes) -> list[Any]:
    """Return the rows of a packed list.

    :raises PeerMessageError: it is something else.
    """
    raw = _decompress(packed)
    try:
        rows = cbor2.loads(raw)
    except (ValueError, RecursionError, cbor2.CBORDecodeError) as exc:
        raise PeerMessageError(f'packed list: {exc}') from exc
    if not isinstance(rows, list):
        raise PeerMessageError(f'packed list: {type(rows).__name__}')
    return rows


def _named(names: list[str], row: list[Any]) -> dict[str, Any]:
    """Return the values of a row by field.

    Later builds append fields, which this one does not read; those that a row
    of an earlier build lacks have their default.
    """
    by_name = dict(zip(names, row, strict=False))
    region, zone, *_ = by_name[_PLACEMENT]
    by_name[_PLACEMENT] = Placement(region=region, zone=zone)
    return by_name
