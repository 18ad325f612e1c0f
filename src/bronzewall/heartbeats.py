"""Heartbeats between members and the state carried in their acks."""

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

HEARTBEAT_INTERVAL_S = 0.5
# A subscriber renews its subscription with a heartbeat every interval; it
# expires when three in a row are lost.
_SUBSCRIPTION_S = 1.6
_MAX_SUBSCRIBERS = 64
_MAX_SEND_TIMES = 8
# Each poll by each reader updates the state of the store. Passing it on
# more often than this costs messages and gains nothing.
_MIN_PUSH_INTERVAL_S = 0.25


@attrs.frozen(kw_only=True)
class Subscriber:
    """A member that gets changes of state without asking.

    :param heartbeat_number: number of its newest heartbeat.
    :param received_at: clock time at which that heartbeat arrived.
    """

    heartbeat_number: int
    received_at: float


@attrs.define(kw_only=True, eq=False)
class Heartbeats:
    """Sends and answers heartbeats.

    Every ack refers to a heartbeat of its receiver. Times in it are
    relative to that heartbeat, so that a late ack never looks newer.

    :param on_generation: called with a member and its generation when
        that is newer than the one in force on this VM.
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
    _heartbeat_number: int = 0
    _sent_at_by_number: dict[int, float] = attrs.field(factory=dict)
    _subscribers_by_id: dict[VmId, Subscriber] = attrs.field(factory=dict)
    _pushed_at: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        """Register the handlers for heartbeats, acks and stops."""
        # Numbers start at the incarnation and are not reused, so that an ack
        # for an earlier incarnation never matches a heartbeat of this one.
        self._heartbeat_number = self.endpoint.incarnation
        self.endpoint.accepts = self._record_contact
        self.endpoint.serve(Heartbeat, self._on_heartbeat)
        self.endpoint.serve(HeartbeatAck, self._on_ack)
        self.endpoint.serve(Stopping, self._on_stopping)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            await self.clock.sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeats(self) -> None:
        """Send one round of heartbeats."""
        self._heartbeat_number += 1
        self._sent_at_by_number[self._heartbeat_number] = self.clock.now()
        self._sent_at_by_number.pop(
            self._heartbeat_number - _MAX_SEND_TIMES, None
        )
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
                message=Heartbeat(
                    beat=self._heartbeat_number, follow=vm_id in parents
                ),
            )
        self.suspicions.start_votes()

    def push_state(self, *, is_urgent: bool = False) -> None:
        """Send the current state to all subscribers.

        :param is_urgent: send even within the minimum interval.
        """
        now = self.clock.now()
        if not is_urgent and now - self._pushed_at < _MIN_PUSH_INTERVAL_S:
            return
        self._pushed_at = now
        for vm_id, subscriber in tuple(self._subscribers_by_id.items()):
            if now - subscriber.received_at > _SUBSCRIPTION_S:
                del self._subscribers_by_id[vm_id]
            else:
                self.endpoint.send(
                    to=vm_id, message=self._build_ack(subscriber)
                )

    def announce_stop(self) -> None:
        """Notify the neighbours that this VM begins a planned stop."""
        receivers = {
            *self.topology.successors(),
            *self.topology.monitors_of(self.members.own_id),
            *self.topology.other_zone_contacts(),
            *self.topology.parents(),
            *self._subscribers_by_id,
        }
        receivers.discard(self.members.own_id)
        for vm_id in sorted(receivers):
            self.endpoint.send(to=vm_id, message=Stopping())

    def _record_contact(self, envelope: Envelope) -> bool:
        return self.members.record_contact(
            vm_id=envelope.sender,
            incarnation=envelope.incarnation,
            at=self.clock.now(),
        )

    def _on_heartbeat(self, envelope: Envelope) -> None:
        subscriber = Subscriber(
            heartbeat_number=envelope.body.beat, received_at=self.clock.now()
        )
        if envelope.body.follow:
            self._add_subscriber(envelope.sender, subscriber)
        self.endpoint.send(
            to=envelope.sender, message=self._build_ack(subscriber)
        )

    def _add_subscriber(self, vm_id: VmId, subscriber: Subscriber) -> None:
        known = self._subscribers_by_id.pop(vm_id, None)
        if (
            known is not None
            and known.heartbeat_number > subscriber.heartbeat_number
        ):
            subscriber = known
        self._subscribers_by_id[vm_id] = subscriber
        if len(self._subscribers_by_id) > _MAX_SUBSCRIBERS:
            self._subscribers_by_id.pop(next(iter(self._subscribers_by_id)))

    def _build_ack(self, subscriber: Subscriber) -> HeartbeatAck:
        received_at = subscriber.received_at
        return HeartbeatAck(
            beat=subscriber.heartbeat_number,
            generation=self.feed.generation,
            store=self.freshness.report(received_at=received_at),
            list_digest=self.list_feed.digest,
            list_read=self.list_feed.read_at - received_at,
            notices=[
                NoticeReport(
                    vm_id=notice.vm_id,
                    incarnation=notice.incarnation,
                    state=notice.state,
                    at=notice.at - received_at,
                )
                for notice in self.members.recent_notices(self.clock.now())
            ],
        )

    def _on_ack(self, envelope: Envelope) -> None:
        ack: HeartbeatAck = envelope.body
        sent_at = self._sent_at_by_number.get(ack.beat)
        if sent_at is None:
            self.endpoint.counters['late_ack'] += 1
            return
        has_store_update = self.freshness.apply_report(
            ack.store, sent_at=sent_at
        )
        has_notice = self._apply_notices(ack, sent_at)
        if ack.generation > self.feed.generation:
            self.on_generation(envelope.sender, ack.generation)
        self.list_feed.pull_if_newer(
            sender=envelope.sender,
            digest=ack.list_digest,
            read_at=sent_at + ack.list_read,
        )
        if has_store_update or has_notice:
            self.push_state(is_urgent=has_notice)

    def _apply_notices(self, ack: HeartbeatAck, sent_at: float) -> bool:
        applied = [
            self.members.apply(
                Notice(
                    vm_id=report.vm_id,
                    incarnation=report.incarnation,
                    state=report.state,
                    at=sent_at + report.at,
                )
            )
            for report in ack.notices
            if report.vm_id != self.members.own_id
        ]
        return any(applied)

    def _on_stopping(self, envelope: Envelope) -> None:
        notice = Notice(
            vm_id=envelope.sender,
            incarnation=envelope.incarnation,
            state=MemberState.STOPPING,
            at=self.clock.now(),
        )
        if self.members.apply(notice):
            self.push_state(is_urgent=True)
