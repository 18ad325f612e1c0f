"""Propagation and freshness of configuration and keys under faults."""

import asyncio
import random
import time
from typing import Any

import cbor2
from config_faults import END_S, inject_faults, sleep_until
from config_operators import PUBLISHES, SERVICES, Operators, build_service
from config_world import REGIONS, STORE_REGION, Fleet, now
from harness import Target, run_bench

from bronzewall import publication_rows as rows
from bronzewall.publication import publish
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import Placement, ServiceName, VmId, VmRecord

_VMS = 40
_OPERATORS = 6
_ACCOUNTS = 8
_TICK_S = 0.1
_WARM_UP_S = 5.0
_P99 = 0.99
# Publishes of the second part, in which only store readers spread changes.
_READER_PUBLISHES = 30
TARGETS = (
    Target(figure='in_force_p99_s', at_most=2),
    Target(figure='in_force_by_readers_p99_s', at_most=2),
    Target(figure='withdrawn_key_ran_after_s', at_most=2),
    Target(figure='ran_after_accepted', at_most=0),
    Target(figure='reverted', at_most=0),
    Target(figure='lost_publishes', at_most=0),
    Target(figure='mixed_rows', at_most=0),
    Target(figure='never_in_force', at_most=0),
    Target(figure='publishes', at_least=PUBLISHES),
)


async def _watch(fleet: Fleet) -> None:
    while True:
        fleet.probe()
        fleet.check_serving()
        await asyncio.sleep(_TICK_S)


async def _run(seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    fleet = Fleet(rng=rng)
    zones = [f'{region}-{letter}' for letter in 'ab' for region in REGIONS]
    records = [
        VmRecord(
            vm_id=VmId(f'vm-{number:02}'),
            placement=Placement(
                region=zones[number % len(zones)].partition('-')[0],
                zone=zones[number % len(zones)],
            ),
            peer_address='127.0.0.1:9',
        )
        for number in range(_VMS)
    ]
    fleet.list_records({record.vm_id: record for record in records})
    operators = Operators(
        fleet=fleet,
        rng=random.Random(seed + 1),
        keys_by_account={
            f'account-{number}': [
                f'key-{number}-{serial}' for serial in range(PUBLISHES)
            ]
            for number in range(_ACCOUNTS)
        },
        serials=iter(range(1, 10_000)),
    )
    await _first_publish(fleet, operators)
    for record in records:
        fleet.start_vm(record)
    await asyncio.sleep(_WARM_UP_S)
    watch = asyncio.create_task(_watch(fleet))
    before = (
        fleet.network.messages,
        fleet.network.bytes_sent,
        fleet.store.reads,
    )
    started = now()
    await asyncio.gather(
        inject_faults(fleet),
        *(operators.run(number) for number in range(_OPERATORS)),
    )
    await sleep_until(END_S)
    seconds = now() - started
    await asyncio.gather(*operators.confirmations)
    report = _report(fleet, operators)
    traffic = (
        fleet.network.messages - before[0],
        fleet.network.bytes_sent - before[1],
        fleet.store.reads - before[2],
    )
    report.update(await _measure_readers(fleet, operators))
    report.update(
        {
            'virtual_s': seconds,
            'messages_per_vm_s': _ratio(traffic[0], seconds * _VMS),
            'bytes_per_vm_s': _ratio(traffic[1], seconds * _VMS),
            'store_reads_per_s': _ratio(traffic[2], seconds),
        }
    )
    watch.cancel()
    for vm in fleet.vms_by_id.values():
        await vm.kill()
    return report


async def _measure_readers(
    fleet: Fleet, operators: Operators
) -> dict[str, float]:
    """Return the delays when VMs get changes from store readers only."""
    first = max(fleet.stored_at) + 1
    operators.sends_changes = False
    operators.limit = operators.started + _READER_PUBLISHES
    await asyncio.gather(
        *(operators.run(number) for number in range(_OPERATORS))
    )
    await asyncio.gather(*operators.confirmations)
    lags = sorted(_lags(fleet, first))
    return {
        'in_force_by_readers_p50_s': lags[len(lags) // 2],
        'in_force_by_readers_p99_s': lags[int(len(lags) * _P99)],
        'in_force_by_readers_max_s': lags[-1],
    }


async def _first_publish(fleet: Fleet, operators: Operators) -> None:
    store = fleet.platform(STORE_REGION, VirtualClock())
    first = await publish(
        services=[build_service(name, 0) for name in SERVICES],
        accounts=operators.accounts(),
        publisher='operator-0',
        publication_id='first',
        table=store,
        objects=store,
    )
    assert first.generation is not None
    operators.publications['first'] = first.generation


def _report(fleet: Fleet, operators: Operators) -> dict[str, Any]:
    lags = sorted(_lags(fleet))
    counts = fleet.counts
    slowest_key = max(fleet.ran_after, key=fleet.ran_after.__getitem__)
    return {
        'publishes': len(operators.publications) - 1,
        'withdrawals': len(fleet.withdrawn_by_key),
        'in_force_p50_s': lags[len(lags) // 2],
        'in_force_p99_s': lags[int(len(lags) * _P99)],
        'in_force_max_s': lags[-1],
        'never_in_force': counts['never_in_force'],
        'withdrawn_key_ran_after_s': fleet.ran_after[slowest_key],
        'withdrawn_key_ran_at': fleet.ran_where[slowest_key],
        'ran_after_accepted': counts['ran_after_accepted'],
        'reported_accepted': counts['reported_accepted'],
        'reported_stored': counts['reported_stored'],
        'probes': counts['probes'],
        'reverted': counts['reverted'],
        'lost_publishes': _count_lost(fleet, operators),
        'mixed_rows': _count_mixed(fleet, operators),
        'conflicts': counts['conflicts'],
        'unknown_outcomes': counts['unknown'],
        'store_refusals': counts['store_refusals'],
        'falsely_suspected_share': _ratio(
            counts['false_suspicions'], counts['member_ticks']
        ),
        'keyed_refused_while_store_away_share': _ratio(
            counts['away_refused'], counts['away_ticks']
        ),
        'keyed_refused_while_store_away_and_region_cut_share': _ratio(
            counts['away_cut_refused'], counts['away_cut_ticks']
        ),
        'keyed_refused_while_store_answers_share': _ratio(
            counts['calm_refused'] + counts['calm_cut_refused'],
            counts['calm_ticks'] + counts['calm_cut_ticks'],
        ),
    }


def _lags(fleet: Fleet, first: int = 1) -> list[float]:
    found = []
    for generation, stored in fleet.stored_at.items():
        if generation < first:
            continue
        for vm in fleet.vms_by_id.values():
            at = vm.in_force_at(generation)
            if at is None and not vm.is_dead:
                fleet.counts['never_in_force'] += 1
            elif at is not None and not vm.had_fault(stored, at):
                found.append(at - fleet.readable_at(stored))
    return found


def _count_lost(fleet: Fleet, operators: Operators) -> int:
    """Return the number of publishes that lack their own generation."""
    table = fleet.store.rows_by_table[rows.CONFIG_TABLE]
    lost = sum(
        1
        for publication_id, generation in operators.publications.items()
        if cbor2.loads(table[rows.publication_key(publication_id)].value)
        != generation
    )
    generations = set(operators.publications.values())
    extra = set(fleet.stored_at) ^ generations
    return lost + len(extra)


def _count_mixed(fleet: Fleet, operators: Operators) -> int:
    """Return how many pairs of VM and service lack the last publish."""
    last: dict[str, int] = {}
    for generation in sorted(operators.stored):
        name, serial = operators.stored[generation]
        last[name] = serial
    wrong = 0
    for vm in fleet.vms_by_id.values():
        if vm.is_dead:
            continue
        services = vm.plane.feed.current().configuration.services_by_name
        wrong += sum(
            1
            for name, serial in last.items()
            if services[ServiceName(name)].queue_limit != serial
        )
    return wrong


def _ratio(count: float, base: float) -> float:
    return round(count / base, 5) if base else 0


def _measure(seed: int) -> dict[str, Any]:
    started = time.monotonic()
    report = run_virtual(_run(seed))
    report['wall_s'] = round(time.monotonic() - started, 1)
    return report


if __name__ == '__main__':
    run_bench(name='config', measure=_measure, targets=TARGETS)
