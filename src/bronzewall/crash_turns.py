"""Exclusive turns: a suspect request runs on one instance at a time."""

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
# A suspect is refused if it gets no turn within this time.
_MAX_WAIT_S = 2.0
_BUSY_RETRY_AFTER_S = 2.0
_RELEASE_RETRY_LIMIT_S = 30.0
_RELEASE_RETRY_PAUSE_S = 0.5
# Number of ended turns kept, so that late duplicates of requests for them are
# recognised.
_MAX_ENDED_TURNS = 10_000
# Covers the watch of an abandoned run and the delivery of the messages.
_TURN_MARGIN_S = 15.0
# A reporter whose process has ended cannot grant turns. After this time its
# last grant has expired, so it is no longer asked.
_ENDED_REPORTER_S = 60.0


def _ignore_expired_turn(_fingerprint: bytes) -> None:
    """Do nothing; the default until the crash guard is connected."""


@attrs.frozen(kw_only=True)
class _Holder:
    attempt_id: str
    expires_at: float


@attrs.frozen(kw_only=True)
class Turn:
    """The turns held by one attempt.

    :param asks: VMs that granted a turn, each with the request for it.
    """

    asks: tuple[tuple[VmId, TurnAsk], ...]


@attrs.define(kw_only=True, eq=False)
class CrashTurns:
    """Grants turns to other VMs and acquires them for this VM.

    A turn is a lease: an exclusive permission to run a suspect request
    that expires unless it is released in time. A run needs the turn of the
    fingerprint and the turn of the instance. Every VM that reported a crash
    of the fingerprint grants the former, because the reports name those
    VMs and no view of the members is needed. The coordinator of the
    instance grants the latter, so that two suspects never run on one
    instance and a crash is attributed only to the request that causes it.

    :param has_ended: whether a process of a VM is known to have ended.
    :param on_expired_turn: called with a fingerprint whose turn expired
        without a release; its run may have caused an undetected crash.
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
        """Register the handlers of messages from other VMs."""
        self.endpoint.serve(
            TurnAsk, lambda envelope: self.grant_turn(envelope.body)
        )
        self.endpoint.serve(TurnDone, self._on_release)
        self.endpoint.serve(SuspectCleared, self._on_cleared)

    async def acquire(
        self, fingerprint: bytes, instance_id: InstanceId, *, deadline: float
    ) -> Turn | None:
        """Acquire the turns of a fingerprint and of an instance.

        :param deadline: clock time after which the request is not sent.
        :returns: ``None`` if the request is not a suspect.
        :raises RefusalError: the request must not run now.
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
            verdict = await self._request_all(asks)
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
        """Release the turns of an attempt.

        :param report: the crash that ended the run, if any.
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
                self.tasks.start(self._send_release(vm_id, done))

    def grant_turn(self, ask: TurnAsk) -> TurnAnswer:
        """Grant a turn to another attempt, or return why not."""
        verdict = self._evaluate(ask)
        if verdict is TurnVerdict.GRANTED:
            self._holders[_resource(ask)] = _Holder(
                attempt_id=ask.attempt_id,
                expires_at=self.clock.now() + ask.remaining + _TURN_MARGIN_S,
            )
        return TurnAnswer(verdict=verdict)

    def end_turn(self, done: TurnDone) -> None:
        """Record that an attempt has released a turn granted here."""
        if done.report is not None:
            self.table.record(done.report)
        resource = _resource(done)
        self._ended_attempts[*resource, done.attempt_id] = None
        if len(self._ended_attempts) > _MAX_ENDED_TURNS:
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
                # The grants of an earlier process are not known here.
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
        # Every round of requests has its own id, so that a delayed release
        # of one round never ends the turn of the next.
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
                (
                    reporter.vm_id,
                    attrs.evolve(ask, incarnation=reporter.incarnation),
                )
                for reporter in reporters
                if not self._grants_have_expired(suspect, reporter)
            ),
        ]

    def _grants_have_expired(
        self, suspect: Suspect, reporter: Reporter
    ) -> bool:
        """Return whether every turn that a reporter granted has expired."""
        has_ended = reporter in self._ended_reporters or self.has_ended(
            reporter.vm_id, reporter.incarnation
        )
        age = self.clock.now() - suspect.last_crash_at
        return has_ended and age > _ENDED_REPORTER_S

    async def _request_all(
        self, asks: list[tuple[VmId, TurnAsk]]
    ) -> TurnVerdict:
        """Request turns one VM at a time; release all unless all grant."""
        for number, (vm_id, ask) in enumerate(asks):
            # The VM may have granted the turn although its answer was lost.
            turn = Turn(asks=tuple(asks[: number + 1]))
            try:
                verdict = await self._request_one(vm_id, ask)
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

    async def _request_one(self, vm_id: VmId, ask: TurnAsk) -> TurnVerdict:
        if vm_id == self.endpoint.vm_id:
            return self.grant_turn(ask).verdict
        try:
            answer: TurnAnswer = await self.endpoint.call(
                to=vm_id, message=ask, timeout=_ASK_TIMEOUT_S
            )
        except PeerTimeoutError:
            return TurnVerdict.BUSY
        return answer.verdict

    async def _send_release(self, vm_id: VmId, done: TurnDone) -> None:
        give_up_at = self.clock.now() + _RELEASE_RETRY_LIMIT_S
        while self.clock.now() < give_up_at:
            try:
                await self.endpoint.call(
                    to=vm_id, message=done, timeout=_ASK_TIMEOUT_S
                )
            except PeerTimeoutError:
                await self.clock.sleep(_RELEASE_RETRY_PAUSE_S)
            else:
                return

    def _on_release(self, envelope: Envelope) -> TurnDoneAck:
        self.end_turn(envelope.body)
        return TurnDoneAck()

    def _on_cleared(self, envelope: Envelope) -> None:
        self.table.clear(envelope.body.fingerprint)

    def _clear_everywhere(self, fingerprint: bytes) -> None:
        """Clear a suspect here and notify the other VMs once, unconfirmed.

        A VM that misses the message is answered ``cleared`` when it
        requests a turn from this VM.
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
        detail='the request was in flight on an instance that crashed, '
        'and other such requests run before it',
    )


def quarantine_refusal(clock: Clock, suspect: Suspect) -> RefusalError:
    """Return the refusal of a request that crashed two instances."""
    remaining = suspect.last_crash_at + RETENTION_S - clock.now()
    return RefusalError(
        reason=Reason.CRASH_SUSPECT,
        retry_after=max(remaining, 1),
        detail='instances crashed twice while they ran this request',
    )


def _resource(item: TurnAsk | TurnDone) -> tuple[bytes, str]:
    if item.instance_id:
        return b'', item.instance_id
    return item.fingerprint, ''
