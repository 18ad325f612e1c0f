"""Guarantees, checked against the records of callers and instances."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import attrs

from soak.callers import Attempt
from soak.instances import Run, body_of

# Statuses that guarantee that the request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_STATUS_OK = 200
_WINDOW_S = 5.0
# The users' rule allows this multiple of rate and burst, and this many
# requests more, because messages between VMs take time.
_RATE_TOLERANCE = 1.1
_REQUEST_TOLERANCE = 20
# Seconds after the start of a planned stop in which answers may be
# interrupted: the stop limit of the daemons.
STOP_LIMIT_S = 6.0
# Attempts that end sooner were sent while the daemon closed an idle
# connection; they are not counted.
_CLOSE_RACE_S = 0.2


@attrs.frozen(kw_only=True)
class Limits:
    """Bounds of the checks.

    :param revocation_bound: seconds after which a withdrawn key is refused.
    :param rate: requests per second of the limited account.
    :param burst: requests that the limited account may send at once.
    :param account: name of the limited account.
    """

    revocation_bound: float
    rate: float
    burst: float
    account: str


@attrs.frozen(kw_only=True)
class Event:
    """A fault or change that the soak caused.

    :param subject: the VM, key or instance concerned.
    :param at: monotonic time in seconds.
    """

    kind: str
    subject: str
    at: float


def find_violations(
    *,
    attempts: Sequence[Attempt],
    runs: Sequence[Run],
    events: Sequence[Event],
    limits: Limits,
) -> list[str]:
    """Return a line for each guarantee violation."""
    runs_by_attempt: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_attempt[run.attempt_id].append(run)
    return [
        *_repeated_runs(attempts, runs_by_attempt),
        *_executed_refusals(attempts, runs_by_attempt),
        *_wrong_bodies(attempts),
        *_runs_with_withdrawn_keys(attempts, runs_by_attempt, events, limits),
        *_rate_excess(runs, limits),
        *_lost_at_planned_stops(attempts, runs_by_attempt, events),
        *_wrong_accounts(attempts, runs_by_attempt),
    ]


def count_statuses(attempts: Sequence[Attempt]) -> Counter[str]:
    """Return the number of attempts by status."""
    return Counter(str(attempt.status) for attempt in attempts)


def _repeated_runs(
    attempts: Sequence[Attempt], runs: Mapping[str, Sequence[Run]]
) -> list[str]:
    return [
        f'twice: {attempt.attempt_id} ran {len(runs[attempt.attempt_id])} times'
        for attempt in attempts
        if not attempt.idempotent and len(runs.get(attempt.attempt_id, ())) > 1
    ]


def _executed_refusals(
    attempts: Sequence[Attempt], runs: Mapping[str, Sequence[Run]]
) -> list[str]:
    return [
        f'refused: {attempt.attempt_id} got {attempt.status} and has run'
        for attempt in attempts
        if attempt.status in _NOT_RUN_STATUSES and runs.get(attempt.attempt_id)
    ]


def _wrong_bodies(attempts: Sequence[Attempt]) -> list[str]:
    return [
        f'mixed: {attempt.attempt_id} got a wrong body'
        for attempt in attempts
        if attempt.is_whole
        and attempt.status == _STATUS_OK
        and attempt.body != body_of(attempt.attempt_id)
    ]


def _runs_with_withdrawn_keys(
    attempts: Sequence[Attempt],
    runs: Mapping[str, Sequence[Run]],
    events: Sequence[Event],
    limits: Limits,
) -> list[str]:
    withdrawn = {
        event.subject: event.at for event in events if event.kind == 'withdraw'
    }
    return [
        f'key: {attempt.attempt_id} ran'
        f' {attempt.sent_at - withdrawn[attempt.key]:.1f} s'
        ' after its key was withdrawn'
        for attempt in attempts
        if attempt.key in withdrawn
        and attempt.sent_at > withdrawn[attempt.key] + limits.revocation_bound
        and runs.get(attempt.attempt_id)
    ]


def _rate_excess(runs: Sequence[Run], limits: Limits) -> list[str]:
    times = sorted(run.at for run in runs if run.account == limits.account)
    bound = (
        limits.rate * _WINDOW_S + limits.burst
    ) * _RATE_TOLERANCE + _REQUEST_TOLERANCE
    start = 0
    for number, at in enumerate(times):
        while times[start] < at - _WINDOW_S:
            start += 1
        if number - start + 1 > bound:
            return [f'rate: {number - start + 1} in {_WINDOW_S} s']
    return []


def _lost_at_planned_stops(
    attempts: Sequence[Attempt],
    runs: Mapping[str, Sequence[Run]],
    events: Sequence[Event],
) -> list[str]:
    """Return requests that ran and were interrupted by a planned stop.

    A planned stop with an unplanned fault close to it is not checked.
    """
    unplanned = [
        event for event in events if event.kind not in {'term', 'withdraw'}
    ]
    found = []
    for event in events:
        if event.kind != 'term' or _is_disturbed(event, unplanned):
            continue
        found.extend(
            f'lost: {attempt.attempt_id} was interrupted by a planned stop'
            for attempt in attempts
            if attempt.vm_id == event.subject
            and event.at <= attempt.sent_at <= event.at + STOP_LIMIT_S / 2
            and not attempt.is_whole
            and runs.get(attempt.attempt_id)
            and attempt.ended_at - attempt.sent_at > _CLOSE_RACE_S
        )
    return found


def _is_disturbed(stop: Event, unplanned: Sequence[Event]) -> bool:
    return any(
        stop.at - STOP_LIMIT_S <= event.at <= stop.at + STOP_LIMIT_S
        for event in unplanned
    )


def _wrong_accounts(
    attempts: Sequence[Attempt], runs: Mapping[str, Sequence[Run]]
) -> list[str]:
    keys = {attempt.attempt_id: attempt.key for attempt in attempts}
    return [
        f'account: {attempt_id} ran for {run.account}'
        for attempt_id, found in runs.items()
        for run in found
        if run.account != f'account-{keys.get(attempt_id, "?")}'
    ]
