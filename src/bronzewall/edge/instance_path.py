"""Network path of this VM to the instances of a service.

A VM that reaches no instance must not take the instances for failing: the
other VMs of its zone may reach all of them.
"""

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Sequence

import attrs
import structlog

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.home_regions import HomeRegions, allows
from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.ports import InstanceHttp
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.types import ServiceName

# Instances to which a probe connects, and the delay from one to the next,
# seconds. Each connection is billed, and the first one usually succeeds.
_PROBED_INSTANCES = 4
_PROBE_DELAY_S = 0.05
# A probe shows for this long that new connections succeed, seconds.
_PROBE_VALIDITY_S = 0.5
# Time between two probes while the path is lost, seconds.
_LOST_PROBE_INTERVAL_S = 0.5
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class InstancePath:
    """Whether this VM reaches any instance of a service.

    :param home_regions: regions of the instances, ``None`` for all.
    :param on_lost: called when the path is lost.
    :param is_lost: the last probe reached no instance.
    :param answered_at: clock time of the last answer of an instance.
    :param connected_at: clock time of the last successful probe.
    """

    service: ServiceName
    clock: Clock
    random: random.Random
    catalog: Catalog
    instances: InstanceHttp
    metrics: Metrics
    home_regions: HomeRegions | None = None
    on_lost: Callable[[], None] = lambda: None
    is_lost: bool = False
    answered_at: float = -math.inf
    connected_at: float = -math.inf
    _held_records: list[Callable[[], None]] = attrs.field(factory=list)
    _probe: 'asyncio.Task[None] | None' = None
    _watch: 'asyncio.Task[None] | None' = None

    def record_answer(self) -> None:
        """Record that an instance has answered."""
        self.answered_at = self.clock.now()

    def record_if_intact(
        self,
        record: Callable[[], None],
        *,
        sent_at: float,
        is_connected: bool = True,
    ) -> None:
        """Record a failure of an instance unless the path is lost.

        If neither is known, a probe decides.

        :param record: records the failure.
        :param sent_at: clock time at which the attempt began.
        :param is_connected: the attempt had a connection. An answer on a
            connection that was open before does not show that new ones
            succeed.
        """
        if self.is_lost:
            self.metrics.events['failures_of_own_path'] += 1
            return
        now = self.clock.now()
        is_intact = now - self.connected_at < _PROBE_VALIDITY_S or (
            is_connected and self.answered_at >= sent_at
        )
        if is_intact:
            record()
            return
        self._held_records.append(record)
        self._start_probe()

    def suspect(self) -> None:
        """Probe the path, unless this has just been done."""
        is_recent = self.clock.now() - self.connected_at < _PROBE_VALIDITY_S
        if not self.is_lost and not is_recent:
            self._start_probe()

    async def check(self, *, sent_at: float) -> bool:
        """Return whether the path is intact, after a probe if unknown.

        :param sent_at: clock time since which nothing may have come back.
        """
        evidence_at = max(self.answered_at, self.connected_at)
        if not self.is_lost and evidence_at < sent_at:
            await asyncio.wait([self._start_probe()])
        return not self.is_lost

    async def settle(self) -> None:
        """Wait until failures so far are recorded or dropped."""
        if self._probe is not None and not self._probe.done():
            await asyncio.wait([self._probe])

    async def stop(self) -> None:
        """Cancel the probes."""
        for task in (self._probe, self._watch):
            if task is not None:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    def _start_probe(self) -> 'asyncio.Task[None]':
        """Return the probe that is in progress, or start one."""
        if self._probe is None or self._probe.done():
            self._probe = asyncio.create_task(self._decide())
        return self._probe

    async def _decide(self) -> None:
        """Probe the path; record or drop what waits for the outcome."""
        chosen = self._choose_instances()
        is_reached = await self._reaches_any(chosen)
        held_records, self._held_records = self._held_records, []
        if is_reached:
            self.connected_at = self.clock.now()
            for record in held_records:
                record()
            return
        self.is_lost = True
        self.metrics.events['instances_unreachable'] += 1
        self.metrics.events['failures_of_own_path'] += len(held_records)
        seconds = self.clock.now() - self.answered_at
        _LOG.warning(
            'instances_unreachable',
            service=self.service,
            instances=[item.instance_id for item in chosen],
            seconds=None if math.isinf(seconds) else round(seconds, 3),
        )
        self.instances.close_idle([item.address for item in self._listed()])
        self._watch = asyncio.create_task(self._watch_lost_path())
        self.on_lost()

    async def _watch_lost_path(self) -> None:
        """Probe until an instance is reached."""
        lost_at = self.clock.now()
        while not await self._reaches_any(self._choose_instances()):
            await self.clock.sleep(_LOST_PROBE_INTERVAL_S)
        self.connected_at = self.clock.now()
        self.is_lost = False
        _LOG.info(
            'instances_reached',
            service=self.service,
            seconds=round(self.connected_at - lost_at, 3),
        )

    def _listed(self) -> list[EdgeInstance]:
        return [
            item
            for item in self.catalog.instances_by_id.values()
            if item.service == self.service
            and allows(self.home_regions, item.placement.region)
        ]

    def _choose_instances(self) -> list[EdgeInstance]:
        listed = self._listed()
        return self.random.sample(listed, min(_PROBED_INSTANCES, len(listed)))

    async def _reaches_any(self, chosen: Sequence[EdgeInstance]) -> bool:
        """Return whether one of some instances accepts a connection.

        Without any instance there is nothing that could be unreachable.
        """
        attempts: set[asyncio.Task[bool]] = set()
        try:
            for item in chosen:
                attempts.add(
                    asyncio.create_task(
                        self.instances.can_connect(item.address)
                    )
                )
                await asyncio.wait(attempts, timeout=_PROBE_DELAY_S)
                if _has_succeeded(attempts):
                    return True
            for attempt in asyncio.as_completed(attempts):
                if await attempt:
                    return True
        finally:
            for task in attempts:
                task.cancel()
        return not chosen


def _has_succeeded(attempts: Iterable['asyncio.Task[bool]']) -> bool:
    return any(task.done() and task.result() for task in attempts)
