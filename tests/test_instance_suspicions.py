"""Exchange of evidence between VMs over an in-memory network."""

import asyncio
import random
from collections.abc import Sequence

import pytest
from builders import a_route, a_vm_record, an_instance

from bronzewall.evidence import AttemptOutcome, Evidence
from bronzewall.instance_suspicions import (
    TICK_S,
    EvidenceReport,
    Suspicions,
    SuspicionSummary,
)
from bronzewall.membership import Members
from bronzewall.messages import Envelope, decode, encode
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.pool_state import EJECT_SCORE
from bronzewall.pooled_evidence import Suspect
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import ServiceName, VmId

INSTANCES = tuple(an_instance(f'drafts-{number}') for number in range(4))
ROUTE = a_route()
OWN = frozenset(('own path',))
BOTH = frozenset(('', 'own path'))
ZONES = ('muscat-a', 'muscat-b', 'dhofar-a')


class Fleet:
    """Three VMs, one in each zone, that exchange their evidence."""

    def __init__(self) -> None:
        self.network = MemoryNetwork(random=random.Random(1))
        self.seen_by_vm: dict[VmId, list[Suspect]] = {}
        records = tuple(a_vm_record(f'vm-{zone}', zone=zone) for zone in ZONES)
        self.vms = [self._build_vm(record, records) for record in records]

    async def run(self, ticks: int, failing: Sequence[VmId]) -> None:
        """Send from all VMs; for those listed the first instance fails."""
        for _ in range(ticks):
            for vm in self.vms:
                for instance in INSTANCES:
                    self._attempt(vm, instance, vm.vm_id in failing)
                vm.tick()
            await asyncio.sleep(TICK_S)

    def _build_vm(self, record, records) -> Suspicions:
        vm_id = record.vm_id
        members = Members(own_id=vm_id, own_placement=record.placement)
        members.update(records)

        def store_suspects(_service: ServiceName, found: list[Suspect]) -> None:
            self.seen_by_vm[vm_id] = found

        return Suspicions(
            vm_id=vm_id,
            placement=record.placement,
            clock=VirtualClock(),
            members=members,
            endpoint=PeerEndpoint(
                vm_id=vm_id,
                incarnation=1,
                link=MemoryLink(vm_id=vm_id, network=self.network),
            ),
            evidence=Evidence(),
            on_suspects=store_suspects,
        )

    def _attempt(self, vm, instance, is_failing: bool) -> None:
        now = asyncio.get_running_loop().time()
        outcome = AttemptOutcome.ANSWERED
        if is_failing and instance is INSTANCES[0]:
            outcome = AttemptOutcome.CONNECT_FAILED
        attempt = vm.evidence.start(instance=instance, route=ROUTE, now=now)
        vm.evidence.finish(attempt, outcome, now + 0.02)


def _zones_seen(failing: Sequence[str], *, cut: bool = False):
    async def main():
        fleet = Fleet()
        await fleet.run(10, [])
        if cut:
            for vm in fleet.vms:
                for other in fleet.vms:
                    fleet.network.block(sender=vm.vm_id, receiver=other.vm_id)
            await fleet.run(6, [])
        await fleet.run(20, [VmId(f'vm-{zone}') for zone in failing])
        return {
            vm_id: {seen.zone for seen in found}
            for vm_id, found in fleet.seen_by_vm.items()
        }

    return run_virtual(main())


@pytest.mark.parametrize(
    ('failing', 'cut', 'expected'),
    [
        ((), False, [set(), set(), set()]),
        (ZONES, False, [BOTH, BOTH, BOTH]),
        (ZONES[:1], False, [OWN, set(), set()]),
        (ZONES, True, [OWN, OWN, OWN]),
    ],
    ids=['none', 'everywhere', 'one_vm', 'no_observer_reached'],
)
def test_suspects_reach_the_vms_concerned(failing, cut, expected) -> None:
    """Guards against suspects not delivered, or based on one VM alone."""
    seen = _zones_seen(failing, cut=cut)
    assert [seen[VmId(f'vm-{zone}')] for zone in ZONES] == expected


def test_messages_survive_the_wire() -> None:
    """Guards against rows that the decoder cannot rebuild."""
    vm = Fleet().vms[0]
    attempt = vm.evidence.start(instance=INSTANCES[0], route=ROUTE, now=0)
    vm.evidence.finish(attempt, AttemptOutcome.ANSWERED, 0.5)
    report = EvidenceReport(
        service=ROUTE.service,
        zone=ZONES[0],
        rows=tuple(vm.evidence.drain(ROUTE.service, 1)),
    )
    suspect = Suspect(
        instance_id=INSTANCES[0].instance_id,
        route_class=ROUTE.route_id,
        zone='',
        score=20,
        failed=1,
        ok=2,
        overdue=3,
        witnesses=4,
    )
    summary = SuspicionSummary(service=ROUTE.service, suspects=(suspect,))
    for body in (report, summary):
        envelope = Envelope(
            sender=vm.vm_id, incarnation=1, sequence=1, body=body
        )
        assert decode(encode(envelope)) == envelope


def test_repeated_report_counts_once() -> None:
    """Guards against duplicated messages that double the evidence."""
    fleet = Fleet()
    first, second = fleet.vms[:2]
    attempt = second.evidence.start(instance=INSTANCES[0], route=ROUTE, now=0)
    second.evidence.finish(attempt, AttemptOutcome.BROKEN, 1)
    rows = tuple(second.evidence.drain(ROUTE.service, 1))
    envelope = Envelope(
        sender=second.vm_id,
        incarnation=1,
        sequence=5,
        body=EvidenceReport(service=ROUTE.service, zone=ZONES[1], rows=rows),
    )
    run_virtual(_receive_twice(first, envelope))
    assert fleet.network.sent_by_id == {first.vm_id: 1}


async def _receive_twice(vm: Suspicions, envelope: Envelope) -> None:
    vm.endpoint.receive(encode(envelope))
    vm.endpoint.receive(encode(envelope))


def test_score_outlasts_the_attempts_that_were_its_evidence() -> None:
    """Guards against VMs that never receive a short-lived score."""

    async def main() -> None:
        fleet = Fleet()
        await fleet.run(10, [])
        vm_ids = [vm.vm_id for vm in fleet.vms]
        await fleet.run(10, vm_ids)
        await fleet.run(3, [])
        for found in fleet.seen_by_vm.values():
            assert max(seen.score for seen in found) >= EJECT_SCORE

    run_virtual(main())
