"""Limits the queue time of requests while more urgent ones arrive."""

import attrs

from bronzewall.types import ServiceName

# A rank counts as recent for this long after its last request, seconds.
_RANK_WINDOW_S = 3.0
# Factor on the fraction of its time that a request may spend in an instance's
# queue, applied once for each more urgent recent rank. Instances serve their
# queue in order, so a shorter queue is needed to keep the wait of urgent
# requests short.
_QUEUE_FRACTION_PER_RANK = 0.3


@attrs.define(kw_only=True, eq=False)
class RecentRanks:
    """Ranks of the requests that arrived recently, by service.

    Rank 0 is the most urgent. Requests without more urgent ones beside them
    may queue for their whole time, so that no capacity is reserved for
    requests that do not arrive.
    """

    _seen_at: dict[ServiceName, dict[int, float]] = attrs.field(factory=dict)

    def record(self, service: ServiceName, rank: int, *, now: float) -> None:
        """Record the arrival of a request.

        :param now: clock time in seconds.
        """
        self._seen_at.setdefault(service, {})[rank] = now

    def queue_fraction(
        self, service: ServiceName, rank: int, *, now: float
    ) -> float:
        """Return the fraction of its time that a request may queue."""
        seen_at = self._seen_at.get(service, {})
        more_urgent = sum(
            other < rank and now - at < _RANK_WINDOW_S
            for other, at in seen_at.items()
        )
        return float(_QUEUE_FRACTION_PER_RANK**more_urgent)
