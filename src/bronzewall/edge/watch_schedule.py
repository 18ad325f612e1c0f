"""Spreads the ends of two watches over time."""

import attrs

_HALF = 0.5


@attrs.define(kw_only=True, eq=False)
class WatchSchedule:
    """Lengths of the watches of the configuration and of the instances.

    The answer that ends a watch states the newest revision of the whole store.
    While nothing is written, it confirms both tables. The ends are therefore
    half a period apart.

    :param period: seconds of the longest watch.
    """

    period: float
    _ends_by_name: dict[str, float] = attrs.field(factory=dict)

    def start(self, name: str, *, now: float) -> float:
        """Return the seconds for which a watch that starts now waits."""
        half = self.period * _HALF
        wait = self.period
        for other, end in self._ends_by_name.items():
            if other != name:
                wait = (end + half - now) % self.period
        if wait < half * _HALF:
            # A very short watch would cost a call and confirm little.
            wait += half
        self._ends_by_name[name] = now + wait
        return wait

    def stop(self, name: str) -> None:
        """Note that a watch is no longer open."""
        self._ends_by_name.pop(name, None)
