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

# A VM without a confirmation newer than the write refuses keyed routes by
# then; the margin covers requests that were admitted just before.
FENCE_S = FRESHNESS_LIMIT_S + 0.5
_ASK_INTERVAL_S = 0.25
_ASKED_AT_ONCE = 64
_DEFAULT_TIMEOUT_S = 9.0


@attrs.frozen(kw_only=True)
class VmAnswer:
    """What a VM says about itself.

    :param serves_keyed: whether it serves routes that need a key.
    """

    generation: int
    serves_keyed: bool


Ask = Callable[[VmRecord, PublishedChange], Awaitable[VmAnswer | None]]


class Acceptance(enum.StrEnum):
    """Final result of a publication.

    ``STORED`` means that the generation is stored and will be taken, but
    some VMs may still use an older one.
    """

    ACCEPTED = 'accepted'
    STORED = 'stored'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class InForceReport:
    """Which VMs have a generation in force.

    :param fenced_ids: VMs that cannot be asked or lag behind, but refuse
        every route for which an old key would matter.
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
    ask: Ask,
    clock: Clock,
    known: Sequence[VmRecord] = (),
    timeout: float = _DEFAULT_TIMEOUT_S,
) -> InForceReport:
    """Ask all listed VMs until none uses an older generation.

    :param ask: hands the change to one VM and returns its answer, or
        ``None`` if it does not answer.
    :param known: the list as it was before the publish; its VMs are told
        even if the platform went away right after the write.
    :param timeout: seconds after which the VMs that are left are
        reported as unconfirmed.
    """
    change = publication.change
    if change is None:
        return InForceReport(result=Acceptance.UNKNOWN)
    started = clock.now()
    confirmed: set[VmId] = set()
    while True:
        records = await _listed(vms)
        report = await _ask_all(
            records=known if records is None else records,
            change=change,
            ask=ask,
            confirmed=confirmed,
            may_be_fenced=clock.now() - started >= FENCE_S,
        )
        is_over = clock.now() - started >= timeout
        if records is not None and not report.unconfirmed_ids:
            return report
        if is_over:
            return attrs.evolve(report, result=Acceptance.STORED)
        await clock.sleep(_ASK_INTERVAL_S)


async def _listed(vms: VmList) -> Sequence[VmRecord] | None:
    try:
        records = await vms.read()
    except StoreError:
        return None
    return [rec for rec in records if rec.state is not VmState.DESTROYED]


async def _ask_all(
    *,
    records: Sequence[VmRecord],
    change: PublishedChange,
    ask: Ask,
    confirmed: set[VmId],
    may_be_fenced: bool,
) -> InForceReport:
    silent: list[VmId] = []
    behind: list[VmId] = []
    fenced: list[VmId] = []
    asked = [rec for rec in records if rec.vm_id not in confirmed]
    limit = asyncio.Semaphore(_ASKED_AT_ONCE)

    async def ask_one(record: VmRecord) -> VmAnswer | None:
        async with limit:
            return await ask(record, change)

    answers = await asyncio.gather(*map(ask_one, asked))
    for record, answer in zip(asked, answers, strict=True):
        if answer is None:
            silent.append(record.vm_id)
        elif answer.generation >= change.generation:
            confirmed.add(record.vm_id)
        elif answer.serves_keyed:
            behind.append(record.vm_id)
        else:
            fenced.append(record.vm_id)
    # A VM that does not answer may serve while it believes the store to
    # be away. That is ruled out only once the rest of the fleet has the
    # generation from the store.
    if may_be_fenced and confirmed and not behind:
        fenced.extend(silent)
    else:
        behind.extend(silent)
    return InForceReport(
        result=Acceptance.STORED if behind else Acceptance.ACCEPTED,
        confirmed_ids=sorted(confirmed),
        fenced_ids=sorted(fenced),
        unconfirmed_ids=sorted(behind),
    )
