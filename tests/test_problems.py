"""Refusals as problem documents."""

import json
import pathlib

import pytest

from bronzewall.problems import Ran, Reason, RefusalError, problem_document
from bronzewall.types import RequestId

_CALLERS_PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'callers.md'


@pytest.mark.parametrize('reason', list(Reason))
def test_callers_page_explains_each_reason(reason: Reason) -> None:
    """Guards against a refusal that callers cannot look up."""
    rows = [
        line
        for line in _CALLERS_PAGE.read_text().splitlines()
        if f'`{reason.code}`' in line and line.startswith('|')
    ]
    assert any(f'| {reason.status} |' in row for row in rows), rows


def test_document_has_the_members_of_the_rfc() -> None:
    """Guards against a document without the members that programs read."""
    problem = problem_document(
        refusal=RefusalError(
            reason=Reason.RATE_EXCEEDED, ran=Ran.NO, retry_after=0.2
        ),
        request_id=RequestId('vm-1-7'),
    )
    document = json.loads(problem.body)
    assert document['status'] == problem.status == 429
    assert (document['reason'], document['ran']) == ('rate_exceeded', 'no')
    assert document['request_id'] == 'vm-1-7'
    # Whole seconds, rounded up, so that a retry does not come too early.
    assert ('Retry-After', '1') in problem.headers
