"""Outcomes, latencies and open attempts by instance and route class."""

import enum
import itertools
from collections.abc import Callable
from typing import TypeAlias

import attrs

from bronzewall.config_model import Instance, Route
from bronzewall.latency_distribution import LatencyDistribution
from bronzewall.types import InstanceId, RouteId, ServiceName

# Surprise at which an open attempt is overdue: only one of 10 requests of
# its class takes longer.
OVERDUE_SURPRISE = 2.303
# Limit for one request, so that one caller's exceptional request cannot
# eject an instance.
_MAX_SURPRISE = 10.0
_MIN_SERVER_ERROR_STATUS = 500


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    CONNECT_FAILED = 'connect_failed'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    SHED = 'shed'
    CALLER_LEFT = 'gone'


_FAILURE_OUTCOMES = frozenset(
    (
        AttemptOutcome.FAILED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.BROKEN,
    )
)
_TIMED_OUTCOMES = frozenset((AttemptOutcome.ANSWERED, AttemptOutcome.TIMED_OUT))


def outcome_of_status(status: int) -> AttemptOutcome:
    """Return the outcome of an answer with the given HTTP status."""
    if status >= _MIN_SERVER_ERROR_STATUS:
        return AttemptOutcome.FAILED
    return AttemptOutcome.ANSWERED


@attrs.frozen(kw_only=True)
class EvidenceRow:
    """Evidence of one VM about an (instance, route class) since its last row.

    :param ok: answers.
    :param failed: errors, connect failures and broken exchanges.
    :param surprise: sum over the answers, see :class:`LatencyDistribution`.
    :param overdue: open attempts that are overdue now.
    :param overdue_surprise: sum over the overdue attempts.
    """

    instance_id: InstanceId
    route_class: RouteId
    ok: int
    failed: int
    surprise: float
    overdue: int
    overdue_surprise: float


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """One open attempt on an instance.

    :param cancel: ends the attempt early, or ``None`` where the request
        must not be sent again.
    """

    number: int
    cell: 'EvidenceCell'
    started: float
    fingerprint: bytes | None
    cancel: Callable[[], None] | None
    is_cold: bool


@attrs.define(kw_only=True, eq=False)
class EvidenceCell:
    """Evidence about one (instance, route class) since the last drain."""

    instance_id: InstanceId
    route_class: RouteId
    service: ServiceName
    latencies: LatencyDistribution
    ok: int = 0
    failed: int = 0
    surprise: float = 0
    was_overdue: bool = False
    open_by_number: dict[int, Attempt] = attrs.field(factory=dict)

    def drain(self, now: float) -> EvidenceRow | None:
        """Return the evidence since the last call, or ``None`` without any."""
        overdue, overdue_surprise = self._overdue(now)
        has_updates = self.ok or self.failed or overdue or self.was_overdue
        if not has_updates:
            return None
        row = EvidenceRow(
            instance_id=self.instance_id,
            route_class=self.route_class,
            ok=self.ok,
            failed=self.failed,
            surprise=round(self.surprise, 2),
            overdue=overdue,
            overdue_surprise=round(overdue_surprise, 2),
        )
        self.ok = 0
        self.failed = 0
        self.surprise = 0
        self.was_overdue = overdue > 0
        return row

    def _overdue(self, now: float) -> tuple[int, float]:
        count, total = 0, float(0)
        # Attempts are kept in the order of their start.
        for attempt in self.open_by_number.values():
            surprise = self.latencies.surprise(now - attempt.started)
            if surprise < OVERDUE_SURPRISE:
                break
            if attempt.is_cold:
                continue
            count += 1
            total += min(surprise, _MAX_SURPRISE)
        return count, total


_Cells: TypeAlias = dict[tuple[InstanceId, RouteId], EvidenceCell]


def _never_suspect(_fingerprint: bytes) -> bool:
    return False


def _never_cold(_instance_id: InstanceId) -> bool:
    return False


@attrs.define(kw_only=True, eq=False)
class Evidence:
    """All evidence that one VM has collected itself.

    :param is_crash_suspect: whether requests with this fingerprint are
        suspected of crashing instances; their failures are no evidence
        against the instance.
    :param is_cold: whether an instance has just started; its latency is
        then ignored, but its failures count.
    """

    is_crash_suspect: Callable[[bytes], bool] = _never_suspect
    is_cold: Callable[[InstanceId], bool] = _never_cold
    _cells_by_key: _Cells = attrs.field(factory=dict)
    # Cells that may have updates; a drain skips the others.
    _cells_by_service: dict[ServiceName, _Cells] = attrs.field(factory=dict)
    _latencies_by_class: dict[RouteId, LatencyDistribution] = attrs.field(
        factory=dict
    )
    _attempt_numbers: 'itertools.count[int]' = attrs.field(
        factory=itertools.count
    )

    @property
    def services(self) -> tuple[ServiceName, ...]:
        """Services that attempts were made on."""
        return tuple(self._cells_by_service)

    def start(
        self,
        *,
        instance: Instance,
        route: Route,
        now: float,
        fingerprint: bytes | None = None,
        cancel: Callable[[], None] | None = None,
    ) -> Attempt:
        """Record the start of an attempt; call ``finish`` at its end.

        :param fingerprint: the same for requests with the same effect.
        :param cancel: see :class:`Attempt`.
        """
        cell = self._cell(instance, route)
        attempt = Attempt(
            number=next(self._attempt_numbers),
            cell=cell,
            started=now,
            fingerprint=fingerprint,
            cancel=cancel,
            is_cold=self.is_cold(instance.instance_id),
        )
        cell.open_by_number[attempt.number] = attempt
        return attempt

    def finish(
        self, attempt: Attempt, outcome: AttemptOutcome, now: float
    ) -> None:
        """Record how an attempt ended; a second call is ignored.

        Shed answers show load, and a caller that left shows nothing; neither
        is evidence.
        """
        cell = attempt.cell
        if cell.open_by_number.pop(attempt.number, None) is None:
            return
        if outcome in _FAILURE_OUTCOMES:
            self.fail(attempt)
        elif outcome in _TIMED_OUTCOMES and not attempt.is_cold:
            seconds = now - attempt.started
            cell.ok += 1
            cell.surprise += min(cell.latencies.record(seconds), _MAX_SURPRISE)

    def fail(self, attempt: Attempt) -> None:
        """Record a failure, possibly after the answer has started."""
        fingerprint = attempt.fingerprint
        if fingerprint is None or not self.is_crash_suspect(fingerprint):
            cell = attempt.cell
            cell.failed += 1
            key = (cell.instance_id, cell.route_class)
            self._cells_by_service[cell.service][key] = cell

    def drain(self, service: ServiceName, now: float) -> list[EvidenceRow]:
        """Return a service's evidence since the last call."""
        active = self._cells_by_service.get(service, {})
        rows = []
        for key, cell in tuple(active.items()):
            row = cell.drain(now)
            if row is not None:
                rows.append(row)
            elif not cell.open_by_number:
                active.pop(key)
        return rows

    def cancel_overdue(
        self, instance_id: InstanceId, route_class: RouteId, now: float
    ) -> int:
        """Cancel overdue attempts that may be retried; return their count.

        :param route_class: empty for all classes.
        """
        found = [
            attempt
            for cell in tuple(self._cells_by_key.values())
            if cell.instance_id == instance_id
            and route_class in {'', cell.route_class}
            for attempt in cell.open_by_number.values()
            if attempt.cancel is not None
            and cell.latencies.surprise(now - attempt.started)
            >= OVERDUE_SURPRISE
        ]
        for attempt in found:
            assert attempt.cancel is not None
            attempt.cancel()
        return len(found)

    def forget(self, instance_id: InstanceId) -> None:
        """Drop everything about an instance that was removed."""
        removed = [key for key in self._cells_by_key if key[0] == instance_id]
        for key in removed:
            cell = self._cells_by_key.pop(key)
            self._cells_by_service[cell.service].pop(key, None)

    def latencies_of(self, route_class: RouteId) -> LatencyDistribution:
        """Return the latency distribution of a route class."""
        return self._latencies_by_class.setdefault(
            route_class, LatencyDistribution()
        )

    def _cell(self, instance: Instance, route: Route) -> EvidenceCell:
        key = (instance.instance_id, route.route_id)
        cell = self._cells_by_key.get(key)
        if cell is None:
            cell = EvidenceCell(
                instance_id=instance.instance_id,
                route_class=route.route_id,
                service=route.service,
                latencies=self.latencies_of(route.route_id),
            )
            self._cells_by_key[key] = cell
        active = self._cells_by_service.get(route.service)
        if active is None:
            active = {}
            self._cells_by_service[route.service] = active
        active[key] = cell
        return cell
