"""Tests of the adapter for the users' platform."""

import asyncio
import base64
import contextlib
import json
import resource

import aiohttp
import pytest
from aiohttp import web
from edge_builders import a_vm
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.adapters.system_clock import SystemClock
from bronzewall.edge.composition import _open_store_session
from bronzewall.edge.model import CallerLimits, EdgeConfiguration
from bronzewall.edge.ports import Revision
from bronzewall.errors import (
    StoreEntryError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from bronzewall.metrics import Metrics
from bronzewall.platform import decoding
from bronzewall.platform.configuration import ConfigurationDecoder
from bronzewall.platform.store import PlatformStore
from bronzewall.standins.raw_upstream import RawUpstream

REGIONS = {'muscat-a': 'muscat'}
ENTRY = {
    'serviceName': 'drafts',
    'address': '10.0.0.1:8080',
    'zone': 'muscat-a',
    'configVersion': 'v1',
    'capacitySlots': 4,
    'instanceState': 'ready',
    'warmupLeft': 0.5,
    'sequence': 4,
    'born': 1700000000000,
}
CONFIGURATION = {
    'configVersion': 7,
    'routes': [
        {
            'name': 'r-1',
            'hostName': 'Drafts.example',
            'prefix': '/a/',
            'routeType': 'non_idempotent',
            'timeout': 1.5,
            'targetLatency': 1,
            'priority': 1,
            'serviceName': 'drafts',
            'attempts': 2,
            'public': False,
        },
        {
            'name': 'r-2',
            'hostName': 'drafts.example',
            'prefix': '/b/',
            'routeType': 'idempotent',
            'trafficSplit': [
                {'serviceName': 'drafts', 'shareWeight': 90},
                {'serviceName': 'next', 'shareWeight': 10},
            ],
            'public': True,
        },
    ],
    'services': [{'name': 'drafts', 'maxConnections': 360}],
    'limits': {'maxBodyBytes': 99, 'idleTimeout': 15},
    'tenants': [{'name': 'x', 'apiKeys': ['k'], 'priority': 0, 'ratePerS': 3}],
}


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=3), inner, max_size=2)
    ),
    max_leaves=4,
)


def with_route(**changes) -> dict:
    first, second = CONFIGURATION['routes']
    return {**CONFIGURATION, 'routes': [{**first, **changes}, second]}


def decode_configuration(document) -> EdgeConfiguration:
    return ConfigurationDecoder().decode(json.dumps(document).encode())


def decode(entry) -> object:
    raw = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    return decoding.decode_instance(key='i-1', raw=raw, region_by_zone=REGIONS)


def test_instance() -> None:
    found = decode(ENTRY)
    assert found.placement.region == 'muscat'
    assert (found.slots, found.warmup, found.is_leaving) == (4, 0.5, False)
    assert found.started_ms == 1700000000000


def without(name: str) -> dict:
    return {key: text for key, text in ENTRY.items() if key != name}


@pytest.mark.parametrize(
    'entry',
    [
        b'\xff\x00',
        b'[]',
        b'{"serviceName": "dra',
        without('address'),
        without('serviceName'),
        without('instanceState'),
        {**ENTRY, 'address': 'somewhere'},
        {**ENTRY, 'address': 7},
        {**ENTRY, 'capacitySlots': '4'},
        {**ENTRY, 'capacitySlots': True},
        {**ENTRY, 'instanceState': 'asleep'},
        {**ENTRY, 'warmupLeft': -1},
        {**ENTRY, 'zone': None},
        {**ENTRY, 'serviceName': ''},
    ],
)
def test_malformed_instance_is_rejected(entry) -> None:
    with pytest.raises(StoreEntryError):
        decode(entry)


def test_configuration() -> None:
    found = decode_configuration(CONFIGURATION)
    first, second = found.routes
    assert (found.version, found.needs_keys) == (7, True)
    assert (first.host, first.idempotent, first.timeout) == (
        'drafts.example',
        False,
        1.5,
    )
    assert [part.weight for part in second.traffic_split] == [90, 10]
    assert (second.timeout, second.open_to_all) == (None, True)
    assert found.limits.body_bytes == 99
    assert found.limits.idle_timeout == 15
    assert found.limits.header_timeout == 10
    assert [(one.service, one.max_connections) for one in found.services] == [
        ('drafts', 360)
    ]
    assert (found.accounts[0].rate, found.accounts[0].priority) == (3, 0)


@pytest.mark.parametrize(
    'change',
    [
        {'configVersion': '7'},
        {'routes': {}},
        {'tenants': 'x'},
    ],
)
def test_malformed_configuration_is_rejected(change) -> None:
    with pytest.raises(StoreEntryError):
        decode_configuration({**CONFIGURATION, **change})


@pytest.mark.parametrize('route_type', ['upload', 'other', 'Idempotent'])
def test_only_idempotent_routes_may_run_twice(route_type: str) -> None:
    # A route type that was not known made the whole configuration invalid, so
    # that no request of any route was served.
    first, second = decode_configuration(
        with_route(routeType=route_type)
    ).routes
    assert not first.idempotent
    assert first.traffic_split
    assert second.idempotent


def test_downloads_may_run_twice() -> None:
    # Large answers may be fetched again; as an unknown type they were neither
    # retried nor hedged.
    first, _ = decode_configuration(with_route(routeType='download')).routes
    assert first.idempotent


@pytest.mark.parametrize(
    'change',
    [
        {'routeType': 7},
        {'serviceName': None},
        {'timeout': 'soon'},
        {'timeout': -1},
        {'timeout': 10**400},
        {'targetLatency': []},
        {'attempts': 'two'},
        {'trafficSplit': []},
        {'trafficSplit': [{'serviceName': 'drafts'}]},
        {'trafficSplit': [{'serviceName': 'drafts', 'shareWeight': 0}]},
        {'trafficSplit': ['drafts']},
    ],
)
def test_malformed_route_refuses_only_itself(change) -> None:
    found = decode_configuration(with_route(**change))
    assert [bool(route.traffic_split) for route in found.routes] == [
        False,
        True,
    ]
    assert not found.has_unreadable_routes


@pytest.mark.parametrize(
    'change', [{'name': None}, {'hostName': 3}, {'prefix': ''}]
)
def test_route_of_unknown_place_is_remembered(change) -> None:
    found = decode_configuration(with_route(**change))
    assert len(found.routes) == 1
    assert found.has_unreadable_routes


def test_item_that_is_no_object_is_left_out() -> None:
    routes = [*CONFIGURATION['routes'], 'r-3']
    found = decode_configuration({**CONFIGURATION, 'routes': routes})
    assert (len(found.routes), found.has_unreadable_routes) == (2, True)


@pytest.mark.parametrize(
    ('change', 'usable', 'is_unreadable'),
    [
        ({'ratePerS': 'much'}, [False], False),
        ({'burstSize': -1}, [False], False),
        ({'priority': 'high'}, [True], False),
        ({'apiKeys': [3]}, [], True),
        ({'apiKeys': 'k'}, [], True),
        ({'name': None}, [], True),
    ],
)
def test_malformed_account_concerns_only_itself(
    change, usable: list[bool], is_unreadable: bool
) -> None:
    account = {**CONFIGURATION['tenants'][0], **change}
    found = decode_configuration({**CONFIGURATION, 'tenants': [account]})
    assert [one.is_usable for one in found.accounts] == usable
    assert found.has_unreadable_accounts == is_unreadable
    assert len(found.routes) == 2


def test_unknown_priority_is_the_lowest() -> None:
    found = decode_configuration(with_route(priority='high'))
    assert found.routes[0].priority > 5


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [(0.5, 0.5), (0, 75), (-1, 75), ('1500ms', 75), (True, 75), (None, 75)],
)
def test_limits_of_time(text, seconds) -> None:
    # Guards against limits that nobody can keep, and against a configuration
    # that one odd limit takes out of force.
    limits = {'idleTimeout': text, 'headerTimeout': 5}
    found = decode_configuration({**CONFIGURATION, 'limits': limits}).limits
    assert (found.idle_timeout, found.header_timeout) == (seconds, 5)


@pytest.mark.parametrize(
    ('services', 'limits'),
    [
        ([{'name': 'a', 'maxConnections': 7}, {'name': 'b'}], [7, None]),
        ([{'name': 'a', 'maxConnections': 0}], [None]),
        ([{'name': 'a', 'maxConnections': 0.5}], [1]),
        ([{'name': 'a', 'maxConnections': 'x'}, {'name': 'b'}], [None]),
        ([7, {'maxConnections': 7}], []),
        ({'a': 7}, []),
        (None, []),
    ],
)
def test_connection_limits(services, limits) -> None:
    # Guards against an odd entry of a service that takes routes out of force.
    found = decode_configuration({**CONFIGURATION, 'services': services})
    assert [one.max_connections for one in found.services] == limits
    assert len(found.routes) == 2


def test_unknown_limit_keeps_its_default() -> None:
    limits = {'maxBodyBytes': 'large', 'maxHeaderBytes': 50}
    found = decode_configuration({**CONFIGURATION, 'limits': limits})
    assert (found.limits.header_bytes, found.limits.body_bytes) == (
        50,
        CallerLimits().body_bytes,
    )


@given(data=st.data())
def test_any_one_unknown_value_leaves_the_other_routes(data) -> None:
    document = json.loads(json.dumps(CONFIGURATION))
    changed = data.draw(
        st.sampled_from([document['routes'][0], document['tenants'][0]])
    )
    name = data.draw(st.sampled_from([*sorted(changed), 'newField']))
    changed[name] = data.draw(JSON_VALUES)
    found = decode_configuration(document)
    untouched = [one for one in found.routes if one.route_id == 'r-2']
    assert untouched[0].traffic_split
    assert untouched[0].idempotent


def test_vm_entry_round_trip() -> None:
    entry = a_vm(strength=0.86)
    raw = decoding.encode_vm(entry)
    assert decoding.decode_vm(key=entry.vm_id, raw=raw) == entry


class StoreStandIn:
    """HTTP server that stands in for the platform's store."""

    def __init__(self) -> None:
        self.rows = {'op': {}, 'servers': {}, 'bronzewall-vms': {}}
        self.status = 200
        self.delay = float(0)
        self.page = 500
        self.era: str | None = None
        self.eras: list[str] = []
        self.clock_ahead = float(0)
        self.queries = []
        self.deleted: set[str] = set()

    def put(self, table: str, key: str, document) -> None:
        raw = document
        if not isinstance(document, bytes):
            raw = json.dumps(document).encode()
        self.rows[table][key] = base64.b64encode(raw).decode()

    async def __aenter__(self) -> 'StoreStandIn':
        app = web.Application()
        app.add_routes(
            [
                web.get('/bronzewall/rows-get', self._get),
                web.get('/bronzewall/rows-feed', self._get),
                web.post('/bronzewall/rows-tx', self._write),
            ]
        )
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        port = self.runner.addresses[0][1]
        self.session = aiohttp.ClientSession()
        self.store = PlatformStore(
            address=f'127.0.0.1:{port}',
            session=self.session,
            clock=SystemClock(),
            metrics=Metrics(),
            region_by_zone=REGIONS,
        )
        return self

    async def __aexit__(self, *_details: object) -> None:
        await self.store.close()
        await self.runner.cleanup()

    async def _get(self, request: web.Request) -> web.Response:
        self.queries.append(dict(request.query))
        written_at = asyncio.get_running_loop().time() + self.clock_ahead
        await asyncio.sleep(self.delay)
        if self.eras:
            self.era = self.eras.pop(0)
        headers = {} if self.era is None else {'Store-Era': self.era}
        if self.status != 200:
            return web.json_response({}, status=self.status, headers=headers)
        rows = sorted(self.rows[request.query['table']].items())
        start = request.query.get('from', '')
        rows = [row for row in rows if row[0] >= start]
        page = [
            {'table': 't', 'part': '', 'key': key, 'value': text}
            for key, text in rows[: self.page]
        ]
        page.extend({'key': key, 'deleted': True} for key in self.deleted)
        return web.json_response(
            {
                'tableRows': page,
                'hasMore': len(rows) > self.page,
                'schemaVersion': 41,
                'now': written_at,
            },
            headers=headers,
        )

    async def _write(self, request: web.Request) -> web.Response:
        wire = await request.json()
        for row in wire['upserts']:
            self.rows[row['table']][row['key']] = row['value']
        return web.json_response({'schemaVersion': 42, 'now': 1.5})


async def test_readings() -> None:
    async with StoreStandIn() as stand_in:
        stand_in.put('op', 'config', CONFIGURATION)
        stand_in.put('servers', 'i-1', ENTRY)
        stand_in.put('servers', 'i-2', b'\xff')
        await stand_in.store.register((a_vm(),))
        reading = await stand_in.store.read_configuration()
        assert reading.revision == Revision(era=0, number=41)
        assert stand_in.store.decode_configuration(reading.raw).version == 7
        instances = (await stand_in.store.read_instances()).instances
        assert [item.instance_id for item in instances] == ['i-1']
        assert stand_in.store.metrics.events['bad_store_entry'] == 1
        assert (await stand_in.store.read_vms()).entries == (a_vm(),)


async def test_transactions_hold_as_many_rows_as_the_store_takes() -> None:
    async with StoreStandIn() as stand_in:
        vms = [a_vm(f'vm-{number}') for number in range(250)]
        await stand_in.store.register(vms)
        assert len(stand_in.rows['bronzewall-vms']) == 250
        assert stand_in.store.metrics.events['store_calls'] == 3


@pytest.mark.parametrize('garbled', [None, '', 'two', '-1'])
async def test_readings_state_the_era_of_the_store(garbled) -> None:
    # An answer without a readable era belongs to the last one known.
    async with StoreStandIn() as stand_in:
        for stated, era in (('3', 3), ('4', 4), (garbled, 4)):
            stand_in.era = stated
            reading = await stand_in.store.read_configuration()
            assert reading.revision == Revision(era=era, number=41)
        assert stand_in.store.metrics.events['store_eras'] == 2


async def test_watch_of_another_era_has_lost_its_history() -> None:
    # Guards against changes that are missed because the store, restored from a
    # copy, has assigned the revision of a watch again.
    async with StoreStandIn() as stand_in:
        after = Revision(era=1, number=3)
        stand_in.era = '1'
        await stand_in.store.read_configuration()
        assert await stand_in.store.watch_configuration(after=after, wait=1)
        stand_in.era = '2'
        for watch in (
            stand_in.store.watch_configuration,
            stand_in.store.watch_instances,
            stand_in.store.watch_vms,
        ):
            with pytest.raises(StoreHistoryLostError):
                await watch(after=after, wait=1)
        # Once the era is known, such a watch costs no call.
        assert len(stand_in.queries) == 3


async def test_answer_of_a_restored_store_is_not_dated_late() -> None:
    # Guards against a list that counts as newer than it is because the clock
    # of the restored store is ahead of the one before.
    async with StoreStandIn() as stand_in:
        stand_in.era = '1'
        await stand_in.store.read_instances()
        stand_in.era, stand_in.clock_ahead, stand_in.delay = '2', 0.2, 0.3
        sent_at = stand_in.store.clock.now()
        reading = await stand_in.store.read_instances()
        assert reading.confirmed_at == pytest.approx(sent_at, abs=0.05)


async def test_pages_of_different_eras_are_no_snapshot() -> None:
    # Guards against a list of instances of which one half is of a copy.
    async with StoreStandIn() as stand_in:
        stand_in.page = 2
        stand_in.eras = ['1', '1', '2']
        for number in range(5):
            stand_in.put('servers', f'i-{number}', ENTRY)
        with pytest.raises(StoreHistoryLostError):
            await stand_in.store.read_instances()


async def test_refusal_states_the_era_as_well() -> None:
    async with StoreStandIn() as stand_in:
        stand_in.status, stand_in.era = 503, '2'
        with pytest.raises(StoreUnavailableError):
            await stand_in.store.read_vms()
        assert stand_in.store.metrics.events['store_eras'] == 1


async def test_reports_of_instances_are_counted() -> None:
    async with StoreStandIn() as stand_in:
        stand_in.put('servers', 'i-1', {**ENTRY, 'sequence': 7})
        stand_in.put('servers', 'i-2', {**ENTRY, 'sequence': 'seven'})
        stand_in.put('servers', 'i-3', b'\xff')
        reading = await stand_in.store.read_instances()
        assert reading.report_counts_by_id == {'i-1': 7}


async def test_all_pages_are_read() -> None:
    async with StoreStandIn() as stand_in:
        stand_in.page = 2
        for number in range(5):
            stand_in.put('servers', f'i-{number}', ENTRY)
        reading = await stand_in.store.read_instances()
        assert len(reading.instances) == 5


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (410, StoreHistoryLostError),
        (429, StoreUnavailableError),
        (503, StoreUnavailableError),
    ],
)
async def test_failed_watch(status, error) -> None:
    async with StoreStandIn() as stand_in:
        stand_in.status = status
        with pytest.raises(error):
            await stand_in.store.watch_configuration(
                after=Revision(era=0, number=3), wait=1
            )
        assert stand_in.queries[0]['after'] == '3'
        assert stand_in.queries[0]['waitMs'] == '1000'


@pytest.mark.parametrize(
    'start',
    [
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nX-More: ',
        b'',
    ],
)
async def test_endless_answer_of_the_store_ends(start: bytes) -> None:
    chunk = b'10000\r\n' + b' ' * 65_536 + b'\r\n'

    async def script(connection, _number):
        await connection.read_request()
        with contextlib.suppress(OSError):
            await connection.send(start)
            while True:
                await connection.send(chunk if start else b'x' * 65_536)

    async with RawUpstream(script=script) as upstream:
        session = _open_store_session()
        store = PlatformStore(
            address=upstream.address,
            session=session,
            clock=SystemClock(),
            metrics=Metrics(),
            region_by_zone=REGIONS,
        )
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        with pytest.raises(StoreUnavailableError):
            await store.watch_instances(after=Revision(era=0, number=1), wait=5)
        grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
        # The watch of 5 s has not waited for its time limit.
        assert grown_kb < 50_000
        async with asyncio.timeout(1):
            await upstream.connections[0].closed.wait()
        await store.close()


async def test_read_timeout_is_longer_after_a_failure() -> None:
    async with StoreStandIn() as stand_in:
        stand_in.delay = 0.5
        with pytest.raises(StoreUnavailableError):
            await stand_in.store.read_instances()
        reading = await stand_in.store.read_instances()
        assert not reading.instances


# Guards against a bound on regions that is ignored or read too widely. The
# operators' API writes an empty list for entries without a bound.
@pytest.mark.parametrize(
    ('regions', 'bound'),
    [
        (None, None),
        ([], None),
        (['muscat'], {'muscat'}),
        (['muscat', 'unknown'], {'muscat', 'unknown'}),
    ],
)
def test_bound_on_regions(regions, bound) -> None:
    account = {**CONFIGURATION['tenants'][0], 'allowedRegions': regions}
    wire = {**with_route(allowedRegions=regions), 'tenants': [account]}
    found = decode_configuration(wire)
    assert found.routes[0].home_regions == bound
    assert found.accounts[0].home_regions == bound
    assert found.routes[1].home_regions is None


# Guards against a bound that cannot be read and is taken for none.
@pytest.mark.parametrize('regions', ['muscat', [3], [''], ['a', None], {}])
def test_unreadable_bound_on_regions_refuses_the_entry(regions) -> None:
    account = {**CONFIGURATION['tenants'][0], 'allowedRegions': regions}
    wire = {**with_route(allowedRegions=regions), 'tenants': [account]}
    found = decode_configuration(wire)
    assert not found.routes[0].traffic_split
    assert not found.accounts[0].is_usable
    assert found.routes[1].traffic_split


# Guards against a rate of cold instances that is not read, and against a bad
# one that is taken for none.
@pytest.mark.parametrize(
    ('service', 'rate'),
    [
        ({'name': 'drafts', 'warmup': 3, 'warmupPerS': 4}, 4),
        ({'name': 'drafts', 'warmup': 3}, None),
        ({'name': 'drafts', 'warmup': 3, 'warmupPerS': 'few'}, 0),
        ({'name': 'drafts', 'warmup': 'long', 'warmupPerS': 4}, 0),
        ({'name': 'drafts', 'warmup': 3, 'warmupPerS': -1}, 0),
        ({'warmup': 3, 'warmupPerS': 4}, None),
        ('drafts', None),
    ],
)
def test_rate_of_cold_instances(service, rate) -> None:
    wire = {**CONFIGURATION, 'services': [service]}
    found = decode_configuration(wire)
    rates = {name: start.rate for name, start in found.cold_starts.items()}
    assert rates.get('drafts') == rate
    assert len(found.routes) == 2


# Guards against an evacuation that is not read, because its row says nothing
# that can be read, and against rows that name no zone.
async def test_rows_of_evacuations() -> None:
    async with StoreStandIn() as stand_in:
        stand_in.put('op', 'config', CONFIGURATION)
        stand_in.put('op', 'evacuate/muscat-a', {})
        stand_in.put('op', 'evacuate/muscat-b', b'\xff')
        stand_in.put('op', 'evacuate/', {})
        stand_in.put('op', 'evacuated/muscat-c', {})
        reading = await stand_in.store.read_configuration()
        assert reading.is_whole
        assert reading.evacuated == {'muscat-a', 'muscat-b'}
        assert not reading.returned
        assert stand_in.store.metrics.events['bad_store_entry'] == 1


# Guards against a zone that stays evacuated after its row was removed.
async def test_removed_row_takes_a_zone_back() -> None:
    async with StoreStandIn() as stand_in:
        stand_in.put('op', 'evacuate/muscat-a', {})
        stand_in.deleted.add('evacuate/muscat-b')
        reading = await stand_in.store.watch_configuration(
            after=Revision(era=0, number=40), wait=1
        )
        assert not reading.is_whole
        assert (reading.evacuated, reading.returned) == (
            {'muscat-a'},
            {'muscat-b'},
        )
