"""Tests of the compact lists that zone leaders send."""

import zlib
from collections.abc import Callable

import cbor2
import pytest
from edge_builders import a_vm, an_edge_instance

from bronzewall.edge.zone_packing import (
    pack_instances,
    pack_vms,
    unpack_instances,
    unpack_vms,
)
from bronzewall.errors import PeerMessageError

_INSTANCE = an_edge_instance('i-1', is_leaving=True)
_VM = a_vm(strength=0.43)


def test_instances_round_trip() -> None:
    instances = (
        an_edge_instance('i-1', warmup=1.5, started_ms=7),
        an_edge_instance('i-2', is_leaving=True, zone='dhofar-a'),
    )
    assert unpack_instances(pack_instances(instances)) == instances


def test_vms_round_trip() -> None:
    entries = (a_vm(), a_vm('vm-2', 'dhofar-a', strength=0.43))
    assert unpack_vms(pack_vms(entries)) == entries


def _repacked(packed: bytes, change: Callable[[list], None]) -> bytes:
    """Return a packed list after a change of its first row."""
    rows = [list(row) for row in cbor2.loads(zlib.decompress(packed))]
    change(rows[0])
    return zlib.compress(cbor2.dumps(rows))


@pytest.mark.parametrize(
    ('unpack', 'packed', 'item'),
    [
        (unpack_instances, pack_instances([_INSTANCE]), _INSTANCE),
        (unpack_vms, pack_vms([_VM]), _VM),
    ],
    ids=['instances', 'VMs'],
)
def test_fields_that_a_later_build_appends(unpack, packed, item) -> None:
    # Guards against VMs that lose their list when the leader is upgraded.
    later = _repacked(packed, lambda row: row.extend(['new', 7]))
    assert unpack(later) == (item,)


def test_fields_that_an_earlier_build_does_not_send() -> None:
    # Guards against VMs that lose their list when the leader is rolled back.
    earlier = _repacked(pack_instances([_INSTANCE]), lambda row: row.pop())
    assert unpack_instances(earlier) == (_INSTANCE,)


def test_row_without_a_required_field_is_damaged() -> None:
    short = _repacked(pack_instances([_INSTANCE]), lambda row: row.clear())
    with pytest.raises(PeerMessageError):
        unpack_instances(short)


def test_list_of_a_grown_deployment_fits_a_weak_link() -> None:
    # Each status with a list took 43 KB, so a leader on a link of 10 Mbit/s
    # lagged by seconds.
    instances = [an_edge_instance(f'i-{number:010x}') for number in range(331)]
    assert len(pack_instances(instances)) < 10_000


@pytest.mark.parametrize('unpack', [unpack_instances, unpack_vms])
@pytest.mark.parametrize('packed', [b'', b'no zlib', pack_vms(())[:-2]])
def test_damaged_list(unpack, packed) -> None:
    with pytest.raises(PeerMessageError):
        unpack(packed)
