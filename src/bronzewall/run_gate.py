"""Runs each non-idempotent request at most once."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from bronzewall.background import BackgroundTasks
from bronzewall.errors import CallerGoneError
from bronzewall.once import KeyLedger
from bronzewall.ports import AnswerWriter
from bronzewall.problems import Ran, Reason, RefusalError
from bronzewall.run_outcome import (
    Claim,
    Outcome,
    RecordingWriter,
    RunRequest,
    replay_headers,
)
from bronzewall.run_permits import RunPermits

Execute = Callable[[AnswerWriter], Awaitable[None]]
MAX_KEY_LENGTH = 255


@attrs.define(kw_only=True, eq=False)
class RunGate:
    """Runs non-idempotent requests under an idempotency key or run id.

    :param keys: claims keys that callers chose.
    :param permits: obtains permission for run ids that VMs issued.
    :param runs: requests that are running.
    """

    keys: KeyLedger
    permits: RunPermits
    runs: BackgroundTasks = attrs.field(factory=BackgroundTasks)

    @property
    def pending(self) -> int:
        """Number of requests and outcome reports that a stop waits for."""
        return len(self.runs) + len(self.keys.tasks) + len(self.permits.tasks)

    async def run(
        self, run_request: RunRequest, writer: AnswerWriter, execute: Execute
    ) -> None:
        """Run a request, or replay the outcome of an earlier attempt.

        The run is not cancelled when the caller disconnects, so that its
        outcome is available to a retry.

        :param execute: sends the request and relays the answer.
        :raises RefusalError: the request was refused.
        """
        run = asyncio.create_task(self._run(run_request, writer, execute))
        self.runs.add(run)
        await asyncio.shield(run)

    async def _run(
        self, run_request: RunRequest, writer: AnswerWriter, execute: Execute
    ) -> None:
        claim = await self._claim(run_request)
        if claim is None:
            await execute(writer)
        elif isinstance(claim, Outcome):
            await _replay(claim, run_request, writer)
        else:
            await _run_claimed(claim, writer, execute)

    async def _claim(self, run_request: RunRequest) -> Claim | Outcome | None:
        if run_request.key is not None and run_request.run_id is not None:
            raise RefusalError(
                reason=Reason.BAD_REQUEST,
                detail='send an idempotency key or a run id, not both',
            )
        if run_request.run_id is not None:
            return await self.permits.claim(run_request)
        if run_request.key is not None:
            if not 0 < len(run_request.key) <= MAX_KEY_LENGTH:
                raise RefusalError(
                    reason=Reason.BAD_REQUEST,
                    detail=f'an idempotency key has 1 to {MAX_KEY_LENGTH} '
                    'characters',
                )
            return await self.keys.claim(run_request)
        if run_request.is_key_optional:
            return None
        raise RefusalError(reason=Reason.IDEMPOTENCY_KEY_REQUIRED)


async def _run_claimed(
    claim: Claim, writer: AnswerWriter, execute: Execute
) -> None:
    recorder = RecordingWriter(writer=writer)
    try:
        await execute(recorder)
    except RefusalError as refusal:
        if refusal.ran is Ran.NO:
            claim.not_run()
        else:
            claim.unknown()
        raise
    except BaseException:
        claim.unknown()
        raise
    claim.done(recorder.outcome())


async def _replay(
    outcome: Outcome, run_request: RunRequest, writer: AnswerWriter
) -> None:
    try:
        await writer.start(
            status=outcome.status,
            headers=replay_headers(outcome, run_request.attempt_id),
        )
        await writer.write(outcome.body or b'')
        await writer.finish()
    except CallerGoneError:
        return
