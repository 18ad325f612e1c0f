"""Learns how slow instances are compared with others of their service."""

import math

import attrs

from bronzewall.types import InstanceId

# Answers that the assumption of usual speed counts as much as. A request of
# usual cost varies by a factor of about two either way.
_PRIOR_ANSWERS = 3.0
# Time after which an observation counts half, seconds. Slow spans of instances
# last some seconds, and an instance that gets no requests must be tried again.
_HALF_LIFE_S = 6.0
# Limits of one observation; one request with unusual cost is no evidence of
# more than this.
_MAX_RATIO = 8.0
# Instances whose estimate is below this factor count as of usual speed, so that
# the variation of request costs does not move requests to few instances.
_MIN_FACTOR = 1.3
_MIN_LOG_FACTOR = math.log(_MIN_FACTOR)

# Estimates that are kept, about 0.2 KB each. One VM sends to the instances of
# its own region first; the size of two years has 200,000 in all.
_MAX_ESTIMATES = 4096


@attrs.define(kw_only=True)
class _Estimate:
    """Decayed sum of the logarithms of observed ratios."""

    count: float
    log_sum: float
    at: float


@attrs.define(kw_only=True, eq=False)
class InstanceSpeeds:
    """Factors by which instances take longer than expected."""

    _by_id: dict[InstanceId, _Estimate] = attrs.field(factory=dict)

    def record(
        self, instance_id: InstanceId, ratio: float, *, now: float
    ) -> None:
        """Record the ratio of a work time to the expected one."""
        known = self._by_id.get(instance_id)
        if known is None:
            if len(self._by_id) >= _MAX_ESTIMATES:
                self._by_id.pop(next(iter(self._by_id)))
            known = _Estimate(count=0, log_sum=0, at=now)
            self._by_id[instance_id] = known
        weight = _decay(now - known.at)
        limited = min(_MAX_RATIO, max(1 / _MAX_RATIO, ratio))
        known.count = known.count * weight + 1
        known.log_sum = known.log_sum * weight + math.log(limited)
        known.at = now

    def factor(self, instance_id: InstanceId, *, now: float) -> float:
        """Return the factor, 1 for an instance of usual speed."""
        known = self._by_id.get(instance_id)
        # The factor only falls with time; most are ruled out without a power.
        if known is None or known.log_sum < _MIN_LOG_FACTOR * (
            known.count + _PRIOR_ANSWERS
        ):
            return 1
        weight = _decay(now - known.at)
        log_factor = (
            known.log_sum * weight / (known.count * weight + _PRIOR_ANSWERS)
        )
        return 1 if log_factor < _MIN_LOG_FACTOR else math.exp(log_factor)

    def forget(self, instance_id: InstanceId) -> None:
        """Drop the estimate of a removed instance."""
        self._by_id.pop(instance_id, None)


def _decay(seconds: float) -> float:
    return math.exp2(-max(0, seconds) / _HALF_LIFE_S)
