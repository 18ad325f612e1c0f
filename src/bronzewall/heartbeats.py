"""Heartbeats between members and the news in their acks."""

from collections.abc import Callable

import attrs

from bronzewall.config_feed import ConfigFeed
from bronzewall.freshness import Freshness
from bronzewall.heartbeat_messages import (
    Heartbeat,
    HeartbeatAck,
    NoticeReport,
    Stopping,
)
from bronzewall.member_suspicion import SuspicionVotes
from bronzewall.membership import Members, MemberState, Notice
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.topology import Topology
from bronzewall.types import VmId
from bronzewall.vm_list_feed import VmListFeed

INTERVAL_S = 0.5
# A follower sends a heartbeat every interval; three lost ones end it.
_FOLLOW_S = 1.6
_MAX_FOLLOWERS = 64
_KEPT_BEATS = 8
# News about the store arrives with every poll of every reader; passing it
# on more often than this would only cost messages.
_PUSH_INTERVAL_S = 0.25


@attrs.frozen(kw_only=True)
class Follower:
    """A member that wants news at once.

    :param beat: its newest heartbeat.
    :param received: clock time at which that arrived.
    """

    beat: int
    received: float


@attrs.define(kw_only=True, eq=False)
class Heartbeats:
    """Sends and answers heartbeats.

    Every ack refers to a heartbeat of its receiver. Times in it are
    counted from that heartbeat, so that a late ack never looks newer.

    :param on_generation: called with a member and its generation when
        that is newer than the one in force here.
    """

    clock: Clock
    members: Members
    topology: Topology
    endpoint: PeerEndpoint
    freshness: Freshness
    feed: ConfigFeed
    list_feed: VmListFeed
    suspicions: SuspicionVotes
    on_generation: Callable[[VmId, int], None]
    _beat: int = 0
    _sent_by_beat: dict[int, float] = attrs.field(factory=dict)
    _followers_by_id: dict[VmId, Follower] = attrs.field(factory=dict)
    _pushed_at: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        """Receive heartbeats and acks."""
        # An ack for a heartbeat of an earlier incarnation must never be
        # taken for one of this incarnation, so numbers are not reused.
        self._beat = self.endpoint.incarnation
        self.endpoint.accepts = self._hear
        self.endpoint.serve(Heartbeat, self._on_heartbeat)
        self.endpoint.serve(HeartbeatAck, self._on_ack)
        self.endpoint.serve(Stopping, self._on_stopping)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.beat()
            await self.clock.sleep(INTERVAL_S)

    def beat(self) -> None:
        """Send one round of heartbeats."""
        self._beat += 1
        self._sent_by_beat[self._beat] = self.clock.now()
        self._sent_by_beat.pop(self._beat - _KEPT_BEATS, None)
        parents = self.topology.parents()
        targets = {
            *self.topology.successors(),
            *self.topology.other_zone_contacts(),
            *parents,
        }
        targets.discard(self.members.own_id)
        for vm_id in sorted(targets):
            self.endpoint.send(
                to=vm_id,
                message=Heartbeat(beat=self._beat, follow=vm_id in parents),
            )
        self.suspicions.check()

    def push(self, *, is_urgent: bool = False) -> None:
        """Send the newest state to all followers.

        :param is_urgent: send even if the last push was just now.
        """
        now = self.clock.now()
        if not is_urgent and now - self._pushed_at < _PUSH_INTERVAL_S:
            return
        self._pushed_at = now
        for vm_id, follower in tuple(self._followers_by_id.items()):
            if now - follower.received > _FOLLOW_S:
                del self._followers_by_id[vm_id]
            else:
                self.endpoint.send(to=vm_id, message=self._ack(follower))

    def announce_stop(self) -> None:
        """Tell the neighbours that this VM begins a planned stop."""
        told = {
            *self.topology.successors(),
            *self.topology.monitors_of(self.members.own_id),
            *self.topology.other_zone_contacts(),
            *self.topology.parents(),
            *self._followers_by_id,
        }
        told.discard(self.members.own_id)
        for vm_id in sorted(told):
            self.endpoint.send(to=vm_id, message=Stopping())

    def _hear(self, envelope: Envelope) -> bool:
        return self.members.record_contact(
            vm_id=envelope.sender,
            incarnation=envelope.incarnation,
            at=self.clock.now(),
        )

    def _on_heartbeat(self, envelope: Envelope) -> None:
        follower = Follower(beat=envelope.body.beat, received=self.clock.now())
        if envelope.body.follow:
            self._follow(envelope.sender, follower)
        self.endpoint.send(to=envelope.sender, message=self._ack(follower))

    def _follow(self, vm_id: VmId, follower: Follower) -> None:
        known = self._followers_by_id.pop(vm_id, None)
        if known is not None and known.beat > follower.beat:
            follower = known
        self._followers_by_id[vm_id] = follower
        if len(self._followers_by_id) > _MAX_FOLLOWERS:
            self._followers_by_id.pop(next(iter(self._followers_by_id)))

    def _ack(self, follower: Follower) -> HeartbeatAck:
        since = follower.received
        return HeartbeatAck(
            beat=follower.beat,
            generation=self.feed.generation,
            store=self.freshness.report(since=since),
            list_digest=self.list_feed.digest,
            list_read=self.list_feed.read_at - since,
            notices=[
                NoticeReport(
                    vm_id=notice.vm_id,
                    incarnation=notice.incarnation,
                    state=notice.state,
                    at=notice.at - since,
                )
                for notice in self.members.recent_notices(self.clock.now())
            ],
        )

    def _on_ack(self, envelope: Envelope) -> None:
        ack: HeartbeatAck = envelope.body
        sent = self._sent_by_beat.get(ack.beat)
        if sent is None:
            self.endpoint.counters['late_ack'] += 1
            return
        is_news = self.freshness.learn(ack.store, sent=sent)
        has_notice = self._take_notices(ack, sent)
        if ack.generation > self.feed.generation:
            self.on_generation(envelope.sender, ack.generation)
        self.list_feed.offered(
            sender=envelope.sender,
            digest=ack.list_digest,
            read_at=sent + ack.list_read,
        )
        if is_news or has_notice:
            self.push(is_urgent=has_notice)

    def _take_notices(self, ack: HeartbeatAck, sent: float) -> bool:
        news = [
            self.members.apply(
                Notice(
                    vm_id=report.vm_id,
                    incarnation=report.incarnation,
                    state=report.state,
                    at=sent + report.at,
                )
            )
            for report in ack.notices
            if report.vm_id != self.members.own_id
        ]
        return any(news)

    def _on_stopping(self, envelope: Envelope) -> None:
        notice = Notice(
            vm_id=envelope.sender,
            incarnation=envelope.incarnation,
            state=MemberState.STOPPING,
            at=self.clock.now(),
        )
        if self.members.apply(notice):
            self.push(is_urgent=True)
