"""Waits until a publication is in force on every VM."""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Sequence

import attrs

from bronzewall.errors import StoreError
from bronzewall.freshness import FRESHNESS_LIMIT_S
from bronzewall.ports import Clock, VmList
from bronzewall.publication import Publication
from bronzewall.published_change import PublishedChange
from bronzewall.types import VmId, VmRecord, VmState

# After this time a VM without a confirmation newer than the write refuses
# routes that need a key; the margin covers requests admitted just before.
FENCE_S = FRESHNESS_LIMIT_S + 0.5
_RETRY_INTERVAL_S = 0.25
_MAX_PARALLEL_REQUESTS = 64
_DEFAULT_TIMEOUT_S = 9.0


@attrs.frozen(kw_only=True)
class VmAnswer:
    """Answer of a VM to a change.

    :param generation: generation in force on the VM.
    :param serves_keyed: whether the VM serves routes that need a key.
    """

    generation: int
    serves_keyed: bool


SendChange = Callable[[VmRecord, PublishedChange], Awaitable[VmAnswer | None]]


class Acceptance(enum.StrEnum):
    """Final result of a publication.

    ``STORED`` means that the generation is stored and all VMs will apply
    it, but some may still use an older one.
    """

    ACCEPTED = 'accepted'
    STORED = 'stored'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class InForceReport:
    """Which VMs have a generation in force.

    :param fenced_ids: VMs that do not answer or use an older generation,
        but refuse every route for which an old key would matter.
    :param unconfirmed_ids: VMs that may still use an older generation.
    """

    result: Acceptance
    confirmed_ids: Sequence[VmId] = ()
    fenced_ids: Sequence[VmId] = ()
    unconfirmed_ids: Sequence[VmId] = ()


async def wait_in_force(
    *,
    publication: Publication,
    vms: VmList,
    send_change: SendChange,
    clock: Clock,
    initial_records: Sequence[VmRecord] = (),
    timeout: float = _DEFAULT_TIMEOUT_S,
) -> InForceReport:
    """Send the change to all listed VMs until none uses an older generation.

    :param send_change: sends the change to one VM and returns its answer, or
        ``None`` if it does not answer.
    :param initial_records: the VMs listed before the publish; used while
        the platform, which may fail right after the write, cannot be read.
    :param timeout: seconds after which VMs without a confirmation are
        reported as unconfirmed.
    """
    change = publication.change
    if change is None:
        return InForceReport(result=Acceptance.UNKNOWN)
    started = clock.now()
    confirmed: set[VmId] = set()
    while True:
        records = await _read_live_vms(vms)
        report = await _query_vms(
            records=initial_records if records is None else records,
            change=change,
            send_change=send_change,
            confirmed=confirmed,
            may_be_fenced=clock.now() - started >= FENCE_S,
        )
        is_timed_out = clock.now() - started >= timeout
        if records is not None and not report.unconfirmed_ids:
            return report
        if is_timed_out:
            return attrs.evolve(report, result=Acceptance.STORED)
        await clock.sleep(_RETRY_INTERVAL_S)


async def _read_live_vms(vms: VmList) -> Sequence[VmRecord] | None:
    try:
        records = await vms.read()
    except StoreError:
        return None
    return [
        record for record in records if record.state is not VmState.DESTROYED
    ]


async def _query_vms(
    *,
    records: Sequence[VmRecord],
    change: PublishedChange,
    send_change: SendChange,
    confirmed: set[VmId],
    may_be_fenced: bool,
) -> InForceReport:
    unanswered: list[VmId] = []
    outdated: list[VmId] = []
    fenced: list[VmId] = []
    queried = [record for record in records if record.vm_id not in confirmed]
    limit = asyncio.Semaphore(_MAX_PARALLEL_REQUESTS)

    async def query_vm(record: VmRecord) -> VmAnswer | None:
        async with limit:
            return await send_change(record, change)

    answers = await asyncio.gather(*map(query_vm, queried))
    for record, answer in zip(queried, answers, strict=True):
        if answer is None:
            unanswered.append(record.vm_id)
        elif answer.generation >= change.generation:
            confirmed.add(record.vm_id)
        elif answer.serves_keyed:
            outdated.append(record.vm_id)
        else:
            fenced.append(record.vm_id)
    # A VM that does not answer may still serve if it found that the store
    # does not answer. That is ruled out only once the rest of the fleet has
    # the generation from the store.
    if may_be_fenced and confirmed and not outdated:
        fenced.extend(unanswered)
    else:
        outdated.extend(unanswered)
    return InForceReport(
        result=Acceptance.STORED if outdated else Acceptance.ACCEPTED,
        confirmed_ids=sorted(confirmed),
        fenced_ids=sorted(fenced),
        unconfirmed_ids=sorted(outdated),
    )
