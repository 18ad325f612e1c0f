"""Mean time between events."""

import math

import attrs

# Time after which a mean is no longer used, seconds: the load may have changed.
MAX_AGE_S = 1.5
# Weight of a new value in the mean: the last five or so events count.
_SMOOTHING_FACTOR = 0.2


@attrs.define(kw_only=True)
class Pace:
    """Moving mean of the time between two events."""

    _gap: float | None = None
    _last_at: float | None = None
    _counted_at: float = -math.inf

    def count(self, *, now: float) -> None:
        """Count one event.

        :param now: clock time in seconds.
        """
        if self._last_at is not None:
            gap = now - self._last_at
            before = self.gap(now=self._last_at)
            before = gap if before is None else before
            self._gap = before + _SMOOTHING_FACTOR * (gap - before)
            self._counted_at = now
        self._last_at = now

    def pause(self) -> None:
        """Leave out the time until the next event."""
        self._last_at = None

    def gap(self, *, now: float) -> float | None:
        """Return the seconds between two events, ``None`` if not known.

        The time since the last event counts as well once it is longer.
        """
        if self._last_at is not None and self._gap is not None:
            waited = now - self._last_at
            if waited > self._gap:
                return waited
        return self._gap if now - self._counted_at <= MAX_AGE_S else None
