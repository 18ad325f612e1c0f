"""Division of slots, grants of the coordinator, and loans between VMs."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import attrs
import pytest
from builders import (
    a_placement,
    a_route,
    a_service,
    a_vm_record,
    an_instance,
)
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.config_model import Service
from bronzewall.dispatch import Dispatcher
from bronzewall.errors import UpstreamShedError
from bronzewall.load_reports import GRANT_MAX_AGE_S, LoadExchange
from bronzewall.membership import Members
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.shares import (
    SlotTable,
    fair_slot_counts,
    max_min_allocation,
    slots_of,
)
from bronzewall.standins.memory_link import MemoryLink, MemoryNetwork
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import AccountId, VmId

ROUTE = a_route()
ZONES = ('muscat-a', 'muscat-b', 'dhofar-a')


@given(
    demand=st.dictionaries(st.sampled_from('abcde'), st.floats(0, 100)),
    capacity=st.floats(0, 200),
)
def test_fair_demand_is_max_min_fair(
    demand: dict[str, float], capacity: float
) -> None:
    """Guards against an account that gets more at the expense of others."""
    granted = max_min_allocation(demand_by_account=demand, capacity=capacity)
    assert sum(granted.values()) <= capacity + 1e-6
    assert all(granted[name] <= demand[name] for name in demand)
    short = [name for name in demand if granted[name] < demand[name] - 1e-6]
    for name in short:
        assert granted[name] >= max(granted.values()) - 1e-6


@given(
    weights=st.dictionaries(
        st.sampled_from([f'vm-{number}' for number in range(6)]),
        st.floats(0, 5),
        min_size=1,
    ),
    total=st.integers(0, 24),
)
def test_due_slots_add_up(weights: dict[VmId, float], total: int) -> None:
    """Guards against slots assigned twice or not at all."""
    due = fair_slot_counts(total, weights)
    assert sum(due.values()) == pytest.approx(total)
    assert min(due.values()) >= 0


def test_every_slot_has_one_owner_in_its_zone() -> None:
    """Guards against slots without an owner or owned in another zone."""
    instances = [
        an_instance(zone, placement=a_placement(zone)) for zone in ZONES
    ]
    places = {VmId(f'vm-{zone}'): a_placement(zone) for zone in ZONES}
    table = SlotTable()
    for _ in range(20):
        table.rebalance(
            slots=slots_of(instances),
            weight_by_vm=dict.fromkeys(places, 2),
            placement_by_vm=places,
        )
    shares = {vm_id: table.shares_of(vm_id) for vm_id in places}
    assert shares == {VmId(f'vm-{zone}'): {zone: 4} for zone in ZONES}


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """VMs of one zone over one service of four slots."""

    service: Service
    network: MemoryNetwork
    exchanges: list[LoadExchange] = attrs.field(factory=list)
    busy: int = 0
    peak: int = 0
    served: Counter[int] = attrs.field(factory=Counter)

    async def load(self, number: int, hold: float = 0.05) -> None:
        """Serve one request on a VM; shed it if all slots are in use."""
        dispatcher = self.exchanges[number].dispatcher
        instance = await dispatcher.acquire(
            service=self.service,
            route=ROUTE,
            account_id=AccountId('a'),
            deadline=asyncio.get_running_loop().time() + 10,
            excluded=frozenset(),
        )
        if self.busy >= instance.slots:
            self.served['shed'] += 1
            dispatcher.release(instance, error=UpstreamShedError('x'))
            return
        self.busy += 1
        self.peak = max(self.peak, self.busy)
        await asyncio.sleep(hold)
        self.busy -= 1
        self.served[number] += 1
        dispatcher.release(instance, is_served=True)

    def share_of(self, number: int) -> int:
        """Return the slots of a VM's share."""
        state = self.exchanges[number].dispatcher.state_of(self.service)
        return sum(load.share for load in state.loads_by_id.values())


def _fleet(size: int) -> Fleet:
    service = a_service(routes=[ROUTE])
    network = MemoryNetwork(random=random.Random(1))
    fleet = Fleet(service=service, network=network)
    names = [VmId(f'vm-{number}') for number in range(size)]
    clock = VirtualClock()

    def find_service(_name: str) -> Service:
        return service

    for vm_id in names:
        members = Members(own_id=vm_id, own_placement=a_placement())
        members.update(tuple(a_vm_record(name) for name in names))
        fleet.exchanges.append(
            LoadExchange(
                vm_id=vm_id,
                placement=a_placement(),
                clock=clock,
                dispatcher=Dispatcher(random=random.Random(1), clock=clock),
                find_service=find_service,
                members=members,
                endpoint=PeerEndpoint(
                    vm_id=vm_id,
                    incarnation=1,
                    link=MemoryLink(vm_id=vm_id, network=network),
                ),
            )
        )
    return fleet


def _run(fleet: Fleet, main: Callable[[], Awaitable[None]]) -> None:
    async def wrapped() -> None:
        tasks = [asyncio.create_task(vm.run()) for vm in fleet.exchanges]
        await main()
        for task in tasks:
            task.cancel()

    run_virtual(wrapped())


async def _keep_busy(fleet: Fleet, number: int, seconds: float) -> None:
    until = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until:
        await asyncio.gather(
            fleet.load(number), fleet.load(number), return_exceptions=True
        )


def test_shares_follow_the_demand() -> None:
    """Guards against slots that stay with VMs without traffic."""
    fleet = _fleet(2)

    async def main() -> None:
        await _keep_busy(fleet, 0, 3)
        assert fleet.share_of(0) == 4
        await _keep_busy(fleet, 1, 8)
        assert fleet.share_of(1) == 4

    _run(fleet, main)


def test_idle_slots_are_lent_and_returned() -> None:
    """Guards against requests that wait while slots are idle, against use of
    one slot by two VMs, and against loans that are never returned.
    """
    fleet = _fleet(2)

    async def main() -> None:
        await asyncio.gather(_keep_busy(fleet, 0, 3), _keep_busy(fleet, 1, 3))
        fleet.served.clear()
        burst = [fleet.load(0) for _ in range(4)]
        await asyncio.gather(*burst)
        await asyncio.sleep(2)
        assert fleet.served == {0: 4}
        assert fleet.peak <= 4
        for exchange in fleet.exchanges:
            assert not exchange.lending.lent_by_request
            assert not exchange.lending.borrowed_by_request
            state = exchange.dispatcher.state_of(fleet.service)
            load = state.loads_by_id['drafts-1']
            assert (load.lent, load.borrowed, load.expiring) == (0, 0, 0)

    _run(fleet, main)


@pytest.mark.parametrize('fault', ['loss', 'duplication'])
def test_faulty_links_leak_no_loans(fault: str) -> None:
    """Guards against leaked loans when messages are lost or duplicated."""
    fleet = _fleet(3)
    setattr(fleet.network, fault, 0.3)

    async def main() -> None:
        await asyncio.gather(
            *(_keep_busy(fleet, number, 6) for number in range(3))
        )
        await asyncio.sleep(3)
        for exchange in fleet.exchanges:
            state = exchange.dispatcher.state_of(fleet.service)
            load = state.loads_by_id['drafts-1']
            assert (load.lent, load.borrowed, load.expiring) == (0, 0, 0)
            assert (load.in_flight, state.queue.length) == (0, 0)

    _run(fleet, main)


def test_cut_off_vm_falls_back_to_an_equal_share() -> None:
    """Guards against a VM without slots when its coordinator is unreachable."""
    fleet = _fleet(2)

    async def main() -> None:
        await asyncio.gather(_keep_busy(fleet, 0, 1), _keep_busy(fleet, 1, 1))
        for sender, receiver in (('vm-0', 'vm-1'), ('vm-1', 'vm-0')):
            fleet.network.block(sender=VmId(sender), receiver=VmId(receiver))
        await asyncio.sleep(GRANT_MAX_AGE_S + 1)
        assert fleet.share_of(0) > 0
        assert fleet.share_of(1) > 0

    _run(fleet, main)


def test_leaving_is_reported_to_all_and_expires() -> None:
    """Guards against VMs that must each observe that an instance leaves."""
    fleet = _fleet(2)

    async def main() -> None:
        await asyncio.gather(_keep_busy(fleet, 0, 1), _keep_busy(fleet, 1, 1))
        seen = fleet.exchanges[0].dispatcher
        seen.mark_leaving(an_instance().instance_id)
        await asyncio.sleep(1)
        now = asyncio.get_running_loop().time()
        state = fleet.exchanges[1].dispatcher.state_of(fleet.service)
        assert state.loads_by_id['drafts-1'].leaving_until > now
        await asyncio.sleep(40)
        now = asyncio.get_running_loop().time()
        assert state.loads_by_id['drafts-1'].leaving_until < now

    _run(fleet, main)
