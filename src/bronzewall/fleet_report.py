"""Collects reports from all VMs for operators; read-only."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs

from bronzewall.errors import AdminUnavailableError
from bronzewall.types import VmRecord

Fetch = Callable[[str, str], Awaitable[Any]]
_COLUMNS = ('vm', 'zone', 'generation', 'in_flight', 'stopping')


@attrs.frozen(kw_only=True)
class VmReport:
    """Report of one VM.

    :param report: its JSON report, or ``None`` if it did not answer.
    :param error: why there is no report, or empty.
    """

    record: VmRecord
    report: Any = None
    error: str = ''


async def collect(
    *, records: Sequence[VmRecord], fetch: Fetch, path: str
) -> list[VmReport]:
    """Return the reports of all VMs in the order of the list."""

    async def ask(record: VmRecord) -> VmReport:
        try:
            report = await fetch(record.admin_address, path)
        except AdminUnavailableError as exc:
            return VmReport(record=record, error=str(exc))
        return VmReport(record=record, report=report)

    return await asyncio.gather(*map(ask, records))


def to_json(reports: Iterable[VmReport]) -> list[dict[str, Any]]:
    """Return the reports as objects for JSON."""
    return [
        {
            'vm': vm_report.record.vm_id,
            'listed_as': vm_report.record.state.value,
            'error': vm_report.error or None,
            'report': vm_report.report,
        }
        for vm_report in reports
    ]


def status_lines(reports: Sequence[VmReport]) -> list[str]:
    """Return the status table and one line per further value."""
    lines = ['  '.join(f'{name:<12}' for name in _COLUMNS)]
    for vm_report in reports:
        lines.append(_status_row(vm_report))
    for vm_report in reports:
        lines.extend(_details(vm_report))
    return [line.rstrip() for line in lines]


def explain_lines(steps: Sequence[Mapping[str, Any]]) -> list[str]:
    """Return one line per step of a request.

    :param steps: steps as the admin endpoint reports them.
    """
    lines = []
    for step in steps:
        fields = ' '.join(
            f'{name}={found}' for name, found in step['fields'].items()
        )
        lines.append(f'{step["at"]:.3f} {step["event"]} {fields}'.rstrip())
    return lines


def _status_row(vm_report: VmReport) -> str:
    if vm_report.report is None:
        record = vm_report.record
        return f'{record.vm_id:<12}  no answer: {vm_report.error}'
    cells = [vm_report.report.get(name, '') for name in _COLUMNS]
    return '  '.join(f'{cell!s:<12}' for cell in cells)


def _details(vm_report: VmReport) -> Iterable[str]:
    report = vm_report.report or {}
    for name, found in report.items():
        if name not in _COLUMNS and found:
            yield f'{vm_report.record.vm_id}: {name} {_summary(found)}'


def _summary(found: Any) -> str:
    """Return a value in one line, with the size of nested objects."""
    if not isinstance(found, Mapping):
        return str(found)
    parts = []
    for name, nested in found.items():
        is_nested = isinstance(nested, Mapping)
        text = f'({len(nested)})' if is_nested else str(nested)
        parts.append(f'{name}={text}')
    return ' '.join(parts)
