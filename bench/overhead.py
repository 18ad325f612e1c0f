"""Latency and CPU that one daemon adds, against a bare pass-through."""

import asyncio
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import uuid
from typing import Any

import aiohttp
import attrs
from harness import Target, run_bench
from hdrh.histogram import HdrHistogram

from bronzewall.adapters.platform_http import PlatformClient
from bronzewall.config_files import load_directory
from bronzewall.key_table import key_digest
from bronzewall.publication import publish

_HOST = '127.0.0.1'
_BASE_PORT = 18400
_UPSTREAM = f'{_HOST}:{_BASE_PORT + 1}'
_PLATFORM = f'{_HOST}:{_BASE_PORT}'
_DAEMON = f'{_HOST}:{_BASE_PORT + 2}'
_ADMIN = f'{_HOST}:{_BASE_PORT + 4}'
_PASS_THROUGH = f'{_HOST}:{_BASE_PORT + 5}'
_RATE = 480
_ROUND_S = 3.0
_ROUNDS = 3
_CONNECTIONS = 32
_KEY = 'overhead-key'
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@attrs.define(kw_only=True)
class Sample:
    """Measurements of one way over all rounds."""

    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, 60_000_000, 3)
    )
    cpu_s: float = 0
    requests: int = 0
    failed: int = 0
    round_p99_ms: list[float] = attrs.field(factory=list)

    def at(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return float(self.latency.get_value_at_percentile(percentile)) / 1000


def _spawn(*arguments: str, **environment: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, *arguments], env={**os.environ, **environment}
    )


def _cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / _TICKS_PER_S


def _write_files(path: pathlib.Path) -> None:
    (path / 'accounts.toml').write_text(
        '[[accounts]]\nid = "load"\nrate = 1000000\nburst = 100000\n'
        f'key_digests = ["{key_digest(_KEY).hex()}"]\n'
    )
    (path / 'drafts.toml').write_text(
        '[service]\nname = "drafts"\nfloor = 0\n'
        '[[instances]]\nid = "drafts-1"\n'
        f'address = "{_UPSTREAM}"\nregion = "muscat"\nzone = "muscat-a"\n'
        'slots = 1000\nconnections = 100000\n'
        '[[routes]]\nname = "read"\npath = "/drafts/*"\n'
        'methods = ["GET"]\nidempotent = true\ndeadline = 5\n'
    )


async def _publish(session: aiohttp.ClientSession) -> None:
    client = PlatformClient(base_url=f'http://{_PLATFORM}', session=session)
    with tempfile.TemporaryDirectory() as folder:
        _write_files(pathlib.Path(folder))
        await publish(
            configuration=load_directory(pathlib.Path(folder)),
            publication_id=uuid.uuid4().hex,
            table=client,
            objects=client,
        )


async def _wait_for(session: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(20):
        while True:
            try:
                async with session.get(url) as response:
                    if response.status < 500:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


async def _send(
    session: aiohttp.ClientSession, address: str, sample: Sample
) -> None:
    started = time.perf_counter()
    async with session.get(
        f'http://{address}/drafts/7',
        headers={'Authorization': f'Bearer {_KEY}'},
    ) as response:
        await response.read()
        if response.status != 200:
            sample.failed += 1
    elapsed = time.perf_counter() - started
    sample.latency.record_value(max(1, int(elapsed * 1e6)))
    sample.requests += 1


async def _round(
    session: aiohttp.ClientSession, address: str, pid: int, sample: Sample
) -> None:
    """Send at a fixed rate for one round."""
    before = _cpu_seconds(pid)
    tasks = []
    start = time.perf_counter()
    for number in range(int(_RATE * _ROUND_S)):
        delay = start + number / _RATE - time.perf_counter()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.create_task(_send(session, address, sample)))
    await asyncio.gather(*tasks)
    sample.cpu_s += _cpu_seconds(pid) - before
    sample.round_p99_ms.append(sample.at(99))


async def _highest_rate(session: aiohttp.ClientSession, address: str) -> float:
    """Return the requests a second of a closed loop."""
    sample = Sample()
    end = time.perf_counter() + 2

    async def loop() -> None:
        while time.perf_counter() < end:
            await _send(session, address, sample)

    await asyncio.gather(*(loop() for _ in range(_CONNECTIONS)))
    return sample.requests / 2


async def _measure(pids: dict[str, int]) -> dict[str, Any]:
    connector = aiohttp.TCPConnector(limit=_CONNECTIONS)
    addresses = {
        'direct': _UPSTREAM,
        'passthrough': _PASS_THROUGH,
        'bronzewall': _DAEMON,
    }
    samples = {name: Sample() for name in addresses}
    async with aiohttp.ClientSession(connector=connector) as session:
        await _wait_for(session, f'http://{_PLATFORM}/vms')
        await _publish(session)
        await _wait_for(session, f'http://{_ADMIN}/check')
        for address in addresses.values():
            await _wait_for(session, f'http://{address}/drafts/1')
        for _ in range(_ROUNDS):
            for name, address in addresses.items():
                await _round(session, address, pids[name], samples[name])
        highest = {
            name: await _highest_rate(session, addresses[name])
            for name in ('passthrough', 'bronzewall')
        }
    return _report(samples, highest)


def _report(
    samples: dict[str, Sample], highest: dict[str, float]
) -> dict[str, Any]:
    direct, bare = samples['direct'], samples['passthrough']
    wall = samples['bronzewall']
    per_request_us = {
        name: sample.cpu_s / sample.requests * 1e6
        for name, sample in samples.items()
    }
    return {
        'added_p50_ms': round(wall.at(50) - direct.at(50), 3),
        'added_p99_ms': round(wall.at(99) - direct.at(99), 3),
        'passthrough_added_p50_ms': round(bare.at(50) - direct.at(50), 3),
        'passthrough_added_p99_ms': round(bare.at(99) - direct.at(99), 3),
        'cpu_ratio_to_passthrough': round(
            per_request_us['bronzewall'] / per_request_us['passthrough'], 3
        ),
        'cpu_us_per_request': {
            name: round(found, 1) for name, found in per_request_us.items()
        },
        'highest_rate_per_core': {
            name: round(rate) for name, rate in highest.items()
        },
        'failed': sum(sample.failed for sample in samples.values()),
        'round_p99_spread_ms': round(statistics.pstdev(wall.round_p99_ms), 3),
        'requests': sum(sample.requests for sample in samples.values()),
    }


def measure(_seed: int) -> dict[str, Any]:
    """Start the processes, measure all ways in turn and stop them."""
    standins = ('-m', 'bronzewall.standins')
    here = pathlib.Path(__file__).parent
    processes = {
        'platform': _spawn(*standins, 'platform', '--listen', _PLATFORM),
        'direct': _spawn(
            *standins, 'upstream', '--listen', _UPSTREAM, '--delay', '0.002'
        ),
        'passthrough': _spawn(
            str(here / 'pass_through.py'), _PASS_THROUGH, _UPSTREAM
        ),
        'bronzewall': _spawn(
            '-m',
            'bronzewall',
            'serve',
            BRONZEWALL_VM_ID='vm-1',
            BRONZEWALL_REGION='muscat',
            BRONZEWALL_ZONE='muscat-a',
            BRONZEWALL_LISTEN=_DAEMON,
            BRONZEWALL_PEER_LISTEN=f'{_HOST}:{_BASE_PORT + 3}',
            BRONZEWALL_ADMIN_LISTEN=_ADMIN,
            BRONZEWALL_PLATFORM=f'http://{_PLATFORM}',
            BRONZEWALL_NOTICE_S='0',
            BRONZEWALL_LOG_LEVEL='warning',
        ),
    }
    try:
        pids = {name: process.pid for name, process in processes.items()}
        return asyncio.run(_measure(pids))
    finally:
        for process in processes.values():
            process.send_signal(signal.SIGTERM)
        for process in processes.values():
            process.wait()


if __name__ == '__main__':
    run_bench(
        name='overhead',
        measure=measure,
        targets=(
            Target(figure='added_p99_ms', at_most=4.4),
            Target(figure='cpu_ratio_to_passthrough', at_most=1.5),
            Target(figure='failed', at_most=0),
        ),
    )
