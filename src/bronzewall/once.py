"""Idempotency keys chosen by callers, kept in the table service."""

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
    RETENTION_S,
    Entry,
    TableClock,
    decode_entry,
    encode_entry,
    row_key,
)
from bronzewall.ports import Clock, TableService
from bronzewall.problems import Ran, Reason, RefusalError
from bronzewall.run_outcome import Outcome, RunRequest, RunState
from bronzewall.types import Row, RowCheck, RowWrite, VmId

_MAX_CLAIM_TRIES = 4
_WRITE_RETRY_LIMIT_S = 30.0
_WRITE_FIRST_PAUSE_S = 0.1
_WRITE_MAX_PAUSE_S = 2.0
_MAX_RETRY_AFTER_S = 5.0
_NOT_CLAIMED_DETAIL = (
    'this attempt has not run; the outcome of earlier attempts with this '
    'key is not known'
)


@attrs.define(kw_only=True, eq=False)
class KeyLedger:
    """Claims keys for this VM and records their outcomes.

    Every change of a row is conditional on the version that was read, and
    only a row that is absent, expired or marked ``not_run`` may be
    claimed. A row is marked rather than deleted, so that a delayed write
    of an earlier attempt never matches a later version.

    :param incarnation: start time of this process, nanoseconds.
    :param has_ended: whether a process of a VM is known to have ended; it
        decides only between ``in_progress`` and ``outcome_unknown``.
    :param unwritten_outcomes: number of outcomes that could not be written
        within the retry limit.
    """

    vm_id: VmId
    incarnation: int
    clock: Clock
    table: TableService
    has_ended: Callable[[VmId, int], bool]
    tasks: BackgroundTasks
    table_clock: TableClock
    unwritten_outcomes: int = 0

    async def claim(self, run_request: RunRequest) -> 'KeyClaim | Outcome':
        """Claim the key, or return the outcome of an earlier attempt.

        :returns: a claim if this attempt may run.
        :raises RefusalError: the request must not run now.
        """
        claim = KeyClaim(
            ledger=self,
            row_key=row_key(run_request),
            entry=self._new_entry(run_request),
        )
        remaining = max(run_request.deadline - self.clock.now(), 0)
        try:
            async with asyncio.timeout(remaining):
                claim.entry = await self._with_deadlines(claim.entry, remaining)
                return await self._claim_row(claim)
        except (StoreError, TimeoutError) as exc:
            if claim.may_be_in_table:
                # This attempt does not run, but a delayed write may still
                # create its row.
                claim.not_run()
            raise _store_refusal(exc) from exc

    async def write_outcome(
        self, claim: 'KeyClaim', final_entry: Entry
    ) -> None:
        """Write the final state of an attempt, with bounded retries."""
        give_up_at = self.clock.now() + _WRITE_RETRY_LIMIT_S
        pause = _WRITE_FIRST_PAUSE_S
        while self.clock.now() < give_up_at:
            try:
                if await self._try_write_outcome(claim, final_entry):
                    return
            except StoreError:
                # The next try reads the row again.
                pass
            await self.clock.sleep(pause)
            pause = min(pause * 2, _WRITE_MAX_PAUSE_S)
        self.unwritten_outcomes += 1

    async def _with_deadlines(self, entry: Entry, remaining: float) -> Entry:
        """Set the deadline and the expiry on the table service's clock.

        They are counted from an upper bound of its time, so that neither
        passes too early.
        """
        now = await self.table_clock.upper_bound()
        return attrs.evolve(
            entry, deadline=now + remaining, expires=now + RETENTION_S
        )

    def _new_entry(self, run_request: RunRequest) -> Entry:
        return Entry(
            state=RunState.IN_PROGRESS,
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            attempt_id=run_request.attempt_id,
            digest=run_request.digest,
            deadline=0,
            expires=0,
        )

    async def _claim_row(self, claim: 'KeyClaim') -> 'KeyClaim | Outcome':
        version = 0
        for _ in range(_MAX_CLAIM_TRIES):
            if await self._write_claim(claim, version):
                return claim
            row = await self._read(claim.row_key)
            found = decode_entry(row) if row else None
            if found is not None:
                if found.attempt_id == claim.entry.attempt_id:
                    # A write whose answer was lost has taken effect.
                    return claim
                if not await self._may_replace(found, claim.entry):
                    return await self._earlier_outcome(found)
            version = row.version if row else 0
        raise StoreUnavailableError('too many concurrent claims of the key')

    async def _write_claim(self, claim: 'KeyClaim', version: int) -> bool:
        # If the write is cancelled, it may still take effect.
        had_lost_answer = claim.may_be_in_table
        claim.may_be_in_table = True
        try:
            await self._write(claim.row_key, version, claim.entry)
        except StoreAnswerLostError:
            return False
        except (StoreConflictError, StoreUnavailableError) as exc:
            claim.may_be_in_table = had_lost_answer
            if isinstance(exc, StoreUnavailableError):
                raise
            return False
        return True

    async def _may_replace(self, found: Entry, new_entry: Entry) -> bool:
        if await self.table_clock.lower_bound() > found.expires:
            return True
        if found.digest != new_entry.digest:
            raise RefusalError(
                reason=Reason.KEY_REUSED,
                detail='the key was used with another request; this one '
                'has not run',
            )
        return found.state is RunState.NOT_RUN

    async def _earlier_outcome(self, found: Entry) -> Outcome:
        """Return the stored outcome of the attempt that holds the key.

        :raises RefusalError: the outcome is not known, or not known yet.
        """
        if found.outcome is not None:
            return found.outcome
        if found.state is RunState.IN_PROGRESS:
            remaining = found.deadline - await self.table_clock.lower_bound()
            if remaining > 0 and not self.has_ended(
                found.vm_id, found.incarnation
            ):
                raise RefusalError(
                    reason=Reason.IN_PROGRESS,
                    ran=Ran.UNKNOWN,
                    retry_after=min(max(remaining, 1), _MAX_RETRY_AFTER_S),
                )
        raise RefusalError(
            reason=Reason.OUTCOME_UNKNOWN,
            ran=Ran.UNKNOWN,
            detail='an earlier attempt with this key may have run; this '
            'one has not',
        )

    async def _try_write_outcome(
        self, claim: 'KeyClaim', final_entry: Entry
    ) -> bool:
        """Try once to write the final state of an attempt.

        :returns: whether the row needs no further write.
        """
        row = await self._read(claim.row_key)
        if row is None:
            # The row can still appear only if a write of the claim had no
            # answer.
            return not claim.may_be_in_table
        found = decode_entry(row)
        is_own = found.attempt_id == final_entry.attempt_id
        if not is_own or found.state is not RunState.IN_PROGRESS:
            return True
        await self._write(claim.row_key, row.version, final_entry)
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
    """A key claimed by one attempt.

    :param may_be_in_table: a write of the claim is pending or had no
        answer, so that the row may exist.
    """

    ledger: KeyLedger
    row_key: str
    entry: Entry
    may_be_in_table: bool = False

    def done(self, outcome: Outcome) -> None:
        """Store the outcome."""
        self._finish(RunState.DONE, outcome)

    def unknown(self) -> None:
        """Store that the request may have run."""
        self._finish(RunState.UNKNOWN)

    def not_run(self) -> None:
        """Store that the request has not run."""
        self._finish(RunState.NOT_RUN)

    def _finish(self, state: RunState, outcome: Outcome | None = None) -> None:
        final_entry = attrs.evolve(self.entry, state=state, outcome=outcome)
        self.ledger.tasks.start(self.ledger.write_outcome(self, final_entry))


def _store_refusal(exc: Exception) -> RefusalError:
    cause = str(exc) or 'no answer before the deadline'
    return RefusalError(
        reason=Reason.STORE_UNAVAILABLE,
        retry_after=_MAX_RETRY_AFTER_S,
        detail=f'{_NOT_CLAIMED_DETAIL} ({cause})',
    )
