"""Permission to run a request with an issued id, from its home VM."""

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
from bronzewall.run_outcome import Outcome, RunDemand, RunState
from bronzewall.run_tokens import RunToken, parse_token
from bronzewall.types import AccountId, VmId

# A round trip between regions takes about 16 ms.
_ASK_TIMEOUT_S = 0.4
_ASK_TRIES = 2
_REPORT_TIMEOUT_S = 0.5
_REPORT_LIMIT_S = 30.0
_REPORT_MAX_PAUSE_S = 2.0
_REPORT_FIRST_PAUSE_S = 0.1
_FULL_RETRY_AFTER_S = 30.0
_UNREACHABLE = (
    'this attempt has not run; the home of the run id did not answer, so '
    'the outcome of earlier attempts is not known, and the id may be spent'
)
_SPENT = 'this attempt has not run; the run id can no longer run'


@attrs.define(kw_only=True, eq=False)
class RunPermits:
    """Asks homes for permission and reports outcomes to them.

    :param is_gone: whether a process of a VM is known to have ended.
    :param unreported: outcomes that did not reach their home in time.
    """

    ids: IssuedIds
    endpoint: PeerEndpoint
    clock: Clock
    tasks: BackgroundTasks
    is_gone: Callable[[VmId, int], bool]
    unreported: int = 0

    def __attrs_post_init__(self) -> None:
        """Serve other VMs as the home of the ids issued here."""
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
                reason=Reason.OVERLOADED, retry_after=_FULL_RETRY_AFTER_S
            ) from exc

    async def claim(self, demand: RunDemand) -> 'IssuedClaim | Outcome':
        """Return the right to run, or the outcome of an earlier attempt.

        :raises RefusalError: the request must not run now.
        """
        run_id = demand.run_id or ''
        try:
            token = parse_token(run_id)
        except RunIdError as exc:
            raise _invalid() from exc
        ask = RunAsk(
            run_id=run_id,
            account=demand.account_id or '',
            route=demand.route_id,
            digest=demand.digest,
            attempt_id=demand.attempt_id,
            remaining=max(demand.deadline - self.clock.now(), 0),
        )
        claim = IssuedClaim(permits=self, token=token, ask=ask)
        answer = await self._answer(claim)
        if answer.verdict is Verdict.GRANTED:
            return claim
        if answer.outcome is not None:
            return answer.outcome
        raise _refusal(answer)

    async def report(self, home: VmId, report: RunReport) -> None:
        """Report an outcome, retrying for a bounded time."""
        give_up = self.clock.now() + _REPORT_LIMIT_S
        pause = _REPORT_FIRST_PAUSE_S
        while self.clock.now() < give_up:
            try:
                await self.endpoint.call(
                    to=home, message=report, timeout=_REPORT_TIMEOUT_S
                )
            except PeerTimeoutError:
                await self.clock.sleep(pause)
                pause = min(pause * 2, _REPORT_MAX_PAUSE_S)
            else:
                return
        self.unreported += 1

    async def _answer(self, claim: 'IssuedClaim') -> RunAnswer:
        token = claim.token
        if token.home == self.endpoint.vm_id:
            return self.ids.ask(claim.ask)
        if self.is_gone(token.home, token.incarnation):
            return RunAnswer(verdict=Verdict.FORGOTTEN)
        for _ in range(_ASK_TRIES):
            answer = await self._call(token.home, claim.ask)
            if answer is not None:
                return answer
        # The permission may have been given; this attempt never uses it.
        claim.not_run()
        raise RefusalError(
            reason=Reason.RUN_ID_UNREACHABLE,
            retry_after=1,
            detail=_UNREACHABLE,
        )

    async def _call(self, home: VmId, ask: RunAsk) -> RunAnswer | None:
        try:
            reply: RunAnswer = await self.endpoint.call(
                to=home, message=ask, timeout=_ASK_TIMEOUT_S
            )
        except PeerTimeoutError:
            return None
        return reply

    def _on_ask(self, envelope: Envelope) -> RunAnswer:
        try:
            return self.ids.ask(envelope.body)
        except RunIdError:
            return RunAnswer(verdict=Verdict.INVALID)

    def _on_report(self, envelope: Envelope) -> RunReportAck:
        self.ids.report(envelope.body)
        return RunReportAck()


@attrs.define(kw_only=True, eq=False)
class IssuedClaim:
    """An issued id held by one attempt."""

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
        """Report that it has not run."""
        self._report(RunState.NOT_RUN)

    def _report(self, state: RunState, outcome: Outcome | None = None) -> None:
        report = RunReport(
            run_id=self.ask.run_id,
            attempt_id=self.ask.attempt_id,
            state=state,
            outcome=outcome,
        )
        if self.token.home == self.permits.endpoint.vm_id:
            self.permits.ids.report(report)
            return
        self.permits.tasks.start(self.permits.report(self.token.home, report))


def _invalid() -> RefusalError:
    return RefusalError(
        reason=Reason.BAD_REQUEST, detail='the run id is not valid'
    )


def _refusal(answer: RunAnswer) -> RefusalError:
    if answer.verdict is Verdict.INVALID:
        return _invalid()
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
        reason=Reason.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN, detail=_SPENT
    )
