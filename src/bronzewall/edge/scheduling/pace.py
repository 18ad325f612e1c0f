"""Mean time between events."""

import attrs

# Weight of a new value in the mean: the last five or so events count.
_SMOOTHING_FACTOR = 0.2


@attrs.define(kw_only=True)
class Pace:
    """Moving mean of the time between two events.

    :param gap: seconds between two events, ``None`` before the second one.
    """

    gap: float | None = None
    _last_at: float | None = None

    def count(self, *, now: float) -> None:
        """Count one event.

        :param now: clock time in seconds.
        """
        if self._last_at is not None:
            gap = now - self._last_at
            before = gap if self.gap is None else self.gap
            self.gap = before + _SMOOTHING_FACTOR * (gap - before)
        self._last_at = now

    def pause(self) -> None:
        """Leave out the time until the next event."""
        self._last_at = None
