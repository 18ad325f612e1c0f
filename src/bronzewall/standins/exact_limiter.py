"""Counts refusals that one exact token bucket would not have given."""

from collections.abc import Iterable

import attrs


@attrs.frozen(kw_only=True)
class LimitedRequest:
    """One request of an account and what became of it.

    :param at: time of its arrival, seconds.
    :param is_admitted: whether the fleet let it through.
    """

    at: float
    is_admitted: bool


@attrs.frozen(kw_only=True)
class ExactCount:
    """What an exact limiter says of the requests of one account.

    :param owed: requests that it would have admitted.
    :param wrongly_refused: requests that were refused while it had a token.
    :param over_admitted: most requests beyond burst and rate in any window of
        ``window`` seconds.
    """

    owed: int
    wrongly_refused: int
    over_admitted: float


def compare_with_exact(
    requests: Iterable[LimitedRequest],
    *,
    rate: float,
    burst: float,
    window: float,
) -> ExactCount:
    """Compare recorded requests of one account with an exact limiter.

    The limiter's bucket loses a token for each request that was admitted, and
    for each that was refused although a token was left: that token is lost to
    the caller.

    :param rate: requests a second that the account may send.
    :param burst: tokens of its full bucket, which it begins with.
    :param window: length of the windows for ``over_admitted``, seconds.
    """
    ordered = sorted(requests, key=lambda found: found.at)
    level = burst
    last_at = ordered[0].at if ordered else 0
    owed = 0
    wrongly_refused = 0
    for request in ordered:
        level = min(burst, level + rate * (request.at - last_at))
        last_at = request.at
        has_token = level >= 1
        owed += has_token
        wrongly_refused += has_token and not request.is_admitted
        if has_token or request.is_admitted:
            # Requests admitted beyond the rate do not count against later
            # ones: what they took is reported as ``over_admitted``.
            level = max(0, level - 1)
    return ExactCount(
        owed=owed,
        wrongly_refused=wrongly_refused,
        over_admitted=_most_admitted(ordered, window) - burst - rate * window,
    )


def _most_admitted(ordered: list[LimitedRequest], window: float) -> int:
    """Return the most requests that were admitted in any window."""
    times = [request.at for request in ordered if request.is_admitted]
    most = 0
    first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        most = max(most, last - first + 1)
    return most
