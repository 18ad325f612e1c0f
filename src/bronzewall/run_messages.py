"""Messages between VMs about issued ids."""

import enum

import attrs

from bronzewall.messages import message
from bronzewall.run_outcome import Outcome, RunState


class Verdict(enum.StrEnum):
    """Answer of a coordinator to a request for permission."""

    GRANTED = 'granted'
    IN_PROGRESS = 'in_progress'
    DONE = 'done'
    UNKNOWN = 'unknown'
    REUSED = 'reused'
    INVALID = 'invalid'
    FORGOTTEN = 'forgotten'


@message('run_ask')
@attrs.frozen(kw_only=True)
class RunAsk:
    """Asks the coordinator of an issued id for permission to run.

    :param remaining: seconds until the attempt's deadline.
    """

    run_id: str
    account: str
    route: str
    digest: bytes
    attempt_id: str
    remaining: float


@message('run_answer')
@attrs.frozen(kw_only=True)
class RunAnswer:
    """A coordinator's answer to a request for permission.

    :param retry_after: seconds until a retry may succeed, with
        ``in_progress``.
    :param outcome: the stored outcome, with ``done``.
    """

    verdict: Verdict
    retry_after: float = 0
    outcome: Outcome | None = None


@message('run_report')
@attrs.frozen(kw_only=True)
class RunReport:
    """Reports the final state of a permitted attempt to the coordinator."""

    run_id: str
    attempt_id: str
    state: RunState
    outcome: Outcome | None = None


@message('run_report_ack')
@attrs.frozen(kw_only=True)
class RunReportAck:
    """Confirms a report, so that it is not sent again."""
