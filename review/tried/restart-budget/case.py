"""All processes are killed once while instances reject a part of their requests."""

import asyncio
import pathlib
import random
import sys
import time
from collections import Counter

from aiohttp import web

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / 'harness'))
import fleet as bench  # noqa: E402

# Rule BUDGET: arrivals beyond the first of each request in a window of 10 s.
RATIO, SLACK = bench.PARAMETERS['budgetRatio'], bench.PARAMETERS['budgetSlack']
TRAFFIC_S = 9.5
REQUESTS_PER_S = 16.0
REJECTED_SHARE = 0.55
KILL_AT_S = 4.0
RESTART_DELAY_S = 0.3
HERE = pathlib.Path(__file__).resolve().parent


async def case(trouble):
    fleet = bench.Fleet()
    await fleet.store.start()
    fleet.publish(
        routes=[bench.a_route('file', '/file/', 'non_idempotent', 'drafts', attempts=4)],
        tenants=[{'name': 'tenant-1', 'apiKeys': ['key-1']}],
    )
    choices = random.Random(1)

    async def reject_some(_instance, _request, arrival, echo):
        if choices.random() >= REJECTED_SHARE:
            return None
        arrival['outcome'] = 'rejected'
        return web.Response(status=503, headers={**echo, 'X-Not-Executed': '1'})

    for number in range(8):
        await fleet.add_instance(f'i-{number}', 'drafts', zone='ab'[number % 2], behave=reject_some)
    for number in range(4):
        zone = 'ab'[number % 2]
        fleet.add_vm(f'front-{zone}-{number // 2 + 1}', zone)
    try:
        await fleet.start_vms()
        await asyncio.sleep(bench.STABILITY_S)
        return await play(fleet, trouble)
    finally:
        await fleet.stop()


async def play(fleet, trouble):
    client = bench.Client(fleet)
    began = time.monotonic()
    tasks = []

    async def kill_all():
        await asyncio.sleep(KILL_AT_S)
        await asyncio.gather(*(vm.kill() for vm in fleet.vms))
        await asyncio.sleep(RESTART_DELAY_S)
        for vm in fleet.vms:
            await vm.start()

    if trouble:
        tasks.append(asyncio.create_task(kill_all()))
    number = 0
    while time.monotonic() - began < TRAFFIC_S:
        vm = fleet.vms[number % len(fleet.vms)]
        tasks.append(asyncio.create_task(
            client.send(vm, f'/file/{number}', method='POST', body=b'x' * 200)
        ))
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    return judge(fleet, client, began)


def judge(fleet, client, began):
    # The whole case is shorter than one window of the rule.
    arrivals = Counter(run['attempt'] for run in fleet.runs)
    repeated = sum(count - 1 for count in arrivals.values())
    span = max(run['at'] for run in fleet.runs) - min(run['at'] for run in fleet.runs)
    allowed = RATIO * len(client.sent) + SLACK
    lines = [
        f'requests sent {len(client.sent)}, arrived {len(arrivals)}, all arrivals {len(fleet.runs)} in {span:.2f} s',
        f'arrivals beyond the first of each request: {repeated}, allowed {allowed:.1f}',
        f"answers: {dict(Counter(one['status'] for one in client.sent))}",
        *(f"{one['at'] - began:.3f} {one['vm']} {one['path']} {one['status']}" for one in client.sent),
        *(f"{run['at'] - began:.3f} {run['instance']} {run['path']} {run['outcome']}" for run in fleet.runs),
    ]
    return bench.finish(HERE, lines, is_broken=repeated > allowed and span < 10)


bench.main(case)
