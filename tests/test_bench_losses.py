"""Tests of the account of what a day's worth was lost to."""

from typing import Any

import pytest

from bench.losses import compare, describe, read_losses


def a_report(**changes: Any) -> dict[str, Any]:
    """Return a report of a day with one kind of request."""
    row = {
        'name': 'draft-view',
        'n': 100,
        'refused': 4,
        'failed': 2,
        'late': 1,
        'worth': 0.93,
    }
    report = {
        'G': 0.7,
        'parts': [['whole day', 0.5, 0.9], ['nines', 0.5, 0.6]],
        'prices': [['machines', 10, 0.05], ['probes', 0, 0.0002]],
        'unserved_by': [
            ['429', 4, ['...']],
            ['500 from a server', 1, ['...']],
            ['504 from a server', 1, ['...']],
        ],
        'classes': [row, {**row, 'name': 'unused', 'worth': None}],
        'zones': [],
        'windows': [],
    }
    return {**report, **changes}


def test_parts_and_causes_are_kept_apart() -> None:
    # A weak part of the score must not be taken for a price, nor an
    # instance's failure for a refusal.
    losses = read_losses(a_report())
    assert losses.by_part == pytest.approx({'whole day': 0.05, 'nines': 0.2})
    assert losses.by_price['machines'] == 0.05
    assert losses.by_cause == {
        'account over its rate': 4,
        'an instance failed it': 2,
    }
    rows = losses.rows_by_group['kind of request']
    assert [(row.name, row.lost) for row in rows] == [('draft-view', 7)]


def test_account_names_the_largest_loss_first() -> None:
    lines = list(describe(read_losses(a_report())))
    assert lines[0] == 'worth 0.700'
    assert 'nines' in lines[1]
    assert any('4 not served: account over its rate' in one for one in lines)


def test_pair_shows_causes_of_either_report() -> None:
    after = a_report(unserved_by=[['502', 3, ['...']]])
    lines = list(compare(read_losses(a_report()), read_losses(after)))
    assert any(
        line.startswith('connection to an instance broke')
        and line.endswith('3')
        for line in lines
    )
    assert any(line.startswith('account over its rate') for line in lines)
