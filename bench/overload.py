"""Goodput, fairness and refusals at 0.5 to 4 times the capacity."""

import asyncio
import logging
import random
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import attrs
import structlog
from harness import Target, run_bench
from overload_fleet import (
    ACCOUNTS,
    INSTANCES,
    MEAN_SERVICE_S,
    SERVICE,
    SLOTS,
    VMS,
    FakeWriter,
    Fleet,
    build_fleet,
    caller_request,
    configuration,
)

from bronzewall.config_model import Instance, Service
from bronzewall.dispatch import Dispatcher
from bronzewall.errors import NoInstanceError
from bronzewall.locality import Locality, locality_of
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import ServiceName

# Requests per second. Service times of 100 ms limit the capacity to 480, so
# that the real decision code can run all levels in an acceptable wall time.
CAPACITY = INSTANCES * SLOTS / MEAN_SERVICE_S
WARM_UP_S = 4.0
# Offered load as multiples of the capacity.
LEVELS = (0.5, 1.0, 2.0, 4.0)
# Measured seconds of each level. An account's fair share is 480 requests in
# 8 s; random variation alone makes the worst of eight shares vary by about 2 %.
MEASURED_S = (4.0, 8.0, 16.0, 12.0)
BASELINE_WARM_UP_S = 0.25
BASELINE_MEASURED_S = 0.75
SHEDDING_S = 3.0
# Number of timed pairs of ``acquire`` and ``release``.
DECISIONS = 5000
WORKERS = 2
MANY_SERVICES = 1000
# The first account sends this many times the requests of any other one.
GREEDY_FACTOR = 5
_MS_PER_S = 1000
_OK = 200
_FAIR_SHARE_PER_S = CAPACITY / len(ACCOUNTS)


@attrs.define(kw_only=True, eq=False)
class Outcomes:
    """Outcomes of requests after the warm-up, as callers saw them."""

    offered_by_account: Counter[str] = attrs.field(factory=Counter)
    served_by_account: Counter[str] = attrs.field(factory=Counter)
    statuses: Counter[int] = attrs.field(factory=Counter)
    refusal_s: list[float] = attrs.field(factory=list)
    answer_s: list[float] = attrs.field(factory=list)


class RandomDispatcher:
    """Baseline: a random instance, no queue, unlimited retries."""

    def __init__(self, *, random: random.Random, placement: Any, **_: Any):
        self.random = random
        self.placement = placement
        self.weight_of = None
        self.states_by_service: dict[Any, Any] = {}

    async def acquire(
        self, *, service: Service, excluded: Any, **_: Any
    ) -> Any:
        candidates = [
            instance
            for instance in service.instances_by_id.values()
            if instance.instance_id not in excluded
        ]
        if not candidates:
            raise NoInstanceError('all instances tried')
        return self.random.choice(candidates)

    def release(self, instance: Instance, **_: Any) -> None:
        """Do nothing; no slot is held."""

    def may_retry(self, service: Service) -> bool:
        return True

    def observe_headers(self, instance: Instance, headers: Any) -> None:
        """Do nothing; load headers are ignored."""

    def is_remote(self, instance: Instance) -> bool:
        return (
            locality_of(self.placement, instance.placement) is Locality.REMOTE
        )


async def _send(
    fleet: Fleet, vm: int, account: str, outcomes: Outcomes, *, counted: bool
) -> None:
    writer = FakeWriter()
    loop = asyncio.get_running_loop()
    started = loop.time()
    await fleet.paths[vm].handle(caller_request(account), writer)
    if not counted:
        return
    seconds = loop.time() - started
    outcomes.statuses[writer.status] += 1
    if writer.status == _OK and writer.is_finished:
        outcomes.served_by_account[account] += 1
        outcomes.answer_s.append(seconds)
    else:
        outcomes.refusal_s.append(seconds)


async def _send_load(
    fleet: Fleet,
    *,
    rng: random.Random,
    rate: float,
    seconds: float,
    warm_up: float = WARM_UP_S,
) -> Outcomes:
    """Send Poisson arrivals, distributed unevenly over the VMs."""
    outcomes = Outcomes()
    vm_weights = [0.5 + rng.random() for _ in range(VMS)]
    account_weights = [
        GREEDY_FACTOR if account == ACCOUNTS[0] else 1 for account in ACCOUNTS
    ]
    exchange_tasks = [
        asyncio.create_task(_run_exchange(exchange, rng))
        for exchange in fleet.exchanges
    ]
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task[None]] = set()
    measured_from = loop.time() + warm_up
    until = measured_from + seconds
    is_counted = False
    while loop.time() < until:
        await asyncio.sleep(rng.expovariate(rate))
        if not is_counted and loop.time() >= measured_from:
            is_counted = True
            fleet.counts.clear()
        vm = rng.choices(range(VMS), vm_weights)[0]
        account = rng.choices(ACCOUNTS, account_weights)[0]
        outcomes.offered_by_account[account] += is_counted
        task = asyncio.create_task(
            _send(fleet, vm, account, outcomes, counted=is_counted)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    for exchange_task in exchange_tasks:
        exchange_task.cancel()
    return outcomes


async def _run_exchange(exchange: Any, rng: random.Random) -> None:
    # VMs start at different times, so their report rounds are not
    # synchronised.
    await asyncio.sleep(rng.random() / 4)
    await exchange.run()


def _measure_level(
    *, seed: int, level: float, is_baseline: bool
) -> dict[str, Any]:
    rng = random.Random(f'{seed}-{level}')
    in_force = configuration(retries=INSTANCES if is_baseline else 1)
    seconds, warm_up = MEASURED_S[LEVELS.index(level)], WARM_UP_S
    options = {}
    if is_baseline:
        options['dispatcher_for'] = RandomDispatcher
        seconds, warm_up = BASELINE_MEASURED_S, BASELINE_WARM_UP_S

    async def main() -> dict[str, Any]:
        fleet = build_fleet(rng=rng, in_force=in_force, **options)
        if is_baseline:
            fleet.exchanges.clear()
        outcomes = await _send_load(
            fleet,
            rng=rng,
            rate=CAPACITY * level,
            seconds=seconds,
            warm_up=warm_up,
        )
        return _summary(fleet, outcomes, seconds, warm_up)

    return run_virtual(main())


def _measure_shedding(seed: int) -> dict[str, Any]:
    """Return the figures while every instance sheds every request."""
    rng = random.Random(seed)

    async def main() -> dict[str, Any]:
        fleet = build_fleet(
            rng=rng, in_force=configuration(retries=1), is_shedding=True
        )
        await _send_load(fleet, rng=rng, rate=CAPACITY, seconds=SHEDDING_S)
        requests = sum(1 for name in fleet.counts if name.startswith('first '))
        return {
            'sends': fleet.counts['sends'],
            'amplification': round(fleet.counts['sends'] / requests, 4),
        }

    return run_virtual(main())


def _decision_us(services: int) -> float:
    """Return the time of one ``acquire`` and ``release`` in microseconds.

    :param services: number of further services that the dispatcher knows.
    """
    service = configuration(retries=1).services_by_name[SERVICE]
    route = next(iter(service.routes_by_id.values()))

    async def main() -> float:
        dispatcher = Dispatcher(random=random.Random(1))
        for number in range(services):
            other = attrs.evolve(service, name=ServiceName(str(number)))
            dispatcher.state_of(other)
        started = time.perf_counter()
        for _ in range(DECISIONS):
            instance = await dispatcher.acquire(
                service=service,
                route=route,
                account_id=None,
                deadline=10,
                excluded=frozenset(),
            )
            dispatcher.release(instance, is_served=True)
        return time.perf_counter() - started

    return round(asyncio.run(main()) / DECISIONS * 1e6, 1)


def _summary(
    fleet: Fleet, outcomes: Outcomes, seconds: float, warm_up: float
) -> dict[str, Any]:
    counts = fleet.counts
    # The fleet sets a key ``first ID`` for each request id sent upstream.
    requests = sum(1 for name in counts if name.startswith('first '))
    served = sum(outcomes.served_by_account.values())
    offered = sum(outcomes.offered_by_account.values())
    shares = {
        account: outcomes.served_by_account[account]
        / min(outcomes.offered_by_account[account], _FAIR_SHARE_PER_S * seconds)
        for account in ACCOUNTS
    }
    cross_region_bytes = sum(
        path.metrics.cross_region_bytes for path in fleet.paths
    )
    answered = sum(path.metrics.answered for path in fleet.paths)
    return {
        'goodput_per_s': round(served / seconds, 1),
        'goodput_of_capacity': round(served / seconds / CAPACITY, 4),
        'refused_share': round(1 - served / offered, 4),
        'worst_account_share': round(min(shares.values()), 4),
        'greedy_account_share': round(shares[ACCOUNTS[0]], 4),
        'shares': {name[-1]: round(share, 2) for name, share in shares.items()},
        'refusal_p99_ms': _quantile_ms(outcomes.refusal_s, 0.99),
        'answer_p50_ms': _quantile_ms(outcomes.answer_s, 0.5),
        'answer_p99_ms': _quantile_ms(outcomes.answer_s, 0.99),
        'sends_per_request': round(counts['sends'] / offered, 4),
        'amplification': round(counts['sends'] / max(requests, 1), 4),
        'sheds_per_send': round(counts['sheds'] / max(counts['sends'], 1), 4),
        'cross_region_share': round(
            # Each answer has 2048 bytes.
            cross_region_bytes / max(answered, 1) / 2048,
            4,
        ),
        'messages_per_vm_per_s': round(
            fleet.network.messages / VMS / (seconds + warm_up), 2
        ),
        'bytes_per_vm_per_s': round(
            fleet.network.bytes_sent / VMS / (seconds + warm_up)
        ),
    }


def _quantile_ms(values: list[float], fraction: float) -> float:
    if not values:
        return 0
    ranked = sorted(values)
    index = min(len(ranked) - 1, int(len(ranked) * fraction))
    return round(ranked[index] * _MS_PER_S, 2)


def _silence_logs() -> None:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )


def measure(seed: int) -> dict[str, Any]:
    """Return the figures of all levels, and of the baseline."""
    started = time.monotonic()
    # The longest runs start first, so that both workers finish together.
    with ProcessPoolExecutor(
        max_workers=WORKERS, initializer=_silence_logs
    ) as pool:
        runs = {
            (level, is_baseline): pool.submit(
                _measure_level, seed=seed, level=level, is_baseline=is_baseline
            )
            for is_baseline in (False, True)
            for level in reversed(LEVELS)
        }
        shedding = pool.submit(_measure_shedding, seed).result()
        levels = {f'{lv}x': runs[lv, False].result() for lv in LEVELS}
        baseline = {f'{lv}x': runs[lv, True].result() for lv in LEVELS}
    found = levels.values()
    peak = max(level['goodput_per_s'] for level in found)
    return {
        'goodput_ratio_4x': levels['4.0x']['goodput_of_capacity'],
        'goodput_4x_of_peak': round(levels['4.0x']['goodput_per_s'] / peak, 4),
        'worst_account_share': min(
            level['worst_account_share'] for level in found
        ),
        'refusal_p99_ms': max(level['refusal_p99_ms'] for level in found),
        'amplification': max(level['amplification'] for level in found),
        'cross_region_share': max(
            level['cross_region_share'] for level in found
        ),
        'decision_us': _decision_us(0),
        'decision_us_1000_services': _decision_us(MANY_SERVICES),
        'all_shed': shedding,
        'wall_s': round(time.monotonic() - started, 1),
        'levels': levels,
        'baseline': baseline,
    }


if __name__ == '__main__':
    run_bench(
        name='overload',
        measure=measure,
        targets=(
            Target(figure='goodput_ratio_4x', at_least=0.9),
            Target(figure='worst_account_share', at_least=0.95),
            Target(figure='refusal_p99_ms', at_most=50),
            Target(figure='amplification', at_most=1.1),
            Target(figure='all_shed.amplification', at_most=1.1),
        ),
    )
