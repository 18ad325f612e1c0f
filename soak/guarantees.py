"""Guarantees, checked against the records of callers and instances."""

import math
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
# Seconds from SIGTERM until SIGKILL, and the time after it in which losses
# still count for the stop.
GRACE_S = 6.0
_AFTER_GRACE_S = 1.0
# A request may be interrupted if its instance works on it in this last part of
# the grace period, and it was sent at most so many seconds after SIGTERM.
_LAST_PART = 1 / 6
_LATEST_SENT_S = 3.0
# Longest time until the soak ends a fault whose end is not recorded, seconds.
LONGEST_FAULT_S = 4.0
# After this time without other disturbance VMs must keep limits of instances,
# and serve callers although they reach no instance, seconds.
STABILITY_S = 3.0
# What an instance may get beyond its limit, and from when on a VM that has
# passed the limit on counts.
_LIMIT_WINDOW_S = 4.0
_LIMIT_TOLERANCE = 1.5
_LIMIT_SLACK = 5
_TOLD_S = 0.5
# Callers of VMs without a path may be served less often by this ratio, or fail
# this often.
_LEAST_RATIO = 2 / 3
_TOLERATED_FAILURES = 10
_TOLERATED_SHARE = 0.02
# A request that was not passed on may have crossed the close of its connection
# if that ended at most so many seconds after its last byte was sent.
_LOSS_SLACK_S = 0.2
# Events that excuse nothing by themselves.
_PLANNED = frozenset(
    (
        'term',
        'term_again',
        'grace_over',
        'reload',
        'withdraw',
        'upgrade',
        'roll_back',
    )
)


@attrs.frozen(kw_only=True)
class Limits:
    """Bounds of the checks.

    :param revocation_bound: seconds after which a withdrawn key is refused.
    :param rate: requests per second of the limited account.
    :param burst: requests that the limited account may send at once.
    :param account: name of the limited account.
    :param zone_by_vm: zone of each VM.
    """

    revocation_bound: float
    rate: float
    burst: float
    account: str
    zone_by_vm: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Event:
    """A fault or change that the soak caused.

    :param subject: the VM, zone, key or instance concerned.
    :param at: monotonic time in seconds.
    :param ended_at: monotonic time at which it ends, if that is planned.
    :param amount: requests a second, of an instance's limit.
    """

    kind: str
    subject: str
    at: float
    ended_at: float = 0
    amount: float = 0


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
        *_limit_excess(attempts, runs, events),
        *_unserved_without_path(attempts, events, limits),
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
    """Return requests that a VM read and lost in a planned stop."""
    unplanned = [event for event in events if event.kind not in _PLANNED]
    found = []
    for attempt in attempts:
        stop = _planned_stop_of(attempt, events)
        passed_on = runs.get(attempt.attempt_id, ())
        if (
            stop is not None
            and _is_given_up(attempt, passed_on, stop)
            and not _has_excuse(attempt, passed_on, stop)
            and not _is_disturbed(attempt, unplanned)
        ):
            found.append(_loss_line(attempt, passed_on, stop))
    return found


def _planned_stop_of(attempt: Attempt, events: Sequence[Event]) -> Event | None:
    """Return the last planned stop of the VM before the attempt ended."""
    stops = [
        event
        for event in events
        if event.kind == 'term'
        and event.subject == attempt.vm_id
        and event.at <= attempt.ended_at <= event.at + GRACE_S + _AFTER_GRACE_S
    ]
    return max(stops, key=lambda event: event.at, default=None)


def _is_given_up(
    attempt: Attempt, passed_on: Sequence[Run], stop: Event
) -> bool:
    """Return whether a request that a VM read got no answer it was due."""
    if attempt.is_whole:
        # The VM answered in place of an instance that was still at work.
        return not attempt.instance_id and any(
            not run.has_answered or run.ended_at > attempt.ended_at
            for run in passed_on
            if run.ended_at >= stop.at
        )
    if not attempt.written_at:
        return False
    if passed_on:
        return True
    return (
        not attempt.is_behind
        and not attempt.is_unread
        and attempt.ended_at - attempt.written_at > _LOSS_SLACK_S
    )


def _has_excuse(
    attempt: Attempt, passed_on: Sequence[Run], stop: Event
) -> bool:
    """Return whether the request need not have been answered."""
    timeout = min(attempt.deadline, attempt.route_timeout)
    worked_until = max(
        (min(run.ended_at, attempt.ended_at) for run in passed_on),
        default=0,
    )
    return (
        attempt.ended_at - attempt.sent_at >= timeout
        or any(run.has_broken_off for run in passed_on)
        or (
            attempt.sent_at <= stop.at + _LATEST_SENT_S
            and worked_until >= stop.at + GRACE_S * (1 - _LAST_PART)
        )
    )


def _is_disturbed(attempt: Attempt, unplanned: Sequence[Event]) -> bool:
    return any(
        event.at <= attempt.ended_at
        and (event.ended_at or event.at + LONGEST_FAULT_S)
        >= attempt.sent_at - STABILITY_S
        for event in unplanned
    )


def _loss_line(attempt: Attempt, passed_on: Sequence[Run], stop: Event) -> str:
    end = 'got an answer of the VM' if attempt.is_whole else 'got no answer'
    work = 'passed on' if passed_on else 'not passed on'
    return (
        f'lost: {attempt.attempt_id}, sent {attempt.sent_at - stop.at:.2f} s'
        f' after SIGTERM, {end} {attempt.ended_at - attempt.sent_at:.2f} s'
        f' later, {work}'
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


def _limit_excess(
    attempts: Sequence[Attempt], runs: Sequence[Run], events: Sequence[Event]
) -> list[str]:
    """Return limits of instances that VMs exceeded together.

    Only VMs that have passed on an answer with the limit count, and only
    while nothing else disturbs a VM.
    """
    vm_by_attempt = {one.attempt_id: one.vm_id for one in attempts}
    found = []
    for limit in events:
        if limit.kind != 'limit' or _is_any_disturbed(limit, events):
            continue
        told_at: dict[str, float] = {}
        for one in attempts:
            if one.instance_id == limit.subject and one.ended_at > limit.at:
                at = told_at.get(one.vm_id, one.ended_at)
                told_at[one.vm_id] = min(at, one.ended_at)
        times = [
            run.at
            for run in runs
            if run.instance_id == limit.subject
            and limit.at + STABILITY_S <= run.at <= limit.ended_at
            and run.at
            >= told_at.get(vm_by_attempt.get(run.attempt_id, ''), math.inf)
            + _TOLD_S
        ]
        allowed = (
            _LIMIT_TOLERANCE * limit.amount * _LIMIT_WINDOW_S + _LIMIT_SLACK
        )
        most = max(_count_within(times, at) for at in (*times, math.inf))
        if most > allowed:
            found.append(
                f'limit: {limit.subject} got {most} in {_LIMIT_WINDOW_S} s,'
                f' allowed {allowed}'
            )
    return found


def _count_within(times: Sequence[float], begin: float) -> int:
    return sum(begin <= at < begin + _LIMIT_WINDOW_S for at in times)


def _unserved_without_path(
    attempts: Sequence[Attempt], events: Sequence[Event], limits: Limits
) -> list[str]:
    """Return cuts from the instances during which callers were not served."""
    found = []
    for cut in events:
        if cut.kind != 'path_cut' or _is_any_disturbed(cut, events):
            continue
        checked = [
            one
            for one in attempts
            if cut.at + STABILITY_S <= one.sent_at < cut.ended_at
            and f'account-{one.key}' != limits.account
            and one.ended_at
        ]
        inside = [
            one
            for one in checked
            if limits.zone_by_vm.get(one.vm_id) == cut.subject
        ]
        served = sum(one.status == _STATUS_OK for one in inside)
        served_all = sum(one.status == _STATUS_OK for one in checked)
        others = len(checked) - len(inside)
        share = (served_all - served) / others if others else 1
        failed = len(inside) - served
        if failed > _TOLERATED_FAILURES + _TOLERATED_SHARE * len(
            checked
        ) and served < _LEAST_RATIO * share * len(inside):
            found.append(
                f'path: {served} of {len(inside)} served in {cut.subject}'
            )
    return found


def _is_any_disturbed(window: Event, events: Sequence[Event]) -> bool:
    """Return whether another fault than limits and cuts is close."""
    return any(
        event.kind not in {'limit', 'path_cut'}
        and window.at - STABILITY_S <= event.at <= window.ended_at
        for event in events
    )
