"""What the instances of each service did with the latest requests."""

import enum
from collections import deque

import attrs
import structlog

from bronzewall.types import InstanceId, ServiceName

# Time for which an outcome counts, seconds; noise of single instances changes
# over several seconds.
_WINDOW_S = 2.0
# Outcomes that are kept by service.
_MAX_OUTCOMES = 64
# Least outcomes, and least rejecting instances, before a service counts as
# shedding.
_MIN_OUTCOMES = 6
_MIN_REJECTING_INSTANCES = 2
# A service sheds if this fraction of its requests is rejected, by this fraction
# of the instances that were asked. It stops below half of the first one.
_REJECTED_FRACTION = 0.2
_REJECTING_INSTANCES_FRACTION = 1 / 3
_LOG = structlog.get_logger()


class Outcome(enum.Enum):
    """What an instance did with a request."""

    ANSWERED = 'answered'
    REJECTED = 'rejected'
    FAILED = 'failed'


@attrs.frozen(kw_only=True)
class _Record:
    """What one instance did with one request."""

    instance_id: InstanceId
    outcome: Outcome
    at: float


@attrs.define(kw_only=True, eq=False)
class ServiceOutcomes:
    """Latest outcomes by service, on this VM.

    They tell a service whose instances reject in general from single instances
    that do. A rejection says nothing about an instance while its service
    sheds: a different one rejects as often. While only some instances reject,
    the others are the better choice.
    """

    _records_by_service: dict[ServiceName, deque[_Record]] = attrs.field(
        factory=dict
    )
    _shedding: set[ServiceName] = attrs.field(factory=set)

    def record(
        self,
        service: ServiceName,
        instance_id: InstanceId,
        outcome: Outcome,
        *,
        now: float,
    ) -> None:
        """Record what an instance did with a request.

        :param now: clock time in seconds.
        """
        records = self._records_by_service.setdefault(
            service, deque(maxlen=_MAX_OUTCOMES)
        )
        records.append(
            _Record(instance_id=instance_id, outcome=outcome, at=now)
        )
        self._update(service, self._recent(service, now))

    def is_shedding(self, service: ServiceName, *, now: float) -> bool:
        """Return whether the instances of a service reject in general."""
        if service not in self._shedding:
            return False
        self._update(service, self._recent(service, now))
        return service in self._shedding

    def unserved_fraction(self, service: ServiceName, *, now: float) -> float:
        """Return the fraction of the latest requests without an answer.

        It is 0 while there are too few requests to tell.
        """
        records = self._recent(service, now)
        if len(records) < _MIN_OUTCOMES:
            return 0
        unserved = sum(item.outcome is not Outcome.ANSWERED for item in records)
        return unserved / len(records)

    def _recent(self, service: ServiceName, now: float) -> deque[_Record]:
        records = self._records_by_service.get(service, deque())
        while records and now - records[0].at > _WINDOW_S:
            records.popleft()
        return records

    def _update(self, service: ServiceName, records: deque[_Record]) -> None:
        rejecting = [
            item.instance_id
            for item in records
            if item.outcome is Outcome.REJECTED
        ]
        fraction = len(rejecting) / max(1, len(records))
        if service in self._shedding:
            if fraction < _REJECTED_FRACTION / 2:
                self._shedding.discard(service)
                _LOG.info('service_shedding_ended', service=service)
            return
        asked = {item.instance_id for item in records}
        instances = len(set(rejecting))
        if (
            len(records) >= _MIN_OUTCOMES
            and fraction >= _REJECTED_FRACTION
            and instances >= _MIN_REJECTING_INSTANCES
            and instances >= len(asked) * _REJECTING_INSTANCES_FRACTION
        ):
            self._shedding.add(service)
            _LOG.info(
                'service_shedding',
                service=service,
                rejected=round(fraction, 2),
                instances=instances,
                asked=len(asked),
            )
