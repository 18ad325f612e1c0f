"""Fetches newer configuration and instance lists from any other VM."""

import math
import random
from collections.abc import Callable

import attrs
import structlog

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.directory import Directory
from bronzewall.edge.evacuations import Evacuations
from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.freshness import KeyFreshness
from bronzewall.edge.knowledge_age import KnowledgeAge
from bronzewall.edge.ports import FleetStore
from bronzewall.edge.zone_messages import RefreshReply, RefreshRequest
from bronzewall.edge.zone_packing import (
    pack_configuration,
    pack_instances,
    unpack_configuration,
    unpack_instances,
)
from bronzewall.errors import (
    PeerMessageError,
    PeerTimeoutError,
    StoreEntryError,
)
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.types import VmId

# Time between two checks of the ages, seconds.
_CHECK_INTERVAL_S = 0.05
# Factor by which the time grows after each question, and its limit, seconds.
_BACKOFF_FACTOR = 1.3
_MAX_INTERVAL_S = 1.0
# Time limit of a question to another VM, seconds; a round trip between regions
# takes 16 ms.
_TIMEOUT_S = 0.08
# One of this many questions goes to another zone, whose VMs may reach the
# store when none of this zone does.
_OTHER_ZONE_TURN = 3
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class Refresher:
    """Asks other VMs while the data of this VM is too old, and answers them.

    Any VM answers, so that no guarantee depends on which ones are leaders.

    :param find_ahead: returns a VM that is known to have a newer
        configuration.
    """

    clock: Clock
    random: random.Random
    endpoint: PeerEndpoint
    fleet: FleetView
    directory: Directory
    catalog: Catalog
    freshness: KeyFreshness
    evacuations: Evacuations
    age: KnowledgeAge
    store: FleetStore
    find_ahead: Callable[[], VmId | None]
    _turn: int = 0

    def serve(self) -> None:
        """Answer the questions of other VMs."""
        self.endpoint.serve(RefreshRequest, self.handle_request)

    def handle_request(self, envelope: Envelope) -> RefreshReply:
        """Return what this VM knows and the asking VM does not."""
        request: RefreshRequest = envelope.body
        evacuations = self.evacuations.shared
        if evacuations is not None:
            self.endpoint.send(to=envelope.sender, message=evacuations)
        list_age = self.age.list_age()
        is_list_newer = list_age < request.list_age
        is_newer = self.directory.version > request.version
        return RefreshReply(
            version=self.directory.version,
            store_age=_finite(self.freshness.age()),
            raw=pack_configuration(self.directory.raw) if is_newer else None,
            list_age=_finite(list_age),
            catalog=pack_instances(self.catalog.instances_by_id.values())
            if is_list_newer
            else None,
        )

    async def run(self) -> None:
        """Ask one VM after the other for as long as the data is too old."""
        pause = _CHECK_INTERVAL_S
        while True:
            await self.clock.sleep(pause)
            ahead = self.find_ahead()
            if ahead is None and not self.age.is_ask_due():
                pause = _CHECK_INTERVAL_S
                continue
            await self._ask(ahead or self._next_vm())
            # While the store answers nobody, no VM has newer data.
            pause = min(_MAX_INTERVAL_S, pause * _BACKOFF_FACTOR)

    async def _ask(self, to: VmId | None) -> None:
        if to is None:
            return
        sent_at = self.clock.now()
        list_age = self.age.list_age()
        try:
            reply: RefreshReply = await self.endpoint.call(
                to=to,
                message=RefreshRequest(
                    version=self.directory.version, list_age=list_age
                ),
                timeout=_TIMEOUT_S,
            )
        except PeerTimeoutError as exc:
            _LOG.info('refresh_unanswered', vm=to, error=str(exc))
            return
        try:
            self._apply(reply, sent_at)
        except (PeerMessageError, StoreEntryError) as exc:
            _LOG.warning('refresh_ignored', vm=to, error=str(exc))
            return
        _LOG.info(
            'knowledge_refreshed',
            vm=to,
            list_age_before=round(list_age, 3),
            list_age=round(self.age.list_age(), 3),
            store_age=round(self.freshness.age(), 3),
            version=self.directory.version,
        )

    def _next_vm(self) -> VmId | None:
        """Return a VM of the own zone, or at each third turn of another."""
        self._turn += 1
        own = self.fleet.own
        others = [
            entry
            for entry in self.fleet.entries_by_id.values()
            if entry.vm_id != own.vm_id
        ]
        in_zone = [
            entry
            for entry in others
            if entry.placement.zone == own.placement.zone
        ]
        is_own_zone = in_zone and self._turn % _OTHER_ZONE_TURN
        candidates = in_zone if is_own_zone else others
        return self.random.choice(candidates).vm_id if candidates else None

    def _apply(self, reply: RefreshReply, sent_at: float) -> None:
        """Apply an answer.

        Ages count from when the question was sent, because the other VM
        answered later.
        """
        if reply.raw is not None:
            raw = unpack_configuration(reply.raw)
            self.directory.accept(
                self.store.decode_configuration(raw), raw=raw, source='vm'
            )
        if (
            reply.store_age is not None
            and self.directory.version >= reply.version
        ):
            self.freshness.confirm(sent_at - reply.store_age)
        if reply.catalog is not None and reply.list_age is not None:
            self.catalog.adopt(
                unpack_instances(reply.catalog),
                confirmed_at=sent_at - reply.list_age,
            )


def _finite(age: float) -> float | None:
    return None if math.isinf(age) else age
