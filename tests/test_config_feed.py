"""Tests that generations are applied whole and in ascending order."""

import random
from typing import Any

import attrs
import pytest
from builders import a_configuration, a_route, a_service, an_account
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzewall.config_codec import PartEntry
from bronzewall.config_feed import ConfigFeed
from bronzewall.config_state import ConfigState, state_of
from bronzewall.errors import SnapshotError, StoreError
from bronzewall.publication import publish
from bronzewall.standins.memory import MemoryPlatform, StoreData
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import AccountId, ServiceName

_NAMES = ('drafts', 'intake')
_VMS = 3


def _service(name: str, serial: int) -> Any:
    route = a_route(route_id=f'{name}/read', service=name, path=f'/{name}/*')
    return attrs.evolve(
        a_service(routes=[route]), name=ServiceName(name), queue_limit=serial
    )


def _feed(platform: MemoryPlatform) -> ConfigFeed:
    return ConfigFeed(clock=platform.clock, table=platform, objects=platform)


def _serials(feed: ConfigFeed) -> dict[str, int]:
    services = feed.current().configuration.services_by_name
    return {name: services[name].queue_limit for name in services}


@attrs.define(kw_only=True)
class FeedWorld:
    """A store, the VMs that read it and the published generations.

    :param seen_states: every state that a VM had after a poll.
    :param serial: number of the newest publish; each service carries the
        number of its own newest publish as its queue limit.
    """

    store: StoreData = attrs.field(factory=StoreData)
    feeds: list[ConfigFeed] = attrs.field(factory=list)
    seen_states: list[ConfigState] = attrs.field(factory=list)
    serials_by_generation: dict[int, dict[str, int]] = attrs.field(factory=dict)
    serial: int = 0

    def __attrs_post_init__(self) -> None:
        """Start the VMs."""
        self.feeds = [_feed(self._platform()) for _ in range(_VMS)]

    async def publish(self, number: int, *, is_lost: bool) -> None:
        """Publish one service; the store's first answer may be lost."""
        self.serial += 1
        name = _NAMES[number % len(_NAMES)]
        platform = self._platform()
        platform.faults.lose_answers = int(is_lost)
        stored = await publish(
            services=[_service(name, self.serial)],
            accounts=None,
            publisher=f'operator-{number}',
            publication_id=f'p{self.serial}',
            table=platform,
            objects=platform,
        )
        assert stored.generation == len(self.serials_by_generation) + 1
        before = self.serials_by_generation.get(stored.generation - 1, {})
        self.serials_by_generation[stored.generation] = {
            **before,
            name: self.serial,
        }

    async def poll(self, number: int, *, is_down: bool) -> None:
        """Let one VM poll; the poll fails if the store is down."""
        feed = self.feeds[number % _VMS]
        platform: Any = feed.table
        platform.faults.is_down = is_down
        try:
            await feed.poll()
        except StoreError:
            assert is_down
        self.seen_states.append(feed.state)

    def resend_state(self, number: int, choice: int, have: int) -> None:
        """Send a VM an earlier state as a change, possibly a second time."""
        if not self.seen_states:
            return
        state = self.seen_states[choice % len(self.seen_states)]
        changes = state.changes_since(have)
        try:
            self.feeds[number % _VMS].apply_change(
                generation=state.generation,
                digest=state.digest,
                changes=changes,
                bodies_by_part=state.bodies_by_part,
            )
        except SnapshotError:
            # The change starts from a generation that this VM never had.
            assert have > 0

    def restore(self, number: int, choice: int) -> None:
        """Replace a VM by a new one, empty or with an earlier state."""
        feed = _feed(self._platform())
        self.feeds[number % _VMS] = feed
        if choice % 2:
            self.resend_state(number, choice, 0)

    async def step(
        self, kind: str, number: int, choice: int, flag: bool
    ) -> None:
        """Run one step of a schedule."""
        if kind == 'publish':
            await self.publish(number, is_lost=flag)
        elif kind == 'poll':
            await self.poll(number, is_down=flag)
        elif kind == 'resend':
            self.resend_state(number, choice, choice % 4)
        else:
            self.restore(number, choice)

    def check(self) -> None:
        """Compare every VM with the contents of its generation."""
        for feed in self.feeds:
            if feed.generation:
                assert (
                    _serials(feed)
                    == self.serials_by_generation[feed.generation]
                )

    def _platform(self) -> MemoryPlatform:
        return MemoryPlatform(clock=VirtualClock(), store=self.store)


_steps = st.tuples(
    st.sampled_from(['publish', 'poll', 'resend', 'restore']),
    st.integers(0, 5),
    st.integers(0, 20),
    st.booleans(),
)


@settings(max_examples=150)
@given(st.lists(_steps, min_size=5, max_size=40))
def test_any_schedule_applies_generations_whole_and_in_order(
    schedule: list[tuple[str, int, int, bool]],
) -> None:
    """Guards against reverts, lost publishes and mixed generations."""

    async def main() -> None:
        world = FeedWorld()
        for step in schedule:
            before = [(feed, feed.generation) for feed in world.feeds]
            await world.step(*step)
            assert all(feed.generation >= had for feed, had in before)
            world.check()
        for number in range(_VMS if world.serials_by_generation else 0):
            await world.poll(number, is_down=False)
            assert world.feeds[number].generation == len(
                world.serials_by_generation
            )

    run_virtual(main())


@pytest.mark.parametrize('behind', [1, 3, 30])
def test_vm_that_is_behind_reads_only_what_changed(behind: int) -> None:
    """Guards against loading the whole configuration for each change."""

    async def main() -> None:
        world = FeedWorld()
        await world.publish(0, is_lost=False)
        await world.publish(1, is_lost=False)
        feed = world.feeds[0]
        await feed.poll()
        untouched = feed.state.bodies_by_part['service/intake']
        for _ in range(behind):
            await world.publish(0, is_lost=False)
        await feed.poll()
        assert feed.generation == behind + 2
        assert feed.state.bodies_by_part['service/intake'] is untouched

    run_virtual(main())


def _damaged(state: ConfigState, part: str) -> dict[str, Any]:
    return {'bodies_by_part': {**state.bodies_by_part, part: b'other'}}


@pytest.mark.parametrize(
    'damage',
    [
        _damaged,
        lambda state, part: {'bodies_by_part': {}},
        lambda state, part: {'digest': b'other'},
        lambda state, part: {'changes': {}},
        lambda state, part: {
            'changes': {part: PartEntry(generation=1, digest=b'')}
        },
    ],
)
def test_damaged_change_is_refused_whole(damage: Any) -> None:
    """Guards against applying bodies that do not match the manifest."""
    platform = MemoryPlatform(clock=VirtualClock())
    feed = _feed(platform)
    feed.apply_configuration(a_configuration())
    state = state_of(
        a_configuration(generation=2, services=[_service('intake', 2)])
    )
    part = next(iter(state.entries_by_part))
    fields = {
        'generation': 2,
        'digest': state.digest,
        'changes': state.entries_by_part,
        'bodies_by_part': state.bodies_by_part,
    }
    with pytest.raises(SnapshotError):
        feed.apply_change(**{**fields, **damage(state, part)})
    assert feed.generation == 1
    assert list(feed.current().configuration.services_by_name) == ['drafts']


def test_accounts_are_found_in_their_parts() -> None:
    """Guards against accounts that are lost between parts."""
    accounts = [
        an_account(f'account-{number}', rate=float(number), key_digests=())
        for number in range(300)
    ]
    random.Random(1).shuffle(accounts)
    feed = _feed(MemoryPlatform(clock=VirtualClock()))
    feed.apply_configuration(a_configuration(accounts=accounts))
    found = feed.current().configuration.accounts_by_id
    assert len(found) == len(accounts)
    assert found[AccountId('account-7')].rate == 7
    assert AccountId('account-300') not in found
