"""Builds or loads a configuration of a given size in a process."""

import argparse
import gc
import importlib
import json
import pathlib
import random
import resource
import sys
import time

import cbor2

from bronzewall.adapters.system_clock import SystemClock
from bronzewall.config_codec import PartEntry, body_digest, manifest_digest
from bronzewall.config_feed import ConfigFeed
from bronzewall.config_model import (
    Account,
    Configuration,
    Instance,
    Route,
    Service,
)
from bronzewall.config_state import state_of
from bronzewall.key_table import key_digest
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
)

_ZONES = 13
_LOOKUPS = 20_000
_KIB = 1024


def _service(number: int, instances: int, routes: int) -> Service:
    name = ServiceName(f'service-{number:05d}')
    placements = [
        Placement(region=f'region-{zone % 4}', zone=f'zone-{zone:02d}')
        for zone in range(_ZONES)
    ]
    return Service(
        name=name,
        instances_by_id={
            InstanceId(f'{name}-{index}'): Instance(
                instance_id=InstanceId(f'{name}-{index}'),
                address=f'127.{number >> 8}.{number & 255}.{index & 255}:80',
                placement=placements[(number + index) % _ZONES],
            )
            for index in range(instances)
        },
        routes_by_id={
            RouteId(f'{name}/route-{index}'): Route(
                route_id=RouteId(f'{name}/route-{index}'),
                service=name,
                path=f'/{name}/resource-{index}/*',
                methods=frozenset({'GET', 'HEAD'}),
                idempotent=True,
            )
            for index in range(routes)
        },
    )


def _split_evenly(total: int, parts: int, number: int) -> int:
    return total * (number + 1) // parts - total * number // parts


def build(path: pathlib.Path, sizes: argparse.Namespace) -> None:
    """Write the bodies of all configuration parts to a file."""
    services = [
        _service(
            number,
            _split_evenly(sizes.instances, sizes.services, number),
            _split_evenly(sizes.routes, sizes.services, number),
        )
        for number in range(sizes.services)
    ]
    accounts = [
        Account(
            account_id=AccountId(f'account-{number:06d}'),
            rate=10.0,
            burst=20,
            key_digests=(key_digest(f'key-{number}'),),
        )
        for number in range(sizes.accounts)
    ]
    state = state_of(
        Configuration(
            generation=1,
            services_by_name={service.name: service for service in services},
            accounts_by_id={item.account_id: item for item in accounts},
        )
    )
    path.write_bytes(cbor2.dumps(dict(state.bodies_by_part)))


def _resident_bytes() -> int:
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * resource.getpagesize()


def load(path: pathlib.Path, accounts: int) -> dict[str, float]:
    """Apply the parts and measure memory, load time and look-ups."""
    # Loaded before the base is measured, so that only the configuration counts.
    importlib.import_module('bronzewall.composition')
    base = _resident_bytes()
    started = time.perf_counter()
    bodies = cbor2.loads(path.read_bytes())
    entries = {
        part: PartEntry(generation=1, digest=body_digest(body))
        for part, body in bodies.items()
    }
    platform = MemoryPlatform(clock=SystemClock())
    feed = ConfigFeed(clock=platform.clock, table=platform, objects=platform)
    feed.apply_change(
        generation=1,
        digest=manifest_digest(entries),
        changes=entries,
        bodies_by_part=bodies,
    )
    del bodies
    in_force = feed.current()
    seconds = time.perf_counter() - started
    gc.collect()
    resident = _resident_bytes()
    numbers = random.Random(1).choices(range(max(accounts, 1)), k=_LOOKUPS)
    key_us, account_us = float(0), float(0)
    if accounts:
        started = time.perf_counter()
        ids = [in_force.keys.find(f'key-{number}') for number in numbers]
        key_us = (time.perf_counter() - started) / _LOOKUPS * 1e6
        by_id = in_force.configuration.accounts_by_id
        sampled_ids = ids[: _LOOKUPS // 10]
        started = time.perf_counter()
        found = [by_id[account_id] for account_id in sampled_ids if account_id]
        account_us = (time.perf_counter() - started) / len(found) * 1e6
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KIB
    return {
        'base_bytes': base,
        'resident_bytes': resident,
        'peak_bytes': peak,
        'load_s': seconds,
        'key_lookup_us': key_us,
        'account_lookup_us': account_us,
        'file_bytes': path.stat().st_size,
    }


def main() -> None:
    """Run one action; a separate process keeps memory figures exact."""
    parser = argparse.ArgumentParser()
    parser.add_argument('action', choices=['build', 'load'])
    parser.add_argument('path', type=pathlib.Path)
    for name in ('services', 'instances', 'routes', 'accounts'):
        parser.add_argument(f'--{name}', type=int, default=0)
    arguments = parser.parse_args()
    if arguments.action == 'build':
        build(arguments.path, arguments)
        return
    figures = load(arguments.path, arguments.accounts)
    sys.stdout.write(f'{json.dumps(figures)}\n')


if __name__ == '__main__':
    main()
