"""Tests of the leases by which VMs hold numbered slots."""

import attrs
import pytest
from builders import a_placement, a_vm_record
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.errors import StoreAnswerLostError, StoreError
from bronzewall.membership import Members
from bronzewall.slot_plan import assign_vacant, balancing_moves
from bronzewall.slot_rows import decode_row
from bronzewall.slots import TABLE, SlotLeases
from bronzewall.standins.memory import MemoryPlatform, StoreData
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import VmId, VmRecord, VmState

SLOTS = 12
LOAN_EXPIRY_S = 1.0
TERM_S = 100.0


def leases_of(
    store: StoreData, name: str, *, incarnation: int = 1, state: str = ''
) -> SlotLeases:
    """Return a VM's leases; it lists ``vm-1`` live, ``vm-2`` in a state."""
    own_id = VmId(name)
    members = Members(own_id=own_id, own_placement=a_placement())
    show(members, state or 'live')
    clock = VirtualClock(offset=1000 * incarnation)
    return SlotLeases(
        own_id=own_id,
        incarnation=incarnation,
        clock=clock,
        table=MemoryPlatform(clock=clock, store=store),
        members=members,
        loan_expiry_s=LOAN_EXPIRY_S,
        on_handed_over=lambda _vm_id: None,
        slot_count=SLOTS,
        term_s=TERM_S,
    )


def show(members: Members, state: str) -> None:
    """List ``vm-1`` as live and ``vm-2`` in a state, or not at all."""
    records: list[VmRecord] = [a_vm_record('vm-1')]
    if state != 'missing':
        record = a_vm_record('vm-2')
        records.append(attrs.evolve(record, state=VmState(state)))
    members.update(tuple(records))


def usable(leases: SlotLeases) -> set[int]:
    """Return the slots that may be used now."""
    leases.tick()
    return set(leases.usable_slots(until=leases.clock.now()))


async def pass_time(leases: SlotLeases, seconds: float) -> None:
    """Let time pass while the leases tick."""
    for _ in range(round(seconds / 0.5)):
        await leases.clock.sleep(0.5)
        leases.tick()


async def both_hold() -> tuple[SlotLeases, SlotLeases]:
    """Return the leases of two VMs that hold half of the slots each."""
    store = StoreData()
    first, second = leases_of(store, 'vm-1'), leases_of(store, 'vm-2')
    await first.refresh()
    await second.refresh()
    return first, second


@pytest.mark.parametrize(
    ('state', 'waits_s', 'claimed'),
    [
        pytest.param('live', 5, 0, id='live'),
        pytest.param('leaving', 5, 0, id='leaving'),
        pytest.param('missing', 5, 0, id='missing'),
        pytest.param('destroyed', 0.5, 0, id='destroyed-just-now'),
        pytest.param('destroyed', 2, 6, id='destroyed'),
        pytest.param('missing', TERM_S + 1, 6, id='lease-ended'),
    ],
)
def test_takeover(state: str, waits_s: float, claimed: int) -> None:
    """A slot is claimed only if its holder can no longer use it."""

    async def scenario() -> None:
        first, _second = await both_hold()
        assert len(usable(first)) == SLOTS // 2
        show(first.members, state)
        await pass_time(first, waits_s)
        if waits_s > TERM_S:
            assert not usable(first)
        await first.refresh()
        held = usable(first)
        await pass_time(first, 2)
        assert len(held) == SLOTS // 2 + claimed

    run_virtual(scenario())


def test_pause_makes_slots_unusable_until_confirmed() -> None:
    """A paused VM does not use slots that another process may hold."""

    async def scenario() -> None:
        first, _second = await both_hold()
        await first.clock.sleep(2)
        assert not first.usable_slots(until=first.clock.now())
        assert not usable(first)
        await first.refresh()
        assert len(usable(first)) == SLOTS // 2

    run_virtual(scenario())


def test_restarted_process_waits_and_fences_the_old_one() -> None:
    """Two processes of one VM never use a slot at the same time."""

    async def scenario() -> None:
        first, _second = await both_hold()
        store = first.table.store
        again = leases_of(store, 'vm-1', incarnation=2)
        await again.refresh()
        assert not usable(again)
        await pass_time(again, LOAN_EXPIRY_S + 0.5)
        await again.refresh()
        assert len(usable(again)) == SLOTS // 2
        await first.refresh()
        assert not usable(first)

    run_virtual(scenario())


@pytest.mark.parametrize('is_lost', [False, True])
def test_joining_vm_gets_an_equal_share(is_lost: bool) -> None:
    """A hand-over whose answer was lost leaves each slot with one VM."""

    async def scenario() -> None:
        store = StoreData()
        first = leases_of(store, 'vm-1', state='missing')
        await first.refresh()
        assert len(usable(first)) == SLOTS
        show(first.members, 'live')
        await first.refresh()
        assert len(usable(first)) == SLOTS // 2
        await pass_time(first, LOAN_EXPIRY_S + 0.5)
        await refresh_with_lost_answer(first, is_lost=is_lost)
        second = leases_of(store, 'vm-2')
        await second.refresh()
        await first.refresh()
        assert len(usable(first)) == len(usable(second)) == SLOTS // 2
        assert not usable(first) & usable(second)

    run_virtual(scenario())


async def refresh_with_lost_answer(
    leases: SlotLeases, *, is_lost: bool
) -> None:
    """Refresh once; the answer to the write may be lost."""
    faults = leases.table.faults
    faults.lose_answers = int(is_lost)
    if not is_lost:
        await leases.refresh()
        return
    with pytest.raises(StoreAnswerLostError):
        await leases.refresh()


def test_planned_stop_hands_over_all_slots() -> None:
    """No slot waits for the end of a lease after a planned stop."""

    async def scenario() -> None:
        first, second = await both_hold()
        await first.hand_over_all()
        second.record_planned_stop(first.own_id, incarnation=first.incarnation)
        assert not usable(first)
        await second.refresh()
        assert len(usable(second)) == SLOTS

    run_virtual(scenario())


def test_replaced_vm_gets_slots_again() -> None:
    """Guards against a fleet in which no VM may hold slots.

    Six VMs that were replaced one by one under the same ids were all
    excluded from slots for a minute, and the fleet refused every request.
    """

    async def scenario() -> None:
        first, second = await both_hold()
        await first.hand_over_all()
        second.record_planned_stop(first.own_id, incarnation=first.incarnation)
        await second.refresh()
        second.members.incarnations_by_id[first.own_id] = first.incarnation + 1
        await second.hand_over_all()
        rows = second.table.store.rows_by_table[TABLE]
        holders = {decode_row(row).holder for row in rows.values()}
        assert holders == {first.own_id}

    run_virtual(scenario())


def test_store_outage_keeps_slots_until_their_end() -> None:
    """Slots stay usable during a store outage until their leases end."""

    async def scenario() -> None:
        first, _second = await both_hold()
        first.table.faults.is_down = True
        with pytest.raises(StoreError):
            await first.refresh()
        await pass_time(first, TERM_S * 0.9)
        assert len(usable(first)) == SLOTS // 2
        await pass_time(first, TERM_S * 0.1)
        assert not usable(first)

    run_virtual(scenario())


@given(counts=st.lists(st.integers(0, 9), min_size=1, max_size=6))
def test_moves_even_out_the_shares(counts: list[int]) -> None:
    """After all moves the slot counts differ by at most one."""
    counts_by_id = {VmId(f'vm-{at}'): count for at, count in enumerate(counts)}
    owners = [vm for vm, count in counts_by_id.items() for _ in range(count)]
    holders = dict(enumerate(owners))
    for move in balancing_moves(
        holders_by_slot=holders, counts_by_id=counts_by_id
    ):
        holders[move.slot] = move.receiver
    shares = [list(holders.values()).count(vm) for vm in counts_by_id]
    assert max(shares) - min(shares) <= 1


def test_vacant_slots_go_to_those_with_fewest() -> None:
    """A vacant slot goes to the VM with the fewest slots."""
    counts = {VmId('vm-1'): 2, VmId('vm-2'): 0}
    assert assign_vacant(slots=[7], counts_by_id=counts) == {7: VmId('vm-2')}
