"""Stops a request that crashes instances after it has crashed two."""

import asyncio
import contextlib
import itertools
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from bronzewall.background import BackgroundTasks
from bronzewall.config_model import Instance
from bronzewall.crash_messages import (
    CrashHistory,
    CrashHistoryAsk,
    CrashReport,
    CrashReportAck,
    TurnEnd,
)
from bronzewall.crash_suspects import SuspectTable
from bronzewall.crash_turns import (
    CrashTurns,
    Turn,
    busy_refusal,
    quarantine_refusal,
)
from bronzewall.errors import (
    AttemptAbandonedError,
    PeerTimeoutError,
    UpstreamBrokenError,
    UpstreamTimeoutError,
)
from bronzewall.membership import Members
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.types import InstanceId, VmId, VmState

# A process that ends closes its connections and its listener at nearly the
# same time; the probe must not run between the two.
_PROBE_DELAY_S = 0.02
# The caller's answer waits until other VMs have received the report, so that
# a retry through any of them is recognised as a suspect; an unreachable VM
# delays the answer by this much at most.
_REPORT_WAIT_S = 0.1
_REPORT_TIMEOUT_S = 0.3
_REPORT_RETRY_LIMIT_S = 30.0
_REPORT_PAUSE_S = 0.2
_FORWARD_COUNT = 3
_HISTORY_RETRY_LIMIT_S = 30.0

# An abandoned request may still crash its instance for this long.
_ABANDONED_WATCH_S = 10.0
# A connection costs an instance about 1 ms, so probes from 40 VMs use less
# than a tenth of one slot.
_ABANDONED_PROBE_INTERVAL_S = 0.5

Prober = Callable[[Instance], Awaitable[bool]]
_ABANDONING_ERRORS = (
    AttemptAbandonedError,
    UpstreamTimeoutError,
    asyncio.CancelledError,
)


@attrs.define(kw_only=True)
class WatchedAttempt:
    """One attempt while it runs.

    :param exclusive_turn: the turn of a suspect; ``None`` if the request is
        not a suspect.
    :param since: clock time of the start or, once abandoned, of the end of
        the wait for an answer.
    :param report: the crash that ended it, if any.
    :param is_answered: the instance answered, so the request did not
        crash it.
    :param is_abandoned: no caller waits for its answer any more.
    """

    instance: Instance
    fingerprint: bytes
    exclusive_turn: Turn | None
    since: float
    report: CrashReport | None = None
    is_answered: bool = False
    is_abandoned: bool = False

    def turn_end(self) -> TurnEnd:
        """Return how the attempt ended."""
        return TurnEnd.SURVIVED if self.is_answered else TurnEnd.UNDECIDED


@attrs.define(kw_only=True, eq=False)
class CrashGuard:
    """Detects crashes of instances and restricts suspect requests.

    A suspect is a request that was in flight on an instance when it
    crashed. It runs only under an exclusive turn, and it is quarantined
    after a second crash.

    :param refuses_connections: probes an instance; true if no connection
        can be opened.
    :param reported: number of crashes that this VM reported.
    """

    clock: Clock
    endpoint: PeerEndpoint
    members: Members
    random: random.Random
    table: SuspectTable
    turns: CrashTurns
    tasks: BackgroundTasks
    refuses_connections: Prober
    reported: int = 0
    _in_flight_by_id: dict[InstanceId, Counter[bytes]] = attrs.field(
        factory=dict
    )
    _abandoned_by_id: dict[InstanceId, list['WatchedAttempt']] = attrs.field(
        factory=dict
    )
    _probes_by_id: dict[InstanceId, asyncio.Task[CrashReport | None]] = (
        attrs.field(factory=dict)
    )
    _suspected_by_id: dict[InstanceId, set[bytes]] = attrs.field(factory=dict)
    _report_numbers: 'itertools.count[int]' = attrs.field(
        factory=itertools.count
    )

    def __attrs_post_init__(self) -> None:
        """Register the handlers of messages from other VMs."""
        self.endpoint.serve(CrashReport, self._on_report)
        self.endpoint.serve(
            CrashHistoryAsk,
            lambda _envelope: CrashHistory(reports=self.table.history()),
        )

    def check(self, fingerprint: bytes) -> None:
        """Refuse a request that crashed two instances.

        :raises RefusalError: the request is quarantined.
        """
        suspect = self.table.find(fingerprint)
        if suspect is not None and suspect.is_quarantined:
            raise quarantine_refusal(self.clock, suspect)

    def was_crashed_by_quarantined(self, instance_id: InstanceId) -> bool:
        """Return whether a quarantined request crashed the instance."""
        return self.table.was_crashed_by_quarantined(instance_id)

    @contextlib.asynccontextmanager
    async def watch_attempt(
        self,
        instance: Instance,
        fingerprint: bytes,
        *,
        deadline: float,
    ) -> AsyncIterator['WatchedAttempt']:
        """Enclose an attempt; a suspect first waits for its turn.

        :param deadline: clock time after which it is not sent.
        :raises RefusalError: the request must not run now.
        """
        exclusive_turn = await self.turns.acquire(
            fingerprint, instance.instance_id, deadline=deadline
        )
        attempt = WatchedAttempt(
            instance=instance,
            fingerprint=fingerprint,
            exclusive_turn=exclusive_turn,
            since=self.clock.now(),
        )
        try:
            yield attempt
        finally:
            if not attempt.is_abandoned:
                self._release_turn(attempt)

    @contextlib.asynccontextmanager
    async def watch_exchange(
        self, attempt: 'WatchedAttempt'
    ) -> AsyncIterator[None]:
        """Enclose one exchange with an instance and look for its crash.

        :raises RefusalError: the request became a suspect while it waited.
        """
        fingerprint = attempt.fingerprint
        if (
            attempt.exclusive_turn is None
            and self.table.find(fingerprint) is not None
        ):
            raise busy_refusal()
        in_flight = self._in_flight_by_id.setdefault(
            attempt.instance.instance_id, Counter()
        )
        in_flight[fingerprint] += 1
        try:
            yield
        except UpstreamBrokenError:
            await self.check_for_crash(attempt)
            raise
        except _ABANDONING_ERRORS:
            # The caller no longer waits, but the request may still run.
            self.abandon(attempt)
            raise
        finally:
            in_flight[fingerprint] -= 1
            if not in_flight[fingerprint]:
                del in_flight[fingerprint]

    async def check_for_crash(self, attempt: 'WatchedAttempt') -> None:
        """Check whether an instance crashed when a connection broke.

        It returns once the crash is reported or ruled out.
        """
        instance_id = attempt.instance.instance_id
        suspected = self._suspected_by_id.setdefault(instance_id, set())
        suspected.update(self._in_flight_by_id.get(instance_id, ()))
        suspected.add(attempt.fingerprint)
        probe = self._probes_by_id.get(instance_id)
        if probe is None:
            probe = asyncio.create_task(self._probe(attempt.instance))
            self._probes_by_id[instance_id] = probe
            self.tasks.add(probe)
        attempt.report = await asyncio.shield(probe)

    async def fetch_history(self) -> None:
        """Fetch crash reports from a peer that precede this start."""
        give_up_at = self.clock.now() + _HISTORY_RETRY_LIMIT_S
        while self.clock.now() < give_up_at:
            peers = self._peers()
            if peers and await self._ask_history(self.random.choice(peers)):
                return
            await self.clock.sleep(_REPORT_PAUSE_S)

    def report_expired_turn(self, fingerprint: bytes) -> None:
        """Report a crash for a run whose turn expired unreleased."""
        self.tasks.add(
            asyncio.create_task(self._report(InstanceId(''), {fingerprint}))
        )

    def abandon(self, attempt: 'WatchedAttempt') -> None:
        """Watch a request whose caller no longer waits; it keeps its turn."""
        if attempt.is_abandoned:
            return
        attempt.is_abandoned = True
        attempt.since = self.clock.now()
        instance_id = attempt.instance.instance_id
        is_watched = instance_id in self._abandoned_by_id
        self._abandoned_by_id.setdefault(instance_id, []).append(attempt)
        if not is_watched:
            self.tasks.start(self._watch_abandoned(attempt.instance))

    async def _ask_history(self, vm_id: VmId) -> bool:
        try:
            history: CrashHistory = await self.endpoint.call(
                to=vm_id, message=CrashHistoryAsk(), timeout=_REPORT_TIMEOUT_S
            )
        except PeerTimeoutError:
            return False
        for report in history.reports:
            self.table.record(report)
        return True

    def _release_turn(self, attempt: 'WatchedAttempt') -> None:
        if attempt.exclusive_turn is not None:
            self.turns.release(
                attempt.exclusive_turn, attempt.turn_end(), attempt.report
            )

    async def _watch_abandoned(self, instance: Instance) -> None:
        """Probe an instance while it may run abandoned requests."""
        abandoned = self._abandoned_by_id[instance.instance_id]
        while abandoned:
            await self.clock.sleep(_ABANDONED_PROBE_INTERVAL_S)
            if await self.refuses_connections(instance):
                await self._report_abandoned(instance.instance_id)
            watched_since = self.clock.now() - _ABANDONED_WATCH_S
            while abandoned and abandoned[0].since < watched_since:
                self._release_turn(abandoned.pop(0))
        del self._abandoned_by_id[instance.instance_id]

    async def _report_abandoned(self, instance_id: InstanceId) -> None:
        """Report the abandoned requests of an instance that crashed."""
        abandoned = self._abandoned_by_id.get(instance_id)
        if not abandoned:
            return
        attempts = tuple(abandoned)
        abandoned.clear()
        report = await self._report(
            instance_id, {attempt.fingerprint for attempt in attempts}
        )
        for attempt in attempts:
            attempt.report = report
            self._release_turn(attempt)

    async def _probe(self, instance: Instance) -> CrashReport | None:
        instance_id = instance.instance_id
        try:
            await self.clock.sleep(_PROBE_DELAY_S)
            has_crashed = await self.refuses_connections(instance)
        finally:
            del self._probes_by_id[instance_id]
            suspected = self._suspected_by_id.pop(instance_id)
        if not has_crashed:
            return None
        return await self._report(instance_id, suspected)

    async def _report(
        self, instance_id: InstanceId, fingerprints: set[bytes]
    ) -> CrashReport:
        report = CrashReport(
            reporter=self.endpoint.vm_id,
            incarnation=self.endpoint.incarnation,
            number=next(self._report_numbers),
            instance_id=instance_id,
            fingerprints=tuple(sorted(fingerprints)),
            age=0,
        )
        self.reported += 1
        self.table.record(report)
        sends = [
            asyncio.create_task(self._send_report(vm_id, report))
            for vm_id in self._peers()
        ]
        for send in sends:
            self.tasks.add(send)
        if sends:
            await asyncio.wait(sends, timeout=_REPORT_WAIT_S)
        return report

    async def _send_report(self, vm_id: VmId, report: CrashReport) -> None:
        started = self.clock.now()
        age = float(0)
        while age < _REPORT_RETRY_LIMIT_S:
            aged = attrs.evolve(report, age=report.age + age)
            try:
                await self.endpoint.call(
                    to=vm_id, message=aged, timeout=_REPORT_TIMEOUT_S
                )
            except PeerTimeoutError:
                await self.clock.sleep(_REPORT_PAUSE_S)
            else:
                return
            age = self.clock.now() - started

    def _on_report(self, envelope: Envelope) -> CrashReportAck:
        report: CrashReport = envelope.body
        if self.table.record(report):
            self.tasks.start(
                self._report_abandoned(InstanceId(report.instance_id))
            )
            # This VM may reach a VM that the reporter cannot reach.
            peers = self._peers()
            for vm_id in self.random.sample(
                peers, min(_FORWARD_COUNT, len(peers))
            ):
                self.endpoint.send(to=vm_id, message=report)
        return CrashReportAck()

    def _peers(self) -> list[VmId]:
        return sorted(
            vm_id
            for vm_id, record in self.members.records_by_id.items()
            if vm_id != self.endpoint.vm_id
            and record.state is not VmState.DESTROYED
        )
