"""Tests of the catalog, the directory, freshness, settings and logs."""

import os

import pytest
from edge_builders import (
    HOST,
    KEY,
    a_vm,
    an_edge_account,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
)
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.directory import Directory
from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.freshness import KeyFreshness
from bronzewall.edge.own_quota import OwnQuota
from bronzewall.edge.rate_limits import Admission
from bronzewall.edge.settings import edge_settings, parse_lines
from bronzewall.errors import RateExceededError, SettingsError
from bronzewall.log_sink import BURST_LINES, LogSink
from bronzewall.types import ServiceName, VmId

DRAFTS = ServiceName('drafts')


class FakeClock:
    """Clock that stands still until it is set."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        return self.at

    def wall(self) -> float:
        return self.at


def a_catalog(clock: FakeClock) -> Catalog:
    catalog = Catalog(clock=clock, interval=1.5)
    catalog.accept([an_edge_instance()], confirmed_at=clock.now())
    return catalog


def ids(catalog: Catalog) -> list[str]:
    return [item.instance_id for item in catalog.usable(DRAFTS)]


def test_missing_entry_is_removed_at_once_while_the_store_is_read() -> None:
    clock = FakeClock()
    catalog = a_catalog(clock)
    clock.at += 1
    catalog.accept([], confirmed_at=clock.now())
    assert not ids(catalog)


def test_expired_entry_is_kept_for_two_seconds_after_an_outage() -> None:
    # Entries expire during a store outage, though their instances still run.
    clock = FakeClock()
    catalog = a_catalog(clock)
    clock.at += 10
    catalog.accept([], confirmed_at=clock.now())
    assert ids(catalog) == ['i-1']
    clock.at += 1
    catalog.accept([], confirmed_at=clock.now())
    assert ids(catalog) == ['i-1']
    clock.at += 1.1
    catalog.accept([], confirmed_at=clock.now())
    assert not ids(catalog)


def test_expired_entry_whose_address_was_reused_is_removed() -> None:
    clock = FakeClock()
    catalog = a_catalog(clock)
    address = an_edge_instance().address
    clock.at += 10
    other = an_edge_instance('i-2', address=address)
    catalog.accept([other], confirmed_at=clock.now())
    assert ids(catalog) == ['i-2']


@pytest.mark.parametrize(
    ('change', 'usable'),
    [
        ({'is_leaving': True}, []),
        ({'service': ServiceName('notes')}, []),
        ({'warmup': 2.0}, ['i-1']),
        ({'started_ms': 5}, ['i-1']),
    ],
)
def test_changed_entries(change, usable) -> None:
    clock = FakeClock()
    catalog = a_catalog(clock)
    clock.at += 1
    catalog.accept([an_edge_instance(**change)], confirmed_at=clock.now())
    assert ids(catalog) == usable


def test_restart_under_the_same_id_removes_the_old_process() -> None:
    clock = FakeClock()
    catalog = a_catalog(clock)
    removed = []
    catalog.on_removed = removed.extend
    clock.at += 1
    catalog.accept([an_edge_instance(started_ms=9)], confirmed_at=clock.now())
    assert [item.instance_id for item in removed] == ['i-1']


def test_rejected_address_is_unused_until_it_changes() -> None:
    clock = FakeClock()
    catalog = a_catalog(clock)
    catalog.reject(an_edge_instance())
    assert not ids(catalog)
    clock.at += 1
    moved = an_edge_instance(address='10.0.0.9:1')
    catalog.accept([moved], confirmed_at=clock.now())
    assert ids(catalog) == ['i-1']


def test_older_list_of_another_vm_is_refused() -> None:
    clock = FakeClock()
    catalog = a_catalog(clock)
    clock.at += 1
    leaving = an_edge_instance(is_leaving=True)
    catalog.accept([leaving], confirmed_at=clock.now())
    assert not catalog.adopt([an_edge_instance()], confirmed_at=100.5)
    assert not ids(catalog)


@given(st.lists(st.integers(1, 50), max_size=30))
def test_configuration_never_goes_back(versions: list[int]) -> None:
    # Store reads and changes of leader may deliver versions in any order.
    directory = Directory()
    seen = []
    for version in versions:
        directory.accept(an_edge_configuration(version), raw=b'', source='test')
        seen.append(directory.version)
    assert seen == sorted(seen)


@pytest.mark.parametrize(
    ('host', 'path', 'found'),
    [
        (HOST, '/drafts/7', 'r-1'),
        (HOST.upper(), '/drafts/7', 'r-1'),
        (f'{HOST}:80', '/drafts/7', 'r-1'),
        (HOST, '/drafts/old/7', 'r-2'),
        (HOST, '/drafts', None),
        (HOST, '/other/7', 'r-3'),
        ('other.example', '/drafts/7', None),
        (HOST, '', None),
    ],
)
def test_longest_prefix_of_the_host(host, path, found) -> None:
    directory = Directory()
    routes = (
        an_edge_route(),
        an_edge_route(route_id='r-2', prefix='/drafts/old/'),
        an_edge_route(route_id='r-3', prefix='/'),
    )
    if path == '/drafts' or not path:
        routes = routes[:2]
    directory.accept(
        an_edge_configuration(routes=routes), raw=b'', source='test'
    )
    route = directory.find_route(host=host, path=path)
    assert (route and route.route_id) == found


def test_keys_of_the_newest_configuration() -> None:
    directory = Directory()
    directory.accept(an_edge_configuration(), raw=b'', source='test')
    assert directory.find_account(KEY).account_id == 'gulf-daily'
    directory.accept(
        an_edge_configuration(2, accounts=()), raw=b'', source='test'
    )
    assert directory.find_account(KEY) is None


def test_keys_are_stale_before_the_bound() -> None:
    clock = FakeClock()
    freshness = KeyFreshness(clock=clock, bound=5)
    assert not freshness.is_fresh()
    freshness.confirm(clock.now())
    clock.at += 3
    assert freshness.is_fresh()
    clock.at += 1.5
    assert not freshness.is_fresh()
    # A late, older confirmation changes nothing.
    freshness.confirm(100)
    assert not freshness.is_fresh()


def test_vm_without_a_leader_keeps_to_its_own_quota_share() -> None:
    admission = Admission(own=OwnQuota(zone_count=2, zone_vm_count=5))
    account = an_edge_account(rate=10, burst=10)
    admitted = 0
    for step in range(1000):
        try:
            admission.admit(account, now=step / 100)
        except RateExceededError as exc:
            assert exc.retry_after > 0
        else:
            admitted += 1
    assert admitted <= 10 * 10 / 10 + 10 / 10 + 1


def test_older_start_of_a_vm_does_not_replace_a_newer_one() -> None:
    fleet = FleetView(own=a_vm())
    newer = a_vm('vm-2', started_ms=9, address='10.0.0.2:1')
    assert fleet.add(newer)
    assert not fleet.add(a_vm('vm-2', started_ms=4))
    assert fleet.entries_by_id[VmId('vm-2')] == newer


def test_powerful_and_long_running_vms_rank_first() -> None:
    fleet = FleetView(own=a_vm('a', started_ms=50))
    fleet.add(a_vm('b', started_ms=10))
    fleet.add(a_vm('c', started_ms=90, strength=2))
    assert [entry.vm_id for entry in fleet.zone_vms()] == ['c', 'b', 'a']


GIVEN = {
    'vm_id': 'vm-1',
    'region': 'muscat',
    'zone': 'muscat-a',
    'listen': '10.0.0.1:80',
    'ready_listen': '10.0.0.1:81',
    'peer_listen': '10.0.0.1:82',
    'admin_listen': '10.0.0.1:83',
    'store': '10.0.0.9:80',
}


def test_settings_from_lines() -> None:
    lines = [
        '# comment',
        '',
        *[f'{name.upper()}={text}' for name, text in GIVEN.items()],
    ]
    settings = edge_settings(
        parse_lines([*lines, 'ZONES=a=x,b=y', 'STRENGTH=', 'DRAIN_BOUND=3'])
    )
    assert settings.drain_bound == 3
    assert settings.strength == 1
    assert settings.region_by_zone() == {
        'muscat-a': 'muscat',
        'a': 'x',
        'b': 'y',
    }


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        ({'listen': 'nowhere'}, 'listen'),
        ({'drain_bound': '0'}, 'drain_bound'),
        ({'drain_bound': 'two'}, 'two'),
        ({'drian_bound': '2'}, 'did you mean drain_bound'),
        ({'zone': ''}, 'not set: zone'),
        ({'retry_slack': '-1'}, 'retry_slack'),
        ({'log_level': 'loud'}, 'log_level'),
    ],
)
def test_invalid_settings(change, message) -> None:
    with pytest.raises(SettingsError, match=message):
        edge_settings({**GIVEN, **change})


def test_line_without_a_value() -> None:
    with pytest.raises(SettingsError, match='line 1'):
        parse_lines(['VM_ID'])


def test_log_lines_beyond_the_rate_are_counted_not_written() -> None:
    reader, writer = os.pipe()
    sink = LogSink(descriptor=writer)
    sink.start()
    for _ in range(int(BURST_LINES) + 500):
        sink.info('line')
    sink.stop()
    os.close(writer)
    with os.fdopen(reader, 'rb') as lines:
        written = lines.read().count(b'line\n')
    assert written + sum(sink.dropped_by_reason.values()) == BURST_LINES + 500
    assert sink.dropped_by_reason['rate'] > 0


def test_closed_log_pipe_does_not_block_the_log_sink() -> None:
    reader, writer = os.pipe()
    sink = LogSink(descriptor=writer)
    sink.start()
    for _ in range(int(BURST_LINES)):
        sink.info('x' * 1000)
    os.close(reader)
    sink.stop()
    os.close(writer)
