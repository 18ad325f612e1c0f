"""Tests of requests that wait for a token of their account."""

import asyncio
from collections import Counter

import pytest
from edge_builders import an_edge_account

from bronzewall.edge.rate_limits import Admission
from bronzewall.edge.token_waits import TokenWaits
from bronzewall.errors import RateExceededError
from bronzewall.standins.virtual_time import VirtualClock, run_virtual

_PATIENT_S = 2.0


def some_waits(admission: Admission) -> TokenWaits:
    """Return the waits of a VM, with an account that has no token left."""
    return TokenWaits(
        clock=VirtualClock(),
        admission=admission,
        on_short=lambda: None,
        events=Counter(),
    )


def tell(admission: Admission, tokens: float, now: float = 0) -> None:
    """Apply the status of a zone leader."""
    admission.update_from_leader(
        tokens={'gulf-daily': tokens},
        refill={'gulf-daily': 0},
        answered_at=now,
        now=now,
    )


def test_request_gets_a_token_that_arrives_in_time() -> None:
    # Pattern: demand of an account moves to a zone that has used its tokens;
    # those of another zone arrive a moment later.
    async def main() -> None:
        admission = Admission()
        tell(admission, 0)
        waits = some_waits(admission)
        account = an_edge_account(rate=10, burst=10)
        task = asyncio.ensure_future(waits.admit(account, deadline=_PATIENT_S))
        await asyncio.sleep(0.2)
        tell(admission, 1, now=0.2)
        await task
        assert admission.admitted['gulf-daily'] == 1
        assert admission.requested['gulf-daily'] == 1
        assert waits.events['token_wait_served'] == 1

    run_virtual(main())


def test_requests_get_tokens_in_the_order_of_their_arrival() -> None:
    # Guards against a new request that takes the token of a waiting one.
    async def main() -> None:
        admission = Admission()
        tell(admission, 0)
        waits = some_waits(admission)
        account = an_edge_account(rate=10, burst=10)
        served = []

        async def ask(name: str) -> None:
            await waits.admit(account, deadline=_PATIENT_S)
            served.append(name)

        tasks = [asyncio.ensure_future(ask('first'))]
        await asyncio.sleep(0.1)
        tell(admission, 2, now=0.1)
        tasks.append(asyncio.ensure_future(ask('second')))
        await asyncio.gather(*tasks)
        assert served == ['first', 'second']

    run_virtual(main())


def test_account_far_over_its_rate_is_refused_at_once() -> None:
    # Guards against a flood that fills the memory of a VM while it waits.
    async def main() -> None:
        admission = Admission()
        tell(admission, 0)
        waits = some_waits(admission)
        account = an_edge_account(rate=10, burst=10)
        tasks = [
            asyncio.ensure_future(waits.admit(account, deadline=_PATIENT_S))
            for _ in range(50)
        ]
        await asyncio.sleep(0)
        assert sum(task.done() for task in tasks) == 42
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        assert all(isinstance(one, RateExceededError) for one in outcomes)
        assert waits.events['token_wait_full'] == 42
        assert waits.events['token_wait_refused'] == 8
        assert asyncio.get_running_loop().time() < 0.6

    run_virtual(main())


@pytest.mark.parametrize(('left', 'wait'), [(0.2, 0.05), (0, 0), (9, 0.5)])
def test_wait_leaves_time_for_the_instance(left: float, wait: float) -> None:
    async def main() -> None:
        admission = Admission()
        tell(admission, 0)
        waits = some_waits(admission)
        with pytest.raises(RateExceededError):
            await waits.admit(an_edge_account(rate=10, burst=10), deadline=left)
        assert wait <= asyncio.get_running_loop().time() <= wait + 0.03

    run_virtual(main())


def test_vm_that_has_just_started_waits_for_its_leader() -> None:
    # Pattern: all VMs lose power and start again; requests come before the
    # first status of a zone leader.
    async def main() -> None:
        admission = Admission()
        waits = some_waits(admission)
        account = an_edge_account(rate=10, burst=10)
        tasks = [
            asyncio.ensure_future(waits.admit(account, deadline=_PATIENT_S))
            for _ in range(3)
        ]
        await asyncio.sleep(1)
        tell(admission, 3, now=1)
        await asyncio.gather(*tasks)
        assert waits.events['token_wait_served'] == 3

    run_virtual(main())


def test_account_over_its_rate_is_not_delayed_again_and_again() -> None:
    # Failure: each request of an account over its rate waits in vain, and the
    # refusals come late.
    async def main() -> None:
        admission = Admission()
        tell(admission, 0)
        waits = some_waits(admission)
        account = an_edge_account(rate=10, burst=10)
        task = asyncio.ensure_future(waits.admit(account, deadline=_PATIENT_S))
        while not task.done():
            tell(admission, 0, now=waits.clock.now())
            await asyncio.sleep(0.1)
        assert isinstance(task.exception(), RateExceededError)
        now = waits.clock.now()
        tell(admission, 0, now=now)
        with pytest.raises(RateExceededError):
            await waits.admit(account, deadline=now + _PATIENT_S)
        assert waits.clock.now() == now

    run_virtual(main())


def test_full_queue_leaves_tokens_to_those_that_wait() -> None:
    # Failure: a newcomer that finds the queue full takes the token of a
    # request that has waited.
    async def main() -> None:
        admission = Admission()
        tell(admission, 0)
        waits = some_waits(admission)
        account = an_edge_account(rate=10, burst=10)
        tasks = [
            asyncio.ensure_future(waits.admit(account, deadline=_PATIENT_S))
            for _ in range(8)
        ]
        await asyncio.sleep(0.1)
        tell(admission, 8, now=0.1)
        with pytest.raises(RateExceededError):
            await waits.admit(account, deadline=_PATIENT_S)
        await asyncio.gather(*tasks)

    run_virtual(main())
