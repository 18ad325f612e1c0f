"""Ids issued by this VM: permission to run one request once.

The permission is an entry in the memory of the issuing process. An id
without an entry never runs, so a restart or an expiry needs no further
protection.
"""

import collections
import random

import attrs

from bronzewall.errors import RunTableFullError
from bronzewall.ports import Clock
from bronzewall.run_messages import RunAnswer, RunAsk, RunReport, Verdict
from bronzewall.run_outcome import Outcome, RunState
from bronzewall.run_tokens import (
    RunToken,
    format_token,
    is_authentic,
    parse_token,
)
from bronzewall.types import AccountId, VmId

# An id is remembered for this long after it was issued.
REMEMBERED_S = 600.0
# 480 requests/s on a VM with a tenth of them on issued ids need 28,800
# entries of about 1 KiB.
MAX_ENTRIES = 65_536
# One account cannot use up the table of a VM.
MAX_ENTRIES_PER_ACCOUNT = MAX_ENTRIES // 4
MAX_BODY_BYTES = 33_554_432
_NONCE_BITS = 96
_NONCE_BYTES = 12
# Covers the way of a permission to its VM and of the report back.
_DEADLINE_MARGIN_S = 1.0
_MAX_RETRY_AFTER_S = 5.0
_VERDICTS = {
    RunState.DONE: Verdict.DONE,
    RunState.UNKNOWN: Verdict.UNKNOWN,
}


@attrs.define(kw_only=True)
class IssuedEntry:
    """One issued id.

    :param expires: clock time until which it is remembered.
    :param attempt_id: the attempt that holds the permission.
    :param request: route and digest of the request, set by the first
        attempt.
    :param deadline: clock time after which no outcome is awaited.
    """

    account: str
    expires: float
    state: RunState = RunState.NOT_RUN
    attempt_id: str = ''
    request: tuple[str, bytes] | None = None
    deadline: float = 0
    outcome: Outcome | None = None


@attrs.define(kw_only=True, eq=False)
class IssuedIds:
    """Ids of which this process is the home.

    :param secret: key of the MAC, drawn by each process.
    :param body_bytes: bytes of stored answer bodies.
    """

    vm_id: VmId
    incarnation: int
    clock: Clock
    random: random.Random
    secret: bytes
    max_entries: int = MAX_ENTRIES
    max_per_account: int = MAX_ENTRIES_PER_ACCOUNT
    body_bytes: int = 0
    entries_by_id: 'collections.OrderedDict[str, IssuedEntry]' = attrs.field(
        factory=collections.OrderedDict
    )
    counts_by_account: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def issue(self, account_id: AccountId) -> str:
        """Return a new id for an account.

        :raises RunTableFullError: too many ids are remembered.
        """
        self._forget_expired()
        if (
            len(self.entries_by_id) >= self.max_entries
            or self.counts_by_account[account_id] >= self.max_per_account
        ):
            raise RunTableFullError('too many run ids are remembered')
        token = RunToken(
            home=self.vm_id,
            incarnation=self.incarnation,
            issued=self.clock.wall(),
            account=account_id,
            nonce=self.random.getrandbits(_NONCE_BITS).to_bytes(
                _NONCE_BYTES, 'big'
            ),
        )
        run_id = format_token(token, secret=self.secret)
        self.entries_by_id[run_id] = IssuedEntry(
            account=account_id, expires=self.clock.now() + REMEMBERED_S
        )
        self.counts_by_account[account_id] += 1
        return run_id

    def ask(self, ask: RunAsk) -> RunAnswer:
        """Give permission to one attempt, or say why not."""
        self._forget_expired()
        token = parse_token(ask.run_id)
        is_own = (token.home, token.incarnation) == (
            self.vm_id,
            self.incarnation,
        )
        if not is_own:
            return RunAnswer(verdict=Verdict.FORGOTTEN)
        if token.account != ask.account or not is_authentic(
            ask.run_id, secret=self.secret
        ):
            return RunAnswer(verdict=Verdict.INVALID)
        entry = self.entries_by_id.get(ask.run_id)
        if entry is None:
            return RunAnswer(verdict=Verdict.FORGOTTEN)
        return self._decide(entry, ask)

    def report(self, report: RunReport) -> None:
        """Record how the attempt that holds the permission ended."""
        entry = self.entries_by_id.get(report.run_id)
        if entry is None:
            return
        if entry.state is RunState.NOT_RUN:
            # The report overtook the request for permission.
            entry.attempt_id = report.attempt_id
        is_holder = entry.attempt_id == report.attempt_id
        if entry.state is not RunState.IN_PROGRESS or not is_holder:
            return
        entry.state = report.state
        entry.outcome = self._kept(report.outcome)

    def _decide(self, entry: IssuedEntry, ask: RunAsk) -> RunAnswer:
        wanted = (ask.route, ask.digest)
        if entry.request not in {None, wanted}:
            return RunAnswer(verdict=Verdict.REUSED)
        if entry.state is RunState.NOT_RUN:
            if entry.attempt_id == ask.attempt_id:
                # A duplicate that arrived after the attempt's end; a
                # permission given now would never be used.
                return RunAnswer(verdict=Verdict.IN_PROGRESS, retry_after=1)
            entry.state = RunState.IN_PROGRESS
            entry.request = wanted
            entry.attempt_id = ask.attempt_id
            entry.deadline = (
                self.clock.now() + ask.remaining + _DEADLINE_MARGIN_S
            )
            return RunAnswer(verdict=Verdict.GRANTED)
        if entry.state is RunState.IN_PROGRESS:
            return self._in_progress(entry, ask)
        return RunAnswer(verdict=_VERDICTS[entry.state], outcome=entry.outcome)

    def _in_progress(self, entry: IssuedEntry, ask: RunAsk) -> RunAnswer:
        if entry.attempt_id == ask.attempt_id:
            # The same attempt asks again because the answer was lost.
            return RunAnswer(verdict=Verdict.GRANTED)
        left = entry.deadline - self.clock.now()
        if left <= 0:
            return RunAnswer(verdict=Verdict.UNKNOWN)
        return RunAnswer(
            verdict=Verdict.IN_PROGRESS,
            retry_after=min(max(left, 1), _MAX_RETRY_AFTER_S),
        )

    def _kept(self, outcome: Outcome | None) -> Outcome | None:
        if outcome is None or outcome.body is None:
            return outcome
        if self.body_bytes + len(outcome.body) > MAX_BODY_BYTES:
            return attrs.evolve(outcome, body=None)
        self.body_bytes += len(outcome.body)
        return outcome

    def _forget_expired(self) -> None:
        now = self.clock.now()
        while self.entries_by_id:
            run_id, entry = next(iter(self.entries_by_id.items()))
            if entry.expires > now:
                return
            self.entries_by_id.pop(run_id)
            self.counts_by_account[entry.account] -= 1
            if entry.outcome is not None:
                self.body_bytes -= len(entry.outcome.body or b'')
