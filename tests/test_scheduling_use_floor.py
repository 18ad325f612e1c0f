"""Tests of keeping most instances in use while a service fails requests.

Pattern: a third of the instances fail three of four requests for some seconds
and answer again. Suspicions that outlive the failures leave few instances for
all requests.
"""

from collections import Counter

import pytest
from edge_builders import a_place, an_edge_instance
from scheduling_builders import a_profile

from bronzewall.edge.scheduling.use_floor import (
    FLOOR_FRACTION,
    UseFloor,
    missing_count,
)
from bronzewall.edge.selection import Candidate
from bronzewall.locality import Locality, locality_of
from bronzewall.metrics import Metrics

_ZONE_VMS = 4


def a_candidate(number: int, probability: float, zone: str = 'muscat-a'):
    placement = a_place(zone)
    return Candidate(
        instance=an_edge_instance(f'i-{number}', zone=zone),
        loss=probability,
        queue_time=0,
        failure_probability=probability,
        in_flight=0,
        locality=locality_of(a_place(), placement),
    )


def a_floor(*, is_at_risk: bool = True) -> UseFloor:
    return UseFloor(
        is_at_risk=lambda _service: is_at_risk,
        zone_vm_count=lambda: _ZONE_VMS,
        metrics=Metrics(),
    )


def ten(suspected: int) -> list[Candidate]:
    return [
        a_candidate(number, 0.9 - number / 100 if number < suspected else 0.01)
        for number in range(10)
    ]


def probes_in(seconds, candidates, *, floor=None, profile=None, per_second=6):
    """Return how often each instance was probed."""
    floor = floor or a_floor()
    found = Counter()
    for step in range(int(seconds * per_second)):
        probed = floor.due(
            profile or a_profile(), candidates, candidates, step / per_second
        )
        if probed is not None:
            found[probed.instance.instance_id] += 1
    return found


def test_vms_of_a_zone_together_probe_each_second() -> None:
    # Failure: instances that failed once get nothing for many seconds.
    found = probes_in(40, ten(4))
    assert len(found) == 2
    assert all(count * _ZONE_VMS >= 30 for count in found.values())


def test_few_suspected_instances_are_left_alone() -> None:
    # Failure: requests fail at sick instances although enough others are used.
    assert not probes_in(40, ten(2))


def test_healthy_service_is_not_probed() -> None:
    assert not probes_in(40, ten(6), floor=a_floor(is_at_risk=False))


def test_new_suspicion_is_not_probed_at_once() -> None:
    floor = a_floor()
    assert floor.due(a_profile(), ten(4), ten(4), 100) is None


def test_requests_that_may_run_again_probe_first() -> None:
    # Failure: requests that run at most once are lost at sick instances while
    # others could have been sent again.
    retryable = probes_in(20, ten(4), profile=a_profile(is_retryable=True))
    assert sum(retryable.values()) > 1.5 * sum(probes_in(20, ten(4)).values())


def test_instances_of_other_zones_are_left_to_their_vms() -> None:
    remote = [a_candidate(number, 0.9, 'dhofar-a') for number in range(10)]
    assert not probes_in(20, remote)
    assert remote[0].locality is not Locality.ZONE


@pytest.mark.parametrize('avoided', range(11))
def test_missing_count_reaches_the_floor(avoided: int) -> None:
    used = 10 - avoided + missing_count(10, avoided)
    assert used >= FLOOR_FRACTION * 10
    assert missing_count(10, avoided) <= avoided


def test_unused_instances_count_as_good_while_the_floor_holds() -> None:
    # Failure: an instance without recent requests is never chosen, since those
    # that have just answered look a little better.
    at_risk, usual = a_floor(), a_floor(is_at_risk=False)
    gap = 0.065
    assert usual.tolerance('drafts') < gap < at_risk.tolerance('drafts')


def test_requests_bound_elsewhere_do_not_delay_probes() -> None:
    # Failure: a request that may not be sent to the zone's instances starts
    # their times anew, and none is ever probed.
    floor, candidates, found = a_floor(), ten(4), 0
    for step in range(240):
        seen = [] if step % 6 == 0 else candidates
        found += floor.due(a_profile(), seen, seen, step / 6) is not None
    assert found >= 15
