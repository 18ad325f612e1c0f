"""Tests of the token buckets of a zone."""

from edge_builders import an_edge_account

from bronzewall.edge.token_bucket import KnownLevel
from bronzewall.edge.zone_pools import ZonePools

_ACCOUNT = an_edge_account(rate=12, burst=60)
_BY_ID = {_ACCOUNT.account_id: _ACCOUNT}


def level(pools: ZonePools, now: float, fraction: float = 1) -> float:
    """Return the tokens of the account."""
    quota = pools.quota(_BY_ID, fraction=fraction, now=now)
    return quota.levels(_BY_ID)[_ACCOUNT.account_id]


def test_new_process_begins_without_tokens() -> None:
    # Pattern: all processes are killed when an account has used its burst.
    # New ones began with half of it (review, case 4).
    pools = ZonePools(zone_count=2, slack=0, started_at=100)
    assert level(pools, 100) == 0
    assert level(pools, 101) == 6


def test_admissions_before_the_first_status_are_charged() -> None:
    pools = ZonePools(zone_count=2, slack=0, started_at=100)
    pools.consume(_ACCOUNT.account_id, 4)
    assert level(pools, 101) == 2


def test_account_that_is_added_later_has_its_burst() -> None:
    # No process of the fleet can have admitted its requests before.
    pools = ZonePools(zone_count=2, slack=0, started_at=0)
    assert level(pools, 100) == 30


def test_leader_alone_gets_its_part_until_the_others_report() -> None:
    # Guards against several leaders that each use the tokens of their zone.
    pools = ZonePools(zone_count=2, slack=0, started_at=0)
    pools.take_over({_ACCOUNT.account_id: KnownLevel(level=20)}, now=50)
    assert level(pools, 50, 0.25) == 5
    assert level(pools, 50.2, 1) == 20 + 1.2


def test_leader_that_hears_nobody_refills_after_a_time() -> None:
    # Guards against the rate being handed out twice until the leader before
    # has left this VM out.
    pools = ZonePools(zone_count=2, slack=0, started_at=0)
    pools.take_over({_ACCOUNT.account_id: KnownLevel(level=0)}, now=50)
    assert level(pools, 51.4, 0.25) == 0
    assert level(pools, 52.4, 0.25) == 1.5


def test_what_accrued_between_two_leaders_pays_for_what_was_admitted() -> None:
    # Guards against a new leader that charges the requests of the time
    # without a leader, but has no tokens of that time.
    pools = ZonePools(zone_count=2, slack=0, started_at=0)
    known = KnownLevel(level=30, gained=6)
    pools.take_over({_ACCOUNT.account_id: known}, now=50)
    pools.consume(_ACCOUNT.account_id, 6)
    assert level(pools, 50) == 30


def test_what_accrued_between_two_leaders_is_divided_once() -> None:
    # Guards against several leaders that each take nearly all of it, a part
    # with each status.
    pools = ZonePools(zone_count=2, slack=0, started_at=0)
    known = KnownLevel(level=0, gained=8)
    pools.take_over({_ACCOUNT.account_id: known}, now=50)
    found = [level(pools, 50, 0.75) for _ in range(20)]
    assert found[-1] == 8 * 0.75


def test_lowered_burst_binds_a_full_bucket() -> None:
    # Guards against an account that keeps the tokens of a burst that operators
    # have lowered, for as long as it does not use them.
    pools = ZonePools(zone_count=2, slack=0, started_at=0)
    assert level(pools, 100) == 30
    lower = an_edge_account(rate=12, burst=10)
    by_id = {lower.account_id: lower}
    quota = pools.quota(by_id, fraction=1, now=100.1)
    assert quota.levels(by_id)[lower.account_id] == 5
