"""Tests of beliefs, the crash ledger, retries and work times."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.edge.crash_tracker import CRASH_INSTANCES, CrashTracker
from bronzewall.edge.failure_estimates import (
    PRIOR_PROBABILITY,
    FailureEstimates,
    Observation,
)
from bronzewall.edge.retry_budget import RetryBudget
from bronzewall.edge.zone_messages import BrokenRequest
from bronzewall.types import InstanceId, ServiceName

ONE = InstanceId('i-1')


def test_one_failure_of_a_proven_instance_is_not_certainty() -> None:
    # Sound instances fail a percent of their requests.
    estimates = FailureEstimates(scope='zone')
    for _ in range(5):
        estimates.record(ONE, Observation.GOOD, now=0)
    estimates.record(ONE, Observation.FAILED, now=0)
    assert estimates.probability(ONE, now=0) < 0.5
    estimates.record(ONE, Observation.FAILED, now=0)
    assert estimates.probability(ONE, now=0) > 0.8


@given(st.lists(st.sampled_from(list(Observation)), max_size=50))
def test_beliefs_stay_probabilities_and_fade(signs: list[Observation]) -> None:
    estimates = FailureEstimates(scope='zone')
    for number, sign in enumerate(signs):
        estimates.record(ONE, sign, now=number / 10)
        assert 0 < estimates.probability(ONE, now=number / 10) < 1
    assert estimates.probability(ONE, now=1e4) == pytest.approx(
        PRIOR_PROBABILITY
    )
    assert estimates.significant(now=1e4) == {}


def test_request_that_breaks_at_three_instances_is_refused() -> None:
    ledger = CrashTracker()
    for number in range(CRASH_INSTANCES):
        assert not ledger.is_refused(b'x', now=number)
        item = BrokenRequest(fingerprint=b'x', instance_id=f'i-{number}')
        ledger.record((item, item), now=number)
    assert ledger.is_refused(b'x', now=CRASH_INSTANCES)
    assert ledger.refused(now=CRASH_INSTANCES) == [b'x']
    assert not ledger.is_refused(b'x', now=100)


def test_answered_request_is_not_blamed() -> None:
    ledger = CrashTracker()
    for number in range(CRASH_INSTANCES + 2):
        item = BrokenRequest(fingerprint=b'x', instance_id=f'i-{number}')
        ledger.record((item,), now=number)
        ledger.clear(b'x')
    assert not ledger.is_refused(b'x', now=5)


@given(st.lists(st.booleans(), max_size=300), st.integers(1, 50))
def test_retries_of_a_fleet_stay_in_its_budget(
    requests: list[bool], vms: int
) -> None:
    # All VMs use their part of the slack at the same time.
    name = ServiceName('drafts')
    taken, asked = 0, 0
    for _ in range(vms):
        budget = RetryBudget(ratio=0.2, slack=60, vm_count=vms)
        for is_request in requests:
            asked += is_request
            if is_request:
                budget.credit(name)
            else:
                taken += budget.consume(name)
    assert taken <= 0.2 * asked + max(60, vms)
