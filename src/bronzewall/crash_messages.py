"""Messages between VMs about requests that may crash instances."""

import enum

import attrs

from bronzewall.messages import message


class TurnVerdict(enum.StrEnum):
    """Answer to a VM that wants to run a suspect."""

    GRANTED = 'granted'
    BUSY = 'busy'
    QUARANTINED = 'quarantined'
    CLEARED = 'cleared'
    GONE = 'gone'


class TurnEnd(enum.StrEnum):
    """How the run of a suspect ended."""

    SURVIVED = 'survived'
    UNDECIDED = 'undecided'


@message('crash_report')
@attrs.frozen(kw_only=True)
class CrashReport:
    """Fingerprints of the requests in flight on an instance that died.

    :param reporter: the VM that saw the death.
    :param incarnation: start time of the reporter's process, nanoseconds.
    :param number: grows with each report of the incarnation.
    :param age: seconds since the death when this message was sent.
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
    """Asks for the reports of the last 10 min, after a start."""


@message('crash_history')
@attrs.frozen(kw_only=True)
class CrashHistory:
    """Reports that are still remembered."""

    reports: tuple[CrashReport, ...]


@message('turn_ask')
@attrs.frozen(kw_only=True)
class TurnAsk:
    """Asks for the exclusive turn of a fingerprint or of an instance.

    :param instance_id: instance that shall run no other suspect, or ``''``
        for the turn of the fingerprint.
    :param incarnation: start time of the reporter's process that is asked
        for a fingerprint, nanoseconds; 0 for an instance.
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
    """Answer to a request for a turn."""

    verdict: TurnVerdict


@message('turn_done')
@attrs.frozen(kw_only=True)
class TurnDone:
    """Gives a turn back.

    :param report: report of the death in which the run ended. It comes
        with the end, so that the turn is not free before the death is
        known.
    """

    fingerprint: bytes
    instance_id: str
    attempt_id: str
    end: TurnEnd
    report: CrashReport | None = None


@message('turn_done_ack')
@attrs.frozen(kw_only=True)
class TurnDoneAck:
    """Confirms the end of a turn."""


@message('suspect_cleared')
@attrs.frozen(kw_only=True)
class SuspectCleared:
    """A suspect was answered, so it is not the cause of the death."""

    fingerprint: bytes
