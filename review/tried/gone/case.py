"""Clients that have sent many requests ahead leave; their requests go on."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / 'harness'))
import fleet as bench  # noqa: E402

LATE_S = 0.5
A_FEW = 5
CLIENTS, LEAVING = 14, 4
REQUESTS_AHEAD = 36
WORK_S = 2.0
LEAVES_AFTER_S = 0.4
HERE = pathlib.Path(__file__).resolve().parent


async def case(trouble):
    fleet = bench.Fleet()
    await fleet.store.start()
    fleet.publish(
        routes=[bench.a_route('read', '/read/', 'idempotent', 'drafts', timeout=5, targetLatency=3)],
        tenants=[{'name': 'tenant-1', 'apiKeys': ['key-1']}],
    )

    async def work(_instance, _request, arrival, _echo):
        # An instance drops a request whose connection closes.
        try:
            await asyncio.sleep(WORK_S)
        finally:
            arrival['ended'] = time.monotonic()

    for number in range(12):
        await fleet.add_instance(f'i-{number:02}', 'drafts', zone='ab'[number % 2], behave=work)
    for number in range(4):
        zone = 'ab'[number % 2]
        fleet.add_vm(f'front-{zone}-{number // 2 + 1}', zone)
    try:
        await fleet.start_vms()
        await asyncio.sleep(bench.STABILITY_S)
        return await play(fleet, trouble)
    finally:
        await fleet.stop()


async def one_client(fleet, number, *, leaves):
    """Send requests ahead on one connection; return when the client left."""
    vm = fleet.vms[number % len(fleet.vms)]
    count = REQUESTS_AHEAD if number < LEAVING else 2
    reader, writer = await asyncio.open_connection(vm.address, 8045)
    for place in range(count):
        writer.write((
            f'GET /read/{number}-{place} HTTP/1.1\r\nHost: shop.example\r\n'
            f'X-Attempt-Id: c{number:02}r{place:02}\r\nX-Request-Deadline-Ms: 5000\r\n'
            'Authorization: Bearer key-1\r\n\r\n'
        ).encode())
    if leaves:
        await asyncio.sleep(LEAVES_AFTER_S)
        writer.close()
        return time.monotonic()
    try:
        async with asyncio.timeout(12):
            for _ in range(count):
                await bench.read_answer(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    writer.close()
    return None


async def play(fleet, trouble):
    began = time.monotonic()
    left = await asyncio.gather(*(
        one_client(fleet, number, leaves=trouble and number < LEAVING)
        for number in range(CLIENTS)
    ))
    await asyncio.sleep(6)
    late, long_ones, at_work = [], [], []
    for run in fleet.runs:
        gone_at = left[int(run['attempt'][1:3])]
        if gone_at is None:
            continue
        if run['at'] > gone_at + LATE_S:
            late.append(run)
        elif run['at'] + WORK_S > gone_at + LATE_S:
            long_ones.append(run)
            if run.get('ended', float('inf')) > gone_at + LATE_S:
                at_work.append(run)
    share = len(at_work) / len(long_ones) if long_ones else 0
    lines = [
        f'{CLIENTS} clients, {sum(at is not None for at in left)} left; {len(fleet.runs)} requests ran',
        f'reached an instance over {LATE_S} s after their client had left: {len(late)}',
        f'instances still at work {LATE_S} s after: {len(at_work)} of {len(long_ones)} ({share:.2f})',
        *(
            f"{run['at'] - began:.3f} {run['instance']} {run['attempt']} ended {run.get('ended', began) - began:.3f}"
            for run in fleet.runs
        ),
    ]
    return bench.finish(HERE, lines, is_broken=len(late) > A_FEW or share > 0.25)


bench.main(case)
