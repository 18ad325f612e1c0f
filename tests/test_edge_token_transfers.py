"""Tests of the tokens that zones grant one another."""

import asyncio

from edge_demand import DemandFleet, a_limited_account

from bronzewall.edge.zone_messages import TokenGrant, TokenRequest
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import VmId


async def a_fleet(zones: int = 2) -> DemandFleet:
    """Return a settled fleet with full buckets of one account."""
    fleet = DemandFleet(zones=zones, vms_by_zone=3)
    fleet.publish_accounts(2, a_limited_account(rate=20, burst=40))
    await fleet.start()
    await asyncio.sleep(6)
    return fleet


def test_vm_that_no_longer_leads_passes_a_token_request_on() -> None:
    # Pattern: the store turns VMs away, so that leaders change. Zones that
    # asked the former leader got no tokens, while its zone had plenty.
    async def main() -> None:
        fleet = await a_fleet()
        asker, other = sorted(fleet.leaders())
        zone = fleet.vms[other].fleet.own.placement.zone
        former = next(
            name
            for name, vm in fleet.vms.items()
            if vm.fleet.own.placement.zone == zone and name != other
        )
        grant: TokenGrant = await fleet.vms[asker].leader.endpoint.call(
            to=VmId(former), message=TokenRequest(tokens={'hot': 4}), timeout=1
        )
        assert grant.tokens == {'hot': 4}
        await fleet.stop()

    run_virtual(main())


def test_zone_that_is_out_of_reach_does_not_stop_the_others() -> None:
    # Pattern: a link is cut one way. A zone without an answer from one zone
    # asked no other for up to 2 s.
    async def main() -> None:
        fleet = await a_fleet(zones=3)
        asker, silent, _ = sorted(fleet.leaders())
        fleet.network.block(sender=VmId(silent), receiver=VmId(asker))
        leader = fleet.vms[asker].leader
        leader.pools.add('hot', -leader.pools.level('hot'))
        leader.pools.demand.add({'hot': 40}, now=leader.clock.now())
        await asyncio.sleep(0.4)
        assert leader.pools.level('hot') > 4
        await fleet.stop()

    run_virtual(main())
