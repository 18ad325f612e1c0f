"""Tests of the count of refusals that were owed."""

from bronzewall.standins.exact_limiter import LimitedRequest, compare_with_exact


def test_exact_limiter_counts_what_a_bucket_would_have_admitted() -> None:
    # Guards against counting refusals beyond the rate as wrong ones.
    requests = [
        LimitedRequest(at=0, is_admitted=True),
        LimitedRequest(at=0, is_admitted=False),
        LimitedRequest(at=0, is_admitted=False),
        LimitedRequest(at=1, is_admitted=True),
    ]
    count = compare_with_exact(requests, rate=1, burst=2, window=5)
    assert (count.owed, count.wrongly_refused) == (3, 1)
    assert count.over_admitted == 2 - 2 - 5
