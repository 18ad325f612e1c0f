"""How unusual a latency is for its service and route class."""

import math

import attrs

_MEDIAN_TAIL = 0.5
_HIGH_TAIL = 0.1
_TOP_TAIL = 0.01
# Ratios of the quantiles before anything was measured; they fit a Pareto
# tail of index 2, which is heavier than a lognormal one.
_PRIOR_RATIO = 3.0
_FIRST_STEP = 0.5
# Smallest step in log units: the median follows a tenfold change within
# about 100 requests.
_LAST_STEP = 0.05
_SHORTEST_S = 1e-5
# Least log distance of two quantiles, so that the slope stays finite.
_LEAST_SPREAD = 0.2


@attrs.define(kw_only=True)
class LatencyShape:
    """Running quantiles of the logarithm of latency.

    The tail between and beyond the quantiles is a power law, which is
    exact for Pareto and underrates how unusual a lognormal latency is.

    :param median: log of the median, seconds.
    :param high: log of the latency that one of 10 requests exceeds.
    :param top: log of the latency that one of 100 requests exceeds.
    """

    median: float = 0
    high: float = 0
    top: float = 0
    count: int = 0

    def learn(self, seconds: float) -> float:
        """Take a measured latency into account.

        :returns: its surprise by what was known before.
        """
        logarithm = math.log(max(seconds, _SHORTEST_S))
        surprise = self._surprise_of(logarithm)
        self.count += 1
        if self.count == 1:
            self.median = logarithm
            self.high = logarithm + math.log(_PRIOR_RATIO)
            self.top = self.high + math.log(_PRIOR_RATIO)
            return surprise
        step = max(_LAST_STEP, _FIRST_STEP / self.count)
        self.median += _move(logarithm > self.median, _MEDIAN_TAIL, step)
        self.high += _move(logarithm > self.high, _HIGH_TAIL, step)
        self.top += _move(logarithm > self.top, _TOP_TAIL, step)
        self.high = max(self.high, self.median + _LEAST_SPREAD)
        self.top = max(self.top, self.high + _LEAST_SPREAD)
        return surprise

    def surprise(self, seconds: float) -> float:
        """Return ``-ln`` of the share of requests that take longer.

        The value of a usual request is exponentially distributed with
        mean 1, whatever the distribution of the latencies.
        """
        return self._surprise_of(math.log(max(seconds, _SHORTEST_S)))

    def _surprise_of(self, logarithm: float) -> float:
        if not self.count:
            return 0
        if logarithm <= self.median:
            return _BELOW_MEDIAN
        if logarithm <= self.high:
            share = (logarithm - self.median) / (self.high - self.median)
            return _AT_MEDIAN + share * (_AT_HIGH - _AT_MEDIAN)
        slope = (_AT_TOP - _AT_HIGH) / (self.top - self.high)
        return _AT_HIGH + slope * (logarithm - self.high)


def _move(is_above: bool, tail: float, step: float) -> float:
    return step * (1 - tail) if is_above else -step * tail


_AT_MEDIAN = -math.log(_MEDIAN_TAIL)
_AT_HIGH = -math.log(_HIGH_TAIL)
_AT_TOP = -math.log(_TOP_TAIL)
# Mean surprise of the faster half of all requests.
_BELOW_MEDIAN = 1 - math.log(2)
