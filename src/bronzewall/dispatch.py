"""Assigns requests to upstream instances within their capacity."""

import random
from collections.abc import Callable

import attrs

from bronzewall.config_model import Instance, Route, Service
from bronzewall.errors import NoInstanceError
from bronzewall.types import AccountId, InstanceId


def _full_weight(_instance: Instance, _route: Route) -> float:
    return 1


@attrs.define(kw_only=True)
class Dispatcher:
    """Load of each instance as seen by this VM.

    :param weight_of: share of its usual load that an instance may get.
    """

    random: random.Random
    weight_of: Callable[[Instance, Route], float] = _full_weight
    in_flight_by_id: dict[InstanceId, int] = attrs.field(factory=dict)

    async def acquire(
        self,
        *,
        service: Service,
        route: Route,
        account_id: AccountId | None,
        deadline: float,
        excluded: frozenset[InstanceId],
    ) -> Instance:
        """Return an instance for one attempt; ``release`` it afterwards.

        :param deadline: clock time at which the caller's deadline passes.
        :param excluded: instances already tried for this request.
        :raises NoInstanceError: no instance may take the request.
        :raises QueueFullError: none is free before the deadline.
        """
        found = [
            instance
            for instance in service.instances_by_id.values()
            if instance.instance_id not in excluded
            and self._is_allowed(instance, route)
        ]
        if not found:
            raise NoInstanceError(f'no instance of {service.name}')
        sample = self.random.sample(found, min(2, len(found)))
        chosen = min(sample, key=self._load)
        self.in_flight_by_id[chosen.instance_id] = self._load(chosen) + 1
        return chosen

    def release(self, instance: Instance) -> None:
        """Give back the capacity taken by ``acquire``."""
        self.in_flight_by_id[instance.instance_id] -= 1

    def _is_allowed(self, instance: Instance, route: Route) -> bool:
        weight = self.weight_of(instance, route)
        return weight >= 1 or (weight > 0 and self.random.random() < weight)

    def _load(self, instance: Instance) -> int:
        return self.in_flight_by_id.get(instance.instance_id, 0)
