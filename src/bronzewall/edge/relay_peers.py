"""Finds VMs that reach the instances, for a VM that does not."""

import asyncio
import itertools
import math
import random
from collections.abc import Iterator

import attrs
import structlog

from bronzewall.edge.directory import Directory
from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.home_regions import HomeRegions, allows
from bronzewall.edge.model import VmEntry
from bronzewall.edge.relay_messages import RelayReply, RelayRequest
from bronzewall.edge.relay_tickets import TICKET_LIFETIME_S
from bronzewall.errors import PeerTimeoutError
from bronzewall.locality import locality_of
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.types import ServiceName, VmId

# VMs that are asked at the same time, and how many are asked for one request.
_BATCH = 3
_MAX_ASKED = 15
# VMs of each locality that are asked for one request: most of a large zone
# may have no path either.
_MAX_ASKED_BY_LOCALITY = 6
# Time limit of a question, seconds. The first one to a VM opens connections in
# both directions.
_TIMEOUT_S = 0.3
# Time for which a VM that has refused or not answered is not asked, seconds.
_PAUSE_S = 2.0
# Fraction of a ticket's lifetime for which it is used.
_TICKET_FRACTION = 0.5
_LOG = structlog.get_logger()


@attrs.frozen(kw_only=True)
class RelayPeer:
    """A VM that has agreed to serve requests for a service.

    :param used_until: clock time until which its ticket is used.
    """

    service: ServiceName
    vm_id: VmId
    address: str
    ticket: str
    used_until: float


@attrs.define(kw_only=True, eq=False)
class RelayPeers:
    """Asks the VMs of the fleet, the nearest first."""

    clock: Clock
    random: random.Random
    endpoint: PeerEndpoint
    fleet: FleetView
    directory: Directory
    _peer_by_service: dict[ServiceName, RelayPeer] = attrs.field(factory=dict)
    _paused_until: dict[tuple[ServiceName, VmId], float] = attrs.field(
        factory=dict
    )

    async def find(
        self, service: ServiceName, home_regions: HomeRegions | None = None
    ) -> RelayPeer | None:
        """Return a VM that serves requests for a service, if one answers.

        :param home_regions: regions to which the request may be sent. The own
            region is not one of them unless it is listed: the caller may be
            in another one.
        """
        found = self._peer_by_service.get(service)
        if (
            found is not None
            and self.clock.now() < found.used_until
            and self._is_allowed(found.vm_id, home_regions)
        ):
            return found
        for batch in self._batches(service, home_regions):
            found = await self._ask_any(service, batch)
            if found is not None:
                self._peer_by_service[service] = found
                return found
        return None

    def drop(self, peer: RelayPeer) -> None:
        """Stop using a VM for a time, after it did not serve a request."""
        self._pause(peer.service, peer.vm_id)
        if self._peer_by_service.get(peer.service) == peer:
            self._peer_by_service.pop(peer.service)

    def _pause(self, service: ServiceName, vm_id: VmId) -> None:
        self._paused_until[service, vm_id] = self.clock.now() + _PAUSE_S

    def _is_allowed(
        self, vm_id: VmId, home_regions: HomeRegions | None
    ) -> bool:
        entry = self.fleet.entries_by_id.get(vm_id)
        region = '' if entry is None else entry.placement.region
        return allows(home_regions, region)

    def _batches(
        self, service: ServiceName, home_regions: HomeRegions | None
    ) -> Iterator[list[VmEntry]]:
        """Yield VMs to ask, the nearest and among them the strongest first."""
        now = self.clock.now()
        own = self.fleet.own
        by_locality: dict[int, list[VmEntry]] = {}
        for entry in self._shuffled():
            is_paused = now < self._paused_until.get((service, entry.vm_id), 0)
            if not allows(home_regions, entry.placement.region):
                continue
            if entry.vm_id != own.vm_id and not is_paused:
                locality = locality_of(own.placement, entry.placement)
                by_locality.setdefault(locality.value, []).append(entry)
        chosen = list(
            itertools.chain.from_iterable(
                by_locality[locality][:_MAX_ASKED_BY_LOCALITY]
                for locality in sorted(by_locality)
            )
        )
        for start in range(0, min(len(chosen), _MAX_ASKED), _BATCH):
            yield chosen[start : start + _BATCH]

    def _shuffled(self) -> list[VmEntry]:
        """Return all VMs in a random order in which strong ones lead."""
        entries = self.fleet.entries_by_id.values()
        weights = {
            entry.vm_id: math.log(1 - self.random.random()) / entry.strength
            for entry in entries
        }
        return sorted(
            entries, key=lambda entry: weights[entry.vm_id], reverse=True
        )

    async def _ask_any(
        self, service: ServiceName, batch: list[VmEntry]
    ) -> RelayPeer | None:
        """Return the first VM of a batch that agrees."""
        tasks = [
            asyncio.create_task(self._ask(service, entry)) for entry in batch
        ]
        try:
            for task in asyncio.as_completed(tasks):
                found = await task
                if found is not None:
                    return found
        finally:
            for pending in tasks:
                pending.cancel()
        return None

    async def _ask(
        self, service: ServiceName, entry: VmEntry
    ) -> RelayPeer | None:
        asked_at = self.clock.now()
        try:
            reply: RelayReply = await self.endpoint.call(
                to=entry.vm_id,
                message=RelayRequest(
                    service=service, version=self.directory.version
                ),
                timeout=_TIMEOUT_S,
            )
        except PeerTimeoutError:
            self.endpoint.counters['relay_request_lost'] += 1
            reply = RelayReply()
        if not reply.address:
            self._pause(service, entry.vm_id)
            return None
        _LOG.info(
            'relay_found',
            service=service,
            vm=entry.vm_id,
            address=reply.address,
        )
        return RelayPeer(
            service=service,
            vm_id=entry.vm_id,
            address=reply.address,
            ticket=reply.ticket,
            used_until=asked_at + TICKET_LIFETIME_S * _TICKET_FRACTION,
        )
