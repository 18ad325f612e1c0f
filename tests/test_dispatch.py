"""The dispatcher: slots, queue, refusals and cancellation."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest
from builders import a_route, a_service, an_instance
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.config_model import Instance, Service
from bronzewall.dispatch import Dispatcher
from bronzewall.errors import (
    NoInstanceError,
    QueueFullError,
    UpstreamShedError,
)
from bronzewall.service_load import MAX_WAIT_S
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import AccountId

ROUTE = a_route()
SHED = UpstreamShedError('x')


def _service(*, slots: int = 1, instances: int = 1, **changes: Any) -> Service:
    found = [
        an_instance(f'i-{number}', slots=slots) for number in range(instances)
    ]
    return attrs.evolve(a_service(instances=found, routes=[ROUTE]), **changes)


def _dispatcher(**changes: Any) -> Dispatcher:
    return Dispatcher(random=random.Random(1), **changes)


async def _acquire(
    dispatcher: Dispatcher,
    service: Service,
    *,
    account: str = 'a',
    excluded: tuple[Instance, ...] = (),
    remaining: float = 10,
) -> Instance:
    return await dispatcher.acquire(
        service=service,
        route=ROUTE,
        account_id=AccountId(account),
        deadline=asyncio.get_running_loop().time() + remaining,
        excluded=frozenset(instance.instance_id for instance in excluded),
    )


def _run(main: Callable[[], Awaitable[None]]) -> None:
    async def wrapped() -> None:
        await main()

    run_virtual(wrapped())


@given(
    delays=st.lists(st.floats(0, 0.3), min_size=1, max_size=30),
    cancelled=st.sets(st.integers(0, 29)),
    slots=st.integers(1, 3),
)
def test_slots_are_not_exceeded_and_no_request_is_lost(
    delays: list[float], cancelled: set[int], slots: int
) -> None:
    """Guards against lost wake-ups, leaked slots and overcommitment."""

    async def main() -> None:
        dispatcher = _dispatcher()
        service = _service(slots=slots)
        running, peak = 0, 0

        async def one(delay: float) -> None:
            nonlocal running, peak
            await asyncio.sleep(delay)
            try:
                instance = await _acquire(dispatcher, service)
            except QueueFullError as exc:
                assert exc.retry_after >= 1
                return
            running += 1
            peak = max(peak, running)
            try:
                await asyncio.sleep(0.05)
            finally:
                running -= 1
                dispatcher.release(instance, is_served=True)

        tasks = [asyncio.create_task(one(delay)) for delay in delays]
        await asyncio.sleep(0.15)
        for number in cancelled & set(range(len(tasks))):
            tasks[number].cancel()
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        assert not any(isinstance(out, Exception) for out in outcomes)
        state = dispatcher.state_of(service)
        assert peak <= slots
        assert state.queue.length == 0
        assert sum(load.in_flight for load in state.loads_by_id.values()) == 0

    _run(main)


def test_request_is_refused_at_once_if_the_queue_is_full() -> None:
    """Guards against a caller that waits only to be refused."""

    async def main() -> None:
        dispatcher, service = _dispatcher(), _service(queue_limit=5)
        await _acquire(dispatcher, service)
        waits = [
            asyncio.create_task(_acquire(dispatcher, service)) for _ in '1234'
        ]
        await asyncio.sleep(0)
        waits += [
            asyncio.create_task(_acquire(dispatcher, service)) for _ in range(9)
        ]
        done, waiting = await asyncio.wait(waits, timeout=0.01)
        refused = [task for task in done if task.exception() is not None]
        assert refused
        assert len(waiting) <= 5
        for task in waiting:
            task.cancel()

    _run(main)


def test_queued_retry_blocks_no_request_and_times_out() -> None:
    """Guards against a retry that blocks others or waits without bound."""

    async def main() -> None:
        dispatcher, service = _dispatcher(), _service(instances=2)
        first = await _acquire(dispatcher, service)
        second = await _acquire(dispatcher, service)
        retry = asyncio.create_task(
            _acquire(dispatcher, service, excluded=(first,))
        )
        await asyncio.sleep(0)
        fresh = asyncio.create_task(_acquire(dispatcher, service))
        await asyncio.sleep(0)
        dispatcher.release(first, is_served=True)
        assert await fresh == first
        await asyncio.sleep(MAX_WAIT_S)
        with pytest.raises(QueueFullError):
            await retry
        dispatcher.release(second)

    _run(main)


def test_leaving_instance_gets_no_new_work() -> None:
    """Guards against requests to an instance that announced its drain."""

    async def main() -> None:
        dispatcher, service = _dispatcher(), _service(instances=2, slots=4)
        leaving = service.instances_by_id[
            (await _acquire(dispatcher, service)).instance_id
        ]
        dispatcher.observe_headers(leaving, [('X-Draining', '1')])
        others = [await _acquire(dispatcher, service) for _ in range(4)]
        assert leaving not in others
        for instance_id in service.instances_by_id:
            dispatcher.mark_leaving(instance_id)
        with pytest.raises(NoInstanceError):
            await _acquire(dispatcher, service)

    _run(main)


def test_instance_that_shed_is_blocked_for_a_pause() -> None:
    """Guards against a new request to an instance that has just shed one."""

    async def main() -> None:
        dispatcher, service = _dispatcher(), _service(instances=2, slots=9)
        full = await _acquire(dispatcher, service)
        dispatcher.release(full, error=SHED)
        chosen = [await _acquire(dispatcher, service) for _ in range(5)]
        assert full not in chosen
        await asyncio.sleep(1)
        chosen = [await _acquire(dispatcher, service) for _ in range(5)]
        assert full in chosen

    _run(main)


def test_new_instance_is_cold_and_a_removed_one_gets_nothing() -> None:
    """Guards against full load on an instance that was just configured."""

    async def main() -> None:
        dispatcher = _dispatcher()
        await _acquire(dispatcher, _service(slots=99))
        grown = _service(slots=99, instances=2)
        chosen = [await _acquire(dispatcher, grown) for _ in range(40)]
        names = [instance.instance_id for instance in chosen]
        assert names.count('i-1') < 10

    _run(main)


def test_low_weight_limits_traffic_while_requests_wait() -> None:
    """Guards against full load from repeated tries of queued requests."""

    async def main() -> None:
        dispatcher = _dispatcher(
            weight_of=lambda instance, _route: (
                0.1 if instance.instance_id == 'i-1' else 1
            )
        )
        service = _service(instances=2)
        runs: list[str] = []

        async def one() -> None:
            instance = await _acquire(dispatcher, service)
            await asyncio.sleep(0.05)
            runs.append(instance.instance_id)
            dispatcher.release(instance, is_served=True)

        for _ in range(200):
            tasks = [asyncio.create_task(one()) for _ in range(4)]
            await asyncio.gather(*tasks, return_exceptions=True)
        assert 0 < runs.count('i-1') < 0.25 * len(runs)

    _run(main)


def test_connections_are_shared_by_the_fleet() -> None:
    """Guards against more connections than an instance accepts."""

    async def main() -> None:
        dispatcher, service = _dispatcher(), _service(slots=4)
        state = dispatcher.state_of(service)
        caps = []
        for fleet_size in (1, 40, 120, 7700):
            state.limit_connections(fleet_size)
            caps.append(state.loads_by_id['i-0'].connection_cap)
        assert caps == [4, 4, 3, 1]

    _run(main)


def test_hedge_never_takes_a_slot_from_a_waiting_request() -> None:
    """Guards against second attempts that delay queued requests."""

    async def main() -> None:
        dispatcher, service = _dispatcher(), _service()
        held = await _acquire(dispatcher, service)
        waits = asyncio.create_task(_acquire(dispatcher, service))
        await asyncio.sleep(0)
        second = dispatcher.try_hedge(
            service=service, route=ROUTE, excluded=frozenset()
        )
        assert second is None
        dispatcher.release(held, is_served=True)
        dispatcher.release(await waits)

    _run(main)


def test_leaving_instance_counts_as_no_capacity() -> None:
    """Guards against a capacity floor that counts leaving instances."""

    async def main() -> None:
        services: list[str] = []
        dispatcher = _dispatcher(on_less_capacity=services.append)
        service = _service(instances=2)
        dispatcher.state_of(service)
        leaving, staying = service.instances_by_id.values()
        dispatcher.mark_leaving(leaving.instance_id)
        dispatcher.mark_leaving(leaving.instance_id)
        assert dispatcher.usable_fraction(leaving) == 0
        assert dispatcher.usable_fraction(staying) == 1
        assert services == [service.name]

    _run(main)
