"""A second attempt beside a slow first one, for idempotent routes."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import attrs

from bronzewall.config_model import Instance, Route, Service
from bronzewall.crash_guard import WatchedAttempt
from bronzewall.dispatch import Dispatcher
from bronzewall.errors import UpstreamError
from bronzewall.evidence import Attempt
from bronzewall.ports import (
    UpstreamAnswer,
    UpstreamExchange,
)
from bronzewall.retry import is_not_run


@attrs.frozen(kw_only=True)
class OpenedAnswer:
    """The start of an answer and the instance that sent it."""

    exchange: UpstreamExchange
    instance: Instance
    attempt: Attempt | None = None
    watched: WatchedAttempt | None = None


@attrs.define(kw_only=True, eq=False)
class ReleasingExchange:
    """An exchange that releases its slot when it is closed."""

    answer: UpstreamAnswer
    exchange: UpstreamExchange
    release: Callable[[], None]

    def close(self) -> None:
        """Close the exchange and release its slot."""
        try:
            self.exchange.close()
        finally:
            self.release()


OpenAttempt = Coroutine[Any, Any, OpenedAnswer]


async def first_answer(
    *,
    first: OpenAttempt,
    open_second: Callable[[], OpenAttempt | None],
    delay: float,
) -> OpenedAnswer:
    """Return the first answer of one or two attempts.

    The other attempt is cancelled, also when the caller cancels both.

    :param open_second: called if there is no answer after the delay;
        ``None`` if no second attempt is allowed.
    :param delay: seconds.
    :raises UpstreamError: all attempts failed; an error with an unknown
        outcome takes precedence over one that proves that the request
        did not run.
    """
    tasks = [asyncio.create_task(first)]
    winner: OpenedAnswer | None = None
    try:
        await asyncio.wait(tasks, timeout=delay)
        second = None if tasks[0].done() else open_second()
        if second is not None:
            tasks.append(asyncio.create_task(second))
        winner = await _first_success(tasks)
    finally:
        await _cancel_losers(tasks, winner)
    return winner


async def open_answer(
    *,
    dispatcher: Dispatcher,
    service: Service,
    route: Route,
    first: OpenAttempt,
    take_second: Callable[[], Instance | None],
    open_second: Callable[[Instance], OpenAttempt],
) -> OpenedAnswer:
    """Return the start of an answer, hedged if the route allows it.

    :param first: the first attempt; its slot is released by the caller.
    :param take_second: acquires an instance for the second attempt;
        ``None`` if none may be used.
    :param open_second: starts the second attempt.
    """

    async def open_with_release(target: Instance) -> OpenedAnswer:
        error: UpstreamError | None = None
        opened: OpenedAnswer | None = None
        try:
            opened = await open_second(target)
        except UpstreamError as exc:
            error = exc
            raise
        finally:
            if opened is None:
                dispatcher.release(target, error=error)
        releasing = ReleasingExchange(
            answer=opened.exchange.answer,
            exchange=opened.exchange,
            release=lambda: dispatcher.release(target),
        )
        return attrs.evolve(opened, exchange=releasing)

    def start_second() -> OpenAttempt | None:
        target = take_second()
        return None if target is None else open_with_release(target)

    if not (route.hedge and route.idempotent):
        return await first
    return await first_answer(
        first=first,
        open_second=start_second,
        delay=dispatcher.hedge_delay(service),
    )


async def _first_success(
    tasks: Sequence['asyncio.Task[OpenedAnswer]'],
) -> OpenedAnswer:
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        answered = [task for task in done if task.exception() is None]
        if answered:
            return answered[0].result()
    errors = [_error_of(task) for task in tasks]
    unknown = [error for error in errors if not _is_not_run(error)]
    raise (unknown or errors)[0]


def _error_of(task: 'asyncio.Task[OpenedAnswer]') -> BaseException:
    error = task.exception()
    assert error is not None
    return error


def _is_not_run(error: BaseException) -> bool:
    return isinstance(error, UpstreamError) and is_not_run(error)


async def _cancel_losers(
    tasks: Sequence['asyncio.Task[OpenedAnswer]'], winner: OpenedAnswer | None
) -> None:
    for task in tasks:
        task.cancel()
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    for outcome in outcomes:
        if isinstance(outcome, OpenedAnswer) and outcome is not winner:
            outcome.exchange.close()
