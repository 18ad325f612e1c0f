"""Learns how long instances work on requests, by service and route."""

from collections import OrderedDict

import attrs

from bronzewall.types import RouteId, ServiceName

# Seconds that the first requests of a service are expected to take.
_INITIAL_MEAN_S = 0.5
# Answers of a route that count as much as what is known of its service.
_PRIOR_ANSWERS = 4
# Weight of a new answer: half of the weight is in the last 35 answers.
_SMOOTHING_FACTOR = 0.02
# Classes that are kept, about 0.26 KB each. The size of two years has 66,000
# routes, of which one VM serves few at a time.
_MAX_CLASSES = 1024
# A time in the queue that was overestimated leaves at least this fraction of
# the whole time to the work, so that one wrong estimate does not record 0.
_MIN_WORK_FRACTION = 0.1


@attrs.frozen(kw_only=True)
class CostClass:
    """Requests that are expected to cost about the same.

    Callers choose neither: the configuration names routes and services.
    """

    service: ServiceName
    route: RouteId


@attrs.define(kw_only=True)
class _Mean:
    """Mean in which recent times count more.

    The first answers count alike.
    """

    seconds: float = 0
    answers: int = 0

    def record(self, seconds: float) -> None:
        self.answers += 1
        weight = max(_SMOOTHING_FACTOR, 1 / self.answers)
        self.seconds += weight * (seconds - self.seconds)


@attrs.define(kw_only=True, eq=False)
class RequestCosts:
    """Seconds that instances of usual speed work on requests.

    The time in an instance's queue is no part of it.
    """

    _by_service: dict[ServiceName, _Mean] = attrs.field(factory=dict)
    _by_class: 'OrderedDict[CostClass, _Mean]' = attrs.field(
        factory=OrderedDict
    )

    def record(self, cost_class: CostClass, work: float) -> None:
        """Record the seconds that an instance of usual speed worked."""
        service = self._by_service.setdefault(cost_class.service, _Mean())
        service.record(work)
        known = self._by_class.get(cost_class)
        if known is None:
            known = _Mean()
            self._by_class[cost_class] = known
            if len(self._by_class) > _MAX_CLASSES:
                self._by_class.popitem(last=False)
        known.record(work)
        self._by_class.move_to_end(cost_class)

    def mean(self, cost_class: CostClass) -> float:
        """Return the expected work time in seconds.

        A new route begins with the mean of its service.
        """
        prior = self.service_mean(cost_class.service)
        known = self._by_class.get(cost_class)
        if known is None:
            return prior
        share = known.answers / (known.answers + _PRIOR_ANSWERS)
        return share * known.seconds + (1 - share) * prior

    def service_mean(self, service: ServiceName) -> float:
        """Return the expected work time of any request of a service."""
        known = self._by_service.get(service)
        return _INITIAL_MEAN_S if known is None else known.seconds


def work_time(seconds: float, *, queue_time: float) -> float:
    """Return the seconds that an instance worked on a request.

    Underestimated costs make ``queue_time`` too short and the work too long,
    and the reverse, so that errors correct themselves.

    :param seconds: time from sending to the whole answer.
    :param queue_time: expected part of it in the instance's queue.
    """
    return max(seconds - queue_time, seconds * _MIN_WORK_FRACTION)
