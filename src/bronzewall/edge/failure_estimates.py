"""How likely each instance is to fail, from the outcomes of requests."""

import enum
import math

import attrs
import structlog

from bronzewall.types import InstanceId

_LOG = structlog.get_logger()

# Probability that an instance fails of which nothing was seen for long.
PRIOR_PROBABILITY = 0.1
# Failing instances fail this part of their requests.
FAILURE_RATE_FAILING = 0.65
# Sound instances fail this part of their requests.
FAILURE_RATE_HEALTHY = 0.012
# Time constant of a belief without new evidence, seconds: partial failures
# last for up to ten seconds.
DECAY_TIME_S = 6.0
_MIN_P = 0.002
_MAX_P = 0.995
# A belief above this is logged as a suspicion, below as its end.
SUSPECT_PROBABILITY = 0.3


class Observation(enum.Enum):
    """What an outcome says, as likelihood ratio of failing to sound."""

    GOOD = (1 - FAILURE_RATE_FAILING) / (1 - FAILURE_RATE_HEALTHY)
    FAILED = FAILURE_RATE_FAILING / FAILURE_RATE_HEALTHY
    # A connection fails at once on a dead instance, and for no other one.
    UNREACHABLE = 200.0
    # Where latencies have a long tail, silence says less than an error.
    OVERDUE = 6.0
    # Where nearly all answers come in time, it says about as much.
    SILENT = 30.0


@attrs.define(kw_only=True)
class _Estimate:
    """Probability of failing at a time."""

    probability: float
    at: float


@attrs.define(kw_only=True, eq=False)
class FailureEstimates:
    """Probabilities by instance, which fade towards the prior.

    :param scope: names the evidence in the log, ``zone`` or ``own``.
    """

    scope: str
    _by_id: dict[InstanceId, _Estimate] = attrs.field(factory=dict)

    def probability(self, instance_id: InstanceId, *, now: float) -> float:
        """Return the probability that an instance fails now.

        :param now: clock time in seconds.
        """
        estimate = self._by_id.get(instance_id)
        if estimate is None:
            return PRIOR_PROBABILITY
        return _decayed(estimate, now)

    def record(
        self, instance_id: InstanceId, observation: Observation, *, now: float
    ) -> None:
        """Take one outcome into account."""
        before = self.probability(instance_id, now=now)
        odds = before / (1 - before) * observation.value
        after = min(_MAX_P, max(_MIN_P, odds / (1 + odds)))
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
        """Replace a belief, for example by that of another VM."""
        self._by_id[instance_id] = _Estimate(probability=probability, at=now)

    def forget(self, instance_id: InstanceId) -> None:
        """Drop what is known of an instance that ended."""
        self._by_id.pop(instance_id, None)

    def significant(self, *, now: float) -> dict[InstanceId, float]:
        """Return the beliefs that differ from the prior, and drop others."""
        found: dict[InstanceId, float] = {}
        for instance_id, estimate in tuple(self._by_id.items()):
            faded = _decayed(estimate, now)
            if abs(faded - PRIOR_PROBABILITY) < _MIN_P:
                del self._by_id[instance_id]
            else:
                found[instance_id] = round(faded, 3)
        return found


def failure_rate(failure_probability: float) -> float:
    """Return the share of requests that fail.

    :param failure_probability: probability that the instance fails.
    """
    return (
        failure_probability * FAILURE_RATE_FAILING
        + (1 - failure_probability) * FAILURE_RATE_HEALTHY
    )


def _decayed(estimate: _Estimate, now: float) -> float:
    keep = math.exp(-max(0, now - estimate.at) / DECAY_TIME_S)
    return PRIOR_PROBABILITY + (estimate.probability - PRIOR_PROBABILITY) * keep
