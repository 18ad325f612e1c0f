"""Estimates when an instance begins to run a further request."""

import itertools
from collections import defaultdict
from collections.abc import Callable

import attrs

from bronzewall.edge.instance_speeds import InstanceSpeeds
from bronzewall.edge.request_costs import CostClass, RequestCosts, work_time
from bronzewall.types import InstanceId, ServiceName

# Shortest remaining time of a request that counts, seconds; shorter than a
# round trip to an instance.
_MIN_REMAINING_S = 0.001


@attrs.frozen(kw_only=True, eq=False)
class _Running:
    """A request of this VM at an instance.

    :param starts_at: clock time at which the instance was expected to begin
        to run it.
    """

    cost_class: CostClass
    starts_at: float


@attrs.define(kw_only=True, eq=False)
class RemainingWork:
    """Work that instances still have, as far as this VM knows it.

    Of the VM's own requests the class and age are known, of those of other
    VMs of the zone only the number.
    """

    costs: RequestCosts = attrs.field(factory=RequestCosts)
    speeds: InstanceSpeeds = attrs.field(factory=InstanceSpeeds)
    _running_by_id: dict[InstanceId, list[_Running]] = attrs.field(
        factory=lambda: defaultdict(list)
    )

    def start(
        self,
        instance_id: InstanceId,
        cost_class: CostClass,
        *,
        starts_at: float,
    ) -> Callable[[], None]:
        """Record a request as sent; return what records its end.

        :param starts_at: clock time at which the instance is expected to
            begin to run it.
        """
        running = _Running(cost_class=cost_class, starts_at=starts_at)
        self._running_by_id[instance_id].append(running)

        def end() -> None:
            items = self._running_by_id[instance_id]
            items.remove(running)
            if not items:
                del self._running_by_id[instance_id]

        return end

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
        self,
        instance_id: InstanceId,
        *,
        in_flight: int,
        slots: int,
        service: ServiceName,
        factor: float,
        now: float,
    ) -> float:
        """Return the expected seconds until a slot is free.

        Slots become free at the sum of the rates at which the requests that
        run are expected to end. The requests in the queue then occupy them
        for their whole time. If all take the same time, the wait is that of
        the number in flight times that time by slot.

        :param in_flight: requests at the instance, also of other VMs.
        :param factor: how slow the instance is, see ``InstanceSpeeds``.
        """
        if in_flight < slots:
            return 0
        usual_time = self.costs.service_mean(service)
        if instance_id not in self._running_by_id:
            return (in_flight + 1 - slots) / slots * usual_time * factor
        times = [
            self.costs.remaining(
                item.cost_class, age=max(0, now - item.starts_at) / factor
            )
            for item in self._running_by_id[instance_id]
        ]
        others = max(0, in_flight - len(times))
        times.extend(itertools.repeat(usual_time, others))
        rate = sum(1 / max(_MIN_REMAINING_S, item) for item in times[:slots])
        queued = sum(times[slots:]) / slots
        return (1 / rate + queued) * factor
