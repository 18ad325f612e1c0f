"""Distinguishes instances that crashed from connections that broke alone."""

import asyncio

import attrs
import structlog

from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.ports import InstanceHttp
from bronzewall.edge.zone_state import ZoneState
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock

_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class CrashEvidence:
    """Attributes a crash to a request only if the instance has ended.

    A reset of some connections breaks the requests on them while their
    instances go on. A process that has ended accepts no connections.
    """

    clock: Clock
    instances: InstanceHttp
    state: ZoneState
    metrics: Metrics
    _probes_by_address: dict[str, 'asyncio.Task[bool]'] = attrs.field(
        factory=dict
    )
    _fingerprints_by_record: dict['asyncio.Task[None]', bytes] = attrs.field(
        factory=dict
    )

    def record_break(self, fingerprint: bytes, instance: EdgeInstance) -> None:
        """Record a request during which a connection broke.

        Breaks of the same moment share one connection to the instance.
        """
        probe = self._probes_by_address.get(instance.address)
        if probe is None or probe.done():
            probe = asyncio.create_task(
                self.instances.can_connect(instance.address)
            )
            self._probes_by_address[instance.address] = probe
        record = asyncio.create_task(self._decide(fingerprint, instance, probe))
        self._fingerprints_by_record[record] = fingerprint
        record.add_done_callback(self._fingerprints_by_record.pop)

    async def settle(self, fingerprint: bytes) -> None:
        """Wait until a request's breaks so far are recorded or dropped."""
        records = [
            record
            for record, found in self._fingerprints_by_record.items()
            if found == fingerprint
        ]
        if records:
            await asyncio.wait(records)

    async def _decide(
        self,
        fingerprint: bytes,
        instance: EdgeInstance,
        probe: 'asyncio.Task[bool]',
    ) -> None:
        is_running = await probe
        if self._probes_by_address.get(instance.address) is probe:
            del self._probes_by_address[instance.address]
        _LOG.info(
            'connection_broken',
            instance=instance.instance_id,
            is_running=is_running,
        )
        if is_running:
            self.metrics.events['breaks_of_running_instances'] += 1
            return
        self.state.record_broken_request(
            fingerprint, instance.instance_id, now=self.clock.now()
        )
