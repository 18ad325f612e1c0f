"""Obtains permission to run requests with issued ids from their VMs."""

from collections.abc import Callable

import attrs

from bronzewall.background import BackgroundTasks
from bronzewall.errors import (
    PeerTimeoutError,
    RunIdError,
    RunTableFullError,
)
from bronzewall.issued_ids import IssuedIds
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.problems import Ran, Reason, RefusalError
from bronzewall.run_messages import (
    RunAnswer,
    RunAsk,
    RunReport,
    RunReportAck,
    Verdict,
)
from bronzewall.run_outcome import Outcome, RunRequest, RunState
from bronzewall.run_tokens import RunToken, parse_token
from bronzewall.types import AccountId, VmId

# A round trip between regions takes about 16 ms.
_ASK_TIMEOUT_S = 0.4
_ASK_TRIES = 2
_REPORT_TIMEOUT_S = 0.5
_REPORT_RETRY_LIMIT_S = 30.0
_REPORT_MAX_PAUSE_S = 2.0
_REPORT_FIRST_PAUSE_S = 0.1
_TABLE_FULL_RETRY_AFTER_S = 30.0
_UNREACHABLE_DETAIL = (
    'this attempt has not run; the VM that issued the run id did not '
    'answer, so the outcome of earlier attempts is not known, and the id may '
    'be used up'
)
_UNUSABLE_DETAIL = 'this attempt has not run; the run id can no longer run'


@attrs.define(kw_only=True, eq=False)
class RunPermits:
    """Asks coordinators for permission and reports outcomes to them.

    The coordinator of an id is the VM that issued it.

    :param has_ended: whether a process of a VM is known to have ended.
    :param undelivered_reports: number of outcomes that the coordinator did
        not confirm within the retry limit.
    """

    ids: IssuedIds
    endpoint: PeerEndpoint
    clock: Clock
    tasks: BackgroundTasks
    has_ended: Callable[[VmId, int], bool]
    undelivered_reports: int = 0

    def __attrs_post_init__(self) -> None:
        """Serve other VMs as the coordinator of the ids issued here."""
        self.endpoint.serve(RunAsk, self._on_ask)
        self.endpoint.serve(RunReport, self._on_report)

    def issue(self, account_id: AccountId) -> str:
        """Return a new id for an account.

        :raises RefusalError: the table of ids is full.
        """
        try:
            return self.ids.issue(account_id)
        except RunTableFullError as exc:
            raise RefusalError(
                reason=Reason.OVERLOADED, retry_after=_TABLE_FULL_RETRY_AFTER_S
            ) from exc

    async def claim(self, run_request: RunRequest) -> 'IssuedClaim | Outcome':
        """Claim the id, or return the outcome of an earlier attempt.

        :returns: a claim if this attempt may run.
        :raises RefusalError: the request must not run now.
        """
        run_id = run_request.run_id or ''
        try:
            token = parse_token(run_id)
        except RunIdError as exc:
            raise _invalid_id_refusal() from exc
        ask = RunAsk(
            run_id=run_id,
            account=run_request.account_id or '',
            route=run_request.route_id,
            digest=run_request.digest,
            attempt_id=run_request.attempt_id,
            remaining=max(run_request.deadline - self.clock.now(), 0),
        )
        claim = IssuedClaim(permits=self, token=token, ask=ask)
        answer = await self._request_permission(claim)
        if answer.verdict is Verdict.GRANTED:
            return claim
        if answer.outcome is not None:
            return answer.outcome
        raise _refusal_for_answer(answer)

    async def report(self, coordinator: VmId, report: RunReport) -> None:
        """Report an outcome to the coordinator, with bounded retries."""
        give_up_at = self.clock.now() + _REPORT_RETRY_LIMIT_S
        pause = _REPORT_FIRST_PAUSE_S
        while self.clock.now() < give_up_at:
            try:
                await self.endpoint.call(
                    to=coordinator, message=report, timeout=_REPORT_TIMEOUT_S
                )
            except PeerTimeoutError:
                await self.clock.sleep(pause)
                pause = min(pause * 2, _REPORT_MAX_PAUSE_S)
            else:
                return
        self.undelivered_reports += 1

    async def _request_permission(self, claim: 'IssuedClaim') -> RunAnswer:
        token = claim.token
        if token.home == self.endpoint.vm_id:
            return self.ids.request_permission(claim.ask)
        if self.has_ended(token.home, token.incarnation):
            return RunAnswer(verdict=Verdict.FORGOTTEN)
        for _ in range(_ASK_TRIES):
            answer = await self._ask_coordinator(token.home, claim.ask)
            if answer is not None:
                return answer
        # The permission may have been granted; this attempt does not use it.
        claim.not_run()
        raise RefusalError(
            reason=Reason.RUN_ID_UNREACHABLE,
            retry_after=1,
            detail=_UNREACHABLE_DETAIL,
        )

    async def _ask_coordinator(
        self, coordinator: VmId, ask: RunAsk
    ) -> RunAnswer | None:
        try:
            reply: RunAnswer = await self.endpoint.call(
                to=coordinator, message=ask, timeout=_ASK_TIMEOUT_S
            )
        except PeerTimeoutError:
            return None
        return reply

    def _on_ask(self, envelope: Envelope) -> RunAnswer:
        try:
            return self.ids.request_permission(envelope.body)
        except RunIdError:
            return RunAnswer(verdict=Verdict.INVALID)

    def _on_report(self, envelope: Envelope) -> RunReportAck:
        self.ids.record_outcome(envelope.body)
        return RunReportAck()


@attrs.define(kw_only=True, eq=False)
class IssuedClaim:
    """An issued id claimed by one attempt."""

    permits: RunPermits
    token: RunToken
    ask: RunAsk

    def done(self, outcome: Outcome) -> None:
        """Report the outcome."""
        self._report(RunState.DONE, outcome)

    def unknown(self) -> None:
        """Report that the request may have run."""
        self._report(RunState.UNKNOWN)

    def not_run(self) -> None:
        """Report that the request has not run."""
        self._report(RunState.NOT_RUN)

    def _report(self, state: RunState, outcome: Outcome | None = None) -> None:
        report = RunReport(
            run_id=self.ask.run_id,
            attempt_id=self.ask.attempt_id,
            state=state,
            outcome=outcome,
        )
        if self.token.home == self.permits.endpoint.vm_id:
            self.permits.ids.record_outcome(report)
            return
        self.permits.tasks.start(self.permits.report(self.token.home, report))


def _invalid_id_refusal() -> RefusalError:
    return RefusalError(
        reason=Reason.BAD_REQUEST, detail='the run id is not valid'
    )


def _refusal_for_answer(answer: RunAnswer) -> RefusalError:
    if answer.verdict is Verdict.INVALID:
        return _invalid_id_refusal()
    if answer.verdict is Verdict.REUSED:
        return RefusalError(
            reason=Reason.KEY_REUSED,
            detail='the run id was used with another request; this one '
            'has not run',
        )
    if answer.verdict is Verdict.IN_PROGRESS:
        return RefusalError(
            reason=Reason.IN_PROGRESS,
            ran=Ran.UNKNOWN,
            retry_after=answer.retry_after,
        )
    return RefusalError(
        reason=Reason.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN, detail=_UNUSABLE_DETAIL
    )
