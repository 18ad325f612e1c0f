"""Refusals for invalid requests and for failed attempts."""

from bronzewall.errors import (
    AttemptAbandonedError,
    BodiesTooLargeError,
    BodyTimeoutError,
    BodyTooLargeError,
    ConnectFailedError,
    UpstreamError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.metrics import Metrics
from bronzewall.ports import CallerRequest
from bronzewall.problems import (
    Problem,
    Ran,
    Reason,
    RefusalError,
    problem_document,
)
from bronzewall.types import RequestId

# Retry-After while the bodies in progress leave no room, seconds; another VM
# may have room.
_BODIES_RETRY_AFTER_S = 0.3
# Reasons of errors that are not faults of syntax, by the error's name.
_REASONS_BY_ERROR = {'HeaderTimeout': Reason.HEADER_TIMEOUT}


async def read_whole_body(request: CallerRequest) -> bytes:
    """Return the body of a request.

    :raises RefusalError: it is too large or does not come in time.
    """
    try:
        return await request.read_body()
    except BodyTooLargeError as exc:
        raise RefusalError(reason=Reason.BODY_TOO_LARGE) from exc
    except BodiesTooLargeError as exc:
        raise RefusalError(
            reason=Reason.OVERLOADED,
            retry_after=_BODIES_RETRY_AFTER_S,
            detail=str(exc),
        ) from exc
    except BodyTimeoutError as exc:
        raise RefusalError(reason=Reason.BODY_TIMEOUT) from exc


def refuse_bad_input(
    error: str, *, metrics: Metrics, request_id: RequestId
) -> Problem:
    """Count a request that cannot be parsed and return its refusal.

    :param error: name of the parser's error, or ``HeaderTimeout``.
    """
    reason = _REASONS_BY_ERROR.get(error, Reason.BAD_REQUEST)
    metrics.requests += 1
    metrics.refusals[reason.code] += 1
    metrics.events[f'bad_input_{error}'] += 1
    return problem_document(
        refusal=RefusalError(reason=reason, detail=error),
        request_id=request_id,
    )


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
