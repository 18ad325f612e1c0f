"""Times at which refused callers should come back."""

import math

import attrs

# Least and longest Retry-After, seconds. A shorter time returns before the
# load can have changed; a longer one exceeds what callers wait.
MIN_RETURN_S = 0.5
MAX_RETURN_S = 5.0


@attrs.define(kw_only=True, eq=False)
class ReturnTimes:
    """Spreads the returns of refused callers.

    Each caller is told a later time than the one before, at the pace at which
    instances take requests. Callers that were refused together therefore do
    not return together, and those refused first return first.
    """

    _last_return_at: float = -math.inf

    def assign(self, *, backlog: float, gap: float, now: float) -> float:
        """Return the seconds after which the next refused caller returns.

        :param backlog: seconds until the requests that wait now are sent.
        :param gap: expected seconds between two requests that are sent.
        """
        earliest = now + max(MIN_RETURN_S, backlog)
        latest = now + MAX_RETURN_S
        at = min(latest, max(earliest, self._last_return_at + gap))
        self._last_return_at = at
        return at - now
