"""Exclusive turns: a suspect request runs on one instance at a time.

The turn of a fingerprint is given by every VM that reported its death,
because the reports name those VMs and no view of the members is needed.
The turn of an instance is given by its home; it keeps an innocent suspect
off the instance on which the guilty one runs.
"""

import asyncio
import collections
import itertools
from collections.abc import Callable

import attrs

from bronzewall.background import BackgroundTasks
from bronzewall.crash_messages import (
    CrashReport,
    SuspectCleared,
    TurnAnswer,
    TurnAsk,
    TurnDone,
    TurnDoneAck,
    TurnEnd,
    TurnVerdict,
)
from bronzewall.crash_suspects import (
    RETENTION_S,
    Reporter,
    Suspect,
    SuspectTable,
)
from bronzewall.errors import PeerTimeoutError
from bronzewall.membership import Members
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.problems import Reason, RefusalError
from bronzewall.rendezvous import rank_vms
from bronzewall.types import InstanceId, VmId

_ASK_TIMEOUT_S = 0.3
_ASK_PAUSE_S = 0.05
# A suspect waits this long for its turn before it is refused.
_MAX_WAIT_S = 2.0
_BUSY_RETRY_AFTER_S = 2.0
_DONE_LIMIT_S = 30.0
_DONE_PAUSE_S = 0.5
# Ended turns that are remembered to recognise duplicates of their asks.
_MAX_ENDED = 10_000
# Covers the watch of a run that was given up, and the way of the messages.
_TURN_MARGIN_S = 15.0
# A turn of a reporter that is gone cannot be asked for; its last grant has
# ended after this time, and the home alone decides.
_ENDED_REPORTER_S = 60.0


def _ignore_expired_turn(_fingerprint: bytes) -> None:
    """Stand in until the crash guard is connected."""


@attrs.frozen(kw_only=True)
class _Holder:
    attempt_id: str
    expires_at: float


@attrs.frozen(kw_only=True)
class Turn:
    """The turns held by one attempt, with the VMs that gave them."""

    asks: tuple[tuple[VmId, TurnAsk], ...]


@attrs.define(kw_only=True, eq=False)
class CrashTurns:
    """Gives turns to other VMs and obtains them for this VM.

    :param on_expired_turn: called with a fingerprint whose turn was not given
        back; its run may have killed an instance unseen.
    """

    clock: Clock
    endpoint: PeerEndpoint
    members: Members
    table: SuspectTable
    tasks: BackgroundTasks
    has_ended: Callable[[VmId, int], bool]
    on_expired_turn: Callable[[bytes], None] = _ignore_expired_turn
    _holders: dict[tuple[bytes, str], _Holder] = attrs.field(factory=dict)
    _ended_attempts: 'collections.OrderedDict[tuple[bytes, str, str], None]' = (
        attrs.field(factory=collections.OrderedDict)
    )
    _ended_reporters: set[Reporter] = attrs.field(factory=set)
    _attempt_numbers: 'itertools.count[int]' = attrs.field(
        factory=itertools.count
    )

    def __attrs_post_init__(self) -> None:
        """Serve other VMs."""
        self.endpoint.serve(
            TurnAsk, lambda envelope: self.grant_turn(envelope.body)
        )
        self.endpoint.serve(TurnDone, self._on_done)
        self.endpoint.serve(SuspectCleared, self._on_cleared)

    async def acquire(
        self, fingerprint: bytes, instance_id: InstanceId, *, deadline: float
    ) -> Turn | None:
        """Return the turn of a fingerprint, ``None`` if none is needed.

        :param deadline: clock time after which the request is not sent.
        :raises RefusalError: it must not run now.
        """
        give_up_at = min(deadline, self.clock.now() + _MAX_WAIT_S)
        while True:
            suspect = self._find_suspect(fingerprint)
            if suspect is None:
                return None
            ask = TurnAsk(
                fingerprint=fingerprint,
                incarnation=0,
                instance_id='',
                attempt_id=self._new_attempt_id(),
                remaining=max(deadline - self.clock.now(), 0),
            )
            asks = self._build_asks(ask, suspect, instance_id)
            verdict = await self._ask_all(asks)
            if verdict is TurnVerdict.GRANTED:
                return Turn(asks=tuple(asks))
            if verdict is TurnVerdict.CLEARED:
                self.table.clear(fingerprint)
            elif self.clock.now() >= give_up_at:
                raise busy_refusal()
            else:
                await self.clock.sleep(_ASK_PAUSE_S)

    def release(
        self, turn: Turn, end: TurnEnd, report: CrashReport | None = None
    ) -> None:
        """End the turns of an attempt.

        :param report: the death in which the run ended, if any.
        """
        for vm_id, ask in turn.asks:
            done = TurnDone(
                fingerprint=ask.fingerprint,
                instance_id=ask.instance_id,
                attempt_id=ask.attempt_id,
                end=end,
                report=report,
            )
            if vm_id == self.endpoint.vm_id:
                self.end_turn(done)
            else:
                self.tasks.start(self._send_done(vm_id, done))

    def grant_turn(self, ask: TurnAsk) -> TurnAnswer:
        """Give a turn or say why not."""
        verdict = self._evaluate(ask)
        if verdict is TurnVerdict.GRANTED:
            self._holders[_resource(ask)] = _Holder(
                attempt_id=ask.attempt_id,
                expires_at=self.clock.now() + ask.remaining + _TURN_MARGIN_S,
            )
        return TurnAnswer(verdict=verdict)

    def end_turn(self, done: TurnDone) -> None:
        """Take a turn back."""
        if done.report is not None:
            self.table.record(done.report)
        resource = _resource(done)
        self._ended_attempts[*resource, done.attempt_id] = None
        if len(self._ended_attempts) > _MAX_ENDED:
            self._ended_attempts.popitem(last=False)
        holder = self._holders.get(resource)
        if holder is not None and holder.attempt_id == done.attempt_id:
            del self._holders[resource]
        if done.end is TurnEnd.SURVIVED and not done.instance_id:
            self._clear_everywhere(done.fingerprint)

    def _evaluate(self, ask: TurnAsk) -> TurnVerdict:
        suspect = self.table.find(ask.fingerprint)
        if suspect is not None and suspect.is_quarantined:
            return TurnVerdict.QUARANTINED
        if not ask.instance_id:
            if ask.incarnation != self.endpoint.incarnation:
                # What an earlier process granted is not known here.
                return TurnVerdict.GONE
            if suspect is None:
                return TurnVerdict.CLEARED
        return self._check_holder(ask)

    def _check_holder(self, ask: TurnAsk) -> TurnVerdict:
        resource = _resource(ask)
        if (*resource, ask.attempt_id) in self._ended_attempts:
            # A duplicate that arrived after the end of the turn.
            return TurnVerdict.BUSY
        holder = self._holders.get(resource)
        if holder is None or holder.attempt_id == ask.attempt_id:
            return TurnVerdict.GRANTED
        if self.clock.now() <= holder.expires_at:
            return TurnVerdict.BUSY
        del self._holders[resource]
        if ask.instance_id:
            return TurnVerdict.GRANTED
        self.on_expired_turn(ask.fingerprint)
        return TurnVerdict.BUSY

    def _new_attempt_id(self) -> str:
        # Every round has its own id, so that the late end of one round
        # never ends the turn of the next.
        number = next(self._attempt_numbers)
        return f'{self.endpoint.vm_id}/{self.endpoint.incarnation}/{number}'

    def _find_suspect(self, fingerprint: bytes) -> Suspect | None:
        suspect = self.table.find(fingerprint)
        if suspect is not None and suspect.is_quarantined:
            raise quarantine_refusal(self.clock, suspect)
        return suspect

    def _build_asks(
        self, ask: TurnAsk, suspect: Suspect, instance_id: InstanceId
    ) -> list[tuple[VmId, TurnAsk]]:
        coordinators = rank_vms(
            duty=f'crash/{instance_id}',
            vm_ids=self.members.usable_ids() or [self.endpoint.vm_id],
        )
        reporters = sorted(
            suspect.reporters,
            key=lambda reporter: (reporter.vm_id, reporter.incarnation),
        )
        return [
            (coordinators[0], attrs.evolve(ask, instance_id=instance_id)),
            *(
                (rep.vm_id, attrs.evolve(ask, incarnation=rep.incarnation))
                for rep in reporters
                if not self._has_no_turns(suspect, rep)
            ),
        ]

    def _has_no_turns(self, suspect: Suspect, reporter: Reporter) -> bool:
        """Return whether a reporter can hold no turn any more."""
        has_ended = reporter in self._ended_reporters or self.has_ended(
            reporter.vm_id, reporter.incarnation
        )
        age = self.clock.now() - suspect.last_crash_at
        return has_ended and age > _ENDED_REPORTER_S

    async def _ask_all(self, asks: list[tuple[VmId, TurnAsk]]) -> TurnVerdict:
        """Ask one VM after the other; give all back unless all agree."""
        for number, (vm_id, ask) in enumerate(asks):
            # The VM may have granted although its answer was lost.
            turn = Turn(asks=tuple(asks[: number + 1]))
            try:
                verdict = await self._ask_one(vm_id, ask)
            except asyncio.CancelledError:
                self.release(turn, TurnEnd.UNDECIDED)
                raise
            if verdict is TurnVerdict.GONE:
                self._ended_reporters.add(
                    Reporter(vm_id=vm_id, incarnation=ask.incarnation)
                )
            if verdict is not TurnVerdict.GRANTED:
                self.release(turn, TurnEnd.UNDECIDED)
                return verdict
        return TurnVerdict.GRANTED

    async def _ask_one(self, vm_id: VmId, ask: TurnAsk) -> TurnVerdict:
        if vm_id == self.endpoint.vm_id:
            return self.grant_turn(ask).verdict
        try:
            answer: TurnAnswer = await self.endpoint.call(
                to=vm_id, message=ask, timeout=_ASK_TIMEOUT_S
            )
        except PeerTimeoutError:
            return TurnVerdict.BUSY
        return answer.verdict

    async def _send_done(self, vm_id: VmId, done: TurnDone) -> None:
        give_up_at = self.clock.now() + _DONE_LIMIT_S
        while self.clock.now() < give_up_at:
            try:
                await self.endpoint.call(
                    to=vm_id, message=done, timeout=_ASK_TIMEOUT_S
                )
            except PeerTimeoutError:
                await self.clock.sleep(_DONE_PAUSE_S)
            else:
                return

    def _on_done(self, envelope: Envelope) -> TurnDoneAck:
        self.end_turn(envelope.body)
        return TurnDoneAck()

    def _on_cleared(self, envelope: Envelope) -> None:
        self.table.clear(envelope.body.fingerprint)

    def _clear_everywhere(self, fingerprint: bytes) -> None:
        """Clear a suspect here and, without certainty, everywhere.

        A VM that misses the message asks this one and is told.
        """
        self.table.clear(fingerprint)
        for vm_id in self.members.usable_ids():
            if vm_id != self.endpoint.vm_id:
                self.endpoint.send(
                    to=vm_id, message=SuspectCleared(fingerprint=fingerprint)
                )


def busy_refusal() -> RefusalError:
    """Return the refusal of a suspect that got no turn in time."""
    return RefusalError(
        reason=Reason.CRASH_SUSPECT,
        retry_after=_BUSY_RETRY_AFTER_S,
        detail='the request was in flight on an instance that died, and '
        'other such requests run before it',
    )


def quarantine_refusal(clock: Clock, suspect: Suspect) -> RefusalError:
    """Return the refusal of a request that killed two instances."""
    remaining = suspect.last_crash_at + RETENTION_S - clock.now()
    return RefusalError(
        reason=Reason.CRASH_SUSPECT,
        retry_after=max(remaining, 1),
        detail='instances died twice while they ran this request',
    )


def _resource(item: TurnAsk | TurnDone) -> tuple[bytes, str]:
    if item.instance_id:
        return b'', item.instance_id
    return item.fingerprint, ''
