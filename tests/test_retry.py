"""The retry rule and the second attempt of hedged routes."""

import asyncio
from collections.abc import AsyncIterator

import attrs
import pytest
from builders import a_route, an_instance
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.hedging import OpenedAnswer, first_answer
from bronzewall.ports import UpstreamAnswer
from bronzewall.retry import may_retry
from bronzewall.standins.virtual_time import run_virtual

UNKNOWN = (UpstreamBrokenError('x'), UpstreamTimeoutError('x'))
NOT_RUN = (ConnectFailedError('x'), UpstreamShedError('x'))


@given(
    error=st.sampled_from(UNKNOWN + NOT_RUN),
    idempotent=st.booleans(),
    retries=st.integers(0, 3),
    attempts=st.integers(1, 4),
    remaining=st.floats(-1, 10),
)
def test_request_that_may_have_run_is_retried_only_if_idempotent(
    error: UpstreamError,
    idempotent: bool,
    retries: int,
    attempts: int,
    remaining: float,
) -> None:
    """Guards against a second run of a non-idempotent request."""
    allowed = may_retry(
        route=a_route(idempotent=idempotent, retries=retries),
        error=error,
        attempts=attempts,
        remaining=remaining,
    )
    is_safe = idempotent or error in NOT_RUN
    assert allowed == (is_safe and attempts <= retries and remaining > 0)


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """One attempt with a given outcome."""

    delay: float
    error: UpstreamError | None = None
    outcome: str = ''

    async def run(self) -> OpenedAnswer:
        """Wait, then answer or fail."""
        try:
            await asyncio.sleep(self.delay)
        except asyncio.CancelledError:
            self.outcome = 'cancelled'
            raise
        if self.error is not None:
            raise self.error
        self.outcome = 'answered'
        return OpenedAnswer(exchange=self, instance=an_instance())

    @property
    def answer(self) -> UpstreamAnswer:
        """Return an empty answer."""
        return UpstreamAnswer(status=200, headers=(), body=_nothing())

    @answer.setter
    def answer(self, answer: UpstreamAnswer) -> None:
        raise NotImplementedError

    def close(self) -> None:
        """Record the call."""
        self.outcome = 'closed'


async def _nothing() -> AsyncIterator[bytes]:
    yield b''


BROKEN, SHED = UpstreamBrokenError('broken'), UpstreamShedError('shed')


@pytest.mark.parametrize(
    ('first', 'second', 'ends'),
    [
        (Attempt(delay=1), Attempt(delay=9), ('answered', '')),
        (Attempt(delay=9), Attempt(delay=1), ('cancelled', 'answered')),
        (Attempt(delay=4), Attempt(delay=9), ('answered', 'cancelled')),
        (Attempt(delay=3, error=SHED), Attempt(delay=4), ('', 'answered')),
    ],
)
def test_hedge_takes_the_first_answer_and_cancels_the_other(
    first: Attempt, second: Attempt, ends: tuple[str, str]
) -> None:
    """Guards against an attempt that continues after the other answered."""

    async def main() -> None:
        await first_answer(first=first.run(), open_second=second.run, delay=2)

    run_virtual(main())
    assert (first.outcome, second.outcome) == ends


def test_hedge_reports_an_unknown_outcome_over_not_run() -> None:
    """Guards against "not run" when one of two attempts may have run."""

    async def main() -> None:
        await first_answer(
            first=Attempt(delay=3, error=SHED).run(),
            open_second=Attempt(delay=4, error=BROKEN).run,
            delay=2,
        )

    with pytest.raises(UpstreamBrokenError):
        run_virtual(main())


def test_caller_that_disconnects_cancels_both_attempts() -> None:
    """Guards against work for a caller that has disconnected."""
    first, second = Attempt(delay=9), Attempt(delay=9)

    async def main() -> None:
        call = asyncio.create_task(
            first_answer(first=first.run(), open_second=second.run, delay=1)
        )
        await asyncio.sleep(2)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)

    run_virtual(main())
    assert (first.outcome, second.outcome) == ('cancelled', 'cancelled')
