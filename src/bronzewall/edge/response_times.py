"""Estimates the response time of requests by service."""

import attrs

from bronzewall.types import ServiceName

_INITIAL_MEAN_S = 0.5
# Fraction of late answers before the first answer, and the fraction below which
# late answers count as rare.
_INITIAL_LATE_FRACTION = 0.05
_RARELY_LATE_FRACTION = 0.025
# Weight of a new answer in the moving averages.
_SMOOTHING_FACTOR = 0.05


@attrs.define(kw_only=True, eq=False)
class ResponseTimes:
    """Moving averages of the time from sending to the whole answer."""

    _mean_by_service: dict[ServiceName, float] = attrs.field(factory=dict)
    _late_by_service: dict[ServiceName, float] = attrs.field(factory=dict)

    def mean(self, service: ServiceName) -> float:
        """Return the expected response time of a request in seconds."""
        return self._mean_by_service.get(service, _INITIAL_MEAN_S)

    def is_rarely_late(self, service: ServiceName) -> bool:
        """Return whether nearly all answers arrive before they are overdue."""
        late = self._late_by_service.get(service, _INITIAL_LATE_FRACTION)
        return late < _RARELY_LATE_FRACTION

    def record_lateness(self, service: ServiceName, *, is_late: bool) -> None:
        """Count an answer as overdue or not."""
        before = self._late_by_service.get(service, _INITIAL_LATE_FRACTION)
        self._late_by_service[service] = before + _SMOOTHING_FACTOR * (
            is_late - before
        )

    def record(self, service: ServiceName, seconds: float) -> None:
        """Record the response time of one answer."""
        before = self._mean_by_service.get(service)
        if before is None:
            self._mean_by_service[service] = seconds
            return
        self._mean_by_service[service] = before + _SMOOTHING_FACTOR * (
            seconds - before
        )
