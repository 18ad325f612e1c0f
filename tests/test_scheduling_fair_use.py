"""Tests of the fair shares of client accounts."""

import itertools

from bronzewall.edge.scheduling.fair_use import FairUse


def serve(weights_by_account, count):
    """Return how often each account was served while all have requests."""
    fair_use = FairUse()
    served = dict.fromkeys(weights_by_account, 0)
    for _ in range(count):
        account = min(served, key=fair_use.start_tag)
        fair_use.charge(account, work=0.2, weight=weights_by_account[account])
        served[account] += 1
    return served


def test_shares_follow_the_weights() -> None:
    served = serve({'large': 3.0, 'small': 1.0}, 400)
    assert abs(served['large'] - 300) <= 2


def test_expensive_requests_use_up_a_share_sooner() -> None:
    # Failure: shares by number of requests favour the account whose requests
    # cost most.
    fair_use = FairUse()
    served = {'cheap': 0, 'dear': 0}
    work = {'cheap': 0.1, 'dear': 0.4}
    for _ in range(500):
        account = min(served, key=fair_use.start_tag)
        fair_use.charge(account, work=work[account], weight=1)
        served[account] += 1
    assert abs(served['cheap'] - 4 * served['dear']) <= 4


def test_idle_account_does_not_save_up() -> None:
    # Failure: an account that was idle for long blocks the others when it
    # returns.
    fair_use = FairUse()
    for _ in range(100):
        fair_use.charge('busy', work=0.2, weight=1)
    order = []
    for _ in range(6):
        account = min(('busy', 'idle'), key=fair_use.start_tag)
        fair_use.charge(account, work=0.2, weight=1)
        order.append(account)
    longest = max(len(list(run)) for _, run in itertools.groupby(order))
    assert longest <= 2


def test_number_of_accounts_is_bounded() -> None:
    fair_use = FairUse()
    for number in range(5000):
        fair_use.charge(f'account-{number}', work=0.2, weight=1)
    assert len(fair_use._finish_by_account) <= 1024
