"""The fair queue and the send budgets."""

import asyncio
import random
from collections import Counter

from builders import a_route
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.queueing import FairQueue, Waiter
from bronzewall.retry import SEND_BUDGET_LIMIT, SendBudget
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import AccountId, InstanceId

NOTHING: frozenset[InstanceId] = frozenset()


def _waiter(
    account: str, *, excluded: frozenset[InstanceId] = NOTHING
) -> Waiter:
    return Waiter(
        account_id=AccountId(account),
        route=a_route(),
        excluded=excluded,
        due=float('inf'),
        future=asyncio.get_running_loop().create_future(),
    )


@given(steps=st.lists(st.sampled_from(['push', 'pop', 'drop']), max_size=40))
def test_length_is_the_number_of_waiters(steps: list[str]) -> None:
    """Guards against a queue limit that compares a wrong length."""

    async def main() -> None:
        queue = FairQueue()
        rng = random.Random(1)
        waiting: list[Waiter] = []
        for step in steps:
            if step == 'push':
                excluded = rng.choice([NOTHING, frozenset([InstanceId('i')])])
                waiter = _waiter(rng.choice('abc'), excluded=excluded)
                queue.push(waiter)
                waiting.append(waiter)
            elif waiting:
                last = (
                    queue.next_waiters(0)[0] if step == 'pop' else waiting[-1]
                )
                assert queue.remove(last)
                assert not queue.remove(last)
                waiting.remove(last)
            assert queue.length == len(waiting)
            assert set(queue.next_waiters(0)) <= set(waiting)

    run_virtual(main())


@given(arrivals=st.lists(st.integers(1, 9), min_size=4, max_size=4))
def test_accounts_above_their_fair_share_get_equal_shares(
    arrivals: list[int],
) -> None:
    """Guards against admission in proportion to the arrivals."""
    queue = FairQueue()
    admitted: Counter[int] = Counter()
    rng = random.Random(1)
    now = float(0)
    accounts = range(len(arrivals))
    for _ in range(3000):
        now += 0.005
        account = rng.choices(accounts, arrivals)[0]
        # The queue is nearly full and is sometimes shorter.
        queue.length = rng.choice([2, 5, 5, 5])
        key = AccountId(str(account))
        if queue.may_enqueue(key, limit=5):
            queue.charge(key, now)
            admitted[account] += 1
    fewest = arrivals.index(min(arrivals))
    # No account has less than the one with the fewest arrivals, apart
    # from random variation.
    assert min(admitted.values()) >= 0.8 * admitted[fewest]


def test_overdue_request_goes_first() -> None:
    """Guards against a request that others overtake without bound."""

    async def main() -> None:
        queue = FairQueue()
        overdue, fresh = _waiter('busy'), _waiter('idle')
        overdue.due = 1
        queue.charge(AccountId('busy'), 0)
        queue.push(overdue)
        queue.push(fresh)
        assert queue.next_waiters(0)[0] is fresh
        assert queue.next_waiters(1)[0] is overdue

    run_virtual(main())


def test_usage_survives_a_long_time() -> None:
    """Guards against overflow of the growing usage counts."""
    queue = FairQueue()
    for now in (0, 50, 100, 1e5, 1e9):
        queue.charge(AccountId('a'), now)
    assert queue.may_enqueue(AccountId('a'), limit=5)


@given(
    ratio=st.floats(0, 1),
    steps=st.lists(st.booleans(), min_size=1, max_size=200),
)
def test_send_budget_holds_in_every_window(
    ratio: float, steps: list[bool]
) -> None:
    """Guards against amplification above the ratio."""
    budget = SendBudget(ratio=ratio)
    # Excess of extra sends over the ratio, and its least value so far.
    excess, least = float(0), float(0)
    for is_request in steps:
        if is_request:
            budget.credit()
            excess -= ratio
        elif budget.consume():
            excess += 1
        least = min(least, excess)
        assert excess - least <= SEND_BUDGET_LIMIT + 1e-6
