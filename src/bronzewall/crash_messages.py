"""Messages between VMs about requests that may crash instances."""

import enum

import attrs

from bronzewall.messages import message


class TurnVerdict(enum.StrEnum):
    """Answer to a request for a turn.

    A suspect is a request that was in flight on an instance when it
    crashed. It runs only with a turn, an exclusive permission that expires.

    ``busy``: the turn is not available now. ``quarantined``: the request
    must not run, because it was in flight at two crashes. ``cleared``:
    the request is no suspect. ``gone``: the process that reported the crash
    has ended.
    """

    GRANTED = 'granted'
    BUSY = 'busy'
    QUARANTINED = 'quarantined'
    CLEARED = 'cleared'
    GONE = 'gone'


class TurnEnd(enum.StrEnum):
    """How the run of a suspect ended.

    ``survived``: the instance answered. ``undecided``: all other cases,
    also that of a run that did not start.
    """

    SURVIVED = 'survived'
    UNDECIDED = 'undecided'


@message('crash_report')
@attrs.frozen(kw_only=True)
class CrashReport:
    """Fingerprints of the requests in flight on an instance that crashed.

    :param reporter: the VM that detected the crash.
    :param incarnation: start time of the reporter's process, nanoseconds.
    :param number: increases with each report of the incarnation.
    :param instance_id: the instance, or ``''`` where a turn expired without
        a release.
    :param fingerprints: digests by which repeated requests are recognised.
    :param age: seconds since the crash when this message was sent.
    """

    reporter: str
    incarnation: int
    number: int
    instance_id: str
    fingerprints: tuple[bytes, ...]
    age: float


@message('crash_report_ack')
@attrs.frozen(kw_only=True)
class CrashReportAck:
    """Confirms a report."""


@message('crash_history_ask')
@attrs.frozen(kw_only=True)
class CrashHistoryAsk:
    """Asks a peer for its reports of the last 10 min; sent after a start."""


@message('crash_history')
@attrs.frozen(kw_only=True)
class CrashHistory:
    """The crash reports that a VM still keeps."""

    reports: tuple[CrashReport, ...]


@message('turn_ask')
@attrs.frozen(kw_only=True)
class TurnAsk:
    """Asks for the exclusive turn of a fingerprint or of an instance.

    :param incarnation: start time of the asked reporter's process,
        nanoseconds, for a fingerprint; 0 for an instance.
    :param instance_id: instance that must run no other suspect, or ``''``
        for the turn of the fingerprint.
    :param remaining: seconds until the attempt's deadline.
    """

    fingerprint: bytes
    incarnation: int
    instance_id: str
    attempt_id: str
    remaining: float


@message('turn_answer')
@attrs.frozen(kw_only=True)
class TurnAnswer:
    """Carries the answer to a request for a turn."""

    verdict: TurnVerdict


@message('turn_done')
@attrs.frozen(kw_only=True)
class TurnDone:
    """Releases a turn.

    :param report: report of the crash that ended the run. It is part of
        this message, so that the turn is not available before the crash is
        recorded.
    """

    fingerprint: bytes
    instance_id: str
    attempt_id: str
    end: TurnEnd
    report: CrashReport | None = None


@message('turn_done_ack')
@attrs.frozen(kw_only=True)
class TurnDoneAck:
    """Confirms the release of a turn."""


@message('suspect_cleared')
@attrs.frozen(kw_only=True)
class SuspectCleared:
    """Reports that a suspect was answered and did not cause the crash."""

    fingerprint: bytes
