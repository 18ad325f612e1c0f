"""Configuration in force, withdrawn keys and freshness under faults."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

import attrs
import cbor2
from harness import Target, run_bench

from bronzewall import publication_rows as rows
from bronzewall.config_model import Account, Instance, Route, Service
from bronzewall.control_plane import ControlPlane
from bronzewall.errors import PublishConflictError, StoreUnavailableError
from bronzewall.key_table import key_digest
from bronzewall.membership import Members
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.publication import (
    Publication,
    PublishOutcome,
    publish,
    read_base,
)
from bronzewall.publication_check import (
    Acceptance,
    VmAnswer,
    wait_in_force,
)
from bronzewall.standins.memory import (
    MemoryPlatform,
    MemoryVmList,
    StoreData,
    StoreFaults,
)
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    RowWrite,
    ServiceName,
    VmId,
    VmRecord,
    VmState,
)

_REGIONS = ('muscat', 'dhofar', 'sharqiyah')
_STORE_REGION = 'muscat'
_SERVICES = ('drafts', 'intake', 'cluebank', 'marginalia')
_VMS = 40
_PUBLISHES = 200
_WITHDRAWAL_EVERY = 4
_ACCOUNTS = 8
_SAME_ZONE_S = 0.00025
_SAME_REGION_S = 0.001
_OTHER_REGION_S = 0.008
_TICK_S = 0.05
# Poll interval and both ways to the store from another region.
_POLL_TIME_S = 0.32
_WARM_UP_S = 5.0
_END_S = 130.0
_LIST_LAG_S = 8.0
_LOST_ANSWER_SHARE = 0.1
# Withdrawn keys are tried at every VM for this long, afterwards at one.
_PROBE_ALL_S = 15.0
_P99 = 0.99
TARGETS = (
    Target(figure='in_force_p99_s', at_most=2),
    Target(figure='withdrawn_key_ran_after_s', at_most=2),
    Target(figure='ran_after_accepted', at_most=0),
    Target(figure='reverted', at_most=0),
    Target(figure='lost_publishes', at_most=0),
    Target(figure='mixed_rows', at_most=0),
    Target(figure='never_in_force', at_most=0),
    Target(figure='publishes', at_least=_PUBLISHES),
)


class FreezableClock(VirtualClock):
    """Clock whose sleepers stay asleep while the VM is frozen."""

    def __init__(self, *, offset: float) -> None:
        """Start thawed."""
        super().__init__(offset=offset)
        self.thawed = asyncio.Event()
        self.thawed.set()

    async def sleep(self, seconds: float) -> None:
        """Wait, and on until the VM is thawed."""
        await super().sleep(seconds)
        await self.thawed.wait()


@attrs.define(kw_only=True)
class RecordingPlatform(MemoryPlatform):
    """Platform that notes when each generation was stored."""

    stored_at: dict[int, float]

    def _apply(self, write: RowWrite) -> None:
        super()._apply(write)
        if write.key == rows.GENERATION_KEY and write.value is not None:
            generation = cbor2.loads(write.value)['generation']
            self.stored_at[generation] = _now()


@attrs.define(kw_only=True, eq=False)
class Vm:
    """One VM with the real control plane.

    :param disturbed: periods in which it was cut off, frozen or down.
    """

    record: VmRecord
    clock: FreezableClock
    platform: MemoryPlatform
    plane: ControlPlane
    endpoint: PeerEndpoint
    disturbed: list[tuple[float, float]] = attrs.field(factory=list)
    taken: list[tuple[float, int]] = attrs.field(factory=list)
    is_dead: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the VM can serve a request now."""
        return not self.is_dead and self.clock.thawed.is_set()

    def accepts(self, key: str) -> bool:
        """Return whether a keyed request would be run."""
        feed = self.plane.feed
        return (
            feed.generation > 0
            and feed.current().keys.find(key) is not None
            and self.plane.may_serve_keyed()
        )

    def in_force_at(self, generation: int) -> float | None:
        """Return when a generation or a newer one was taken."""
        for at, taken in self.taken:
            if taken >= generation:
                return at
        return None

    def was_disturbed(self, start: float, end: float) -> bool:
        """Return whether a fault of this VM overlaps a period."""
        return any(
            begin < end and start < stop for begin, stop in self.disturbed
        )


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """VMs, network, store and what they did."""

    rng: random.Random
    store: StoreData = attrs.field(factory=StoreData)
    stored_at: dict[int, float] = attrs.field(factory=dict)
    vms_by_id: dict[VmId, Vm] = attrs.field(factory=dict)
    records_by_id: dict[VmId, VmRecord] = attrs.field(factory=dict)
    withdrawn_by_key: dict[str, int] = attrs.field(factory=dict)
    counts: Counter[str] = attrs.field(factory=Counter)
    accepted_at: dict[int, float] = attrs.field(factory=dict)
    cut_regions: set[str] = attrs.field(factory=set)
    ran_after: dict[str, float] = attrs.field(factory=dict)
    ran_where: dict[str, str] = attrs.field(factory=dict)
    network: MemoryNetwork = attrs.field(init=False)
    is_store_down: bool = False
    outages: list[tuple[float, float]] = attrs.field(factory=list)
    bytes_by_id: Counter[VmId] = attrs.field(factory=Counter)

    def __attrs_post_init__(self) -> None:
        """Build the network."""
        self.network = MemoryNetwork(
            random=self.rng, delay=self._delay, loss=0.001, jitter=0.2
        )

    def platform(self, region: str, clock: VirtualClock) -> RecordingPlatform:
        """Return a client of the store."""
        near = region == _STORE_REGION
        delay = _SAME_REGION_S if near else _OTHER_REGION_S
        return RecordingPlatform(
            clock=clock,
            store=self.store,
            stored_at=self.stored_at,
            faults=StoreFaults(
                delay=delay, answer_delay=delay, is_down=self.is_store_down
            ),
        )

    def start_vm(self, record: VmRecord) -> Vm:
        """Start a VM; an older one of the same id must be dead."""
        clock = FreezableClock(offset=self.rng.uniform(0, 1e6))
        platform = self.platform(record.placement.region, clock)
        members = Members(own_id=record.vm_id, own_placement=record.placement)
        endpoint = PeerEndpoint(
            vm_id=record.vm_id,
            incarnation=int((1e9 + _now()) * 1e9) + 1,
            link=MemoryLink(vm_id=record.vm_id, network=self.network),
        )
        vm = Vm(
            record=record,
            clock=clock,
            platform=platform,
            endpoint=endpoint,
            plane=ControlPlane(
                clock=clock,
                random=random.Random(self.rng.random()),
                members=members,
                endpoint=endpoint,
                table=platform,
                objects=platform,
                vm_list=MemoryVmList(platform=platform),
            ),
        )
        vm.plane.feed.on_change(lambda: self._took(vm))
        self.vms_by_id[record.vm_id] = vm
        vm.plane.start()
        return vm

    async def kill(self, vm: Vm) -> None:
        """End a VM without notice."""
        vm.is_dead = True
        self.network.kill(vm.record.vm_id)
        await vm.plane.stop()
        await vm.endpoint.close()

    def list_records(self, records: dict[VmId, VmRecord]) -> None:
        """Set what the platform lists."""
        self.records_by_id = records
        self.store.vm_records = tuple(records.values())

    def switch_store(self, *, is_down: bool, regions: tuple[str, ...]) -> None:
        """Switch the store off or on for the VMs of some regions."""
        for vm in self.vms_by_id.values():
            if vm.record.placement.region in regions:
                vm.platform.faults.is_down = is_down

    def acceptable_at(self, stored: float) -> float:
        """Return from when a generation can be known to the VMs.

        That is when it was stored, or the end of an outage that began
        before any reader had time to poll.
        """
        for begin, end in self.outages:
            if stored <= begin < stored + _POLL_TIME_S:
                return end
        return stored

    def probe(self) -> None:
        """Try withdrawn keys at the VMs that can serve."""
        now = _now()
        running = [vm for vm in self.vms_by_id.values() if vm.is_running]
        for key, generation in self.withdrawn_by_key.items():
            stored = self.stored_at[generation]
            everywhere = now - stored < _PROBE_ALL_S
            for vm in running if everywhere else [self.rng.choice(running)]:
                self.counts['probes'] += 1
                if not vm.accepts(key):
                    continue
                if now > self.accepted_at.get(generation, now):
                    self.counts['ran_after_accepted'] += 1
                if now - stored > self.ran_after.get(key, 0):
                    self.ran_after[key] = now - stored
                    self.ran_where[key] = f'{vm.record.vm_id} at {now:.2f}'

    def check_serving(self) -> None:
        """Count VMs that refuse keyed routes for lack of freshness."""
        name = 'away' if self.is_store_down else 'calm'
        if self.cut_regions:
            name = f'{name}_cut'
        for vm in self.vms_by_id.values():
            if not vm.is_running or vm.was_disturbed(_now() - 3, _now() + 1):
                continue
            self.counts[f'{name}_ticks'] += 1
            if not vm.plane.may_serve_keyed():
                self.counts[f'{name}_refused'] += 1

    async def ask(self, record: VmRecord, generation: int) -> VmAnswer | None:
        """Ask one VM for an operator in the store's region."""
        await asyncio.sleep(2 * _OTHER_REGION_S)
        vm = self.vms_by_id[record.vm_id]
        is_cut = vm.was_disturbed(_now(), _now())
        if is_cut or not vm.is_running:
            return None
        return vm.plane.answer(keys_generation=generation)

    async def confirm(self, publication: Publication) -> None:
        """Wait as an operator's command does and count the results."""
        clock = VirtualClock()
        report = await wait_in_force(
            publication=publication,
            vms=MemoryVmList(platform=self.platform(_STORE_REGION, clock)),
            ask=self.ask,
            clock=clock,
        )
        self.counts[f'reported_{report.result}'] += 1
        if report.result is Acceptance.ACCEPTED:
            assert publication.generation is not None
            self.accepted_at[publication.generation] = _now()

    def _took(self, vm: Vm) -> None:
        generation = vm.plane.feed.generation
        if vm.taken and vm.taken[-1][1] >= generation:
            self.counts['reverted'] += 1
        vm.taken.append((_now(), generation))

    def _delay(self, sender: VmId, receiver: VmId) -> float:
        mine = self.records_by_id[sender].placement
        other = self.records_by_id[receiver].placement
        if mine.region != other.region:
            return _OTHER_REGION_S
        return _SAME_ZONE_S if mine.zone == other.zone else _SAME_REGION_S


@attrs.define(kw_only=True, eq=False)
class Operators:
    """Operators who publish at the same time.

    :param expected: value of the last publish of each service by the
        generation that stored it.
    """

    fleet: Fleet
    rng: random.Random
    keys_by_account: dict[str, list[str]]
    serials: Iterator[int]
    stored: dict[int, tuple[str, int]] = attrs.field(factory=dict)
    publications: dict[str, int] = attrs.field(factory=dict)
    started: int = 0
    confirming: list[asyncio.Task[None]] = attrs.field(factory=list)

    async def run(self, number: int) -> None:
        """Publish until the fleet's total is reached."""
        clock = VirtualClock()
        store = self.fleet.platform(_STORE_REGION, clock)
        while self.started < _PUBLISHES:
            self.started += 1
            store.faults.is_down = self.fleet.is_store_down
            if self.started % _WITHDRAWAL_EVERY == 0:
                await self._withdraw(number, store)
            else:
                await self._change(number, store)
            await clock.sleep(self.rng.uniform(0.5, 5.5))

    def accounts(self) -> list[Account]:
        """Return the accounts with the keys that are left."""
        return [
            Account(
                account_id=AccountId(name),
                rate=50.0,
                burst=20,
                key_digests=tuple(key_digest(key) for key in keys),
            )
            for name, keys in self.keys_by_account.items()
        ]

    async def _change(self, number: int, store: MemoryPlatform) -> None:
        name = self.rng.choice(_SERVICES)
        serial = next(self.serials)
        generation = await self._publish(
            number, store, services=[a_service(name, serial)], accounts=None
        )
        self.stored[generation] = (name, serial)

    async def _withdraw(self, number: int, store: MemoryPlatform) -> None:
        account = self.rng.choice(
            [name for name, keys in self.keys_by_account.items() if keys]
        )
        key = self.keys_by_account[account].pop()
        generation = await self._publish(
            number, store, services=[], accounts=self.accounts
        )
        self.fleet.withdrawn_by_key[key] = generation

    async def _publish(
        self,
        number: int,
        store: MemoryPlatform,
        *,
        services: list[Service],
        accounts: Any,
    ) -> int:
        """Publish until it is stored and return the generation."""
        publication_id = f'{self.rng.getrandbits(64):016x}'
        base: dict[str, int] | None = None
        while True:
            store.faults.is_down = self.fleet.is_store_down
            if self.rng.random() < _LOST_ANSWER_SHARE:
                store.faults.lose_answers = 1
            try:
                if base is None:
                    names = [service.name for service in services]
                    base = await read_base(store, services=names)
                    await asyncio.sleep(self.rng.uniform(0, 0.1))
                outcome = await publish(
                    services=services,
                    accounts=accounts() if accounts else None,
                    publisher=f'operator-{number}',
                    publication_id=publication_id,
                    table=store,
                    objects=store,
                    base=base,
                )
            except PublishConflictError:
                self.fleet.counts['conflicts'] += 1
                base = None
                continue
            except StoreUnavailableError:
                self.fleet.counts['store_refusals'] += 1
                await asyncio.sleep(0.5)
                continue
            if outcome.outcome is PublishOutcome.UNKNOWN:
                self.fleet.counts['unknown'] += 1
                continue
            assert outcome.generation is not None
            self.publications[publication_id] = outcome.generation
            self.confirming.append(
                asyncio.create_task(self.fleet.confirm(outcome))
            )
            return outcome.generation


def a_service(name: str, serial: int) -> Service:
    """Return a service whose queue limit shows the publish."""
    service = ServiceName(name)
    instance = Instance(
        instance_id=InstanceId(f'{name}-1'),
        address='127.0.0.1:9',
        placement=Placement(region='muscat', zone='muscat-a'),
    )
    route = Route(
        route_id=RouteId(f'{name}/read'),
        service=service,
        path=f'/{name}/*',
        methods=frozenset({'GET'}),
        idempotent=True,
    )
    return Service(
        name=service,
        instances_by_id={instance.instance_id: instance},
        routes_by_id={route.route_id: route},
        queue_limit=serial,
    )


async def _faults(fleet: Fleet) -> None:
    """Inject the faults of one run, one after another and combined."""
    await _until(12)
    await _outage(fleet, 15)
    await _until(30)
    _one_way_cuts(fleet, pairs=60)
    await _until(42)
    fleet.network.heal()
    await _region_cut(fleet, 'dhofar', 12)
    await _until(57)
    await _restarts(fleet)
    await _until(70)
    await _freeze(fleet, count=3, seconds=6)
    await _until(80)
    _one_way_cuts(fleet, pairs=60)
    await _outage(fleet, 6)
    fleet.network.heal()
    await _until(90)
    await _isolate(fleet, count=4, seconds=10)
    await _until(104)
    # The store goes away while a region is cut off, and comes back first.
    cut = asyncio.create_task(_region_cut(fleet, 'sharqiyah', 12))
    await _until(107)
    await _outage(fleet, 5)
    await cut


async def _outage(fleet: Fleet, seconds: float) -> None:
    fleet.is_store_down = True
    fleet.outages.append((_now(), _now() + seconds))
    down = {vm: vm.platform.faults.is_down for vm in fleet.vms_by_id.values()}
    fleet.switch_store(is_down=True, regions=_REGIONS)
    await asyncio.sleep(seconds)
    fleet.is_store_down = False
    for vm in fleet.vms_by_id.values():
        vm.platform.faults.is_down = down.get(vm, False)


async def _region_cut(fleet: Fleet, region: str, seconds: float) -> None:
    inside = [
        vm
        for vm in fleet.vms_by_id.values()
        if vm.record.placement.region == region
    ]
    fleet.cut_regions.add(region)
    await _cut_off(fleet, inside, seconds, is_group=True)
    fleet.cut_regions.discard(region)


async def _isolate(fleet: Fleet, *, count: int, seconds: float) -> None:
    chosen = fleet.rng.sample(list(fleet.vms_by_id.values()), count)
    await _cut_off(fleet, chosen, seconds, is_group=False)


async def _cut_off(
    fleet: Fleet, chosen: list[Vm], seconds: float, *, is_group: bool
) -> None:
    start = _now()
    ids = {vm.record.vm_id for vm in chosen}
    for vm in chosen:
        vm.platform.faults.is_down = True
        vm.disturbed.append((start, start + seconds))
        for other in fleet.records_by_id:
            if is_group and other in ids:
                continue
            fleet.network.cut(sender=vm.record.vm_id, receiver=other)
            fleet.network.cut(sender=other, receiver=vm.record.vm_id)
    await asyncio.sleep(seconds)
    fleet.network.heal()
    for vm in chosen:
        vm.platform.faults.is_down = fleet.is_store_down


async def _restarts(fleet: Fleet) -> None:
    chosen = fleet.rng.sample(list(fleet.vms_by_id.values()), 6)
    for vm in chosen[1:]:
        await fleet.kill(vm)
        await asyncio.sleep(0.7)
        fleet.start_vm(vm.record).disturbed.append((0, _now() + 2))
    gone = chosen[0]
    await fleet.kill(gone)
    gone.disturbed.append((_now(), _END_S * 2))
    await asyncio.sleep(_LIST_LAG_S)
    destroyed = attrs.evolve(gone.record, state=VmState.DESTROYED)
    fleet.list_records({**fleet.records_by_id, destroyed.vm_id: destroyed})


async def _freeze(fleet: Fleet, *, count: int, seconds: float) -> None:
    running = [vm for vm in fleet.vms_by_id.values() if vm.is_running]
    chosen = fleet.rng.sample(running, count)
    for vm in chosen:
        vm.disturbed.append((_now(), _now() + seconds))
        vm.clock.thawed.clear()
        fleet.network.freeze(vm.record.vm_id)
    await asyncio.sleep(seconds)
    for vm in chosen:
        vm.clock.thawed.set()
    # Requests that waited in the sockets come before any message.
    fleet.probe()
    for vm in chosen:
        fleet.network.thaw(vm.record.vm_id)


def _one_way_cuts(fleet: Fleet, *, pairs: int) -> None:
    ids = list(fleet.vms_by_id)
    for _ in range(pairs):
        sender, receiver = fleet.rng.sample(ids, 2)
        fleet.network.cut(sender=sender, receiver=receiver)


async def _watch(fleet: Fleet) -> None:
    while True:
        fleet.probe()
        fleet.check_serving()
        await asyncio.sleep(_TICK_S)


async def _run(seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    fleet = Fleet(rng=rng)
    zones = [f'{region}-{letter}' for letter in 'ab' for region in _REGIONS]
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
                f'key-{number}-{serial}' for serial in range(_PUBLISHES)
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
    started = _now()
    await asyncio.gather(
        _faults(fleet), *(operators.run(number) for number in range(5))
    )
    await _until(_END_S)
    seconds = _now() - started
    await asyncio.gather(*operators.confirming)
    report = _report(fleet, operators)
    report.update(
        {
            'virtual_s': seconds,
            'messages_per_vm_s': _rate(
                fleet.network.messages - before[0], seconds * _VMS
            ),
            'bytes_per_vm_s': _rate(
                fleet.network.bytes_sent - before[1], seconds * _VMS
            ),
            'store_reads_per_s': _rate(fleet.store.reads - before[2], seconds),
        }
    )
    watch.cancel()
    for vm in fleet.vms_by_id.values():
        await fleet.kill(vm)
    return report


async def _first_publish(fleet: Fleet, operators: Operators) -> None:
    store = fleet.platform(_STORE_REGION, VirtualClock())
    first = await publish(
        services=[a_service(name, 0) for name in _SERVICES],
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
        'lost_publishes': _lost(fleet, operators),
        'mixed_rows': _mixed(fleet, operators),
        'conflicts': counts['conflicts'],
        'unknown_outcomes': counts['unknown'],
        'store_refusals': counts['store_refusals'],
        'keyed_refused_while_store_away_share': _rate(
            counts['away_refused'], counts['away_ticks']
        ),
        'keyed_refused_while_store_away_and_region_cut_share': _rate(
            counts['away_cut_refused'], counts['away_cut_ticks']
        ),
        'keyed_refused_while_store_answers_share': _rate(
            counts['calm_refused'] + counts['calm_cut_refused'],
            counts['calm_ticks'] + counts['calm_cut_ticks'],
        ),
    }


def _lags(fleet: Fleet) -> list[float]:
    found = []
    for generation, stored in fleet.stored_at.items():
        for vm in fleet.vms_by_id.values():
            at = vm.in_force_at(generation)
            if at is None and not vm.is_dead:
                fleet.counts['never_in_force'] += 1
            elif at is not None and not vm.was_disturbed(stored, at):
                found.append(at - fleet.acceptable_at(stored))
    return found


def _lost(fleet: Fleet, operators: Operators) -> int:
    """Count publishes without a generation of their own."""
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


def _mixed(fleet: Fleet, operators: Operators) -> int:
    """Count VMs and services that do not hold the last publish."""
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


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _until(at: float) -> None:
    await asyncio.sleep(max(0, at - _now()))


def _rate(count: float, base: float) -> float:
    return round(count / base, 5) if base else 0


def _measure(seed: int) -> dict[str, Any]:
    started = time.monotonic()
    report = run_virtual(_run(seed))
    report['wall_s'] = round(time.monotonic() - started, 1)
    return report


if __name__ == '__main__':
    run_bench(name='config', measure=_measure, targets=TARGETS)
