"""Contract of the platform's ports, in memory and over HTTP."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import attrs
import pytest
from aiohttp.test_utils import TestServer
from builders import a_vm_record

from bronzewall.adapters.platform_http import PlatformClient, PlatformVmList
from bronzewall.adapters.system_clock import SystemClock
from bronzewall.errors import (
    ObjectMissingError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from bronzewall.standins.memory import MemoryPlatform, MemoryVmList
from bronzewall.standins.platform import PlatformStandin
from bronzewall.types import RowCheck, RowWrite


@attrs.frozen(kw_only=True)
class Ports:
    """The ports under test and the platform behind them."""

    store: Any
    vm_list: Any
    platform: MemoryPlatform


@asynccontextmanager
async def _memory() -> AsyncIterator[Ports]:
    platform = MemoryPlatform(clock=SystemClock())
    yield Ports(
        store=platform,
        vm_list=MemoryVmList(platform=platform),
        platform=platform,
    )


@asynccontextmanager
async def _http() -> AsyncIterator[Ports]:
    standin = PlatformStandin()
    server = TestServer(standin.application(), host='127.0.0.1')
    async with server, aiohttp.ClientSession() as session:
        client = PlatformClient(
            base_url=f'http://{server.host}:{server.port}', session=session
        )
        yield Ports(
            store=client,
            vm_list=PlatformVmList(client=client),
            platform=standin.platform,
        )


@pytest.fixture(params=[_memory, _http], ids=['memory', 'http'])
def opened(request: pytest.FixtureRequest) -> Iterator[Any]:
    """Return a context manager that opens the ports."""
    yield request.param


def _write(value: bytes | None, key: str = 'a') -> RowWrite:
    return RowWrite(table='t', key=key, value=value)


def _check(version: int, key: str = 'a') -> RowCheck:
    return RowCheck(table='t', key=key, version=version)


async def test_rows_have_growing_versions(opened: Any) -> None:
    """Guards against a version that is used twice, even after a delete."""
    async with opened() as ports:
        assert await ports.store.read(table='t', key='a') is None
        versions = []
        for value in (b'1', b'2', None, b'3'):
            await ports.store.transact(checks=[], writes=[_write(value)])
            row = await ports.store.read(table='t', key='a')
            versions.append(row.version if row else 0)
        assert versions[2] == 0
        del versions[2]
        assert versions == sorted(set(versions))


async def test_scan_returns_the_rows_of_a_prefix(opened: Any) -> None:
    """Guards against rows of another prefix or table."""
    async with opened() as ports:
        writes = [_write(b'1', key) for key in ('x/1', 'x/2', 'y/1')]
        await ports.store.transact(checks=[], writes=writes)
        found = await ports.store.scan(table='t', prefix='x/')
        assert sorted(found) == ['x/1', 'x/2']
        assert not await ports.store.scan(table='other', prefix='')


@pytest.mark.parametrize('wrong', [_check(99), _check(1, key='absent')])
async def test_failed_check_writes_nothing(
    opened: Any, wrong: RowCheck
) -> None:
    """Guards against a partially applied transaction."""
    async with opened() as ports:
        with pytest.raises(StoreConflictError):
            await ports.store.transact(
                checks=[_check(0), wrong], writes=[_write(b'1')]
            )
        assert await ports.store.read(table='t', key='a') is None


async def test_one_of_two_concurrent_transactions_succeeds(opened: Any) -> None:
    """Guards against a lost update."""
    async with opened() as ports:
        results = await asyncio.gather(
            *(
                ports.store.transact(checks=[_check(0)], writes=[_write(value)])
                for value in (b'1', b'2')
            ),
            return_exceptions=True,
        )
        conflicts = [
            result
            for result in results
            if isinstance(result, StoreConflictError)
        ]
        assert len(conflicts) == 1


Operation = Callable[[Ports], Awaitable[object]]
_OPERATIONS: dict[str, Operation] = {
    'read': lambda ports: ports.store.read(table='t', key='a'),
    'scan': lambda ports: ports.store.scan(table='t', prefix=''),
    'transact': lambda ports: ports.store.transact(
        checks=[], writes=[_write(b'1')]
    ),
    'time': lambda ports: ports.store.time(),
    'put': lambda ports: ports.store.put(name='n', body=b'1'),
    'get': lambda ports: ports.store.get(name='n'),
    'vm_list': lambda ports: ports.vm_list.read(),
}


@pytest.mark.parametrize('operation', _OPERATIONS.values(), ids=_OPERATIONS)
async def test_outage_is_reported_and_changes_nothing(
    opened: Any, operation: Operation
) -> None:
    """Guards against an operation that fails but takes effect."""
    async with opened() as ports:
        ports.platform.faults.is_down = True
        with pytest.raises(StoreUnavailableError):
            await operation(ports)
        assert not ports.platform.store.rows_by_table
        assert not ports.platform.store.objects_by_name


@pytest.mark.parametrize('operation', _OPERATIONS.values(), ids=_OPERATIONS)
async def test_slow_operations_complete(
    opened: Any, operation: Operation
) -> None:
    """Guards against treating a slow answer as an outage."""
    async with opened() as ports:
        await ports.store.put(name='n', body=b'1')
        ports.platform.faults.delay = 0.02
        await operation(ports)


async def test_lost_answer_of_a_write_that_took_effect(opened: Any) -> None:
    """Guards against reporting such a write as rejected."""
    async with opened() as ports:
        ports.platform.faults.lose_answers = 1
        with pytest.raises(StoreAnswerLostError):
            await ports.store.transact(checks=[], writes=[_write(b'1')])
        assert (await ports.store.read(table='t', key='a')).value == b'1'


async def test_timed_out_write_has_an_unknown_outcome() -> None:
    """Guards against reporting "not written" for a write applied later."""
    async with _http() as ports:
        ports.platform.faults.delay = 0.2
        client = attrs.evolve(ports.store, timeout=0.05)
        with pytest.raises(StoreAnswerLostError):
            await client.transact(checks=[], writes=[_write(b'1')])


async def test_objects_are_returned_whole(opened: Any) -> None:
    """Guards against reporting a missing object as an outage."""
    async with opened() as ports:
        body = bytes(range(256)) * 100
        await ports.store.put(name='config/x', body=body)
        assert await ports.store.get(name='config/x') == body
        with pytest.raises(ObjectMissingError):
            await ports.store.get(name='config/y')


async def test_vm_list_is_returned_unchanged(opened: Any) -> None:
    """Guards against records that change in transit."""
    async with opened() as ports:
        records = (a_vm_record('vm-1'), a_vm_record('vm-2', 'dhofar-b'))
        ports.platform.store.vm_records = records
        assert tuple(await ports.vm_list.read()) == records
