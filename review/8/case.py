"""Connections of one VM are reset once; a much used page is then refused."""

import asyncio
import pathlib
import sys
import time
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'harness'))
import fleet as bench  # noqa: E402

FLOOR_SHARE = 0.7
WINDOW_S = 2.0
# Share of a machine's connections that one disturbance resets, and times.
RESET_SHARE = 0.5
RESETS_AT = (5.0,)
TRAFFIC_S = 26.0
PAGE = '/read/start'
PAGE_PER_S, OTHERS_PER_S = 24.0, 40.0
WORK_S = 0.5
HERE = pathlib.Path(__file__).resolve().parent


async def case(trouble):
    fleet = bench.Fleet(zones={'a': 'r', 'b': 'r'})
    await fleet.store.start()
    fleet.publish(
        routes=[bench.a_route('read', '/read/', 'idempotent', 'drafts')],
        tenants=[{'name': 'tenant-1', 'apiKeys': ['key-1']}],
    )
    connections = {}

    async def note_sender(instance, request, arrival, _echo):
        connections[request.transport] = request.headers['X-Sent-To']
        arrival['sent_to'] = request.headers['X-Sent-To']

    for number in range(24):
        await fleet.add_instance(
            f'i-{number:02}', 'drafts', zone='ab'[number % 2], work_s=WORK_S, behave=note_sender
        )
    for number in range(10):
        zone = 'ab'[number % 2]
        fleet.add_vm(f'front-{zone}-{number // 2 + 1}', zone)
    try:
        await fleet.start_vms()
        await asyncio.sleep(bench.STABILITY_S)
        return await play(fleet, connections, trouble)
    finally:
        await fleet.stop()


async def play(fleet, connections, trouble):
    client = bench.Client(fleet)
    began = time.monotonic()
    leader = [vm for vm in fleet.vms if vm.zone == 'a' and (await vm.status())['is_hub']][0]
    others = [vm for vm in fleet.vms if vm.zone == 'a' and vm is not leader]
    tasks = []

    async def press(vms, per_s, path_of):
        number = 0
        while time.monotonic() - began < TRAFFIC_S:
            vm = vms[number % len(vms)]
            tasks.append(asyncio.create_task(client.send(
                vm, path_of(number), extra=f'X-Sent-To: {vm.name}\r\n'
            )))
            number += 1
            await asyncio.sleep(1 / per_s)

    resets = []

    async def reset():
        for at in RESETS_AT if trouble else ():
            await asyncio.sleep(max(0, began + at - time.monotonic()))
            mine = [one for one, vm in connections.items() if vm == others[0].name and not one.is_closing()]
            chosen = mine[::round(1 / RESET_SHARE)][:int(len(mine) * RESET_SHARE)]
            resets.append((time.monotonic(), len(chosen), len(mine)))
            for transport in chosen:
                transport.abort()

    await asyncio.gather(
        # One client polls the page; its connections go to one machine.
        press(others[:1], PAGE_PER_S, lambda _number: PAGE),
        press([leader, *others], OTHERS_PER_S, lambda number: f'/read/item-{number}'),
        reset(),
    )
    await asyncio.gather(*tasks)
    return judge(fleet, client, resets, began)


def judge(fleet, client, resets, began):
    # Instances are sound when they and their links have been calm for twice the stability.
    calm_from = (resets[-1][0] if resets else began) + 2 * bench.STABILITY_S
    ends_at = began + TRAFFIC_S - 3
    broken = []
    at = calm_from
    while at + WINDOW_S <= ends_at:
        sent = [one for one in client.sent if at <= one['at'] < at + WINDOW_S]
        unserved = [one for one in sent if one['status'] != 200]
        used = {run['instance'] for run in fleet.runs if at <= run['at'] < at + WINDOW_S}
        share = len(used) / len(fleet.instances)
        if sent and 0 < share < FLOOR_SHARE and 0.1 < len(unserved) / len(sent) < 0.5:
            broken.append((at, share, len(unserved), len(sent)))
        at += 0.1
    by_status = Counter(one['status'] for one in client.sent if one['at'] >= calm_from)
    page = Counter(one['status'] for one in client.sent if one['at'] >= calm_from and one['path'] == PAGE)
    lines = [
        f'sent {len(client.sent)}, run {len(fleet.runs)}',
        *(f'{at - began:.2f} s: reset {count} of {of} connections of one machine' for at, count, of in resets),
        f'answers from {calm_from - began:.1f} s on: {dict(by_status)}',
        f'of these, of the page {PAGE}: {dict(page)}',
        f'windows of 2 s that break the rule: {len(broken)}',
        *(
            f'{at - began:.1f} s: {share:.2f} of the sound instances used, {bad} of {all_} requests not served'
            for at, share, bad, all_ in broken[::10]
        ),
    ]
    lines += [
        f"{one['at'] - began:.3f} {one['vm']} {one['path']} {one['status']} {one.get('error', '')}"
        for one in client.sent
    ]
    return bench.finish(HERE, lines, is_broken=bool(broken))


bench.main(case)
