"""Votes on whether a member is down or only unreachable from this VM."""

import asyncio
from collections.abc import Callable

import attrs

from bronzewall.errors import PeerTimeoutError
from bronzewall.heartbeat_messages import Ping, Pong, Suspicion, SuspicionVote
from bronzewall.membership import Members, MemberState, Notice
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.topology import Topology
from bronzewall.types import VmId

# Three heartbeat intervals; one or two lost messages start no vote.
SUSPECT_AFTER_S = 1.5
_RECENT_CONTACT_S = 1.0
_PING_TIMEOUT_S = 0.4
_VOTE_TIMEOUT_S = 0.8
_OTHER_ZONE_WITNESSES = 2


@attrs.define(kw_only=True, eq=False)
class SuspicionVotes:
    """Watches the ring successors of this VM.

    A member that sends nothing counts as down only if other members, two
    of them in other zones, get no answer from it either.

    :param on_notice: called when a vote has found a member to be down.
    """

    clock: Clock
    members: Members
    topology: Topology
    endpoint: PeerEndpoint
    on_notice: Callable[[], None]
    _watched_since_by_id: dict[VmId, float] = attrs.field(factory=dict)
    _votes_by_id: dict[VmId, 'asyncio.Task[None]'] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Register the handlers for messages of other VMs."""
        self.endpoint.serve(Suspicion, self._answer_suspicion)
        self.endpoint.serve(Ping, _answer_ping)

    def start_votes(self) -> None:
        """Start a vote on each watched member that has sent nothing lately."""
        now = self.clock.now()
        watched = self.topology.successors()
        self._watched_since_by_id = {
            vm_id: self._watched_since_by_id.get(vm_id, now)
            for vm_id in watched
        }
        for vm_id in watched:
            last_contact = self.members.last_contact_at(vm_id)
            watched_since = self._watched_since_by_id[vm_id]
            last_seen = (
                watched_since
                if last_contact is None
                else max(last_contact, watched_since)
            )
            if now - last_seen > SUSPECT_AFTER_S and self._may_start_vote(
                vm_id
            ):
                self._votes_by_id[vm_id] = asyncio.create_task(
                    self._hold_vote(vm_id)
                )

    async def close(self) -> None:
        """Cancel the running votes."""
        votes = tuple(self._votes_by_id.values())
        for vote in votes:
            vote.cancel()
        await asyncio.gather(*votes, return_exceptions=True)

    def _may_start_vote(self, vm_id: VmId) -> bool:
        if vm_id in self.members.suspected_ids | self.members.stopping_ids:
            return False
        vote = self._votes_by_id.get(vm_id)
        return vote is None or vote.done()

    async def _hold_vote(self, vm_id: VmId) -> None:
        asked_at = self.clock.now()
        self.members.unreachable_ids.add(vm_id)
        own_id = self.members.own_id
        witnesses = {
            *self.topology.monitors_of(vm_id),
            *self.topology.witnesses(_OTHER_ZONE_WITNESSES),
        } - {own_id, vm_id}
        votes = await asyncio.gather(
            *(
                self._request_vote(witness, vm_id)
                for witness in sorted(witnesses)
            )
        )
        if True in votes or False not in votes:
            # A witness has contact with it, or no witness answered this VM.
            return
        incarnation = self.members.incarnations_by_id.get(vm_id, 0)
        notice = Notice(
            vm_id=vm_id,
            incarnation=incarnation,
            state=MemberState.DOWN,
            at=asked_at,
        )
        if self.members.apply(notice):
            self.on_notice()

    async def _request_vote(self, witness: VmId, vm_id: VmId) -> bool | None:
        try:
            vote: SuspicionVote = await self.endpoint.call(
                to=witness,
                message=Suspicion(vm_id=vm_id),
                timeout=_VOTE_TIMEOUT_S,
            )
        except PeerTimeoutError:
            return None
        return vote.is_heard

    async def _answer_suspicion(self, envelope: Envelope) -> SuspicionVote:
        vm_id = envelope.body.vm_id
        last_contact = self.members.last_contact_at(vm_id)
        if (
            last_contact is not None
            and self.clock.now() - last_contact <= _RECENT_CONTACT_S
        ):
            return SuspicionVote(is_heard=True)
        try:
            await self.endpoint.call(
                to=vm_id, message=Ping(), timeout=_PING_TIMEOUT_S
            )
        except PeerTimeoutError:
            return SuspicionVote(is_heard=False)
        return SuspicionVote(is_heard=True)


def _answer_ping(_envelope: Envelope) -> Pong:
    return Pong()
