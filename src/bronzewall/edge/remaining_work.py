"""Estimates when an instance begins to run a further request."""

import attrs

from bronzewall.edge.instance_speeds import InstanceSpeeds
from bronzewall.edge.request_costs import CostClass, RequestCosts, work_time
from bronzewall.types import InstanceId, ServiceName


@attrs.define(kw_only=True, eq=False)
class RemainingWork:
    """Work that instances still have, as far as this VM knows it.

    Each request in flight counts as one mean of its service. The class and age
    of the VM's own requests, a seventh of those of a zone, were tried and
    brought callers nothing (docs/design/request-cost.md).
    """

    costs: RequestCosts = attrs.field(factory=RequestCosts)
    speeds: InstanceSpeeds = attrs.field(factory=InstanceSpeeds)

    def record(
        self,
        instance_id: InstanceId,
        cost_class: CostClass,
        seconds: float,
        *,
        queue_time: float,
        now: float,
    ) -> None:
        """Learn from a good answer of an instance.

        :param seconds: time from sending to the whole answer.
        :param queue_time: expected part of it in the instance's queue.
        """
        expected = self.costs.mean(cost_class)
        work = work_time(seconds, queue_time=queue_time)
        self.speeds.record(instance_id, work / expected, now=now)
        factor = self.speeds.factor(instance_id, now=now)
        self.costs.record(cost_class, work / factor)

    def wait(
        self, *, in_flight: int, slots: int, service: ServiceName, factor: float
    ) -> float:
        """Return the expected seconds until an instance has a free slot.

        :param in_flight: requests at the instance, also of other VMs.
        :param factor: how slow the instance is, see ``InstanceSpeeds``.
        """
        if in_flight < slots:
            return 0
        queued = in_flight + 1 - slots
        return queued / slots * self.costs.service_mean(service) * factor
