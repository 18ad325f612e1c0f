"""VMs, network and store of the configuration bench."""

import asyncio
import random
from collections import Counter

import attrs
import cbor2

from bronzewall import publication_rows as rows
from bronzewall.publication import Publication
from bronzewall.publication_check import (
    Acceptance,
    VmAnswer,
    wait_in_force,
)
from bronzewall.published_change import (
    PublishedChange,
    decode_change,
    encode_change,
)
from bronzewall.standins.control_fleet import FleetVm, FreezableClock, start_vm
from bronzewall.standins.memory import (
    MemoryPlatform,
    MemoryVmList,
    StoreData,
    StoreFaults,
)
from bronzewall.standins.memory_link import MemoryNetwork
from bronzewall.standins.virtual_time import VirtualClock
from bronzewall.types import RowWrite, VmId, VmRecord

REGIONS = ('muscat', 'dhofar', 'sharqiyah')
STORE_REGION = 'muscat'
OTHER_REGION_S = 0.008
_SAME_ZONE_S = 0.00025
_SAME_REGION_S = 0.001
# Poll interval plus a round trip to the store from another region.
_STORE_POLL_S = 0.32
# A VM that was cut off, frozen or down is not counted within this time
# after the fault, nor within the look-ahead before it.
_RECOVERY_S = 3.0
_LOOKAHEAD_S = 1.0
# A withdrawn key is tried at every VM for this long, then at one VM.
_PROBE_ALL_S = 15.0


@attrs.define(kw_only=True)
class RecordingPlatform(MemoryPlatform):
    """Platform that records when each generation was stored."""

    stored_at: dict[int, float]

    def _apply(self, write: RowWrite) -> None:
        super()._apply(write)
        if write.key == rows.GENERATION_KEY and write.value is not None:
            generation = cbor2.loads(write.value)['generation']
            self.stored_at[generation] = now()


@attrs.define(kw_only=True, eq=False)
class Vm(FleetVm):
    """One VM with its faults and applied changes.

    :param fault_periods: start and end of cuts, freezes and downtimes.
    :param applied: time and generation of each applied change.
    """

    fault_periods: list[tuple[float, float]] = attrs.field(factory=list)
    applied: list[tuple[float, int]] = attrs.field(factory=list)
    is_dead: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the VM can serve a request now."""
        return not self.is_dead and self.clock.thawed.is_set()

    def in_force_at(self, generation: int) -> float | None:
        """Return when a generation or a newer one was applied."""
        for at, applied in self.applied:
            if applied >= generation:
                return at
        return None

    def had_fault(self, start: float, end: float) -> bool:
        """Return whether a fault of this VM overlaps a period."""
        return any(
            begin < end and start < stop for begin, stop in self.fault_periods
        )


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """VMs, network and store, with the counters of a run.

    :param accepted_at: time at which a publish was reported as accepted, by
        generation.
    :param ran_after: longest time in seconds from storing the withdrawal of a
        key until a VM still accepted it, by key.
    :param ran_where: VM and time of that acceptance, by key.
    :param outages: start and end of each store outage.
    """

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
        """Return a store client for a region."""
        is_same_region = region == STORE_REGION
        delay = _SAME_REGION_S if is_same_region else OTHER_REGION_S
        return RecordingPlatform(
            clock=clock,
            store=self.store,
            stored_at=self.stored_at,
            faults=StoreFaults(
                delay=delay, answer_delay=delay, is_down=self.is_store_down
            ),
        )

    def start_vm(self, record: VmRecord) -> Vm:
        """Start a VM; a previous VM with the same id must be stopped."""
        clock = FreezableClock(offset=self.rng.uniform(0, 1e6))
        vm = start_vm(
            Vm,
            record=record,
            clock=clock,
            platform=self.platform(record.placement.region, clock),
            network=self.network,
            incarnation=int((1e9 + now()) * 1e9) + len(self.vms_by_id),
        )
        vm.plane.feed.on_change(lambda: self._record_applied(vm))
        self.vms_by_id[record.vm_id] = vm
        return vm

    def list_records(self, records: dict[VmId, VmRecord]) -> None:
        """Set the VM list of the platform."""
        self.records_by_id = records
        self.store.vm_records = tuple(records.values())

    def switch_store(self, *, is_down: bool, regions: tuple[str, ...]) -> None:
        """Switch the store off or on for the VMs of some regions."""
        for vm in self.vms_by_id.values():
            if vm.record.placement.region in regions:
                vm.platform.faults.is_down = is_down

    def readable_at(self, stored: float) -> float:
        """Return the time from which VMs can read a generation.

        That is the time at which it was stored, or the end of a store outage
        that began before a reader could poll.
        """
        for begin, end in self.outages:
            if begin < stored + _STORE_POLL_S and stored < end:
                return end
        return stored

    def probe(self) -> None:
        """Try withdrawn keys on the VMs that can serve."""
        at = now()
        running = [vm for vm in self.vms_by_id.values() if vm.is_running]
        for key, generation in self.withdrawn_by_key.items():
            stored = self.stored_at[generation]
            everywhere = at - stored < _PROBE_ALL_S
            for vm in running if everywhere else [self.rng.choice(running)]:
                self.counts['probes'] += 1
                if not vm.accepts(key):
                    continue
                if at > self.accepted_at.get(generation, at):
                    self.counts['ran_after_accepted'] += 1
                if at - stored > self.ran_after.get(key, 0):
                    self.ran_after[key] = at - stored
                    self.ran_where[key] = f'{vm.record.vm_id} at {at:.2f}'

    def check_serving(self) -> None:
        """Count VMs that refuse keys as stale, and false suspicions."""
        name = 'away' if self.is_store_down else 'calm'
        if self.cut_regions:
            name = f'{name}_cut'
        for vm in self.vms_by_id.values():
            if not self._is_fault_free(vm):
                continue
            self.counts['member_ticks'] += len(self.records_by_id)
            self.counts['false_suspicions'] += sum(
                1
                for suspected in vm.plane.members.suspected_ids
                if self._is_fault_free(self.vms_by_id[suspected])
            )
            self.counts[f'{name}_ticks'] += 1
            if not vm.plane.may_serve_keyed():
                self.counts[f'{name}_refused'] += 1

    async def ask(
        self, record: VmRecord, change: PublishedChange
    ) -> VmAnswer | None:
        """Query one VM on behalf of an operator in the store's region."""
        await asyncio.sleep(2 * OTHER_REGION_S)
        vm = self.vms_by_id[record.vm_id]
        is_cut = vm.had_fault(now(), now())
        if is_cut or not vm.is_running:
            return None
        return vm.plane.answer(decode_change(encode_change(change)))

    async def confirm(
        self, publication: Publication, known: tuple[VmRecord, ...]
    ) -> None:
        """Wait like the operator's command and count the result."""
        clock = VirtualClock()
        report = await wait_in_force(
            publication=publication,
            vms=MemoryVmList(platform=self.platform(STORE_REGION, clock)),
            send_change=self.ask,
            clock=clock,
            initial_records=known,
        )
        self.counts[f'reported_{report.result}'] += 1
        if report.result is Acceptance.ACCEPTED:
            assert publication.generation is not None
            self.accepted_at[publication.generation] = now()

    def _is_fault_free(self, vm: Vm) -> bool:
        """Return whether no fault of its own affects a VM now."""
        at = now()
        return vm.is_running and not vm.had_fault(
            at - _RECOVERY_S, at + _LOOKAHEAD_S
        )

    def _record_applied(self, vm: Vm) -> None:
        generation = vm.plane.feed.generation
        if vm.applied and vm.applied[-1][1] >= generation:
            self.counts['reverted'] += 1
        vm.applied.append((now(), generation))

    def _delay(self, sender: VmId, receiver: VmId) -> float:
        first = self.records_by_id[sender].placement
        second = self.records_by_id[receiver].placement
        if first.region != second.region:
            return OTHER_REGION_S
        return _SAME_ZONE_S if first.zone == second.zone else _SAME_REGION_S


def now() -> float:
    """Return the virtual time in seconds."""
    return asyncio.get_running_loop().time()
