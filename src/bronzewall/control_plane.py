"""What a VM knows of the fleet and the configuration, put together."""

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

_NEIGHBOURS_ASKED = 3


@attrs.define(kw_only=True, eq=False)
class ControlPlane:
    """Configuration, members and freshness of one VM."""

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
        """Build the parts."""
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
            on_polled=self.heartbeats.push,
        )
        self.feed.on_change(self._on_generation)

    def start(self) -> None:
        """Start the tasks."""
        self._tasks = [
            asyncio.create_task(task)
            for task in (
                self.list_feed.run(),
                self.heartbeats.run(),
                self._read_config(),
            )
        ]

    async def stop(self) -> None:
        """End the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.heartbeats.suspicions.close()
        await self.list_feed.close()
        await self.exchange.close()
        await self.reader.close()

    def answer(self, change: PublishedChange) -> VmAnswer:
        """Take a change from an operator's tool and answer it.

        The tool hands it over because the store may go away before a
        reader polls. A VM that cannot apply it still knows of it, and
        refuses keyed routes if keys may have been withdrawn.
        """
        self.freshness.hear_of_keys(change.keys_generation)
        if change.digest:
            self._take(change)
        return VmAnswer(
            generation=self.feed.generation,
            serves_keyed=self.may_serve_keyed(),
        )

    def may_serve_keyed(self) -> bool:
        """Return whether routes that need a key may be served now."""
        return self.freshness.may_serve_keyed()

    def _take(self, change: PublishedChange) -> None:
        try:
            self.feed.advance(
                generation=change.generation,
                digest=change.digest,
                changes=change.changes,
                bodies_by_part=change.bodies_by_part,
            )
        except SnapshotError:
            # This VM is more than one generation behind; it is polled or
            # pulled, or the tool asks again.
            self.endpoint.counters['change_not_applied'] += 1

    def _on_generation(self) -> None:
        self.freshness.hear_of_keys(self.feed.state.keys_generation)
        self.heartbeats.push(is_urgent=True)

    async def _read_config(self) -> None:
        await self._load_from_neighbour()
        await self.reader.run()

    async def _load_from_neighbour(self) -> None:
        """Take the configuration of another VM, if there is one."""
        await self.list_feed.read()
        usable = self.members.usable_ids(zone=self.members.own_placement.zone)
        near = [vm_id for vm_id in usable if vm_id != self.members.own_id]
        asked = [
            *self.random.sample(near, min(len(near), _NEIGHBOURS_ASKED - 1)),
            *self._topology.witnesses(_NEIGHBOURS_ASKED),
        ]
        for vm_id in asked[:_NEIGHBOURS_ASKED]:
            if await self.exchange.pull(vm_id):
                return

    def _build_heartbeats(self) -> Heartbeats:
        suspicions = SuspicionVotes(
            clock=self.clock,
            members=self.members,
            topology=self._topology,
            endpoint=self.endpoint,
            on_notice=lambda: self.heartbeats.push(is_urgent=True),
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
            on_generation=self.exchange.offered,
        )
