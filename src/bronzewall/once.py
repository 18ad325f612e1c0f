"""Caller-chosen idempotency keys through the table service.

Every change of a row is conditional on the version that was read, and only
a row that is absent, expired or marked ``not_run`` may be claimed. A row is
marked rather than deleted, so that a delayed write of an earlier attempt
never matches a later version.
"""

import asyncio
from collections.abc import Callable

import attrs

from bronzewall.background import BackgroundTasks
from bronzewall.errors import (
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from bronzewall.once_rows import (
    ONCE_TABLE,
    REMEMBERED_S,
    Entry,
    TableClock,
    decode_entry,
    encode_entry,
    row_key,
)
from bronzewall.ports import Clock, TableService
from bronzewall.problems import Ran, Reason, RefusalError
from bronzewall.run_outcome import Outcome, RunDemand, RunState
from bronzewall.types import Row, RowCheck, RowWrite, VmId

_CLAIM_TRIES = 4
_SETTLE_LIMIT_S = 30.0
_SETTLE_FIRST_PAUSE_S = 0.1
_SETTLE_MAX_PAUSE_S = 2.0
_MAX_RETRY_AFTER_S = 5.0
_NO_CLAIM = (
    'this attempt has not run; the outcome of earlier attempts with this '
    'key is not known'
)


@attrs.define(kw_only=True, eq=False)
class KeyLedger:
    """Claims keys for this VM and records their outcomes.

    :param incarnation: start time of this process, nanoseconds.
    :param is_gone: whether a process of a VM is known to have ended; it
        decides only between ``in_progress`` and ``outcome_unknown``.
    :param unsettled: outcomes that could not be written in time.
    """

    vm_id: VmId
    incarnation: int
    clock: Clock
    table: TableService
    is_gone: Callable[[VmId, int], bool]
    tasks: BackgroundTasks
    table_clock: TableClock
    unsettled: int = 0

    async def claim(self, demand: RunDemand) -> 'KeyClaim | Outcome':
        """Return the right to run, or the outcome of an earlier attempt.

        :raises RefusalError: the request must not run now.
        """
        claim = KeyClaim(
            ledger=self, row_key=row_key(demand), entry=self._entry(demand)
        )
        remaining = max(demand.deadline - self.clock.now(), 0)
        try:
            async with asyncio.timeout(remaining):
                claim.entry = await self._timed(claim.entry, remaining)
                return await self._take(claim)
        except (StoreError, TimeoutError) as exc:
            if claim.may_be_written:
                # This attempt will not run, and its row may still appear.
                claim.not_run()
            raise _store_refusal(exc) from exc

    async def settle(self, claim: 'KeyClaim', settled: Entry) -> None:
        """Write how an attempt ended, retrying for a bounded time."""
        give_up = self.clock.now() + _SETTLE_LIMIT_S
        pause = _SETTLE_FIRST_PAUSE_S
        while self.clock.now() < give_up:
            try:
                if await self._settle_once(claim, settled):
                    return
            except StoreError:
                # The next round reads the row again.
                pass
            await self.clock.sleep(pause)
            pause = min(pause * 2, _SETTLE_MAX_PAUSE_S)
        self.unsettled += 1

    async def _timed(self, entry: Entry, remaining: float) -> Entry:
        now = await self.table_clock.latest()
        return attrs.evolve(
            entry, deadline=now + remaining, expires=now + REMEMBERED_S
        )

    def _entry(self, demand: RunDemand) -> Entry:
        return Entry(
            state=RunState.IN_PROGRESS,
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            attempt_id=demand.attempt_id,
            digest=demand.digest,
            deadline=0,
            expires=0,
        )

    async def _take(self, claim: 'KeyClaim') -> 'KeyClaim | Outcome':
        version = 0
        for _ in range(_CLAIM_TRIES):
            if await self._write_claim(claim, version):
                return claim
            row = await self._read(claim.row_key)
            found = decode_entry(row) if row else None
            if found is not None:
                if found.attempt_id == claim.entry.attempt_id:
                    return claim
                if not await self._may_replace(found, claim.entry):
                    return await self._earlier(found)
            version = row.version if row else 0
        raise StoreUnavailableError('the key is contended')

    async def _write_claim(self, claim: 'KeyClaim', version: int) -> bool:
        # A claim that is given up during the write may still be written.
        had_lost_answer = claim.may_be_written
        claim.may_be_written = True
        try:
            await self._write(claim.row_key, version, claim.entry)
        except StoreAnswerLostError:
            return False
        except (StoreConflictError, StoreUnavailableError) as exc:
            claim.may_be_written = had_lost_answer
            if isinstance(exc, StoreUnavailableError):
                raise
            return False
        return True

    async def _may_replace(self, found: Entry, wanted: Entry) -> bool:
        if await self.table_clock.reached() > found.expires:
            return True
        if found.digest != wanted.digest:
            raise RefusalError(
                reason=Reason.KEY_REUSED,
                detail='the key was used with another request; this one '
                'has not run',
            )
        return found.state is RunState.NOT_RUN

    async def _earlier(self, found: Entry) -> Outcome:
        """Return the outcome of the attempt that holds the key."""
        if found.outcome is not None:
            return found.outcome
        if found.state is RunState.IN_PROGRESS:
            left = found.deadline - await self.table_clock.reached()
            if left > 0 and not self.is_gone(found.vm_id, found.incarnation):
                raise RefusalError(
                    reason=Reason.IN_PROGRESS,
                    ran=Ran.UNKNOWN,
                    retry_after=min(max(left, 1), _MAX_RETRY_AFTER_S),
                )
        raise RefusalError(
            reason=Reason.OUTCOME_UNKNOWN,
            ran=Ran.UNKNOWN,
            detail='an earlier attempt with this key may have run; this '
            'one has not',
        )

    async def _settle_once(self, claim: 'KeyClaim', settled: Entry) -> bool:
        """Return whether the row needs no further write."""
        row = await self._read(claim.row_key)
        if row is None:
            # Only a claim whose answer was lost can still appear.
            return not claim.may_be_written
        found = decode_entry(row)
        is_own = found.attempt_id == settled.attempt_id
        if not is_own or found.state is not RunState.IN_PROGRESS:
            return True
        await self._write(claim.row_key, row.version, settled)
        return True

    async def _read(self, key: str) -> Row | None:
        return await self.table.read(table=ONCE_TABLE, key=key)

    async def _write(self, key: str, version: int, entry: Entry) -> None:
        await self.table.transact(
            checks=[RowCheck(table=ONCE_TABLE, key=key, version=version)],
            writes=[
                RowWrite(table=ONCE_TABLE, key=key, value=encode_entry(entry))
            ],
        )


@attrs.define(kw_only=True, eq=False)
class KeyClaim:
    """A key held by one attempt.

    :param may_be_written: a write of the claim has or had no answer.
    """

    ledger: KeyLedger
    row_key: str
    entry: Entry
    may_be_written: bool = False

    def done(self, outcome: Outcome) -> None:
        """Store the outcome."""
        self._settle(RunState.DONE, outcome)

    def unknown(self) -> None:
        """Store that the request may have run."""
        self._settle(RunState.UNKNOWN)

    def not_run(self) -> None:
        """Store that it has not run."""
        self._settle(RunState.NOT_RUN)

    def _settle(self, state: RunState, outcome: Outcome | None = None) -> None:
        settled = attrs.evolve(self.entry, state=state, outcome=outcome)
        self.ledger.tasks.start(self.ledger.settle(self, settled))


def _store_refusal(exc: Exception) -> RefusalError:
    cause = str(exc) or 'no answer before the deadline'
    return RefusalError(
        reason=Reason.STORE_UNAVAILABLE,
        retry_after=_MAX_RETRY_AFTER_S,
        detail=f'{_NO_CLAIM} ({cause})',
    )
