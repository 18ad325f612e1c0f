"""Room for answers that callers have not taken, without a network."""

import asyncio
import copy
import random

import attrs
import pytest
from edge_builders import (
    EdgeVm,
    a_caller_request,
    an_edge_account,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.standins.memory_fleet import MemoryAnswer
from bronzewall.standins.virtual_time import run_virtual

_LARGE = 500_000
_LIMIT = 8_000_000
_ACCOUNTS = 'abc'


@attrs.define(kw_only=True, eq=False)
class SlowReader:
    """A caller's connection.

    :param size: bytes of its answer.
    :param left: bytes of it that the caller does not take at once.
    :param untaken: bytes that it has not taken.
    """

    size: int
    left: int
    untaken: int = 0


@attrs.define(kw_only=True, eq=False)
class Readers:
    """A VM whose callers take as much of their answers as a test says."""

    vm: EdgeVm
    readers: list[SlowReader] = attrs.field(factory=list)

    async def ask(
        self,
        size: int = _LARGE,
        *,
        account: str = 'a',
        path: str = '/drafts/7',
        left: int | None = None,
    ) -> MemoryAnswer:
        """Send one request.

        :param left: bytes of its answer that the caller does not take.
        """
        reader = SlowReader(size=size, left=size if left is None else left)
        changed = {
            'Authorization': f'Bearer {account}',
            'T-Attempt': str(len(self.readers)),
        }
        self.readers.append(reader)
        request = a_caller_request(target=path, path=path)
        headers = [
            (name, changed.get(name, text)) for name, text in request.headers
        ]
        return await self.vm.ask(
            attrs.evolve(
                request, headers=headers, untaken=lambda: reader.untaken
            )
        )

    async def answer(self, request: InstanceRequest) -> InstanceAnswer:
        """Answer as the only instance."""
        await asyncio.sleep(0.05)
        reader = self.readers[int(request.attempt_id)]
        reader.untaken = reader.left
        return InstanceAnswer(status=200, headers=(), body=bytes(reader.size))

    async def fill(self, *, account: str = 'a', path: str = '/drafts/7') -> int:
        """Send requests until one is refused; return how many were served."""
        for count in range(100):
            answer = await self.ask(account=account, path=path)
            if answer.status != 200:
                assert answer.status == 503
                assert b'"ran": "no"' in answer.body
                assert dict(answer.headers)['Retry-After'] == '0.50'
                return count
        return 100

    @property
    def total(self) -> int:
        return self.vm.path.room.total


def some_readers() -> Readers:
    vm = an_edge_vm(held_answer_bytes=_LIMIT)
    vm.serve_alone(
        an_edge_instance(slots=1000),
        configuration=an_edge_configuration(
            routes=(
                an_edge_route(),
                an_edge_route(route_id='r-2', prefix='/small/'),
            ),
            accounts=tuple(
                an_edge_account(
                    account_id=name, keys=(name,), rate=1000, burst=500
                )
                for name in _ACCOUNTS
            ),
        ),
    )
    found = Readers(vm=vm)
    vm.instances.behaviours_by_id['i-1'] = found.answer
    return found


def test_one_caller_takes_half_of_the_room() -> None:
    # Guards against a caller of large answers that takes the memory of others.
    async def main() -> None:
        world = some_readers()
        assert await world.fill() == 8
        assert world.total == 8 * _LARGE
        assert await world.fill(account='b') == 4
        assert await world.fill(account='c') == 2
        assert world.total < _LIMIT
        refused = world.vm.sender.metrics.events['answer_room_refused']
        assert refused == 3

    run_virtual(main())


def test_small_answers_are_served_beside_large_ones() -> None:
    # Guards against a caller whose downloads refuse its other requests.
    async def main() -> None:
        world = some_readers()
        await world.ask(1000, path='/small/1')
        await world.fill()
        for _ in range(20):
            answer = await world.ask(1000, path='/small/1')
            assert answer.status == 200

    run_virtual(main())


def test_room_is_free_once_callers_have_taken_their_answers() -> None:
    # Guards against bytes that count for ever, also those of connections
    # that were lost: these have no bytes left.
    async def main() -> None:
        world = some_readers()
        await world.fill()
        for reader in world.readers:
            reader.untaken //= 2
        await asyncio.sleep(1)
        assert await world.fill() == 4
        for reader in world.readers:
            reader.untaken = 0
        await asyncio.sleep(1)
        assert await world.fill() == 8

    run_virtual(main())


@pytest.mark.parametrize('count', [1, 30])
def test_fast_callers_are_not_refused(count: int) -> None:
    # Guards against room that is taken by answers that nobody waits for.
    async def main() -> None:
        world = some_readers()
        for _ in range(count):
            answers = await asyncio.gather(
                *(world.ask(left=0) for _ in range(6))
            )
            assert {one.status for one in answers} == {200}
        assert not world.total

    run_virtual(main())


def test_answer_that_is_ready_is_delivered_without_room() -> None:
    # Guards against work that has run and is thrown away: sizes are known
    # only when the answers are there.
    async def main() -> None:
        world = some_readers()
        answers = await asyncio.gather(*(world.ask() for _ in range(30)))
        assert {one.status for one in answers} == {200}
        assert world.total == 30 * _LARGE
        assert await world.fill() == 0

    run_virtual(main())


def test_refused_request_takes_no_token() -> None:
    # Guards against a refusal that costs the caller a part of its rate.
    async def main() -> None:
        world = some_readers()
        await world.fill()
        admission = world.vm.state.admission
        before = copy.deepcopy(attrs.asdict(admission))
        assert (await world.ask()).status == 503
        assert attrs.asdict(admission) == before

    run_virtual(main())


@given(seed=st.integers(0, 10_000))
def test_bytes_are_counted_once(seed: int) -> None:
    """Guards against a total that drifts from what is held."""

    async def main() -> None:
        chance = random.Random(seed)
        world = some_readers()
        tasks = []
        for _ in range(40):
            size = chance.choice([1000, 20_000, _LARGE])
            account = chance.choice(_ACCOUNTS)
            tasks.append(asyncio.create_task(world.ask(size, account=account)))
            await asyncio.sleep(chance.uniform(0, 0.1))
            chance.choice(world.readers).untaken = 0
            if chance.random() < 0.1:
                chance.choice(tasks).cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        room = world.vm.path.room
        assert room.total == sum(held.size for held in room._held)
        assert room.total == sum(room._bytes_by_user.values())
        for reader in world.readers:
            reader.untaken = 0
        await asyncio.sleep(1)
        room._look()
        assert (room.total, len(room._held), room._bytes_by_user) == (0, 0, {})

    run_virtual(main())
