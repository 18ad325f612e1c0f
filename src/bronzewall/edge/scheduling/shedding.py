"""Tells a service that rejects everywhere from single rejecting instances."""

from collections import deque

import attrs
import structlog

from bronzewall.types import InstanceId, ServiceName

# Time for which an outcome counts, seconds; noise of single instances changes
# over several seconds.
_WINDOW_S = 2.0
# Outcomes that are kept by service.
_MAX_OUTCOMES = 64
# Least outcomes, and least rejecting instances, before a service counts as
# shedding.
_MIN_OUTCOMES = 6
_MIN_REJECTING_INSTANCES = 2
# A service sheds if this fraction of its requests is rejected, by this fraction
# of the instances that were asked. It stops below half of the first one.
_REJECTED_FRACTION = 0.2
_REJECTING_INSTANCES_FRACTION = 1 / 3
_LOG = structlog.get_logger()


@attrs.frozen(kw_only=True)
class _Outcome:
    """What one instance did with one request."""

    instance_id: InstanceId
    is_rejected: bool
    at: float


@attrs.define(kw_only=True, eq=False)
class Shedding:
    """Services whose instances reject requests in general.

    A rejection says nothing about an instance while its service sheds: a
    different one rejects as often. While only some instances reject, the
    others are the better choice.
    """

    _outcomes_by_service: dict[ServiceName, deque[_Outcome]] = attrs.field(
        factory=dict
    )
    _shedding: set[ServiceName] = attrs.field(factory=set)

    def record(
        self,
        service: ServiceName,
        instance_id: InstanceId,
        *,
        is_rejected: bool,
        now: float,
    ) -> None:
        """Record that an instance answered or rejected a request.

        :param now: clock time in seconds.
        """
        outcomes = self._outcomes_by_service.setdefault(
            service, deque(maxlen=_MAX_OUTCOMES)
        )
        outcomes.append(
            _Outcome(instance_id=instance_id, is_rejected=is_rejected, at=now)
        )
        self._update(service, now)

    def is_general(self, service: ServiceName, *, now: float) -> bool:
        """Return whether the instances of a service reject in general."""
        if service not in self._shedding:
            return False
        self._update(service, now)
        return service in self._shedding

    def _update(self, service: ServiceName, now: float) -> None:
        outcomes = self._outcomes_by_service[service]
        while outcomes and now - outcomes[0].at > _WINDOW_S:
            outcomes.popleft()
        rejected = [item for item in outcomes if item.is_rejected]
        fraction = len(rejected) / max(1, len(outcomes))
        if service in self._shedding:
            if fraction < _REJECTED_FRACTION / 2:
                self._shedding.discard(service)
                _LOG.info('service_shedding_ended', service=service)
            return
        asked = {item.instance_id for item in outcomes}
        rejecting = {item.instance_id for item in rejected}
        if (
            len(outcomes) >= _MIN_OUTCOMES
            and fraction >= _REJECTED_FRACTION
            and len(rejecting) >= _MIN_REJECTING_INSTANCES
            and len(rejecting) >= len(asked) * _REJECTING_INSTANCES_FRACTION
        ):
            self._shedding.add(service)
            _LOG.info(
                'service_shedding',
                service=service,
                rejected=round(fraction, 2),
                instances=len(rejecting),
                asked=len(asked),
            )
