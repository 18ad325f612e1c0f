"""One attempt on an upstream instance and its recorded outcome."""

import asyncio
from collections.abc import Callable

from bronzewall.config_model import Instance, Route
from bronzewall.errors import (
    AttemptAbandonedError,
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.evidence import (
    Attempt,
    AttemptOutcome,
    Evidence,
    outcome_of_status,
)
from bronzewall.ports import (
    Clock,
    UpstreamExchange,
    UpstreamHttp,
    UpstreamRequest,
)

_OUTCOMES_BY_ERROR: dict[type[BaseException], AttemptOutcome] = {
    AttemptAbandonedError: AttemptOutcome.TIMED_OUT,
    ConnectFailedError: AttemptOutcome.CONNECT_FAILED,
    UpstreamBrokenError: AttemptOutcome.BROKEN,
    UpstreamShedError: AttemptOutcome.SHED,
    UpstreamTimeoutError: AttemptOutcome.TIMED_OUT,
}


async def observed_exchange(
    *,
    upstreams: UpstreamHttp,
    evidence: Evidence,
    clock: Clock,
    instance: Instance,
    route: Route,
    request: UpstreamRequest,
    fingerprint: bytes | None = None,
) -> tuple[Attempt, UpstreamExchange]:
    """Send a request, await the start of the answer, record the outcome.

    :param fingerprint: see :meth:`Evidence.start`.
    :returns: the attempt, for failures after the start, and the exchange.
    :raises AttemptAbandonedError: the instance became suspect and the
        request may be sent again.
    :raises UpstreamError: as ``UpstreamHttp.exchange``.
    """
    # The timeout is only a way to end the exchange without a task of its
    # own: it gets a deadline once the instance becomes suspect.
    timeout = asyncio.timeout(None)
    attempt = evidence.start(
        instance=instance,
        route=route,
        now=clock.now(),
        fingerprint=fingerprint,
        cancel=_canceller(timeout) if route.idempotent else None,
    )
    # Recorded if the task is cancelled, as when the caller disconnects.
    outcome = AttemptOutcome.CALLER_LEFT
    try:
        upstream = await _abandonable_exchange(timeout, upstreams, request)
    except UpstreamError as exc:
        outcome = _OUTCOMES_BY_ERROR[type(exc)]
        raise
    else:
        outcome = outcome_of_status(upstream.answer.status)
    finally:
        evidence.finish(attempt, outcome, clock.now())
    return attempt, upstream


async def _abandonable_exchange(
    timeout: asyncio.Timeout, upstreams: UpstreamHttp, request: UpstreamRequest
) -> UpstreamExchange:
    try:
        async with timeout:
            return await upstreams.exchange(request)
    except TimeoutError as exc:
        raise AttemptAbandonedError(
            f'instance {request.instance_id} became suspect'
        ) from exc


def _canceller(timeout: asyncio.Timeout) -> Callable[[], None]:
    """Return a function that ends the exchange at once."""

    def cancel() -> None:
        if not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    return cancel
