"""Fingerprints of requests that were in flight when an instance crashed."""

import hashlib

import attrs

from bronzewall.crash_messages import CrashReport
from bronzewall.ports import Clock
from bronzewall.types import AccountId, InstanceId, RouteId, VmId

RETENTION_S = 600.0
CRASHES_TO_QUARANTINE = 2
_MAX_SUSPECTS = 20_000
# The history takes about 100 KB with a few fingerprints in each report.
_MAX_HISTORY_REPORTS = 500
_FINGERPRINT_BYTES = 16
# Reports of one instance within this time describe the same crash: VMs detect
# a crash at nearly the same time, and an instance takes longer than this to
# restart.
_SAME_CRASH_S = 2.0


def request_fingerprint(
    *,
    account_id: AccountId | None,
    route_id: RouteId,
    target: str,
    body: bytes,
) -> bytes:
    """Return a digest by which a repeated request is recognised."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    head = f'{account_id or ""}\0{route_id}\0{target}\0'
    digest.update(head.encode())
    digest.update(body)
    return digest.digest()


@attrs.frozen(kw_only=True)
class Reporter:
    """A process that reported a crash and grants turns to its suspects."""

    vm_id: VmId
    incarnation: int


@attrs.frozen(kw_only=True)
class Crash:
    """One crash of an instance.

    :param crashed_at: clock time of this VM.
    """

    instance_id: InstanceId
    crashed_at: float


@attrs.frozen(kw_only=True)
class ReceivedReport:
    """A report and the clock time at which it arrived."""

    report: CrashReport
    received_at: float


@attrs.define(kw_only=True)
class Suspect:
    """Crashes of one fingerprint and the processes that reported them."""

    crashes: list[Crash] = attrs.field(factory=list)
    reporters: set[Reporter] = attrs.field(factory=set)

    @property
    def is_quarantined(self) -> bool:
        """Whether every VM refuses it."""
        return len(self.crashes) >= CRASHES_TO_QUARANTINE

    @property
    def last_crash_at(self) -> float:
        """Clock time of the last crash."""
        return max(crash.crashed_at for crash in self.crashes)

    def add_crash(self, crash: Crash) -> None:
        """Add a crash unless it is already known from another report."""
        for known in self.crashes:
            is_same_time = (
                abs(known.crashed_at - crash.crashed_at) < _SAME_CRASH_S
            )
            if is_same_time and known.instance_id == crash.instance_id:
                return
        self.crashes.append(crash)


@attrs.define(kw_only=True)
class SuspectTable:
    """Suspects known to this VM, removed 10 min after their last crash."""

    clock: Clock
    suspects_by_fingerprint: dict[bytes, Suspect] = attrs.field(factory=dict)
    _received_by_id: dict[tuple[Reporter, int], ReceivedReport] = attrs.field(
        factory=dict
    )

    def find(self, fingerprint: bytes) -> Suspect | None:
        """Return the suspect of a fingerprint, if any."""
        suspect = self.suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return None
        if self.clock.now() - suspect.last_crash_at > RETENTION_S:
            del self.suspects_by_fingerprint[fingerprint]
            return None
        return suspect

    def record(self, report: CrashReport) -> bool:
        """Record a report and return whether it is new."""
        reporter = Reporter(
            vm_id=VmId(report.reporter), incarnation=report.incarnation
        )
        now = self.clock.now()
        report_id = (reporter, report.number)
        if report_id in self._received_by_id:
            return False
        self._remove_old()
        self._received_by_id[report_id] = ReceivedReport(
            report=report, received_at=now
        )
        crash = Crash(
            instance_id=InstanceId(report.instance_id),
            crashed_at=now - report.age,
        )
        for fingerprint in report.fingerprints:
            suspect = self.suspects_by_fingerprint.setdefault(
                fingerprint, Suspect()
            )
            suspect.add_crash(crash)
            suspect.reporters.add(reporter)
        return True

    def history(self) -> tuple[CrashReport, ...]:
        """Return the newest reports with their ages updated to now."""
        now = self.clock.now()
        newest = list(self._received_by_id.values())[-_MAX_HISTORY_REPORTS:]
        return tuple(
            attrs.evolve(
                received.report,
                age=received.report.age + now - received.received_at,
            )
            for received in newest
        )

    def clear(self, fingerprint: bytes) -> None:
        """Remove a suspect that was answered, unless it is quarantined."""
        suspect = self.suspects_by_fingerprint.get(fingerprint)
        if suspect is not None and not suspect.is_quarantined:
            del self.suspects_by_fingerprint[fingerprint]

    def was_crashed_by_quarantined(self, instance_id: InstanceId) -> bool:
        """Return whether a quarantined request crashed the instance."""
        retained_since = self.clock.now() - RETENTION_S
        return any(
            crash.instance_id == instance_id
            and crash.crashed_at >= retained_since
            for suspect in self.suspects_by_fingerprint.values()
            if suspect.is_quarantined
            for crash in suspect.crashes
        )

    def _remove_old(self) -> None:
        now = self.clock.now()
        self._received_by_id = {
            report_id: received
            for report_id, received in self._received_by_id.items()
            if now - received.received_at <= RETENTION_S
        }
        by_age = sorted(
            self.suspects_by_fingerprint.items(),
            key=lambda item: (item[1].is_quarantined, item[1].last_crash_at),
        )
        surplus = max(len(by_age) - _MAX_SUSPECTS, 0)
        for number, (fingerprint, suspect) in enumerate(by_age):
            is_old = now - suspect.last_crash_at > RETENTION_S
            if is_old or number < surplus:
                del self.suspects_by_fingerprint[fingerprint]
