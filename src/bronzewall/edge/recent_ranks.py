"""How long requests may queue while more urgent ones come as well."""

import attrs

from bronzewall.types import ServiceName

# Requests of a rank count for this long after one of them came, seconds.
_MEMORY_S = 3.0
# Part of its time that a request may spend in an instance's queue, for each
# more urgent rank that also comes. Instances serve their queue in order, so
# the room that it leaves is what the urgent requests find.
_PART_BY_RANK = 0.3


@attrs.define(kw_only=True, eq=False)
class RecentRanks:
    """Ranks of the requests for each service that came lately.

    Rank 0 is the most urgent. A rank without more urgent ones beside it may
    use the whole time, so that no one waits for requests that do not come.
    """

    _seen_at: dict[ServiceName, dict[int, float]] = attrs.field(factory=dict)

    def record(self, service: ServiceName, rank: int, *, now: float) -> None:
        """Note that a request came.

        :param now: clock time in seconds.
        """
        self._seen_at.setdefault(service, {})[rank] = now

    def queue_fraction(
        self, service: ServiceName, rank: int, *, now: float
    ) -> float:
        """Return the part of its time that a request may queue."""
        seen_at = self._seen_at.get(service, {})
        more_urgent = sum(
            other < rank and now - at < _MEMORY_S
            for other, at in seen_at.items()
        )
        return float(_PART_BY_RANK**more_urgent)
