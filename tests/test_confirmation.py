"""When a published generation counts as accepted."""

from typing import Any

import attrs
import pytest
from builders import a_vm_record

from bronzewall.confirmation import (
    FENCE_S,
    Confirmation,
    classify,
    wait_in_force,
)
from bronzewall.errors import AdminUnavailableError, StoreUnavailableError
from bronzewall.fleet_report import VmReport
from bronzewall.ports import Clock
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import VmRecord, VmState

_NEW = {'generation': 7, 'serves_keyed': True}
_OLD = {'generation': 6, 'serves_keyed': True}
_OLD_CUT_OFF = {'generation': 6, 'serves_keyed': False}


@pytest.mark.parametrize(
    ('report', 'waited', 'kind'),
    [
        (_NEW, 0, 'confirmed'),
        (_OLD, 0, 'unconfirmed'),
        (_OLD, 10 * FENCE_S, 'unconfirmed'),
        (_OLD_CUT_OFF, 0, 'unconfirmed'),
        (_OLD_CUT_OFF, FENCE_S, 'fenced'),
        (None, 0, 'unconfirmed'),
        (None, FENCE_S, 'fenced'),
    ],
)
def test_vm_counts_by_report_and_time(
    report: Any, waited: float, kind: str
) -> None:
    """Guards against "accepted" while a VM still serves an old key."""
    reports = [VmReport(record=a_vm_record(), report=report)]
    found = classify(reports=reports, generation=7, waited=waited)
    assert getattr(found, kind) == {'vm-1'}


def test_fleet_without_any_confirmation_is_not_accepted() -> None:
    """Guards against "accepted" when no VM could be asked."""
    assert not Confirmation(fenced={a_vm_record().vm_id}).is_accepted


@pytest.mark.parametrize('fault', ['silent_vm', 'list_away', 'destroyed'])
def test_waits_until_the_last_vm_is_fenced(fault: str) -> None:
    """Guards against waiting for ever, or not at all, for a lost VM."""
    records = [a_vm_record('vm-1'), a_vm_record('vm-2')]
    if fault == 'destroyed':
        records[1] = attrs.evolve(records[1], state=VmState.DESTROYED)

    async def read_vms() -> list[VmRecord]:
        if fault == 'list_away':
            raise StoreUnavailableError('down')
        return records

    async def fetch(address: str, path: str) -> Any:
        if len(asked) % 2:
            asked.append(path)
            raise AdminUnavailableError('no answer')
        asked.append(address)
        return _NEW

    async def main(clock: Clock) -> tuple[Confirmation, float]:
        started = clock.now()
        found = await wait_in_force(
            generation=7,
            read_vms=read_vms,
            fetch=fetch,
            clock=clock,
            timeout=2 * FENCE_S,
        )
        return found, clock.now() - started

    asked: list[str] = []
    found, waited = run_virtual(main(VirtualClock()))
    assert found.is_accepted == (fault != 'list_away')
    assert (waited >= FENCE_S) == (fault != 'destroyed')
