"""Tests of the reports of all VMs for operators."""

from typing import Any

from builders import a_vm_record

from bronzewall.errors import AdminUnavailableError
from bronzewall.fleet_report import collect, explain_lines, status_lines


async def test_status_shows_a_vm_that_does_not_answer() -> None:
    """Guards against a status table without the VMs that do not answer."""

    async def fetch(address: str, _path: str) -> Any:
        if address == 'b':
            raise AdminUnavailableError('refused')
        return {
            'vm': 'vm-1',
            'generation': 4,
            'ejections': [],
            'rights': {'slots': 3, 'pools': {'x': 1, 'y': 2}},
        }

    records = [
        a_vm_record('vm-1', admin_address='a'),
        a_vm_record('vm-2', admin_address='b'),
    ]
    reports = await collect(records=records, fetch=fetch, path='/status')
    text = '\n'.join(status_lines(reports))
    assert 'vm-2' in text
    assert 'no answer: refused' in text
    assert 'vm-1: rights slots=3 pools=(2)' in text


def test_explain_shows_time_event_and_fields() -> None:
    """Guards against steps shown without their fields."""
    steps = [{'at': 1.5, 'event': 'sent', 'fields': {'instance': 'a-1'}}]
    assert explain_lines(steps) == ['1.500 sent instance=a-1']
