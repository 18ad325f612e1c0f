"""Running latency distribution of a route class."""

import math

import attrs

_MEDIAN_TAIL = 0.5
_HIGH_TAIL = 0.1
_TOP_TAIL = 0.01
# Initial ratio of adjacent quantiles; it fits a Pareto tail of index 2,
# which is heavier than a lognormal one.
_PRIOR_RATIO = 3.0
_INITIAL_STEP = 0.5
# Smallest step in log units: the median follows a tenfold change within
# about 100 requests.
_MIN_STEP = 0.05
_MIN_LATENCY_S = 1e-5
# Minimum log distance of two quantiles, so that the slope stays finite.
_MIN_SPREAD = 0.2


@attrs.define(kw_only=True)
class LatencyDistribution:
    """Running quantiles of the logarithm of latency.

    The surprise of a latency is its surprisal: the negative natural
    logarithm of the tail probability, the fraction of requests that take
    longer.

    The tail between and beyond the quantiles is modelled as a power law,
    which is exact for Pareto and underestimates the surprise of a lognormal
    latency.

    :param median: log of the median, seconds.
    :param high: log of the latency that one of 10 requests exceeds.
    :param top: log of the latency that one of 100 requests exceeds.
    """

    median: float = 0
    high: float = 0
    top: float = 0
    count: int = 0

    def record(self, seconds: float) -> float:
        """Record a measured latency.

        :returns: its surprise under the distribution before the update.
        """
        logarithm = math.log(max(seconds, _MIN_LATENCY_S))
        surprise = self._surprise_of(logarithm)
        self.count += 1
        if self.count == 1:
            self.median = logarithm
            self.high = logarithm + math.log(_PRIOR_RATIO)
            self.top = self.high + math.log(_PRIOR_RATIO)
            return surprise
        step = max(_MIN_STEP, _INITIAL_STEP / self.count)
        self.median += _quantile_step(
            logarithm > self.median, _MEDIAN_TAIL, step
        )
        self.high += _quantile_step(logarithm > self.high, _HIGH_TAIL, step)
        self.top += _quantile_step(logarithm > self.top, _TOP_TAIL, step)
        self.high = max(self.high, self.median + _MIN_SPREAD)
        self.top = max(self.top, self.high + _MIN_SPREAD)
        return surprise

    def surprise(self, seconds: float) -> float:
        """Return the surprise of a latency.

        For healthy requests it is exponentially distributed with mean 1,
        whatever the distribution of the latencies.
        """
        return self._surprise_of(math.log(max(seconds, _MIN_LATENCY_S)))

    def _surprise_of(self, logarithm: float) -> float:
        if not self.count:
            return 0
        if logarithm <= self.median:
            return _BELOW_MEDIAN_SURPRISE
        if logarithm <= self.high:
            fraction = (logarithm - self.median) / (self.high - self.median)
            return _MEDIAN_SURPRISE + fraction * (
                _HIGH_SURPRISE - _MEDIAN_SURPRISE
            )
        slope = (_TOP_SURPRISE - _HIGH_SURPRISE) / (self.top - self.high)
        return _HIGH_SURPRISE + slope * (logarithm - self.high)


def _quantile_step(is_above: bool, tail: float, step: float) -> float:
    return step * (1 - tail) if is_above else -step * tail


_MEDIAN_SURPRISE = -math.log(_MEDIAN_TAIL)
_HIGH_SURPRISE = -math.log(_HIGH_TAIL)
_TOP_SURPRISE = -math.log(_TOP_TAIL)
# Mean surprise of the faster half of all requests, used for each of them.
_BELOW_MEDIAN_SURPRISE = 1 - math.log(2)
