"""Predicts a request's time from the last ones of its account and route."""

import collections
import statistics

import attrs

from bronzewall.types import AccountId, RouteId

_HISTORY = 5
_FIRST_S = 0.05
# A prediction that was missed by this factor is raised by it.
_MISS_FACTOR = 2.0


@attrs.define(kw_only=True, eq=False)
class Predictions:
    """Predictions in seconds by account and route."""

    _histories: dict[
        tuple[AccountId | None, RouteId], collections.deque[float]
    ] = attrs.field(factory=dict)

    def predict(self, account: AccountId | None, route: RouteId) -> float:
        """Return the median of the last requests' times."""
        history = self._histories.get((account, route))
        return statistics.median(history) if history else _FIRST_S

    def learn(
        self, account: AccountId | None, route: RouteId, seconds: float
    ) -> None:
        """Take a time into account; a missed prediction counts twice."""
        history = self._histories.setdefault(
            (account, route), collections.deque(maxlen=_HISTORY)
        )
        if seconds > _MISS_FACTOR * self.predict(account, route):
            history.append(seconds)
        history.append(seconds)
