"""A planned stop cuts off requests that wait in the VM for a retry."""

import asyncio
import pathlib
import signal
import sys
import time
from collections import Counter

from aiohttp import web

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'harness'))
import fleet as bench  # noqa: E402

GRACE_S = bench.PARAMETERS['grace']
LOSS_SLACK_S = 0.2
LEFT_OUT_AFTER_S = 2.0
LAST_SENT_S = 2.5
WORK_S, SLOTS, QUEUE, INSTANCES = 0.5, 2, 2, 4
PER_S = 28.0
TIMEOUT_S, TARGET_S, LIMIT_MS = 8, 4, 15_000
STOP_AT_S = 8.0
HERE = pathlib.Path(__file__).resolve().parent


async def case(trouble):
    fleet = bench.Fleet()
    await fleet.store.start()
    fleet.publish(
        routes=[
            bench.a_route('read', '/read/', 'idempotent', 'drafts', timeout=TIMEOUT_S, targetLatency=TARGET_S),
            bench.a_route('file', '/file/', 'non_idempotent', 'drafts', timeout=TIMEOUT_S, targetLatency=TARGET_S),
            bench.a_route('bundle', '/bundle/', 'download', 'archive'),
        ],
        tenants=[{'name': 'tenant-1', 'apiKeys': ['key-1']}],
    )
    gates, load = {}, Counter()

    async def work(instance, _request, arrival, echo):
        name = instance.instance_id
        if load[name] >= SLOTS + QUEUE:
            arrival['outcome'] = 'rejected'
            return web.Response(status=503, headers={**echo, 'X-Not-Executed': '1'})
        gate = gates.setdefault(name, asyncio.Semaphore(SLOTS))
        load[name] += 1
        try:
            async with gate:
                arrival['began'] = time.monotonic()
                await asyncio.sleep(WORK_S)
        finally:
            load[name] -= 1
            arrival['ended'] = time.monotonic()

    for number in range(INSTANCES):
        await fleet.add_instance(
            f'i-{number}', 'drafts', zone='ab'[number % 2], behave=work, work_s=0, slots=SLOTS
        )
    await fleet.add_instance('i-archive', 'archive')
    for zone in 'ab':
        fleet.add_vm(f'front-{zone}-1', zone)
    try:
        await fleet.start_vms()
        await asyncio.sleep(bench.STABILITY_S)
        return await play(fleet, trouble)
    finally:
        await fleet.stop()


async def play(fleet, trouble):
    client = bench.Client(fleet)
    stopping, other = fleet.vms
    began = time.monotonic()
    tasks, kept = [], []
    stopped_at = None
    number = 0
    while (passed := time.monotonic() - began) < STOP_AT_S + 7:
        if trouble and stopped_at is None and passed >= STOP_AT_S:
            stopped_at = time.monotonic()
            stopping.process.send_signal(signal.SIGTERM)
        if STOP_AT_S - 1 < passed < STOP_AT_S and len(kept) < PER_S:
            kept.append(await client.connect(stopping))
        vm, connection = fleet.vms[number // 2 % 2], None
        if trouble and passed > STOP_AT_S + LEFT_OUT_AFTER_S:
            if passed > STOP_AT_S + LAST_SENT_S or not kept:
                vm = other
            if vm is stopping:
                connection = kept.pop()
        path, method = (f'/file/{number}', 'POST') if number % 2 else (f'/read/{number}', 'GET')
        tasks.append(asyncio.create_task(client.send(
            vm, path, method=method, body=b'x' * 100 if number % 2 else b'', limit_ms=LIMIT_MS,
            connection=connection,
        )))
        number += 1
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    return judge(fleet, client, stopped_at, began)


def judge(fleet, client, stopped_at, began):
    arrivals = {}
    for run in fleet.runs:
        arrivals.setdefault(run['attempt'], []).append(run)
    lost = []
    for one in client.sent:
        if one['status'] or one.get('error') in {'TimeoutError', 'ConnectionRefusedError'}:
            continue
        if stopped_at is not None and one['ended'] > stopped_at + GRACE_S + 1:
            continue
        held = one['ended'] - one['at']
        tries = arrivals.get(one['attempt'], [])
        # Counted: read as a whole, and no instance ever took it; all that it reached turned it away.
        is_untaken = all(run['outcome'] == 'rejected' for run in tries)
        if LOSS_SLACK_S < held < TIMEOUT_S and is_untaken:
            lost.append((one, held, bool(tries)))
    ends = Counter(one['status'] or one.get('error') for one in client.sent if one['vm'] == 'front-a-1')
    lines = [
        f'sent to the stopping VM: {ends}',
        f'SIGTERM at {stopped_at - began:.2f} s' if stopped_at else 'no SIGTERM',
        f'ended without an answer while no instance worked on them: {len(lost)}',
        *(
            f"sent {one['at'] - (stopped_at or 0):.2f} s after SIGTERM, {one['method']}, held {held:.2f} s, "
            f"{'rejected before' if tried else 'never passed on'}"
            for one, held, tried in lost
        ),
        *(
            f"{one['at'] - began:.3f} {one['vm']} {one['method']} {one['path']} "
            f"{one['status'] or one.get('error')} after {one['ended'] - one['at']:.3f} s"
            for one in client.sent
        ),
    ]
    return bench.finish(HERE, lines, is_broken=bool(lost))


bench.main(case)
