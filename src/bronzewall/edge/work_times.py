"""Expected time of requests by service, from the answers seen."""

import attrs

from bronzewall.types import ServiceName

_FIRST_GUESS_S = 0.5
# Weight of one more answer.
_STEP = 0.05


@attrs.define(kw_only=True, eq=False)
class WorkTimes:
    """Fading means of the time from sending to the whole answer, seconds."""

    _mean_by_service: dict[ServiceName, float] = attrs.field(factory=dict)

    def mean(self, service: ServiceName) -> float:
        """Return the expected seconds of a request."""
        return self._mean_by_service.get(service, _FIRST_GUESS_S)

    def note(self, service: ServiceName, seconds: float) -> None:
        """Take one answer into account."""
        before = self._mean_by_service.get(service)
        if before is None:
            self._mean_by_service[service] = seconds
            return
        self._mean_by_service[service] = before + _STEP * (seconds - before)
