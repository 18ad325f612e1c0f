"""Waits until a published generation is in force on all VMs."""

from collections.abc import Awaitable, Callable, Sequence

import attrs

from bronzewall.errors import StoreError
from bronzewall.fleet_report import Fetch, VmReport, collect
from bronzewall.freshness import FRESHNESS_LIMIT_S
from bronzewall.ports import Clock
from bronzewall.types import VmId, VmRecord, VmState

# A VM that nobody reaches has stopped serving keyed routes after the
# freshness limit; the margin covers its last confirmation on the way.
FENCE_S = 2 * FRESHNESS_LIMIT_S
_POLL_INTERVAL_S = 0.1

ReadVms = Callable[[], Awaitable[Sequence[VmRecord]]]


@attrs.define(kw_only=True)
class Confirmation:
    """Where a generation is in force.

    :param confirmed: VMs that reported the generation or a later one.
    :param fenced: VMs that do not answer or refuse keyed routes, for long
        enough that none of them serves a withdrawn key.
    :param unconfirmed: VMs that serve an older generation.
    """

    confirmed: set[VmId] = attrs.field(factory=set)
    fenced: set[VmId] = attrs.field(factory=set)
    unconfirmed: set[VmId] = attrs.field(factory=set)

    @property
    def is_accepted(self) -> bool:
        """Whether the generation is in force everywhere."""
        return bool(self.confirmed) and not self.unconfirmed


async def wait_in_force(
    *,
    generation: int,
    read_vms: ReadVms,
    fetch: Fetch,
    clock: Clock,
    timeout: float,
) -> Confirmation:
    """Poll all VMs until a generation is in force or the time is up.

    :param timeout: seconds.
    """
    started = clock.now()
    while True:
        reports = await _collect(read_vms, fetch)
        waited = clock.now() - started
        confirmation = classify(
            reports=reports, generation=generation, waited=waited
        )
        if confirmation.is_accepted or waited >= timeout:
            return confirmation
        await clock.sleep(_POLL_INTERVAL_S)


def classify(
    *, reports: Sequence[VmReport], generation: int, waited: float
) -> Confirmation:
    """Sort the VMs by what they report.

    :param waited: seconds since the generation was stored.
    """
    found = Confirmation()
    for vm_report in reports:
        vm_id = vm_report.record.vm_id
        if _has(vm_report, generation):
            found.confirmed.add(vm_id)
        elif waited >= FENCE_S and not _serves(vm_report):
            found.fenced.add(vm_id)
        else:
            found.unconfirmed.add(vm_id)
    return found


def _has(vm_report: VmReport, generation: int) -> bool:
    report = vm_report.report
    return report is not None and report['generation'] >= generation


def _serves(vm_report: VmReport) -> bool:
    report = vm_report.report
    return report is not None and bool(report['serves_keyed'])


async def _collect(read_vms: ReadVms, fetch: Fetch) -> list[VmReport]:
    try:
        records = await read_vms()
    except StoreError:
        return []
    live = [
        record for record in records if record.state is not VmState.DESTROYED
    ]
    return await collect(records=live, fetch=fetch, path='/status')
