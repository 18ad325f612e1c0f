"""Expected time of requests by service, from the answers seen."""

import attrs

from bronzewall.types import ServiceName

_FIRST_GUESS_S = 0.5
# Share of late answers before any was seen, and below which they are rare.
_FIRST_LATE_SHARE = 0.05
_RARE_SHARE = 0.025
# Weight of one more answer.
_STEP = 0.05


@attrs.define(kw_only=True, eq=False)
class ResponseTimes:
    """Fading means of the time from sending to the whole answer, seconds."""

    _mean_by_service: dict[ServiceName, float] = attrs.field(factory=dict)
    _late_by_service: dict[ServiceName, float] = attrs.field(factory=dict)

    def mean(self, service: ServiceName) -> float:
        """Return the expected seconds of a request."""
        return self._mean_by_service.get(service, _FIRST_GUESS_S)

    def is_rarely_late(self, service: ServiceName) -> bool:
        """Return whether nearly all answers come before they are overdue."""
        late = self._late_by_service.get(service, _FIRST_LATE_SHARE)
        return late < _RARE_SHARE

    def record_lateness(self, service: ServiceName, *, is_late: bool) -> None:
        """Count an answer as overdue or not."""
        before = self._late_by_service.get(service, _FIRST_LATE_SHARE)
        self._late_by_service[service] = before + _STEP * (is_late - before)

    def record(self, service: ServiceName, seconds: float) -> None:
        """Take one answer into account."""
        before = self._mean_by_service.get(service)
        if before is None:
            self._mean_by_service[service] = seconds
            return
        self._mean_by_service[service] = before + _STEP * (seconds - before)
