"""All processes are killed and start again while one tenant sends too much."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / '1'))
import harness as h

FOLDER = pathlib.Path(__file__).resolve().parent
HOST, KEY, TENANT = 'grids.example', 'key-of-alpha', 'alpha'
ZONES = {'a-1': 'a', 'b-1': 'b'}
VMS, INSTANCES = 6, 6
RATE, BURST = 20, 300
# Requests a second of the tenant to each machine.
SENT_PER_S = 40
KILL_AT_S, LENGTH_S = 2, 12
RESTART_S = 0.3
WINDOW_S = h.PARAMETERS['quotaWindow']
ALLOWED = (
    (RATE * WINDOW_S + BURST) * (1 + h.PARAMETERS['quotaOverage'])
    + h.PARAMETERS['quotaSlack']
)


def configuration():
    route = {
        'name': 'file', 'hostName': HOST, 'prefix': '/file/',
        'routeType': 'idempotent', 'serviceName': 'intake',
        'attempts': 2, 'timeout': 2.5, 'targetLatency': 1, 'priority': 1,
    }
    return {
        'configVersion': 12, 'routes': [route],
        'services': [{'name': 'intake', 'healthPath': '/health',
                      'maxConnections': 360}],
        'tenants': [{'name': TENANT, 'apiKeys': [KEY],
                     'ratePerS': RATE, 'burstSize': BURST}],
        'limits': h.LIMITS,
    }


async def ask(record, vm, began, statuses):
    """Send the tenant's requests to one machine at a steady rate."""
    tasks = []
    number = 0
    while h.now() - began < LENGTH_S:
        number += 1
        tasks.append(asyncio.create_task(h.send(
            record, vm, method='GET', host=HOST, key=KEY,
            target=f'/file/{vm.name}-{number}', deadline_ms=1000,
        )))
        await asyncio.sleep(max(0, began + number / SENT_PER_S - h.now()))
    statuses.extend(status for _, status in await asyncio.gather(*tasks))


async def play(record, folder, vms):
    sent_at, ran_at = {}, {}

    def count(kind, **fields):
        record(kind, **fields)
        if kind == 'sent':
            sent_at[fields['attempt']] = h.now()
        if kind == 'run' and fields['tenant'] == TENANT:
            ran_at.setdefault(fields['attempt'], h.now())

    store = h.Store()
    await store.start('127.0.0.1')
    store.put('op', 'config', configuration())
    zone_names = list(ZONES)
    for number in range(INSTANCES):
        await h.Instance(
            store=store, record=count, service='intake', slots=16,
            zone=zone_names[number % 2], host='127.0.0.1', work_s=0.02,
        ).start()
    for number, host in enumerate(h.free_hosts(VMS)):
        vms.append(h.Daemon(
            name=f'front-{number}', host=host, zone=zone_names[number % 2],
            zones=ZONES, store=store, folder=folder,
        ))
    for vm in vms:
        vm.start()
    for vm in vms:
        await vm.wait_ready()
    await asyncio.sleep(h.PARAMETERS['stability'] + 1)
    statuses = []
    began = h.now()
    asking = [
        asyncio.create_task(ask(count, vm, began, statuses)) for vm in vms
    ]
    await asyncio.sleep(KILL_AT_S)
    if h.TROUBLE:
        record('all processes are killed')
        for vm in vms:
            vm.kill()
        await asyncio.sleep(RESTART_S)
        record('all processes start')
        for vm in vms:
            vm.start()
    await asyncio.gather(*asking)
    # Requests count in a window if they are both sent and run in it.
    spans = [(sent_at[attempt], at) for attempt, at in ran_at.items()]
    most, at = max(
        (sum(start <= sent and ran < start + WINDOW_S for sent, ran in spans),
         start)
        for start, _ in spans
    )
    print(f'{len(statuses)} requests sent, {statuses.count(200)} served,'
          f' {statuses.count(429)} got 429')
    if len(spans) < RATE * LENGTH_S / 2:
        h.finish(h.NOT_RUN, 'the deployment does not serve')
    text = (f'{most} requests of one tenant ran in the {WINDOW_S} s from'
            f' {at - began:.2f} s; allowed {ALLOWED:g}')
    h.finish(h.BROKEN if most > ALLOWED else h.HOLDS, text)


h.run(play, FOLDER)
