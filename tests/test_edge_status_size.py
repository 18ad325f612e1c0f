"""Tests of the size of zone statuses with many accounts."""

import asyncio

import pytest
from edge_builders import an_edge_account, an_edge_configuration
from edge_fleet import settled

from bronzewall.edge.zone_pools import ZonePools
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import AccountId

_ACCOUNTS = 140
# Bytes that a leader of 36 VMs may send in each status, so that ten statuses a
# second take at most a third of a link of 6 Mbit/s.
_STATUS_BYTES = 700


def accounts(count: int):
    return tuple(
        an_edge_account(
            account_id=AccountId(f'account-{number}'),
            keys=(f'key-{number}',),
            rate=10 + number,
            burst=20,
        )
        for number in range(count)
    )


def test_status_does_not_grow_with_idle_accounts() -> None:
    # Pattern: 140 accounts, few of them in use at once, and a weak VM that
    # leads its zone. All tokens in each status took a good part of its link.
    sizes: list[float] = []

    async def main() -> None:
        fleet = await settled('a', 'b')
        fleet.shared.publish(
            an_edge_configuration(2, accounts=accounts(_ACCOUNTS))
        )
        await asyncio.sleep(6)
        counters = fleet.vms['a'].leader.endpoint.counters
        before = counters['bytes_Beacon'], fleet.network.sent_by_id['a']
        await asyncio.sleep(2)
        sent = fleet.network.sent_by_id['a'] - before[1]
        sizes.append((counters['bytes_Beacon'] - before[0]) / sent)
        await fleet.stop()

    run_virtual(main())
    assert sizes[0] < _STATUS_BYTES


def test_members_know_all_tokens() -> None:
    async def main() -> None:
        fleet = await settled('a', 'b')
        fleet.shared.publish(an_edge_configuration(2, accounts=accounts(3)))
        await asyncio.sleep(6)
        limits = fleet.vms['a'].state.admission._zone_buckets_by_id
        found = fleet.vms['b'].state.admission._zone_buckets_by_id
        assert sorted(found) == ['account-0', 'account-1', 'account-2']
        assert [found[name].level for name in sorted(found)] == pytest.approx(
            [limits[name].level for name in sorted(limits)]
        )
        await fleet.stop()

    run_virtual(main())


def test_only_accounts_in_use_are_listed() -> None:
    by_id = {one.account_id: one for one in accounts(3)}
    pools = ZonePools(zone_count=2, slack=20, started_at=0)
    # The buckets start empty.
    assert len(pools.quota(by_id, fraction=1, now=0).tokens) == 3
    assert not pools.quota(by_id, fraction=1, now=9).tokens
    pools.consume('account-1', 2)
    quota = pools.quota(by_id, fraction=1, now=9.1)
    assert list(quota.tokens) == ['account-1']
    assert quota.levels(by_id)['account-0'] == quota.limit(
        by_id[AccountId('account-0')]
    )
