"""Tests of failure estimates, the crash tracker and retry budgets."""

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


def test_one_failure_of_a_healthy_instance_is_weak_evidence() -> None:
    # Healthy instances fail a percent of their requests.
    estimates = FailureEstimates(scope='zone')
    for _ in range(5):
        estimates.record(ONE, Observation.GOOD, now=0)
    estimates.record(ONE, Observation.FAILED, now=0)
    assert estimates.probability(ONE, now=0) < 0.5
    estimates.record(ONE, Observation.FAILED, now=0)
    assert estimates.probability(ONE, now=0) > 0.8


@given(st.lists(st.sampled_from(list(Observation)), max_size=50))
def test_estimates_stay_probabilities_and_decay(
    observations: list[Observation],
) -> None:
    estimates = FailureEstimates(scope='zone')
    for number, observation in enumerate(observations):
        estimates.record(ONE, observation, now=number / 10)
        assert 0 < estimates.probability(ONE, now=number / 10) < 1
    assert estimates.probability(ONE, now=1e4) == pytest.approx(
        PRIOR_PROBABILITY
    )
    assert estimates.significant(now=1e4) == {}


def test_request_that_breaks_at_three_instances_is_refused() -> None:
    tracker = CrashTracker()
    for number in range(CRASH_INSTANCES):
        assert not tracker.is_refused(b'x', now=number)
        item = BrokenRequest(fingerprint=b'x', instance_id=f'i-{number}')
        tracker.record((item, item), now=number)
    assert tracker.is_refused(b'x', now=CRASH_INSTANCES)
    assert tracker.refused(now=CRASH_INSTANCES) == [b'x']
    assert not tracker.is_refused(b'x', now=100)


def test_answered_request_is_not_refused() -> None:
    tracker = CrashTracker()
    for number in range(CRASH_INSTANCES + 2):
        item = BrokenRequest(fingerprint=b'x', instance_id=f'i-{number}')
        tracker.record((item,), now=number)
        tracker.clear(b'x', now=number)
    assert not tracker.is_refused(b'x', now=5)


@given(st.lists(st.booleans(), max_size=300), st.integers(1, 50))
def test_retries_of_a_fleet_stay_within_its_budget(
    requests: list[bool], vms: int
) -> None:
    # All VMs use their fraction of the slack at the same time.
    name = ServiceName('drafts')
    retries, sent = 0, 0
    for _ in range(vms):
        budget = RetryBudget(ratio=0.2, slack=60, vm_count=vms)
        for is_request in requests:
            sent += is_request
            if is_request:
                budget.credit(name)
            else:
                retries += budget.consume(name)
    assert retries <= 0.2 * sent + max(60, vms)
