"""Admission over a small fleet under random faults."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs
import pytest
from builders import an_account
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzewall.errors import RateExceededError
from bronzewall.quota import quota_status
from bronzewall.standins.quota_fleet import Fleet, FleetVm, build_fleet
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.standins.window_check import WindowCheck
from bronzewall.types import VmId, VmState

Action = Callable[[Fleet, FleetVm, VmId], None]

ACCOUNT = an_account(rate=40, burst=9)
VMS = 5
# Short enough that leases end within an example.
TERM_S = 4.0
END_S = 9.0
REQUEST_INTERVAL_S = 0.06
STATUS_KEYS = {
    'slots',
    'slots_leaving',
    'pauses',
    'is_pool_home',
    'pools',
    'lent',
    'counters',
}


def cut(fleet: Fleet, vm: FleetVm, other: VmId) -> None:
    """Lose all messages in one direction."""
    fleet.network.block(sender=vm.vm_id, receiver=other)


def freeze(fleet: Fleet, vm: FleetVm, _other: VmId) -> None:
    """Pause a VM that runs."""
    if vm.is_serving:
        fleet.freeze(vm.vm_id)


def thaw(fleet: Fleet, vm: FleetVm, _other: VmId) -> None:
    """End the pause of a VM."""
    if vm.is_frozen:
        fleet.thaw(vm.vm_id)


def kill(fleet: Fleet, vm: FleetVm, _other: VmId) -> None:
    """Kill a VM that the list still shows as live."""
    if vm.is_serving:
        fleet.kill(vm.vm_id)


def destroy(fleet: Fleet, vm: FleetVm, other: VmId) -> None:
    """Kill a VM and list it as destroyed."""
    kill(fleet, vm, other)
    if vm.is_killed:
        fleet.set_listed_state([vm.vm_id], VmState.DESTROYED)


def restart(fleet: Fleet, vm: FleetVm, other: VmId) -> None:
    """Replace the process of a VM."""
    if vm.is_serving:
        fleet.kill(vm.vm_id)
        fleet.start_vm(vm.vm_id)


def store_down(fleet: Fleet, _vm: FleetVm, _other: VmId) -> None:
    """Make the store unavailable."""
    fleet.faults.is_down = True


def store_up(fleet: Fleet, _vm: FleetVm, _other: VmId) -> None:
    """Make the store available, and lose the answers to two writes."""
    fleet.faults.is_down = False
    fleet.faults.lose_answers += 2


def leave(fleet: Fleet, vm: FleetVm, _other: VmId) -> None:
    """List a running VM as leaving."""
    if vm.is_serving:
        fleet.set_listed_state([vm.vm_id], VmState.LEAVING)


def stop(fleet: Fleet, vm: FleetVm, other: VmId) -> None:
    """Start a planned stop of a VM."""
    if vm.is_serving:
        for task in vm.tasks:
            task.cancel()
        vm.tasks = [asyncio.create_task(vm.quota.stop())]


def heal(fleet: Fleet, _vm: FleetVm, _other: VmId) -> None:
    """Remove all cuts."""
    fleet.network.heal()


ACTIONS = (
    cut,
    heal,
    freeze,
    thaw,
    kill,
    destroy,
    restart,
    store_down,
    store_up,
    leave,
    stop,
)


@attrs.frozen(kw_only=True)
class Fault:
    """One fault of a schedule."""

    at: float
    action: Action
    vm: int
    other: int


FAULTS = st.builds(
    Fault,
    at=st.floats(0.3, END_S - 1),
    action=st.sampled_from(ACTIONS),
    vm=st.integers(0, VMS - 1),
    other=st.integers(0, VMS - 1),
)


async def send_requests(fleet: Fleet, vm_id: VmId, check: WindowCheck) -> None:
    """Send more than the account's rate through one VM."""
    loop = asyncio.get_running_loop()
    vm = fleet.vms_by_id[vm_id]
    while loop.time() < END_S:
        await asyncio.sleep(REQUEST_INTERVAL_S * fleet.random.random() * 2)
        if not vm.is_serving:
            continue
        quota = vm.quota
        try:
            await quota.admit(ACCOUNT)
        except RateExceededError:
            continue
        if quota is vm.quota and vm.is_serving:
            check.admit(loop.time())


async def run_schedule(
    faults: list[Fault], *, seed: int, loss: float
) -> WindowCheck:
    """Return the check after a run with the faults."""
    accounts = {ACCOUNT.account_id: ACCOUNT}
    fleet = build_fleet(size=VMS, accounts=accounts, rng=random.Random(seed))
    fleet.network.loss, fleet.network.duplication = loss, loss
    fleet.network.jitter = 3 * loss
    fleet.term_s = TERM_S
    fleet.start()
    check = WindowCheck(account=ACCOUNT)
    senders = [
        asyncio.create_task(send_requests(fleet, vm_id, check))
        for vm_id in fleet.vms_by_id
        for _ in range(2)
    ]
    for fault in sorted(faults, key=lambda item: item.at):
        wait = fault.at - asyncio.get_running_loop().time()
        await asyncio.sleep(max(wait, 0))
        vms = list(fleet.vms_by_id.values())
        fault.action(fleet, vms[fault.vm], vms[fault.other].vm_id)
    await asyncio.sleep(END_S - asyncio.get_running_loop().time())
    # A frozen VM would never end its requests.
    for vm in fleet.vms_by_id.values():
        thaw(fleet, vm, vm.vm_id)
    await asyncio.gather(*senders)
    await fleet.stop()
    return check


@settings(max_examples=25)
@given(
    faults=st.lists(FAULTS, max_size=9),
    seed=st.integers(0, 2**16),
    loss=st.sampled_from((0, 0.05, 0.3)),
)
def test_never_more_than_burst_and_rate(
    faults: list[Fault], seed: int, loss: float
) -> None:
    """No schedule of faults lets the fleet exceed the account's limit."""
    check = run_virtual(run_schedule(faults, seed=seed, loss=loss))
    assert check.over_admitted() == 0


@pytest.mark.parametrize(
    ('actions', 'least_share'),
    [
        pytest.param((), 0.9, id='calm'),
        pytest.param((store_down,), 0.35, id='leases-end-in-an-outage'),
        pytest.param((destroy,), 0.75, id='destroyed'),
        pytest.param((restart,), 0.75, id='restarted'),
        pytest.param((stop, leave), 0.75, id='planned-stop'),
    ],
)
def test_quota_shares_stay_in_use(
    actions: tuple[Action, ...], least_share: float
) -> None:
    """A fault makes quota shares unusable no longer than necessary."""
    faults = [Fault(at=2, action=action, vm=0, other=1) for action in actions]
    check = run_virtual(run_schedule(faults, seed=1, loss=0))
    # The first second is left out: slots are claimed and loans begin.
    assert check.count >= least_share * ACCOUNT.rate * (END_S - 1)


def test_status_of_an_open_pool() -> None:
    """Guards against a status report that fails once a pool is open."""
    account_id = ACCOUNT.account_id

    async def scenario() -> dict[VmId, dict[str, Any]]:
        fleet = build_fleet(
            size=VMS, accounts={account_id: ACCOUNT}, rng=random.Random(1)
        )
        fleet.start()
        # Slots are claimed and loans begin.
        await asyncio.sleep(3)
        coordinator = fleet.vms_by_id[fleet.pool_coordinators()[0]]
        with pytest.raises(RateExceededError):
            for _ in range(100):
                await coordinator.quota.admit(ACCOUNT)
        found = {
            vm.vm_id: quota_status(vm.quota) for vm in fleet.vms_by_id.values()
        }
        await fleet.stop()
        return {coordinator.vm_id: found.pop(coordinator.vm_id), **found}

    status, *others = run_virtual(scenario()).values()
    assert set(status) == STATUS_KEYS
    assert status['slots'] > 0
    assert status['slots_leaving'] == status['pauses'] == 0
    assert status['is_pool_home'] is True
    assert set(status['pools']) == {account_id}
    pool = status['pools'][account_id]
    assert set(pool) == {'rate', 'burst', 'tokens', 'lenders'}
    assert 0 < pool['rate'] <= ACCOUNT.rate
    assert 0 <= pool['tokens'] < 1 <= pool['burst'] <= ACCOUNT.burst
    assert 0 < pool['lenders'] <= VMS
    assert set(status['lent'][account_id]) == {'rate', 'burst'}
    assert status['counters']['refused'] == 1
    lent = [found['lent'][account_id] for found in (status, *others)]
    assert 0 < sum(share['rate'] for share in lent) <= ACCOUNT.rate + 1e-6
    assert 0 < sum(share['burst'] for share in lent) <= ACCOUNT.burst
    assert all(
        (found['pools'] != {}) is found['is_pool_home'] for found in others
    )
    assert not all(found['is_pool_home'] for found in others)
