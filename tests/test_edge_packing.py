"""Tests of the compact lists that zone leaders send."""

import pytest
from edge_builders import a_vm, an_edge_instance

from bronzewall.edge.zone_packing import (
    pack_instances,
    pack_vms,
    unpack_instances,
    unpack_vms,
)
from bronzewall.errors import PeerMessageError


def test_instances_round_trip() -> None:
    instances = (
        an_edge_instance('i-1', warmup=1.5, started_ms=7),
        an_edge_instance('i-2', is_leaving=True, zone='dhofar-a'),
    )
    assert unpack_instances(pack_instances(instances)) == instances


def test_vms_round_trip() -> None:
    entries = (a_vm(), a_vm('vm-2', 'dhofar-a', strength=0.43))
    assert unpack_vms(pack_vms(entries)) == entries


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
