"""Issued ids: one run, permitted only by the issuing process."""

import random

import pytest

from bronzewall.errors import RunIdError, RunTableFullError
from bronzewall.issued_ids import RETENTION_S, IssuedIds
from bronzewall.run_messages import RunAsk, RunReport, Verdict
from bronzewall.run_outcome import Outcome, RunState
from bronzewall.run_tokens import parse_token
from bronzewall.standins.virtual_time import VirtualClock
from bronzewall.types import AccountId, VmId

ACCOUNT = AccountId('gulf-daily')


class ManualClock(VirtualClock):
    """Clock that a test advances."""

    def now(self) -> float:
        """Return the offset only."""
        return self.offset

    def wall(self) -> float:
        """Return Unix time."""
        return 1e9 + self.offset


def _ids(incarnation: int = 1, **changes: int) -> IssuedIds:
    return IssuedIds(
        vm_id=VmId('vm-1'),
        incarnation=incarnation,
        clock=ManualClock(),
        random=random.Random(incarnation),
        secret=bytes([incarnation]) * 32,
        **changes,
    )


def _ask(run_id: str, attempt: str = 'a', **changes: str) -> RunAsk:
    fields = {'account': str(ACCOUNT), 'route': 'intake/write', **changes}
    return RunAsk(
        run_id=run_id,
        digest=b'd',
        attempt_id=attempt,
        remaining=5,
        **fields,
    )


def _report(run_id: str, attempt: str, state: RunState) -> RunReport:
    return RunReport(run_id=run_id, attempt_id=attempt, state=state)


def test_one_attempt_is_permitted() -> None:
    """Guards against permission for two attempts."""
    ids = _ids()
    run_id = ids.issue(ACCOUNT)
    verdicts = [
        ids.request_permission(_ask(run_id, name)).verdict for name in 'aba'
    ]
    assert verdicts == [
        Verdict.GRANTED,
        Verdict.IN_PROGRESS,
        Verdict.GRANTED,
    ]
    outcome = Outcome(status=201, headers=(), body=b'x')
    ids.record_outcome(
        RunReport(
            run_id=run_id,
            attempt_id='a',
            state=RunState.DONE,
            outcome=outcome,
        )
    )
    assert ids.request_permission(_ask(run_id, 'c')).outcome == outcome


@pytest.mark.parametrize(
    ('order', 'verdict'),
    [
        # A duplicate of the request arrives after the attempt has ended.
        (('ask', 'report', 'ask'), Verdict.IN_PROGRESS),
        # The report arrives before the request.
        (('report', 'ask'), Verdict.IN_PROGRESS),
        # The report of another attempt does not release the id.
        (('ask', 'other'), Verdict.IN_PROGRESS),
    ],
)
def test_duplicated_and_reordered_messages(
    order: tuple[str, ...], verdict: Verdict
) -> None:
    """Guards against permission that is never used, or used twice."""
    ids = _ids()
    run_id = ids.issue(ACCOUNT)
    for step in order:
        if step == 'ask':
            found = ids.request_permission(_ask(run_id)).verdict
        else:
            attempt = 'a' if step == 'report' else 'z'
            ids.record_outcome(_report(run_id, attempt, RunState.NOT_RUN))
    if order[-1] == 'ask':
        assert found is verdict
    is_free = (
        ids.request_permission(_ask(run_id, 'next')).verdict is Verdict.GRANTED
    )
    assert is_free is (order[-1] == 'ask')


def test_not_run_report_releases_the_id_only_once() -> None:
    """Guards against a duplicate report that ends a later attempt."""
    ids = _ids()
    run_id = ids.issue(ACCOUNT)
    not_run = _report(run_id, 'a', RunState.NOT_RUN)
    ids.request_permission(_ask(run_id))
    ids.record_outcome(not_run)
    assert ids.request_permission(_ask(run_id, 'b')).verdict is Verdict.GRANTED
    ids.record_outcome(not_run)
    assert (
        ids.request_permission(_ask(run_id, 'c')).verdict is Verdict.IN_PROGRESS
    )


@pytest.mark.parametrize(
    ('change', 'verdict'),
    [
        ({'account': 'other'}, Verdict.INVALID),
        ({'forged': '1'}, Verdict.INVALID),
        ({'restarted': '1'}, Verdict.FORGOTTEN),
        ({'route': 'other/write'}, Verdict.REUSED),
    ],
)
def test_misused_ids_do_not_run(
    change: dict[str, str], verdict: Verdict
) -> None:
    """Guards against forged ids, other accounts and restarted VMs."""
    ids = _ids()
    run_id = ids.issue(ACCOUNT)
    if change.pop('forged', ''):
        run_id = f'{run_id[:-4]}AAAA'
    coordinator = _ids(2) if change.pop('restarted', '') else ids
    ids.request_permission(_ask(run_id, 'first'))
    assert (
        coordinator.request_permission(_ask(run_id, **change)).verdict
        is verdict
    )


def test_expired_and_unanswered_ids_do_not_run() -> None:
    """Guards against a run after the entry of the id was removed."""
    ids = _ids()
    run_id, unused = ids.issue(ACCOUNT), ids.issue(ACCOUNT)
    ids.request_permission(_ask(run_id))
    ids.clock.offset += 7
    assert ids.request_permission(_ask(run_id, 'b')).verdict is Verdict.UNKNOWN
    ids.clock.offset += RETENTION_S
    assert ids.request_permission(_ask(unused)).verdict is Verdict.FORGOTTEN
    assert not ids.entries_by_id
    assert not ids.counts_by_account[ACCOUNT]


def test_table_of_ids_is_bounded() -> None:
    """Guards against one account that fills the memory of a VM."""
    ids = _ids(max_entries=3, max_per_account=2)
    ids.issue(ACCOUNT)
    ids.issue(ACCOUNT)
    with pytest.raises(RunTableFullError):
        ids.issue(ACCOUNT)
    ids.issue(AccountId('other'))
    with pytest.raises(RunTableFullError):
        ids.issue(AccountId('third'))


@pytest.mark.parametrize('text', ['', 'x', 'gw.x', '!!.x', 'A' * 500])
def test_malformed_ids_raise_a_typed_error(text: str) -> None:
    """Guards against an unhandled exception on a caller's header."""
    with pytest.raises(RunIdError):
        parse_token(text)
