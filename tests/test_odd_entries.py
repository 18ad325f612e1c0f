"""Odd entries, messages and headers concern only themselves."""

import asyncio
import base64
import contextlib
import json
import math
import socket
import sys
import zlib
from collections.abc import AsyncIterator, Iterable
from typing import Any

import aiohttp
import attrs
import cbor2
import pytest
from edge_builders import (
    NAMES,
    PATH,
    a_caller_request,
    a_vm,
    an_edge_instance,
    an_edge_vm,
)
from edge_fleet import settled
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs
from test_instance_http import WHOLE, a_request
from test_platform_adapter import (
    CONFIGURATION,
    ENTRY,
    JSON_VALUES,
    REGIONS,
    StoreStandIn,
)
from yarl import URL

from bronzewall.adapters.instance_http import open_instance_client
from bronzewall.adapters.platform_http import PlatformClient, PlatformVmList
from bronzewall.adapters.system_clock import SystemClock
from bronzewall.adapters.tcp_probe import (
    accepts_connections,
    refuses_connections,
)
from bronzewall.adapters.websocket_link import WebSocketLink
from bronzewall.config_model import Instance
from bronzewall.edge.composition import _open_store_session
from bronzewall.edge.directory import Directory
from bronzewall.edge.model import EdgeConfiguration, EdgeInstance, VmEntry
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest, Revision
from bronzewall.edge.relay import _retry_after
from bronzewall.edge.relay_peers import RelayPeer
from bronzewall.edge.zone_messages import MemberReport
from bronzewall.edge.zone_packing import (
    pack_instances,
    pack_vms,
    unpack_instances,
    unpack_vms,
)
from bronzewall.errors import (
    AddressError,
    ConnectFailedError,
    PeerMessageError,
    RunIdError,
    StoreEntryError,
    StoreError,
    StoreUnavailableError,
    UpstreamBrokenError,
)
from bronzewall.headers import RELAY, REQUEST_ID
from bronzewall.messages import Envelope, decode, encode
from bronzewall.metrics import Metrics
from bronzewall.platform import decoding
from bronzewall.platform.configuration import ConfigurationDecoder
from bronzewall.platform.store import PlatformStore
from bronzewall.run_tokens import _to_text, parse_token
from bronzewall.standins.raw_upstream import RawUpstream
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import InstanceId, Placement, ServiceName, VmId
from bronzewall.wire_checks import (
    is_plain_text,
    shown,
    split_address,
    whole_number,
)

DEEP = '[' * 100_000 + ']' * 100_000
# Texts of JSON values that no field has, or of which few have one.
ODD_VALUES = (
    'null',
    'true',
    '""',
    '" "',
    r'"\ud800"',
    r'"a\u0000"',
    r'"a\r\nX: y"',
    r'"\u2028"',
    json.dumps('x' * 100_000),
    '"é"',
    '"-1"',
    '-1',
    '-9e999',
    '0',
    '0.5',
    '1e-320',
    '1e308',
    '1e400',
    'NaN',
    'Infinity',
    str(2**53),
    str(2**64),
    str(10**16),
    str(10**400),
    str(10**4000),
    '9' * 5000,
    '[]',
    '{}',
    '[["a"]]',
    DEEP,
    '{"a":' * 100_000 + '1' + '}' * 100_000,
    '"h:99999"',
    r'"h:\u00b2"',
    '"u@h/p?q#f:80"',
    '"[::1]:80"',
    f'"{"9" * 5000}"',
)
MANY_REQUESTS = 40

NO_ADDRESSES = (
    '',
    ':80',
    '80',
    'h',
    'h:',
    'h:0',
    'h:00',
    'h:65536',
    'h:99999',
    'h:-1',
    'h:+1',
    'h:0x50',
    'h:8_0',
    'h:²',
    'h:80 ',
    'h:80\n',
    f'h:{"9" * 5000}',
    'a..b:80',
    '.:80',
    f'{"a" * 64}:80',
    f'{"a." * 200}b:80',
    '::1:80',
    '[::1:80',
    '[h]:80',
    '[fe80::1%eth0]:80',
    'h h:80',
    'h/p:80',
    'h?q:80',
    'h#f:80',
    'u@h:80',
    'h\0:80',
    'h\r\nX: y:80',
    'h\ud800:80',
    'é:80',
)


@pytest.mark.parametrize('address', NO_ADDRESSES)
def test_no_address(address: str) -> None:
    with pytest.raises(AddressError) as raised:
        split_address(address)
    assert len(str(raised.value)) < 200


@pytest.mark.parametrize(
    ('address', 'host', 'port'),
    [
        ('10.0.0.1:8080', '10.0.0.1', 8080),
        ('drafts_1.example.:1', 'drafts_1.example.', 1),
        ('h:065535', 'h', 65535),
        ('[::1]:80', '::1', 80),
    ],
)
def test_address(address: str, host: str, port: int) -> None:
    assert split_address(address) == (host, port)


@pytest.mark.parametrize('address', ['127.0.0.1:99999', 'a..b:80', 'h\0:80'])
async def test_probe_of_no_address_fails_like_any_other(address: str) -> None:
    # Guards against a check of the path to a service that ends by an exception
    # and leaves the path lost for the rest of the process.
    assert not await accepts_connections(address)
    instance = Instance(
        instance_id=InstanceId('i-1'),
        address=address,
        placement=Placement(region='muscat', zone='muscat-a'),
        slots=1,
    )
    assert await refuses_connections(instance)


@pytest.mark.parametrize(
    ('text', 'found'),
    [
        ('0', 0),
        ('007', 7),
        ('7', 7),
        ('101', 100),
        ('9' * 5000, 100),
        ('0' * 5000, 0),
        ('', None),
        ('-1', None),
        ('1.5', None),
        ('²', None),
        ('٣', None),
        (' 1', None),
    ],
)
def test_whole_number(text: str, found: int | None) -> None:
    # Guards against ``int`` on texts that ``isdigit`` takes and ``int`` not.
    assert whole_number(text, limit=100) == found


def test_plain_text() -> None:
    assert is_plain_text('é b', limit=3)
    for text in ('', 'abcd', 'a\n', '\ud800', '\0', '\u2028'):
        assert not is_plain_text(text, limit=3)


def test_any_value_is_shown_in_short() -> None:
    # Guards against log lines as long as an entry, and against the repr of a
    # deeply nested value or a long number, which raises an exception.
    deep: list = []
    for _ in range(100_000):
        deep = [deep]
    for value in (deep, 'a' * 10**6, 10**5000, {1: {2: ['x' * 10**6, 0]}}):
        assert len(shown(value)) < 150
    assert shown('x') == "'x'"


def odd_rows(document: dict[str, Any]) -> Iterable[bytes]:
    """Yield rows with one odd value in each field, twice, or at the end."""
    wholes = {name: json.dumps(found) for name, found in document.items()}
    for name in (*document, 'newField'):
        for odd in ODD_VALUES:
            yield object_of({**wholes, name: odd})
        # Of two fields of one name, the last one counts.
        whole = object_of(wholes)
        yield whole[:-1] + f', "{name}": {wholes.get(name, 7)}}}'.encode()
    yield from (odd.encode() for odd in ODD_VALUES)
    yield from (
        whole[:-1],
        b'\xff' + whole,
        b'',
        whole.decode().encode('utf-16'),
    )


def object_of(texts_by_name: dict[str, str]) -> bytes:
    members = (f'"{name}": {text}' for name, text in texts_by_name.items())
    return f'{{{", ".join(members)}}}'.encode()


def put_in_force(document: dict[str, Any] | bytes) -> EdgeConfiguration | None:
    """Decode a configuration and put it in force, if it can be read."""
    raw = document
    if not isinstance(document, bytes):
        raw = json.dumps(document).encode()
    try:
        found = ConfigurationDecoder().decode(raw)
    except StoreEntryError as exc:
        assert len(str(exc)) < 250
        return None
    Directory().accept(found, raw=raw, source='test')
    # Names are sent in headers and messages.
    for name in (
        *(one.account_id for one in found.accounts),
        *(share.service for one in found.routes for share in one.traffic_split),
    ):
        assert name.isprintable()
    return found


def with_account(**changes: object) -> dict[str, Any]:
    """Return a configuration with a second, changed account."""
    first = CONFIGURATION['tenants'][0]
    second = {**first, 'name': 'y', 'apiKeys': ['k-2'], **changes}
    return {**CONFIGURATION, 'tenants': [first, second]}


@pytest.mark.parametrize(
    'change',
    [
        {'apiKeys': ['\ud800']},
        {'apiKeys': ['k-2', 'a\nb']},
        {'name': '\ud800'},
        {'name': 'y\r\nX: z'},
        {'name': 'y' * 10_000},
    ],
)
def test_account_with_a_text_that_cannot_be_sent(change) -> None:
    # Guards against a configuration that ends the reader of the store, a list
    # of demands that cannot be encoded, and instances that count as failing
    # because of a header.
    found = put_in_force(with_account(**change))
    assert found is not None
    assert [one.account_id for one in found.accounts] == ['x']
    assert found.has_unreadable_accounts


def test_rows_of_configurations_with_odd_values() -> None:
    # Guards against an exception that no reader of the configuration expects.
    for raw in odd_rows(CONFIGURATION):
        put_in_force(raw)
    for part in ('routes', 'tenants'):
        for entry in CONFIGURATION[part]:
            for raw in odd_rows(entry):
                whole = json.dumps({**CONFIGURATION, part: ['?']}).encode()
                put_in_force(whole.replace(b'"?"', raw))


@given(
    part=st.sampled_from(['routes', 'tenants', 'limits', 'configVersion']),
    odd=JSON_VALUES,
)
def test_any_part_of_a_configuration(part: str, odd: object) -> None:
    put_in_force({**CONFIGURATION, part: odd})
    put_in_force({**CONFIGURATION, part: [odd]})


async def test_row_that_stays_odd_is_logged_once() -> None:
    # Guards against a log line for each report of an instance whose entry
    # cannot be read, and for each of two rows of one key.
    async with StoreStandIn() as stand_in:
        with capture_logs() as lines:
            for number in range(3):
                odd = {**ENTRY, 'serviceName': 'x' * 9_000, 'sequence': number}
                stand_in.put('servers', 'i-1', odd)
                stand_in.put('bronzewall-vms', 'i-1', odd)
                await stand_in.store.read_instances()
                await stand_in.store.read_vms()
        ignored = [
            line for line in lines if line['event'] == 'store_entry_ignored'
        ]
        assert [line['table'] for line in ignored] == [
            'servers',
            'bronzewall-vms',
        ]
        assert max(len(str(line)) for line in ignored) < 400
        assert stand_in.store.metrics.events['bad_store_entry'] == 6


async def test_row_that_is_odd_again_is_logged_again() -> None:
    async with StoreStandIn() as stand_in:
        with capture_logs() as lines:
            for document in (b'', ENTRY, b''):
                stand_in.put('servers', 'i-1', document)
                await stand_in.store.read_instances()
        names = [line['event'] for line in lines]
        assert names.count('store_entry_ignored') == 2
        assert len(stand_in.store._logged_errors) == 1


def decoded_instance(key: str, raw: bytes) -> EdgeInstance | None:
    try:
        return decoding.decode_instance(key, raw, region_by_zone=REGIONS)
    except StoreEntryError as exc:
        assert len(str(exc)) < 250
        return None


def check_is_used(*instances: EdgeInstance) -> None:
    """Use instances beside a good one, as a leader, follower and sender."""
    assert unpack_instances(pack_instances(instances)) == instances
    for item in instances:
        host, port = split_address(item.address)
        url = URL(f'http://{item.address}{PATH}', encoded=True)
        assert (url.host, url.port, url.path) == (host, port, PATH)

    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance('good'), *instances)
        for _ in range(MANY_REQUESTS):
            vm.tick()
            assert (await vm.ask()).status == 200
        vm.leader.send_zone_summaries()
        assert vm.path.in_flight == 0

    run_virtual(main())


def test_odd_rows_of_instances() -> None:
    # Guards against an entry that decodes well and ends a task, a request or
    # the sending of lists later.
    raws = list(odd_rows(ENTRY))
    found = [decoded_instance(f'i-{at}', raw) for at, raw in enumerate(raws)]
    used = [item for item in found if item is not None]
    assert len(used) < len(raws) / 2
    check_is_used(*used)


@pytest.mark.parametrize(
    'key', ['', 'a\n', '\ud800', '\0', 'x' * 1000, 'i-1\r\nX: y']
)
def test_instance_whose_id_cannot_be_sent(key: str) -> None:
    # Guards against a failed attempt at each request that the entry attracts.
    raw = json.dumps(ENTRY).encode()
    assert decoded_instance(key, raw) is None


@pytest.mark.parametrize(
    ('name', 'odd'),
    [
        ('address', '10.0.0.1:99999'),
        ('address', 'h/p:80'),
        ('address', 'u@h:80'),
        ('serviceName', '\ud800'),
        ('serviceName', 'x' * 1000),
        ('zone', '\ud800'),
        ('zone', ''),
        ('capacitySlots', -1),
        ('capacitySlots', 10**400),
        ('capacitySlots', 1.5),
        ('warmupLeft', 10**14),
        ('warmupLeft', math.nan),
        ('born', -1),
        ('born', 10**400),
        ('born', 1.5),
        ('born', None),
    ],
)
def test_instance_with_a_value_that_none_has(name: str, odd: object) -> None:
    # Guards against requests that are sent to another path or to no server, a
    # list that cannot be packed, and a start that hides all later ones.
    raw = json.dumps({**ENTRY, name: odd}).encode()
    assert decoded_instance('i-1', raw) is None


@given(
    name=st.sampled_from([*ENTRY, 'newField']),
    odd=JSON_VALUES,
    key=st.text(max_size=5),
)
def test_any_row_of_an_instance_is_used_or_left_out(
    name: str, odd: object, key: str
) -> None:
    raw = json.dumps({**ENTRY, name: odd}).encode()
    found = decoded_instance(key, raw)
    if found is not None:
        check_is_used(found)


async def test_odd_rows_leave_the_other_instances() -> None:
    # Guards against a list that is not read because of one entry.
    async with StoreStandIn() as stand_in:
        for number, raw in enumerate(odd_rows(ENTRY)):
            stand_in.put('servers', f'i-{number}', raw)
        stand_in.put('servers', 'good', ENTRY)
        reading = await stand_in.store.read_instances()
        assert 'good' in {item.instance_id for item in reading.instances}
        assert stand_in.store.metrics.events['bad_store_entry'] > 100


def decoded_vm(key: str, raw: bytes) -> VmEntry | None:
    try:
        return decoding.decode_vm(key, raw)
    except StoreEntryError as exc:
        assert len(str(exc)) < 250
        return None


def check_vms_are_used(*entries: VmEntry) -> None:
    """Use VMs in elections, in lists, as peers and as relays."""
    assert unpack_vms(pack_vms(entries)) == entries

    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone()
        for entry in entries:
            vm.fleet.add(entry)
        for _ in range(MANY_REQUESTS):
            vm.tick()
            vm.leader.send_zone_summaries()
            await vm.clock.sleep(0.1)
        # A VM that reaches no instance asks the others.
        vm.instances.accepts = lambda _address: False
        vm.instances.behaviours_by_id['i-1'] = refuse_connection
        for _ in range(MANY_REQUESTS):
            status = (await vm.ask()).status
            assert status == 503, status
        assert not vm.path.metrics.refusals['internal_error']

    run_virtual(main())


async def refuse_connection(request: InstanceRequest) -> InstanceAnswer:
    raise ConnectFailedError(request.address)


VM_ROW = json.loads(decoding.encode_vm(a_vm('vm-2')))


def test_odd_rows_of_vms() -> None:
    # Guards against an entry that decodes well and ends a task later.
    raws = list(odd_rows(VM_ROW))
    found = [decoded_vm(f'vm-{at + 2}', raw) for at, raw in enumerate(raws)]
    used = [entry for entry in found if entry is not None]
    assert len(used) < len(raws) / 2
    check_vms_are_used(*used)


@pytest.mark.parametrize(
    ('name', 'odd'),
    [
        ('address', '10.0.0.1:99999'),
        ('zone', '\ud800'),
        ('region', 'x' * 1000),
        ('strength', 0),
        ('strength', 10**14),
        ('started_ms', -1),
        ('started_ms', 10**14),
    ],
)
def test_vm_with_a_value_that_none_has(name: str, odd: object) -> None:
    # Guards against requests that fail because work is divided by strength 0,
    # a list that cannot be packed, and a VM that precedes all others.
    raw = json.dumps({**VM_ROW, name: odd}).encode()
    assert decoded_vm('vm-2', raw) is None


@given(name=st.sampled_from([*VM_ROW, 'newField']), odd=JSON_VALUES)
def test_any_row_of_a_vm_is_used_or_left_out(name: str, odd: object) -> None:
    raw = json.dumps({**VM_ROW, name: odd}).encode()
    found = decoded_vm('vm-2', raw)
    if found is not None:
        assert unpack_vms(pack_vms((found,))) == (found,)


DEEP_CBOR = b'\x81' * 100_000 + b'\x80'


def packed_rows(*rows: object) -> bytes:
    return zlib.compress(cbor2.dumps(list(rows)))


@pytest.mark.parametrize(
    ('unpack', 'good', 'position', 'odd'),
    [
        *(
            (unpack_instances, an_edge_instance(), *case)
            for case in (
                (0, 7),
                (0, 'i\n'),
                (1, []),
                (2, '10.0.0.1:99999'),
                (2, None),
                (3, ['', '']),
                (3, [['a'], {'b': 1}]),
                (4, 'four'),
                (4, 0),
                (4, math.nan),
                (5, 'yes'),
                (6, math.nan),
                (6, -1),
                (7, 2**70),
            )
        ),
        *(
            (unpack_vms, a_vm(), *case)
            for case in (
                (0, ''),
                (1, ['', 'a']),
                (2, 'h'),
                (3, 0),
                (3, math.inf),
                (4, 1.5),
            )
        ),
    ],
)
def test_odd_row_of_a_packed_list(unpack, good, position, odd) -> None:
    # Guards against a leader of an earlier build, which passes on entries
    # that this one leaves out: one of them broke each request or task.
    row = list(attrs.astuple(good))
    row[position] = odd
    packed = packed_rows(row, attrs.astuple(good))
    with capture_logs() as lines:
        assert unpack(packed) == (good,)
    assert [line['event'] for line in lines] == ['packed_entry_ignored']
    assert len(str(lines)) < 500


@pytest.mark.parametrize('unpack', [unpack_instances, unpack_vms])
@pytest.mark.parametrize(
    'raw',
    [
        DEEP_CBOR,
        cbor2.dumps({'a': 1}),
        cbor2.dumps(7),
        cbor2.dumps([7]),
        cbor2.dumps([{}]),
        cbor2.dumps([None]),
        b' ' * 40_000_000,
    ],
)
def test_packed_list_of_another_form(unpack, raw: bytes) -> None:
    # Guards against an exception that ends the connection to the leader, and
    # against a list that takes all memory.
    with pytest.raises(PeerMessageError):
        unpack(zlib.compress(raw))


@pytest.mark.parametrize(
    'odd',
    ['127.0.0.1:99999', 'a..b:80', 'u@h:80', 'h\0:80', 'no-port', '[h:1'],
)
async def test_peer_whose_address_was_odd_gets_messages(odd: str) -> None:
    # Guards against the end of the task that sends to a VM, which then gets no
    # message until this process starts again.
    arrived = asyncio.Event()
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{probe.getsockname()[1]}'
    receiving = WebSocketLink(listen=address)
    receiving.on_payload(lambda _payload: arrived.set())
    await receiving.start()
    sending = WebSocketLink(listen='127.0.0.1:1')
    peer = VmId('vm-2')
    sending.set_addresses({peer: odd})
    sending.send(to=peer, payload=b'lost')
    while not sending.counters['connection_lost']:
        await asyncio.sleep(0.01)
        assert not sending._tasks_by_id[peer].done()
    sending.set_addresses({peer: address})
    async with asyncio.timeout(10):
        while not arrived.is_set():
            sending.send(to=peer, payload=b'x')
            await asyncio.sleep(0.05)
    await sending.stop()
    await receiving.stop()


@pytest.mark.parametrize(
    'change',
    [
        {'strength': math.nan},
        {'strength': 0},
        {'address': 'h:99999'},
        {'started_ms': -1},
        {'vm_id': VmId('vm\n')},
        {'placement': Placement(region='', zone='a')},
    ],
)
def test_report_with_an_odd_entry_of_its_sender(change) -> None:
    # Guards against a VM of an earlier build that states such an entry in its
    # reports: NaN has no rank, so VMs would follow different leaders.
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone()
        odd = a_vm('vm-2', **change)
        report = Envelope(
            sender=VmId('vm-2'),
            incarnation=1,
            sequence=1,
            body=MemberReport(stamp=1, entry=odd),
        )
        with capture_logs() as lines:
            for _ in range(3):
                vm.leader.handle_report(report)
        assert list(vm.fleet.entries_by_id) == ['vm-1']
        assert [line['event'] for line in lines] == ['vm_entry_ignored']

    run_virtual(main())


GOOD_VALUE = base64.b64encode(json.dumps(ENTRY).encode()).decode()
ANSWER = {
    'tableRows': [{'key': 'good', 'value': GOOD_VALUE}],
    'schemaVersion': 41,
    'now': 1.5,
}


def answers_with(body: bytes) -> Any:
    """Return a script that answers each request with a body."""

    async def script(connection: Any, _number: int) -> None:
        while True:
            await connection.read_request()
            await connection.send(
                b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
            )

    return script


@contextlib.asynccontextmanager
async def store_that_answers(body: bytes) -> AsyncIterator[PlatformStore]:
    async with RawUpstream(script=answers_with(body)) as upstream:
        store = PlatformStore(
            address=upstream.address,
            session=_open_store_session(),
            clock=SystemClock(),
            metrics=Metrics(),
            region_by_zone=REGIONS,
        )
        yield store
        await store.close()


@pytest.mark.parametrize('name', [*ANSWER, 'hasMore'])
@pytest.mark.parametrize('odd', ODD_VALUES)
async def test_answer_of_the_store_with_an_odd_field(
    name: str, odd: str
) -> None:
    # Guards against a reader that ends: it expects only errors of the store.
    wholes = {key: json.dumps(found) for key, found in ANSWER.items()}
    body = object_of({**wholes, name: odd})
    async with store_that_answers(body) as store:
        sent_at = store.clock.now()
        with contextlib.suppress(StoreError):
            reading = await store.watch_instances(
                after=Revision(era=0, number=1), wait=0
            )
            # Nothing that the store states makes a list newer than it is.
            assert sent_at <= reading.confirmed_at <= store.clock.now()
            assert {item.instance_id for item in reading.listed} <= {'good'}


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'7', DEEP.encode(), b'\xff', b'"a"', b'null']
)
async def test_answer_of_the_store_of_another_form(body: bytes) -> None:
    # Guards against a reader that ends: it expects only errors of the store.
    async with store_that_answers(body) as store:
        with pytest.raises(StoreUnavailableError) as raised:
            await store.read_instances()
        assert len(str(raised.value)) < 250


@pytest.mark.parametrize('odd', ODD_VALUES)
async def test_value_that_is_not_encoded_leaves_the_other_rows(
    odd: str,
) -> None:
    # Guards against a list that is not read because of one row.
    wholes = {key: json.dumps(found) for key, found in ANSWER.items()}
    good = json.dumps(ANSWER['tableRows'][0])
    rows = f'[{{"key": "odd", "value": {odd}}}, {good}]'
    body = object_of({**wholes, 'tableRows': rows})
    async with store_that_answers(body) as store:
        with contextlib.suppress(StoreUnavailableError):
            found = (await store.read_instances()).instances
            assert [item.instance_id for item in found] == ['good']
            assert store.metrics.events['bad_store_entry'] == 1
            return
        # Such a value makes the whole answer invalid JSON.
        assert odd == DEEP or odd.startswith('{"a":{') or len(odd) == 5000


@pytest.mark.parametrize('name', 'vtfin')
@pytest.mark.parametrize(
    'odd',
    [10**5000, [[[[1]]]], None, b'', {1: 2}],
    ids=['long', 'nested', 'none', 'bytes', 'map'],
)
def test_envelope_with_an_odd_field(name: str, odd: object) -> None:
    # Guards against an exception that ends the connection of a peer: numbers
    # of more than 4,300 digits have no decimal form for an error.
    payload = encode(
        Envelope(
            sender=VmId('vm-2'),
            incarnation=1,
            sequence=1,
            body=MemberReport(stamp=1),
        )
    )
    wire = {**cbor2.loads(payload), name: odd}
    if isinstance(odd, int) and name in 'in':
        assert decode(cbor2.dumps(wire)).sender == 'vm-2'
        return
    with pytest.raises(PeerMessageError) as raised:
        decode(cbor2.dumps(wire))
    assert len(str(raised.value)) < 250


@pytest.mark.parametrize(
    'body',
    [b'', b'\xff', cbor2.dumps(10**400), cbor2.dumps([7]), b'\x81' * 100_000],
    ids=['empty', 'break', 'long', 'list', 'nested'],
)
@pytest.mark.parametrize(
    'call',
    [
        lambda client: client.read(table='t', key='a'),
        lambda client: client.scan(table='t', prefix=''),
        lambda client: client.time(),
        lambda client: PlatformVmList(client=client).read(),
    ],
    ids=['read', 'scan', 'time', 'vms'],
)
async def test_answer_of_the_table_service_of_another_form(call, body) -> None:
    # Guards against a loop that ends: it expects only errors of the store.
    async with RawUpstream(script=answers_with(body)) as upstream:
        async with aiohttp.ClientSession() as session:
            client = PlatformClient(
                base_url=f'http://{upstream.address}', session=session
            )
            with pytest.raises(StoreUnavailableError):
                await call(client)


@pytest.mark.parametrize('odd', ['inf', '1e400', 'nan', '-5', 'x', '9' * 5000])
def test_refusal_of_a_relay_with_an_odd_pause(odd: str) -> None:
    # Guards against a caller without an answer: the refusal that this VM
    # passes on could not be written.
    answer = InstanceAnswer(
        status=503, headers=(('Retry-After', odd),), body=b''
    )
    assert _retry_after(answer) is None


def test_refusal_of_a_relay_that_cannot_be_read() -> None:
    # Guards against an exception in place of a lost answer.
    async def main() -> None:
        vm = an_edge_vm()
        answer = InstanceAnswer(
            status=503, headers=((REQUEST_ID, 'r-1'),), body=DEEP.encode()
        )
        peer = RelayPeer(
            service=ServiceName('drafts'),
            vm_id=VmId('vm-2'),
            address='h:1',
            ticket='t',
            used_until=0,
        )
        with pytest.raises(UpstreamBrokenError):
            vm.path.sender.relay._check_refusal(peer, None, answer)

    run_virtual(main())


def test_run_id_with_a_time_beyond_any_float() -> None:
    # Guards against status 500 for an id that a caller has made up.
    fields = ['vm-1', 1, 10**400, 'one', b'n']
    with pytest.raises(RunIdError):
        parse_token(f'{_to_text(cbor2.dumps(fields))}.x')


@pytest.mark.parametrize('age', [math.nan, -math.inf, -5.0, math.inf])
def test_list_with_an_odd_age(age: float) -> None:
    # Guards against a list that no later one replaces.
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance('i-1'))
        now = vm.clock.now()
        vm.catalog.adopt((an_edge_instance('i-2'),), confirmed_at=now - age)
        await asyncio.sleep(1)
        assert vm.catalog.adopt(
            (an_edge_instance('i-3'),), confirmed_at=vm.clock.now()
        )
        assert list(vm.catalog.instances_by_id) == ['i-3']

    run_virtual(main())


def fail(_given: object) -> None:
    raise KeyError('unexpected')


def test_reader_goes_on_after_an_unexpected_error() -> None:
    # Guards against a leader that follows the store no more after one error.
    async def main() -> None:
        fleet = await settled('a')
        vm = fleet.vms['a']
        on_removed = vm.catalog.on_removed
        vm.catalog.on_removed = fail
        fleet.list_instances(an_edge_instance('i-8'))
        await asyncio.sleep(1)
        assert vm.reader.events['store_reader_failed'] > 0
        assert vm.reader.events['store_reader_failed'] < 10
        vm.catalog.on_removed = on_removed
        fleet.list_instances(an_edge_instance('i-9'))
        await asyncio.sleep(2)
        assert [item.instance_id for item in vm.catalog.usable('drafts')] == [
            'i-9'
        ]
        await fleet.stop()

    run_virtual(main())


def test_endpoint_goes_on_after_an_unexpected_error() -> None:
    # Guards against a handler whose error ends the connection of a peer.
    async def main() -> None:
        vm = an_edge_vm()
        endpoint = vm.leader.endpoint
        endpoint.serve(MemberReport, fail)
        payload = encode(
            Envelope(
                sender=VmId('vm-2'),
                incarnation=1,
                sequence=1,
                body=MemberReport(stamp=1),
            )
        )
        endpoint.receive(payload)
        assert endpoint.counters['handler_failed'] == 1

    run_virtual(main())


ODD_DIGITS = ('²', '٣', '9' * 400, '9' * 5000, '-1', '1.5', '0x10', '1_0', '')


@pytest.mark.parametrize('odd', ODD_DIGITS)
async def test_whole_answer_with_an_odd_idle_timeout(odd: str) -> None:
    # Guards against a complete answer that is taken for a broken exchange
    # because of one of its headers.
    client = open_instance_client(NAMES)
    line = f'Keep-Alive: timeout={odd}\r\nT-Seal'.encode()

    async def script(connection: Any, _number: int) -> None:
        await connection.read_request()
        await connection.send(WHOLE.replace(b'T-Seal', line))

    async with RawUpstream(script=script) as upstream:
        answer = await client.send(a_request(upstream.address))
    assert answer.body == b'body'
    await client.session.close()


@pytest.mark.parametrize('odd', ODD_DIGITS)
@pytest.mark.parametrize('name', ['T-Deadline', RELAY, 'Content-Length'])
def test_request_with_an_odd_number_in_a_header(name: str, odd: str) -> None:
    # Guards against an exception that the request path does not expect: the
    # caller got status 500, or no answer.
    headers = [item for item in a_caller_request().headers if item[0] != name]
    text = f'ticket {odd} {odd}' if name == RELAY else odd
    request = a_caller_request(headers=(*headers, (name, text)))

    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone()
        # A greater version than that of this VM is refused as always.
        assert (await vm.ask(request)).status in {200, 503}
        assert not vm.path.metrics.refusals['internal_error']

    run_virtual(main())


@pytest.mark.parametrize('odd', ['9' * 400, '9' * 5000])
async def test_era_of_the_store_beyond_any_number(odd: str) -> None:
    # Guards against a store that counts as unreachable because of one header.
    async with StoreStandIn() as stand_in:
        stand_in.era = odd
        reading = await stand_in.store.read_instances()
        assert reading.revision.era == sys.maxsize
