"""Tests of publishing, also while the store fails."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs
import pytest
from builders import a_service, an_account

from bronzewall import publication_rows as rows
from bronzewall.config_feed import ConfigFeed
from bronzewall.errors import PublishConflictError, StoreUnavailableError
from bronzewall.publication import (
    Publication,
    PublishOutcome,
    publish,
    read_base,
)
from bronzewall.standins.faulty import FaultyPlatform
from bronzewall.standins.memory import MemoryPlatform, StoreData
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import ServiceName

_MAX_STEPS = 16


def _service(name: str = 'drafts', limit: int = 1) -> Any:
    return attrs.evolve(a_service(), name=ServiceName(name), queue_limit=limit)


async def _publish(
    platform: MemoryPlatform, publication_id: str = 'p', **changes: Any
) -> Publication:
    fields = {
        'services': [_service()],
        'accounts': None,
        'publisher': 'amal',
        'publication_id': publication_id,
        'table': platform,
        'objects': platform,
    }
    return await publish(**{**fields, **changes})


async def _read(store: StoreData) -> ConfigFeed:
    platform = MemoryPlatform(clock=VirtualClock(), store=store)
    feed = ConfigFeed(clock=platform.clock, table=platform, objects=platform)
    await feed.poll()
    return feed


def _run(main: Coroutine[Any, Any, Any]) -> Any:
    return run_virtual(main)


@pytest.mark.parametrize('fault', ['down', 'lost', 'late', 'hang'])
@pytest.mark.parametrize('step', range(1, _MAX_STEPS))
def test_each_fault_at_each_step(fault: str, step: int) -> None:
    """Guards against publishes that are lost, stored twice or misreported.

    Repeating a publish with its id leads to exactly one generation after
    any fault, and "nothing was published" is reported only if it is true.
    """

    async def main() -> None:
        store = StoreData()
        platform = FaultyPlatform(
            clock=VirtualClock(),
            store=store,
            failing_operation=step,
            fault=fault,
        )
        try:
            first = await _publish(platform, accounts=[an_account()])
        except StoreUnavailableError:
            first = None
        await asyncio.gather(*platform.delayed_writes, return_exceptions=True)
        if first is None:
            assert rows.CONFIG_TABLE not in store.rows_by_table
        clean = MemoryPlatform(clock=VirtualClock(), store=store)
        repeated = await _publish(clean, accounts=[an_account()])
        assert repeated.generation == 1
        if first is not None and first.outcome is PublishOutcome.STORED:
            assert first.generation == 1
            assert first.change is not None
            assert first.change.bodies_by_part
        feed = await _read(store)
        assert feed.generation == 1
        assert list(feed.current().configuration.services_by_name) == ['drafts']

    _run(main())


def test_two_services_at_the_same_time_both_succeed() -> None:
    """Guards against a conflict caused only by the generation row."""

    async def main() -> None:
        platform = MemoryPlatform(clock=VirtualClock())
        platform.faults.delay = 0.01
        names = ('drafts', 'intake', 'cluebank')
        await asyncio.gather(
            *(
                _publish(platform, name, services=[_service(name)])
                for name in names
            )
        )
        feed = await _read(platform.store)
        found = feed.current().configuration.services_by_name
        assert (feed.generation, sorted(found)) == (3, sorted(names))

    _run(main())


def test_same_service_at_the_same_time_conflicts() -> None:
    """Guards against a lost update between two operators."""

    async def main() -> None:
        platform = MemoryPlatform(clock=VirtualClock())
        platform.faults.delay = 0.01
        results = await asyncio.gather(
            _publish(platform, 'p1', publisher='amal'),
            _publish(platform, 'p2', publisher='badr'),
            return_exceptions=True,
        )
        lost = [res for res in results if isinstance(res, Exception)]
        assert len(lost) == 1
        assert isinstance(lost[0], PublishConflictError)
        winner = 'badr' if results[0] is lost[0] else 'amal'
        assert (lost[0].part, lost[0].publisher) == ('drafts', winner)

    _run(main())


@pytest.mark.parametrize('changes_accounts', [False, True])
def test_publish_based_on_an_older_row_conflicts(
    changes_accounts: bool,
) -> None:
    """Guards against overwriting a publish newer than the base versions."""
    change: dict[str, Any] = {'services': [_service(limit=2)]}
    if changes_accounts:
        change = {'services': [], 'accounts': [an_account('other')]}

    async def main() -> None:
        platform = MemoryPlatform(clock=VirtualClock())
        await _publish(platform, 'p1', accounts=[an_account()])
        base = await read_base(platform, services=[ServiceName('drafts')])
        await _publish(platform, 'p2', publisher='badr', base=base, **change)
        with pytest.raises(PublishConflictError, match='was published by badr'):
            await _publish(platform, 'p3', base=base, **change)

    _run(main())


def test_repeated_id_changes_nothing() -> None:
    """Guards against undoing a later publish by repeating an old one."""

    async def main() -> None:
        platform = MemoryPlatform(clock=VirtualClock())
        await _publish(platform, 'p1')
        await _publish(platform, 'p2', services=[_service(limit=7)])
        repeated = await _publish(platform, 'p1')
        feed = await _read(platform.store)
        services = feed.current().configuration.services_by_name
        assert (repeated.generation, feed.generation) == (1, 2)
        assert services[ServiceName('drafts')].queue_limit == 7

    _run(main())


def test_removed_service_and_account_are_no_longer_found() -> None:
    """Guards against keys and routes that stay in use after removal."""

    async def main() -> None:
        platform = MemoryPlatform(clock=VirtualClock())
        await _publish(platform, 'p1', accounts=[an_account()])
        feed = await _read(platform.store)
        await _publish(
            platform,
            'p2',
            services=[],
            removed=[ServiceName('drafts')],
            accounts=[an_account('other', key_digests=())],
        )
        await feed.poll()
        in_force = feed.current()
        assert not in_force.configuration.services_by_name
        assert not len(in_force.keys)
        assert in_force.routes.find(method='GET', path='/drafts/1') is None

    _run(main())
