"""Runs the soak test: python -m soak.run --seed 1 --seconds 12."""

import argparse
import asyncio
import contextlib
import json
import math
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs

from bronzewall.errors import SettingsError
from soak.builds import PRESENT, sources_of
from soak.callers import (
    CALLER_HABITS,
    FREQUENT,
    FREQUENT_CALLERS,
    LONG_TIMEOUT_S,
    SHORT_TIMEOUT_S,
    Attempt,
    Caller,
    Habits,
)
from soak.guarantees import (
    GRACE_S,
    LONGEST_FAULT_S,
    Event,
    Limits,
    count_statuses,
    find_violations,
)
from soak.instances import Run, SoakInstance
from soak.paths import ZonePaths
from soak.proxy import FaultyProxy
from soak.store import SoakStore

# Default number of VMs, for which the pauses of callers are meant.
_VMS = 4
_PORTS_PER_VM = 4
# Below the range from which Linux takes ports of outgoing connections.
_PORTS = range(10_000, 30_000)
# Distance between the first ports of two soaks that run at the same time.
_PORTS_PER_SOAK = 256
_ZONES = ('a', 'b')
_INSTANCES = 5
_KEYS = ('k0', 'k1', 'k2', 'k3')
_LIMITED_KEY = 'k3'
_RATE = 20.0
_BURST = 10.0
_REVOCATION_BOUND_S = 5.0
# Time for the VMs to start, and that for each further VM, seconds.
_START_TIMEOUT_S = 20.0
_START_TIMEOUT_PER_VM_S = 1.0
# Seconds that the run goes on after the last fault. In their second half
# valid requests must be served again.
_RECOVERY_S = 8.0
_POLL_S = 0.05
_RESTART_DELAY_S = 0.3
# Length of cuts and limits, seconds; they are checked after STABILITY_S.
_LONG_FAULT_S = (5, 8)
# Ages of the copy from which the store is restored, times for which it is away,
# and the time until operators and instances have written again, seconds.
_COPY_AGES_S = (0.5, 4)
_AWAY_S = (0.02, 1)
_REWRITE_S = 1
# Planned stops in series: share of the VMs, seconds from one to the next, share
# of the VMs that get a second SIGTERM, share of the series that a second one
# overlaps, and series at the same time.
_SERIES_SHARE = 0.75
_SERIES_GAPS_S = (0.2, 0.6)
_AGAIN_SHARE = 0.3
_OVERLAP_SHARE = 0.5
_MOST_SERIES = 2
# Names of the faults that are planned work.
PLANNED_WORK = (
    'stop_in_series',
    'signal_term',
    'signal_reload',
    'key_withdrawn',
    'publish',
)
_REQUEST_LIMITS = (0.5, 1, 2.5, 5)


@attrs.define(kw_only=True, eq=False)
class SoakVm:
    """One daemon, and the proxies to its peer port and to the store."""

    vm_id: str
    zone: str
    listen: str
    peers: FaultyProxy
    store: FaultyProxy
    settings: pathlib.Path
    log: Any
    sources: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    is_stopping: bool = False
    is_stopped: bool = False

    async def start(self) -> None:
        """Start the process."""
        self.is_stopping = False
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bronzewall.platform',
            env={
                **os.environ,
                'BRONZEWALL_CONFIG': str(self.settings),
                'PYTHONPATH': str(self.sources),
            },
            stdout=self.log,
            stderr=self.log,
        )

    def send(self, signal_number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def wait_until_started(self) -> None:
        """Wait until a process that is to stop has been replaced."""
        while self.is_stopping and not self.is_stopped:
            await asyncio.sleep(_POLL_S)

    async def keep_running(self) -> None:
        """Start the process again whenever it ends."""
        while not self.is_stopped:
            assert self.process is not None
            await self.process.wait()
            await asyncio.sleep(_RESTART_DELAY_S)
            if not self.is_stopped:
                await self.start()


@attrs.define(kw_only=True, eq=False)
class Soak:
    """One soak run with one seed.

    :param only: names of the faults that are injected, all if empty.
    :param older: commit of the build on which the VMs begin; they are upgraded
        and rolled back among the faults.
    :param habits: habits of the callers of each VM.
    :param vm_count: number of VMs; if there are many, frequent callers send
        less often, so that the soak itself keeps up.
    :param recovery: seconds for which the run goes on after the last fault,
        zero to leave out the check that valid requests are served again.
    """

    seed: int
    seconds: float
    folder: pathlib.Path
    random: random.Random
    only: tuple[str, ...] = ()
    older: str = ''
    habits: Sequence[Habits] = CALLER_HABITS
    vm_count: int = _VMS
    recovery: float = _RECOVERY_S
    store: SoakStore = attrs.field(factory=SoakStore)
    paths: ZonePaths = attrs.field(factory=ZonePaths)
    vms: list[SoakVm] = attrs.field(factory=list)
    instances: list[SoakInstance] = attrs.field(factory=list)
    attempts: list[Attempt] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    events: list[Event] = attrs.field(factory=list)
    version: int = 1
    keys: list[str] = attrs.field(factory=lambda: list(_KEYS))
    _tasks: set['asyncio.Task[None]'] = attrs.field(factory=set)
    _series: list['asyncio.Task[None]'] = attrs.field(factory=list)
    _is_restoring: bool = False

    async def run(self) -> list[str]:
        """Run the seed and return a line for each violation."""
        await self._build()
        tasks = [asyncio.create_task(vm.keep_running()) for vm in self.vms]
        try:
            await self._wait_until_serving()
            tasks += [
                asyncio.create_task(caller.run()) for caller in self._callers()
            ]
            await self._inject_faults()
            faults_ended_at = time.monotonic()
            await asyncio.sleep(self.recovery)
        finally:
            for vm in self.vms:
                vm.is_stopped = True
                vm.send(signal.SIGCONT)
                vm.send(signal.SIGKILL)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close()
        violations = find_violations(
            attempts=self.attempts,
            runs=self.runs,
            events=self.events,
            limits=self._limits(),
        )
        return [*violations, *self._not_recovered(faults_ended_at)]

    def _limits(self) -> Limits:
        return Limits(
            revocation_bound=_REVOCATION_BOUND_S,
            rate=_RATE,
            burst=_BURST,
            account=f'account-{_LIMITED_KEY}',
            zone_by_vm={vm.vm_id: vm.zone for vm in self.vms},
        )

    async def _build(self) -> None:
        for number in range(_INSTANCES):
            instance = SoakInstance(
                instance_id=f'i-{number}',
                service='soak',
                random=self._random('instance', number),
                runs=self.runs,
            )
            await instance.start()
            self.instances.append(instance)
            self.store.put('servers', instance.instance_id, instance.entry())
        for zone in _ZONES:
            await self.paths.build(zone, self.instances)
        self.publish()
        ports = free_ports(self.vm_count * _PORTS_PER_VM)
        for number in range(self.vm_count):
            first = number * _PORTS_PER_VM
            self.vms.append(
                await self._build_vm(
                    number, ports[first : first + _PORTS_PER_VM]
                )
            )
        for vm in self.vms:
            await vm.start()

    async def _build_vm(self, number: int, ports: list[int]) -> SoakVm:
        vm_id, zone = f'vm-{number}', _ZONES[number % len(_ZONES)]
        self.store.addresses_by_vm[vm_id] = self.paths.addresses(zone)
        store = FaultyProxy(target=await self.store.listen(vm_id))
        peers = FaultyProxy(target=f'127.0.0.1:{ports[2]}')
        await store.start()
        await peers.start()
        path = self.folder / f'{vm_id}.env'
        path.write_text(
            f'VM_ID={vm_id}\nREGION=r\nZONE={zone}\nZONES=a=r,b=r\n'
            f'LISTEN=127.0.0.1:{ports[0]}\n'
            f'READY_LISTEN=127.0.0.1:{ports[1]}\n'
            f'PEER_LISTEN=127.0.0.1:{ports[2]}\n'
            f'PEER_ADDRESS={peers.address}\n'
            f'ADMIN_LISTEN=127.0.0.1:{ports[3]}\n'
            f'STORE={store.address}\nREVOKE_BOUND={_REVOCATION_BOUND_S}\n'
            'RATE_SLACK=20\nRETRY_RATIO=0.2\nRETRY_SLACK=60\n',
            encoding='utf-8',
        )
        return SoakVm(
            vm_id=vm_id,
            zone=zone,
            listen=f'127.0.0.1:{ports[0]}',
            peers=peers,
            store=store,
            settings=path,
            log=(self.folder / f'{vm_id}.log').open('ab'),
            sources=self._older_sources(),
        )

    def _older_sources(self) -> pathlib.Path:
        """Return the sources on which VMs begin."""
        if not self.older:
            return PRESENT
        found = self.folder / self.older / 'src'
        return found if found.exists() else sources_of(self.older, self.folder)

    def publish(self) -> None:
        """Store the configuration with the keys that are still valid."""
        self.version += 1
        routes = [
            {
                'name': prefix.strip('/'),
                'hostName': 'soak.example',
                'prefix': prefix,
                'routeType': kind,
                'timeout': timeout,
                'targetLatency': 1,
                'serviceName': 'soak',
                'attempts': 2,
            }
            for kind, prefix, timeout in (
                ('idempotent', '/read/', SHORT_TIMEOUT_S),
                ('non_idempotent', '/write/', SHORT_TIMEOUT_S),
                ('idempotent', '/long/read/', LONG_TIMEOUT_S),
                ('non_idempotent', '/long/write/', LONG_TIMEOUT_S),
            )
        ]
        accounts = [
            {
                'name': f'account-{key}',
                'apiKeys': [key],
                'ratePerS': _RATE if key == _LIMITED_KEY else 0,
                'burstSize': _BURST if key == _LIMITED_KEY else 0,
            }
            for key in self.keys
        ]
        self.store.put(
            'op',
            'config',
            {
                'configVersion': self.version,
                'routes': routes,
                'services': [{'name': 'soak', 'maxConnections': 360}],
                'tenants': accounts,
                'limits': {},
            },
        )

    def _random(self, name: str, number: int) -> random.Random:
        """Return a separate random generator for a name and number.

        Its draws depend only on the seed, name and number, not on the order
        of other draws.
        """
        return random.Random(f'{self.seed}.{name}.{number}')

    def _callers(self) -> list[Caller]:
        slowdown = max(1, self.vm_count / _VMS)
        return [
            Caller(
                vm_id=vm.vm_id,
                address=vm.listen,
                key=_KEYS[(number + offset) % len(_KEYS)],
                number=offset,
                random=self._random(vm.vm_id, offset),
                attempts=self.attempts,
                habits=habits,
                slowdown=slowdown if habits is FREQUENT else 1,
            )
            for number, vm in enumerate(self.vms)
            for offset, habits in enumerate(self.habits)
        ]

    async def _wait_until_serving(self) -> None:
        ends_at = (
            time.monotonic()
            + _START_TIMEOUT_S
            + self.vm_count * _START_TIMEOUT_PER_VM_S
        )
        for vm in self.vms:
            host, _, port = vm.listen.rpartition(':')
            while time.monotonic() < ends_at:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.1)
                else:
                    writer.close()
                    break
        await asyncio.sleep(2)

    async def _inject_faults(self) -> None:
        """Start random faults at random intervals; they may overlap."""
        ends_at = time.monotonic() + self.seconds
        kinds: list[Callable[[], None]] = [
            self._signal_kill,
            self._signal_term,
            self._signal_pause,
            self._signal_reload,
            self._store_refuses,
            self._store_silent,
            self._store_slow,
            self._history_dropped,
            self._store_restored,
            self._store_cut,
            self._peers_cut,
            self._peers_slow,
            self._reset_connections,
            self._instance_fails,
            self._instance_leaves,
            self._key_withdrawn,
            self._path_cut,
            self._instance_limited,
            self.publish,
        ]
        if self.only:
            # Seeds without ``only`` repeat the faults that they always had.
            kinds.append(self._stop_in_series)
        if self.older:
            # Upgrades come more often than any other fault.
            kinds += (self._upgrade, self._upgrade, self._roll_back)
        kinds = [
            kind
            for kind in kinds
            if not self.only or kind.__name__.strip('_') in self.only
        ]
        while time.monotonic() < ends_at:
            self.random.choice(kinds)()
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        # A series may begin another one.
        for series in self._series:
            await series
        self._heal()

    def _call_later(self, action: Callable[[], object]) -> None:
        delay = self.random.uniform(0.5, LONGEST_FAULT_S)
        asyncio.get_running_loop().call_later(delay, action)

    def _record_event(self, kind: str, subject: str) -> None:
        now = time.monotonic()
        self.events.append(Event(kind=kind, subject=subject, at=now))

    def _pick_vm(self, kind: str) -> SoakVm:
        vm = self.random.choice(self.vms)
        self._record_event(kind, vm.vm_id)
        return vm

    def _signal_kill(self) -> None:
        self._pick_vm('kill').send(signal.SIGKILL)

    def _signal_term(self) -> None:
        self._stop_vm(self.random.choice(self.vms))

    def _stop_vm(self, vm: SoakVm) -> None:
        """Stop a VM as the platform does; it starts again."""
        kind = 'term_again' if vm.is_stopping else 'term'
        self._record_event(kind, vm.vm_id)
        vm.send(signal.SIGTERM)
        if not vm.is_stopping:
            vm.is_stopping = True
            asyncio.get_running_loop().call_later(
                GRACE_S, self._end_grace, vm, vm.process
            )

    def _end_grace(
        self, vm: SoakVm, process: asyncio.subprocess.Process
    ) -> None:
        """Kill a process that runs on after its grace period."""
        if process.returncode is None:
            self._record_event('grace_over', vm.vm_id)
            process.kill()

    def _stop_in_series(self) -> None:
        """Stop most VMs one after the other; two series may overlap."""
        if sum(not series.done() for series in self._series) < _MOST_SERIES:
            self._series.append(
                asyncio.create_task(
                    self._run_series(self._random('series', len(self._series)))
                )
            )

    async def _run_series(self, series_random: random.Random) -> None:
        gap = series_random.uniform(*_SERIES_GAPS_S)
        count = math.ceil(len(self.vms) * _SERIES_SHARE)
        stopped = series_random.sample(self.vms, count)
        overlapped_at = (
            count // 2 if series_random.random() < _OVERLAP_SHARE else count
        )
        for number, vm in enumerate(stopped):
            if number == overlapped_at:
                self._stop_in_series()
            self._stop_vm(vm)
            if series_random.random() < _AGAIN_SHARE:
                asyncio.get_running_loop().call_later(
                    series_random.uniform(0.1, GRACE_S), self._stop_again, vm
                )
            await asyncio.sleep(gap)
        await asyncio.gather(*(one.wait_until_started() for one in stopped))

    def _stop_again(self, vm: SoakVm) -> None:
        """Send a second SIGTERM during a planned stop."""
        if vm.is_stopping:
            self._stop_vm(vm)

    def _upgrade(self) -> None:
        self._replace_build(PRESENT, 'upgrade')

    def _roll_back(self) -> None:
        self._replace_build(self._older_sources(), 'roll_back')

    def _replace_build(self, sources: pathlib.Path, kind: str) -> None:
        """Stop a VM that runs another build; it starts again with this one."""
        others = [vm for vm in self.vms if vm.sources != sources]
        if others:
            vm = self.random.choice(others)
            self._record_event(kind, vm.vm_id)
            vm.sources = sources
            self._stop_vm(vm)

    def _signal_pause(self) -> None:
        vm = self._pick_vm('pause')
        vm.send(signal.SIGSTOP)
        self._call_later(lambda: vm.send(signal.SIGCONT))

    def _signal_reload(self) -> None:
        self._pick_vm('reload').send(signal.SIGHUP)

    def _store_refuses(self) -> None:
        vm_id = self._pick_vm('store_refuses').vm_id
        self.store.refused_vms.add(vm_id)
        self._call_later(lambda: self.store.refused_vms.discard(vm_id))

    def _store_silent(self) -> None:
        vm_id = self._pick_vm('store_silent').vm_id
        self.store.unanswered_vms.add(vm_id)
        self._call_later(lambda: self.store.unanswered_vms.discard(vm_id))

    def _store_slow(self) -> None:
        self._record_event('store_slow', '')
        self.store.delay = self.random.uniform(0.1, 0.6)
        self._call_later(self._end_store_delay)

    def _end_store_delay(self) -> None:
        self.store.delay = 0

    def _history_dropped(self) -> None:
        """Discard the change history, so that older watches read again."""
        self._record_event('history', '')
        self.store.history_from = self.store.revision

    def _store_restored(self) -> None:
        """Restore the store from a copy that is some seconds old by then."""
        if self._is_restoring:
            return
        self._is_restoring = True
        self._run(self._restore_store(self.store.copy()))

    async def _restore_store(self, copy: SoakStore) -> None:
        await asyncio.sleep(self.random.uniform(*_COPY_AGES_S))
        self._record_event('store_restored', '')
        self.store.is_away = True
        await asyncio.sleep(self.random.uniform(*_AWAY_S))
        before = self.store.copy()
        self.store.restore(copy)
        if self.random.random() < 0.5:
            self.store.is_away = False
            await asyncio.sleep(self.random.uniform(0, _REWRITE_S))
        self.store.write_again(before)
        self.store.is_away = False
        self._is_restoring = False

    def _store_cut(self) -> None:
        self._block_direction(self._pick_vm('store_cut').store)

    def _peers_cut(self) -> None:
        self._block_direction(self._pick_vm('peers_cut').peers)

    def _block_direction(self, proxy: FaultyProxy) -> None:
        direction = self.random.choice(('up', 'down'))
        proxy.blocked.add(direction)
        self._call_later(lambda: proxy.blocked.discard(direction))

    def _peers_slow(self) -> None:
        proxy = self._pick_vm('peers_slow').peers
        proxy.delay = self.random.uniform(0.05, 0.5)
        self._call_later(proxy.heal)

    def _reset_connections(self) -> None:
        vm = self._pick_vm('reset')
        self.random.choice((vm.peers, vm.store)).reset()

    def _instance_fails(self) -> None:
        instance = self.random.choice(self.instances)
        self._record_event('instance_fails', instance.instance_id)
        instance.fault = self.random.choice(('errors', 'hang', 'reset', 'shed'))
        self._call_later(lambda: setattr(instance, 'fault', ''))  # noqa: B010

    def _instance_leaves(self) -> None:
        instance = self.random.choice(self.instances)
        self._record_event('instance_leaves', instance.instance_id)
        key = instance.instance_id
        self.store.put('servers', key, instance.entry(state='draining'))
        self._call_later(lambda: self._start_again(instance))

    def _start_again(self, instance: SoakInstance) -> None:
        instance.boot += 1
        self.store.put('servers', instance.instance_id, instance.entry())

    def _key_withdrawn(self) -> None:
        if len(self.keys) <= 2:
            return
        # The last key is the limited one, which stays valid.
        key = self.random.choice(self.keys[:-1])
        self.keys.remove(key)
        self.publish()
        self._record_event('withdraw', key)

    def _path_cut(self) -> None:
        """Cut the VMs of a zone off from all instances.

        One zone at a time, so that the other one can serve its callers.
        """
        now = time.monotonic()
        if any(
            event.kind == 'path_cut' and event.ended_at > now
            for event in self.events
        ):
            return
        zone = self.random.choice(_ZONES)
        seconds = self._record_long_event('path_cut', zone)
        keeps_open = self.random.random() < 0.5
        self._run(self.paths.cut(zone, keeps_open=keeps_open))
        asyncio.get_running_loop().call_later(
            seconds, lambda: self._run(self.paths.heal(zone))
        )

    def _instance_limited(self) -> None:
        instance = self.random.choice(self.instances)
        if instance.request_limit is not None:
            return
        limit = self.random.choice(_REQUEST_LIMITS)
        seconds = self._record_long_event(
            'limit', instance.instance_id, amount=limit
        )
        instance.request_limit = limit
        asyncio.get_running_loop().call_later(
            seconds, lambda: setattr(instance, 'request_limit', None)
        )

    def _record_long_event(
        self, kind: str, subject: str, amount: float = 0
    ) -> float:
        """Record a fault and return its length in seconds."""
        seconds = self.random.uniform(*_LONG_FAULT_S)
        now = time.monotonic()
        self.events.append(
            Event(
                kind=kind,
                subject=subject,
                at=now,
                ended_at=now + seconds,
                amount=amount,
            )
        )
        return seconds

    def _run(self, action: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _heal(self) -> None:
        now = time.monotonic()
        self.events = [
            attrs.evolve(event, ended_at=min(event.ended_at, now))
            for event in self.events
        ]
        for zone in _ZONES:
            self._run(self.paths.heal(zone))
        self.store.heal()
        for vm in self.vms:
            vm.peers.heal()
            vm.store.heal()
            vm.send(signal.SIGCONT)
        for instance in self.instances:
            instance.fault = ''
            instance.request_limit = None

    def _not_recovered(self, faults_ended_at: float) -> list[str]:
        """Return a line if under 90 % of valid requests are served again."""
        if not self.recovery:
            return []
        checked = [
            attempt
            for attempt in self.attempts
            if attempt.sent_at > faults_ended_at + self.recovery / 2
            and attempt.key in self.keys
            and attempt.key != _LIMITED_KEY
            and attempt.ended_at
        ]
        served = sum(attempt.status == 200 for attempt in checked)
        if checked and served >= 0.9 * len(checked):
            return []
        return [f'recovery: {served} of {len(checked)} served after the faults']

    def timeline(self) -> list[str]:
        """Return the events, with seconds since the first one."""
        return [
            f'{self._since_first(event.at)} {event.kind} {event.subject}'
            for event in self.events
        ]

    def unanswered_requests(self) -> list[str]:
        """Return requests whose connection ended without a whole answer."""
        return [
            f'{self._since_first(attempt.sent_at)} {attempt.attempt_id}'
            f' ended after {attempt.ended_at - attempt.sent_at:.2f} s'
            for attempt in self.attempts
            if not attempt.is_whole and attempt.ended_at
        ]

    def _since_first(self, at: float) -> float:
        return round(at - self.events[0].at, 2) if self.events else 0

    async def _close(self) -> None:
        for vm in self.vms:
            await vm.peers.stop()
            await vm.store.stop()
            vm.log.close()
        for instance in self.instances:
            await instance.stop()
        await self.paths.stop()
        await self.store.stop()


async def run_seed(
    seed: int,
    seconds: float,
    only: tuple[str, ...],
    older: str,
    vm_count: int,
) -> int:
    """Run one seed, print one JSON line, return the exit code."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    soak = Soak(
        seed=seed,
        seconds=seconds,
        folder=folder,
        random=random.Random(seed),
        only=only,
        older=older,
        habits=FREQUENT_CALLERS if older else CALLER_HABITS,
        vm_count=vm_count,
    )
    violations = await soak.run()
    report = {
        'seed': seed,
        'requests': len(soak.attempts),
        'answers': dict(count_statuses(soak.attempts)),
        'events': soak.timeline(),
        'cut': soak.unanswered_requests()[:10],
        'broken': violations[:60],
        'broken_count': len(violations),
    }
    if violations:
        report['logs'] = str(folder)
    print(json.dumps(report), flush=True)  # noqa: T201, WPS421
    return 1 if violations else 0


def main() -> None:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument(
        '--only', default='', help='names of faults, joined by commas'
    )
    parser.add_argument(
        '--older', default='', help='commit of the build on which VMs begin'
    )
    parser.add_argument(
        '--planned', action='store_true', help='planned work only'
    )
    parser.add_argument('--vms', type=int, default=_VMS, help='number of VMs')
    options = parser.parse_args()
    only = tuple(filter(None, options.only.split(',')))
    if options.planned:
        only = PLANNED_WORK
    # SIGTERM, like SIGINT, ends the run through its clean-up, which kills
    # the VMs.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    codes = [
        asyncio.run(
            run_seed(seed, options.seconds, only, options.older, options.vms)
        )
        for seed in range(options.seed, options.seed + options.seeds)
    ]
    sys.exit(max(codes))


def free_ports(count: int) -> list[int]:
    """Return ports that stay free while the process on them restarts.

    They lie outside the ephemeral range, from which the system takes ports
    of outgoing connections: one of these could be taken while its process
    is down. Soaks that run at the same time start at different ports.
    """
    found: list[int] = []
    span = len(_PORTS)
    start = os.getpid() * _PORTS_PER_SOAK % span
    for step in range(span):
        port = _PORTS[(start + step) % span]
        with contextlib.suppress(OSError):
            socket.create_server(('127.0.0.1', port)).close()
            found.append(port)
        if len(found) == count:
            return found
    raise SettingsError(f'fewer than {count} free ports')


if __name__ == '__main__':
    main()
