"""Refusals that follow from failed exchanges with upstreams."""

from bronzewall.errors import (
    AttemptAbandonedError,
    ConnectFailedError,
    UpstreamError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.problems import Ran, Reason, RefusalError


def refusal_of(exc: UpstreamError) -> RefusalError:
    """Return the refusal for a failed attempt that is not repeated."""
    detail = str(exc)
    if isinstance(exc, UpstreamShedError):
        return RefusalError(
            reason=Reason.OVERLOADED, retry_after=1, detail=detail
        )
    if isinstance(exc, ConnectFailedError):
        return RefusalError(
            reason=Reason.NO_INSTANCE, retry_after=1, detail=detail
        )
    reason = Reason.ANSWER_LOST
    if isinstance(exc, UpstreamTimeoutError | AttemptAbandonedError):
        reason = Reason.UPSTREAM_TIMEOUT
    return RefusalError(reason=reason, ran=Ran.UNKNOWN, detail=detail)
