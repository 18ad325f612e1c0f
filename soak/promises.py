"""Promises that are checked from what callers and instances saw."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

import attrs

from soak.callers import Told
from soak.instances import Run, body_of

# Statuses that promise that a request has not run.
_PROMISES = frozenset((408, 421, 429, 503))
_STATUS_OK = 200
_WINDOW_S = 5.0
# Part of rate and burst, and requests, that the users' rule leaves for
# messages on their way.
_OVERAGE = 1.1
_SLACK = 20
# Time for which an answer may be cut after a planned stop began: the stop
# limit of the daemons.
STOP_LIMIT_S = 6.0
# Requests that were sent while the daemon closed an idle connection.
_CLOSING_S = 0.2


@attrs.frozen(kw_only=True)
class Limits:
    """Bounds in seconds, and the account with a limit."""

    revoke: float
    rate: float
    burst: float
    account: str


@attrs.frozen(kw_only=True)
class Event:
    """Something that the soak did.

    :param subject: the VM, key or instance concerned.
    """

    kind: str
    subject: str
    at: float


def broken_promises(
    *,
    told: Sequence[Told],
    runs: Sequence[Run],
    events: Sequence[Event],
    limits: Limits,
) -> list[str]:
    """Return a line for each broken promise."""
    runs_by_attempt: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_attempt[run.attempt_id].append(run)
    return [
        *_repeated(told, runs_by_attempt),
        *_false_promises(told, runs_by_attempt),
        *_wrong_bodies(told),
        *_withdrawn_keys(told, runs_by_attempt, events, limits),
        *_over_rate(runs, limits),
        *_cut_by_planned_stops(told, runs_by_attempt, events),
        *_wrong_accounts(told, runs_by_attempt),
    ]


def counts(told: Sequence[Told]) -> Counter[str]:
    """Return answers by status."""
    return Counter(str(one.status) for one in told)


def _repeated(
    told: Sequence[Told], runs: Mapping[str, Sequence[Run]]
) -> list[str]:
    return [
        f'twice: {one.attempt_id} ran {len(runs[one.attempt_id])} times'
        for one in told
        if not one.idempotent and len(runs.get(one.attempt_id, ())) > 1
    ]


def _false_promises(
    told: Sequence[Told], runs: Mapping[str, Sequence[Run]]
) -> list[str]:
    return [
        f'refused: {one.attempt_id} got {one.status} and has run'
        for one in told
        if one.status in _PROMISES and runs.get(one.attempt_id)
    ]


def _wrong_bodies(told: Sequence[Told]) -> list[str]:
    return [
        f'mixed: {one.attempt_id} got another body'
        for one in told
        if one.is_whole
        and one.status == _STATUS_OK
        and one.body != body_of(one.attempt_id)
    ]


def _withdrawn_keys(
    told: Sequence[Told],
    runs: Mapping[str, Sequence[Run]],
    events: Sequence[Event],
    limits: Limits,
) -> list[str]:
    withdrawn = {
        event.subject: event.at for event in events if event.kind == 'withdraw'
    }
    return [
        f'key: {one.attempt_id} ran {one.sent_at - withdrawn[one.key]:.1f} s'
        ' after its key was withdrawn'
        for one in told
        if one.key in withdrawn
        and one.sent_at > withdrawn[one.key] + limits.revoke
        and runs.get(one.attempt_id)
    ]


def _over_rate(runs: Sequence[Run], limits: Limits) -> list[str]:
    times = sorted(run.at for run in runs if run.account == limits.account)
    bound = (limits.rate * _WINDOW_S + limits.burst) * _OVERAGE + _SLACK
    start = 0
    for number, at in enumerate(times):
        while times[start] < at - _WINDOW_S:
            start += 1
        if number - start + 1 > bound:
            return [f'rate: {number - start + 1} in {_WINDOW_S} s']
    return []


def _cut_by_planned_stops(
    told: Sequence[Told],
    runs: Mapping[str, Sequence[Run]],
    events: Sequence[Event],
) -> list[str]:
    """Return requests that ran and were cut around planned stops only."""
    unplanned = [
        event for event in events if event.kind not in {'term', 'withdraw'}
    ]
    found = []
    for event in events:
        if event.kind != 'term' or _is_disturbed(event, unplanned):
            continue
        found.extend(
            f'lost: {one.attempt_id} was cut by a planned stop'
            for one in told
            if one.vm_id == event.subject
            and event.at <= one.sent_at <= event.at + STOP_LIMIT_S / 2
            and not one.is_whole
            and runs.get(one.attempt_id)
            and one.ended_at - one.sent_at > _CLOSING_S
        )
    return found


def _is_disturbed(stop: Event, unplanned: Sequence[Event]) -> bool:
    return any(
        stop.at - STOP_LIMIT_S <= event.at <= stop.at + STOP_LIMIT_S
        for event in unplanned
    )


def _wrong_accounts(
    told: Sequence[Told], runs: Mapping[str, Sequence[Run]]
) -> list[str]:
    keys = {one.attempt_id: one.key for one in told}
    return [
        f'account: {attempt_id} ran for {run.account}'
        for attempt_id, found in runs.items()
        for run in found
        if run.account != f'account-{keys.get(attempt_id, "?")}'
    ]
