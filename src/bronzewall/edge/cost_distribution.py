"""Distribution of the times that instances work on requests."""

import array
import itertools
import math

import attrs

# The lower limit of the first bucket, seconds, and the ratio of two limits.
# Answers take from about 1 ms to the longest time limit of a route; a ratio of
# 1.25 gives quantiles within 12 % and covers 1 ms to 70 s.
_FIRST_LIMIT_S = 0.001
_BUCKET_RATIO = 1.25
_BUCKET_COUNT = 50
# Factor by which an answer counts more than the one before. Half of the weight
# is in the last 35 answers; bench/cost_choice.py shows the errors of others.
_WEIGHT_GROWTH = 1.02
# Weights are scaled down beyond this one, far from the largest float.
_MAX_WEIGHT = 1e12
# Answers after which the remaining times are computed anew.
_REFRESH_INTERVAL = 16
_LOG_RATIO = math.log(_BUCKET_RATIO)
# Geometric centre of each bucket, seconds.
_CENTRES: tuple[float, ...] = tuple(
    _FIRST_LIMIT_S * math.exp((index + 0.5) * _LOG_RATIO)
    for index in range(_BUCKET_COUNT)
)


def _bucket(seconds: float) -> int:
    if seconds <= _FIRST_LIMIT_S:
        return 0
    index = int(math.log(seconds / _FIRST_LIMIT_S) / _LOG_RATIO)
    return min(index, _BUCKET_COUNT - 1)


def _no_weights() -> 'array.array[float]':
    return array.array('d', bytes(_BUCKET_COUNT * 8))


@attrs.define(kw_only=True, eq=False)
class CostDistribution:
    """Histogram of times in which recent ones count more.

    :param answers: number of recorded times.
    """

    answers: int = 0
    _weights: 'array.array[float]' = attrs.field(factory=_no_weights)
    _next_weight: float = 1.0
    _total: float = 0
    _weighted_sum: float = 0
    _remaining: 'array.array[float] | None' = None
    _remaining_as_of: int = 0

    def record(self, seconds: float) -> None:
        """Add one time."""
        self.answers += 1
        weight = self._next_weight
        self._weights[_bucket(seconds)] += weight
        self._total += weight
        self._weighted_sum += weight * seconds
        self._next_weight *= _WEIGHT_GROWTH
        if self._next_weight > _MAX_WEIGHT:
            self._scale_down()

    def mean(self) -> float:
        """Return the mean in seconds; there must be an answer."""
        return self._weighted_sum / self._total

    def quantile(self, fraction: float) -> float:
        """Return the time within which a fraction of the answers came."""
        wanted = fraction * self._total
        sums = itertools.accumulate(self._weights)
        for centre, total in zip(_CENTRES, sums, strict=True):
            if total >= wanted:
                return centre
        return _CENTRES[-1]

    def remaining(self, age: float) -> float:
        """Return the expected further seconds of a request of some age.

        A request older than all recorded ones is expected to run as long
        again.

        :param age: seconds for which it has run.
        """
        known = self._remaining
        is_old = self.answers - self._remaining_as_of >= _REFRESH_INTERVAL
        if known is None or is_old:
            known = self._mean_of_longer()
            self._remaining = known
            self._remaining_as_of = self.answers
        expected_end = known[_bucket(age)]
        return expected_end - age if expected_end > age else max(age, 0)

    def _mean_of_longer(self) -> 'array.array[float]':
        """Return the mean time of requests that outlast each bucket."""
        means = []
        weight: float = 0
        weighted: float = 0
        for index in range(_BUCKET_COUNT - 1, -1, -1):
            means.append(weighted / weight if weight else 0)
            weight += self._weights[index]
            weighted += self._weights[index] * _CENTRES[index]
        # A request in the first bucket has only begun.
        means[-1] = self.mean()
        return array.array('d', reversed(means))

    def _scale_down(self) -> None:
        factor = 1 / self._next_weight
        self._weights = array.array(
            'd', [weight * factor for weight in self._weights]
        )
        self._total *= factor
        self._weighted_sum *= factor
        self._next_weight = 1.0
