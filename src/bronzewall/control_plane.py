"""Members, configuration and key freshness of one VM."""

import asyncio
import random

import attrs

from bronzewall.config_exchange import ConfigExchange
from bronzewall.config_feed import ConfigFeed
from bronzewall.config_reader import ConfigReader
from bronzewall.errors import SnapshotError
from bronzewall.freshness import Freshness
from bronzewall.heartbeats import Heartbeats
from bronzewall.member_suspicion import SuspicionVotes
from bronzewall.membership import Members
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock, ObjectStore, TableService, VmList
from bronzewall.publication_check import VmAnswer
from bronzewall.published_change import PublishedChange
from bronzewall.topology import Topology
from bronzewall.vm_list_feed import VmListFeed

_PEERS_ASKED = 3


@attrs.define(kw_only=True, eq=False)
class ControlPlane:
    """Builds and runs the members, configuration and freshness of a VM."""

    clock: Clock
    random: random.Random
    members: Members
    endpoint: PeerEndpoint
    table: TableService
    objects: ObjectStore
    vm_list: VmList
    feed: ConfigFeed = attrs.field(init=False)
    freshness: Freshness = attrs.field(init=False)
    heartbeats: Heartbeats = attrs.field(init=False)
    exchange: ConfigExchange = attrs.field(init=False)
    reader: ConfigReader = attrs.field(init=False)
    list_feed: VmListFeed = attrs.field(init=False)
    _topology: Topology = attrs.field(init=False)
    _tasks: list['asyncio.Task[None]'] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Build the components."""
        self.feed = ConfigFeed(
            clock=self.clock, table=self.table, objects=self.objects
        )
        self.freshness = Freshness(
            clock=self.clock,
            own_generation=lambda: self.feed.generation,
            zones=self.members.zones,
        )
        self._topology = Topology(members=self.members, random=self.random)
        self.list_feed = VmListFeed(
            clock=self.clock,
            vm_list=self.vm_list,
            members=self.members,
            endpoint=self.endpoint,
            is_reader=self._topology.is_reader,
        )
        self.exchange = ConfigExchange(endpoint=self.endpoint, feed=self.feed)
        self.heartbeats = self._build_heartbeats()
        self.reader = ConfigReader(
            clock=self.clock,
            random=self.random,
            feed=self.feed,
            freshness=self.freshness,
            zone=self.members.own_placement.zone,
            is_reader=self._topology.is_reader,
            on_polled=self.heartbeats.push_state,
        )
        self.feed.on_change(self._on_generation)

    def start(self) -> None:
        """Start the background tasks; an event loop must be running."""
        self._tasks = [
            asyncio.create_task(task)
            for task in (
                self.list_feed.run(),
                self.heartbeats.run(),
                self._read_config(),
            )
        ]

    async def stop(self) -> None:
        """Cancel the background tasks and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.heartbeats.suspicions.close()
        await self.list_feed.close()
        await self.exchange.close()
        await self.reader.close()

    def answer(self, change: PublishedChange) -> VmAnswer:
        """Apply a change from an operator's tool and answer it.

        The tool sends it directly because the store may become unreachable
        before a reader polls. A VM that cannot apply the change still
        records it, and refuses keyed routes if keys may have been
        withdrawn.
        """
        self.freshness.record_keys_generation(change.keys_generation)
        if change.digest:
            self._apply_change(change)
        return VmAnswer(
            generation=self.feed.generation,
            serves_keyed=self.may_serve_keyed(),
        )

    def may_serve_keyed(self) -> bool:
        """Return whether routes that need a key may be served now."""
        return self.freshness.may_serve_keyed()

    def _apply_change(self, change: PublishedChange) -> None:
        try:
            self.feed.apply_change(
                generation=change.generation,
                digest=change.digest,
                changes=change.changes,
                bodies_by_part=change.bodies_by_part,
            )
        except SnapshotError:
            # This VM is more than one generation behind. It catches up by
            # polling or pulling, or the tool asks again.
            self.endpoint.counters['change_not_applied'] += 1

    def _on_generation(self) -> None:
        self.freshness.record_keys_generation(self.feed.state.keys_generation)
        self.heartbeats.push_state(is_urgent=True)

    async def _read_config(self) -> None:
        await self._load_from_peer()
        await self.reader.run()

    async def _load_from_peer(self) -> None:
        """Load the configuration from another VM that has one."""
        await self.list_feed.read()
        usable = self.members.usable_ids(zone=self.members.own_placement.zone)
        same_zone = [vm_id for vm_id in usable if vm_id != self.members.own_id]
        candidates = [
            *self.random.sample(
                same_zone, min(len(same_zone), _PEERS_ASKED - 1)
            ),
            *self._topology.witnesses(_PEERS_ASKED),
        ]
        for vm_id in candidates[:_PEERS_ASKED]:
            if await self.exchange.pull(vm_id):
                return

    def _build_heartbeats(self) -> Heartbeats:
        suspicions = SuspicionVotes(
            clock=self.clock,
            members=self.members,
            topology=self._topology,
            endpoint=self.endpoint,
            on_notice=lambda: self.heartbeats.push_state(is_urgent=True),
        )
        return Heartbeats(
            clock=self.clock,
            members=self.members,
            topology=self._topology,
            endpoint=self.endpoint,
            freshness=self.freshness,
            feed=self.feed,
            list_feed=self.list_feed,
            suspicions=suspicions,
            on_generation=self.exchange.schedule_pull,
        )
