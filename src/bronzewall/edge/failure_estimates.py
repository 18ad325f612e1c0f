"""Estimates the failure probability of instances from observations."""

import enum
import math

import attrs
import structlog

from bronzewall.types import InstanceId

_LOG = structlog.get_logger()

# Failure probability of an instance without recent observations.
PRIOR_PROBABILITY = 0.1
# Failing instances fail this fraction of their requests.
FAILURE_RATE_FAILING = 0.65
# Healthy instances fail this fraction of their requests.
FAILURE_RATE_HEALTHY = 0.012
# Decay time of an estimate without new observations, seconds. Partial failures
# last for up to ten seconds.
DECAY_TIME_S = 6.0
_MIN_PROBABILITY = 0.002
_MAX_PROBABILITY = 0.995
# A log event marks when an estimate crosses this probability.
SUSPECT_PROBABILITY = 0.3


class Observation(enum.Enum):
    """Observations with their likelihood ratio, failing to healthy."""

    GOOD = (1 - FAILURE_RATE_FAILING) / (1 - FAILURE_RATE_HEALTHY)
    FAILED = FAILURE_RATE_FAILING / FAILURE_RATE_HEALTHY
    # No connection was established: the instance almost certainly does not
    # run.
    UNREACHABLE = 200.0
    # If response times have a long tail, a missing answer is weaker evidence
    # than an error. A shed answer counts the same.
    OVERDUE = 6.0
    # If nearly all answers arrive in time, a missing answer is about as strong
    # evidence as an error.
    SILENT = 30.0


@attrs.define(kw_only=True)
class _Estimate:
    """Failure probability as of a clock time."""

    probability: float
    at: float


@attrs.define(kw_only=True, eq=False)
class FailureEstimates:
    """Failure probabilities by instance, which decay towards the prior.

    :param scope: source of the observations as logged, ``zone`` or ``own``.
    """

    scope: str
    _by_id: dict[InstanceId, _Estimate] = attrs.field(factory=dict)

    def probability(self, instance_id: InstanceId, *, now: float) -> float:
        """Return the probability that an instance is failing.

        :param now: clock time in seconds.
        """
        estimate = self._by_id.get(instance_id)
        if estimate is None:
            return PRIOR_PROBABILITY
        return _decayed(estimate, now)

    def record(
        self, instance_id: InstanceId, observation: Observation, *, now: float
    ) -> None:
        """Update the estimate of an instance by Bayes' rule."""
        before = self.probability(instance_id, now=now)
        odds = before / (1 - before) * observation.value
        after = min(_MAX_PROBABILITY, max(_MIN_PROBABILITY, odds / (1 + odds)))
        self.set(instance_id, after, now=now)
        if (before > SUSPECT_PROBABILITY) != (after > SUSPECT_PROBABILITY):
            _LOG.info(
                'suspicion_changed',
                instance=instance_id,
                scope=self.scope,
                sign=observation.name.lower(),
                before=round(before, 3),
                after=round(after, 3),
            )

    def set(
        self, instance_id: InstanceId, probability: float, *, now: float
    ) -> None:
        """Replace an estimate, for example by that of another VM."""
        self._by_id[instance_id] = _Estimate(probability=probability, at=now)

    def forget(self, instance_id: InstanceId) -> None:
        """Drop the estimate of a removed instance."""
        self._by_id.pop(instance_id, None)

    def significant(self, *, now: float) -> dict[InstanceId, float]:
        """Return the estimates that differ from the prior; drop the others."""
        found: dict[InstanceId, float] = {}
        for instance_id, estimate in tuple(self._by_id.items()):
            probability = _decayed(estimate, now)
            if abs(probability - PRIOR_PROBABILITY) < _MIN_PROBABILITY:
                del self._by_id[instance_id]
            else:
                found[instance_id] = round(probability, 3)
        return found


def failure_rate(failure_probability: float) -> float:
    """Return the expected fraction of requests that fail.

    :param failure_probability: probability that the instance is failing.
    """
    return (
        failure_probability * FAILURE_RATE_FAILING
        + (1 - failure_probability) * FAILURE_RATE_HEALTHY
    )


def _decayed(estimate: _Estimate, now: float) -> float:
    remaining_fraction = math.exp(-max(0, now - estimate.at) / DECAY_TIME_S)
    return (
        PRIOR_PROBABILITY
        + (estimate.probability - PRIOR_PROBABILITY) * remaining_fraction
    )
