"""Tests of beliefs, the crash ledger, retries and work times."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.edge.beliefs import PRIOR, Beliefs, Sign
from bronzewall.edge.crash_ledger import CRASH_INSTANCES, CrashLedger
from bronzewall.edge.retry_budget import RetryBudget
from bronzewall.edge.zone_messages import Broken
from bronzewall.types import InstanceId, ServiceName

ONE = InstanceId('i-1')


def test_one_failure_of_a_proven_instance_is_not_certainty() -> None:
    # Sound instances fail a percent of their requests.
    beliefs = Beliefs(scope='zone')
    for _ in range(5):
        beliefs.note(ONE, Sign.GOOD, now=0)
    beliefs.note(ONE, Sign.FAILED, now=0)
    assert beliefs.probability(ONE, now=0) < 0.5
    beliefs.note(ONE, Sign.FAILED, now=0)
    assert beliefs.probability(ONE, now=0) > 0.8


@given(st.lists(st.sampled_from(list(Sign)), max_size=50))
def test_beliefs_stay_probabilities_and_fade(signs: list[Sign]) -> None:
    beliefs = Beliefs(scope='zone')
    for number, sign in enumerate(signs):
        beliefs.note(ONE, sign, now=number / 10)
        assert 0 < beliefs.probability(ONE, now=number / 10) < 1
    assert beliefs.probability(ONE, now=1e4) == pytest.approx(PRIOR)
    assert beliefs.notable(now=1e4) == {}


def test_request_that_breaks_at_three_instances_is_refused() -> None:
    ledger = CrashLedger()
    for number in range(CRASH_INSTANCES):
        assert not ledger.is_refused(b'x', now=number)
        item = Broken(fingerprint=b'x', instance_id=f'i-{number}')
        ledger.note((item, item), now=number)
    assert ledger.is_refused(b'x', now=CRASH_INSTANCES)
    assert ledger.refused(now=CRASH_INSTANCES) == [b'x']
    assert not ledger.is_refused(b'x', now=100)


def test_answered_request_is_not_blamed() -> None:
    ledger = CrashLedger()
    for number in range(CRASH_INSTANCES + 2):
        item = Broken(fingerprint=b'x', instance_id=f'i-{number}')
        ledger.note((item,), now=number)
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
        budget = RetryBudget(ratio=0.2, slack=60, vms=vms)
        for is_request in requests:
            asked += is_request
            if is_request:
                budget.earn(name)
            else:
                taken += budget.take(name)
    assert taken <= 0.2 * asked + max(60, vms)
