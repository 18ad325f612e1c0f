"""Tests of rate limits over a whole fleet under faults."""

import asyncio
import random

import pytest
from edge_demand import (
    WINDOW_S,
    Demand,
    DemandFleet,
    a_limited_account,
    most_allowed,
)

from bronzewall.standins.exact_limiter import compare_with_exact
from bronzewall.standins.virtual_time import run_virtual

# One account sends eight times its usual, five times its rate.
_HOT_FACTOR = 5
# The same at the most.
_LARGEST_FACTOR = 8


def over_admitted(fleet: DemandFleet, account) -> float:
    """Return the requests beyond what the users' rules allow."""
    count = compare_with_exact(
        fleet.requests_by_account[account.account_id],
        rate=account.rate,
        burst=account.burst,
        window=WINDOW_S,
    )
    allowed = most_allowed(account) - account.burst - account.rate * WINDOW_S
    return count.over_admitted - allowed


@pytest.mark.parametrize('seed', range(3))
def test_vms_cut_off_from_each_other_share_the_rate(seed: int) -> None:
    # Pattern: a third of the VMs cannot reach any other while one account
    # sends eight times its usual. Each of them leads its zone for itself and
    # handed out the quota of the whole zone (review, case 3).
    async def main() -> None:
        fleet = DemandFleet(zones=6, vms_by_zone=6)
        account = a_limited_account(rate=40, burst=80)
        fleet.publish_accounts(2, account)
        await fleet.start()
        await asyncio.sleep(6)
        drawn = random.Random(seed)
        demand = Demand(
            account_id='hot',
            per_s=account.rate * _HOT_FACTOR,
            weights_by_vm=dict.fromkeys(fleet.vms, 1),
        )
        sending = asyncio.ensure_future(fleet.send(demand, 9, drawn))
        await asyncio.sleep(1)
        fleet.isolate(drawn.sample(sorted(fleet.vms), 13))
        await asyncio.sleep(5.5)
        fleet.network.heal()
        await sending
        await fleet.stop()
        assert over_admitted(fleet, account) <= 0

    run_virtual(main())


# Guards against VMs that are cut off while an account spends its burst, and
# each of which goes on with all tokens that its zone had.
@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize(('rate', 'burst'), [(40, 80), (45, 80), (25, 150)])
def test_vms_cut_off_during_a_burst_share_it(
    rate: float, burst: float, seed: int
) -> None:
    async def main() -> None:
        fleet = DemandFleet(zones=6, vms_by_zone=6)
        account = a_limited_account(rate=rate, burst=burst)
        fleet.publish_accounts(2, account)
        await fleet.start()
        await asyncio.sleep(6)
        drawn = random.Random(seed)
        demand = Demand(
            account_id='hot',
            per_s=account.rate * _LARGEST_FACTOR,
            weights_by_vm=dict.fromkeys(fleet.vms, 1),
        )
        sending = asyncio.ensure_future(fleet.send(demand, 7, drawn))
        await asyncio.sleep(drawn.uniform(0.05, 0.45))
        fleet.isolate(drawn.sample(sorted(fleet.vms), 13))
        await asyncio.sleep(5.5)
        fleet.network.heal()
        await sending
        await fleet.stop()
        assert over_admitted(fleet, account) <= 0

    run_virtual(main())


@pytest.mark.parametrize('seed', range(3))
def test_restart_of_all_vms_grants_no_second_burst(seed: int) -> None:
    # Pattern: all processes are killed and start again while one account
    # sends eight times its usual. Nothing of what was admitted outlasts them,
    # and each began with full buckets (review, case 4).
    async def main() -> None:
        fleet = DemandFleet(zones=6, vms_by_zone=6)
        account = a_limited_account(rate=40, burst=80)
        fleet.publish_accounts(2, account)
        await fleet.start()
        await asyncio.sleep(6)
        demand = Demand(
            account_id='hot',
            per_s=account.rate * _HOT_FACTOR,
            weights_by_vm=dict.fromkeys(fleet.vms, 1),
        )
        drawn = random.Random(seed)
        sending = asyncio.ensure_future(fleet.send(demand, 9, drawn))
        await asyncio.sleep(2)
        await fleet.restart_all(0.1)
        await sending
        await fleet.stop()
        assert over_admitted(fleet, account) <= 0

    run_virtual(main())
