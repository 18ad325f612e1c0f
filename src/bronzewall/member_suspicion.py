"""Tells a dead member from one that is only unreachable from here."""

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

# Three heartbeats; one or two lost messages are not silence.
SILENCE_S = 1.5
_RECENT_S = 1.0
_PING_TIMEOUT_S = 0.4
_VOTE_TIMEOUT_S = 0.8
_OUTSIDE_WITNESSES = 2


@attrs.define(kw_only=True, eq=False)
class SuspicionVotes:
    """Watches the ring successors of this VM.

    A silent member is down only if other members, among them two of other
    zones, have no answer from it either.

    :param on_notice: called after a member was found to be down.
    """

    clock: Clock
    members: Members
    topology: Topology
    endpoint: PeerEndpoint
    on_notice: Callable[[], None]
    _watched_since_by_id: dict[VmId, float] = attrs.field(factory=dict)
    _votes_by_id: dict[VmId, 'asyncio.Task[None]'] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Answer other VMs."""
        self.endpoint.serve(Suspicion, self._vote)
        self.endpoint.serve(Ping, _pong)

    def check(self) -> None:
        """Ask for votes about the watched members that are silent."""
        now = self.clock.now()
        watched = self.topology.successors()
        self._watched_since_by_id = {
            vm_id: self._watched_since_by_id.get(vm_id, now)
            for vm_id in watched
        }
        for vm_id in watched:
            heard = self.members.last_contact_at(vm_id)
            since = self._watched_since_by_id[vm_id]
            silent_since = since if heard is None else max(heard, since)
            if now - silent_since > SILENCE_S and self._is_open(vm_id):
                self._votes_by_id[vm_id] = asyncio.create_task(self._ask(vm_id))

    async def close(self) -> None:
        """End all votes."""
        votes = tuple(self._votes_by_id.values())
        for vote in votes:
            vote.cancel()
        await asyncio.gather(*votes, return_exceptions=True)

    def _is_open(self, vm_id: VmId) -> bool:
        if vm_id in self.members.suspected_ids | self.members.stopping_ids:
            return False
        vote = self._votes_by_id.get(vm_id)
        return vote is None or vote.done()

    async def _ask(self, vm_id: VmId) -> None:
        asked_at = self.clock.now()
        self.members.unreachable_ids.add(vm_id)
        own_id = self.members.own_id
        witnesses = {
            *self.topology.monitors_of(vm_id),
            *self.topology.witnesses(_OUTSIDE_WITNESSES),
        } - {own_id, vm_id}
        votes = await asyncio.gather(
            *(self._ask_one(witness, vm_id) for witness in sorted(witnesses))
        )
        if True in votes or False not in votes:
            # Somebody hears it, or nobody hears this VM.
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

    async def _ask_one(self, witness: VmId, vm_id: VmId) -> bool | None:
        try:
            vote: SuspicionVote = await self.endpoint.call(
                to=witness,
                message=Suspicion(vm_id=vm_id),
                timeout=_VOTE_TIMEOUT_S,
            )
        except PeerTimeoutError:
            return None
        return vote.is_heard

    async def _vote(self, envelope: Envelope) -> SuspicionVote:
        vm_id = envelope.body.vm_id
        heard = self.members.last_contact_at(vm_id)
        if heard is not None and self.clock.now() - heard <= _RECENT_S:
            return SuspicionVote(is_heard=True)
        try:
            await self.endpoint.call(
                to=vm_id, message=Ping(), timeout=_PING_TIMEOUT_S
            )
        except PeerTimeoutError:
            return SuspicionVote(is_heard=False)
        return SuspicionVote(is_heard=True)


def _pong(_envelope: Envelope) -> Pong:
    return Pong()
