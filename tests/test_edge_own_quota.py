"""Tests of what a VM may use of its zone's tokens on its own."""

import pytest

from bronzewall.edge.own_quota import OwnQuota

_VMS = 6


# Guards against VMs that each use all tokens of their zone before they hear of
# each other's use, or lose their leader.
@pytest.mark.parametrize('level', [6, 15, 60, 300])
def test_doses_of_all_vms_are_the_tokens_of_the_zone(level: float) -> None:
    own = OwnQuota(zone_vm_count=_VMS)
    assert own.dose(level, left=0) * _VMS == pytest.approx(level)


# Guards against a VM that never gets a whole token of a small account because
# each status begins its part anew.
def test_parts_of_a_token_are_kept() -> None:
    own = OwnQuota(zone_vm_count=_VMS)
    assert own.dose(0.9, left=0.8) == pytest.approx(0.8)
    assert own.dose(1.5, left=0) == 1
    assert own.dose(0.5, left=4) == pytest.approx(0.5)


# Guards against debts of a zone that its VMs do not know of.
def test_overdrawn_zone_gives_no_dose() -> None:
    assert OwnQuota(zone_vm_count=_VMS).dose(-4, left=1) == -4
