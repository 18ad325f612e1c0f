"""Breaks the worth of a fleetbench report down into losses and costs."""

import argparse
import json
import pathlib
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import attrs

# Costs below this fraction of the maximum worth are summed up in one line.
_MIN_LISTED_COST = 0.001
_WORST_ROW_COUNT = 3
_FROM_INSTANCE = 'from a server'
_CAUSES_BY_STATUS = {
    '401': 'key not known',
    '408': 'request not received in time',
    '429': 'account over its rate',
    '500': 'internal error',
    '502': 'connection to an instance broke',
    '503': 'no instance could take it',
    '504': 'no answer in time',
}


@attrs.frozen(kw_only=True)
class Row:
    """Outcomes of the requests of one class, zone or time window.

    :param lost: requests refused, failed or answered late.
    :param earned: fraction of the attainable worth, 0 to 1.
    """

    name: str
    requests: int
    refused: int
    failed: int
    late: int
    earned: float

    @property
    def lost(self) -> int:
        """Number of requests that did not earn their full worth."""
        return self.refused + self.failed + self.late


@attrs.frozen(kw_only=True)
class Losses:
    """Worth of one day and what it was lost to.

    :param worth: total worth of the day, at most 1.
    :param by_part: worth lost by part of the score.
    :param by_price: worth deducted by kind of cost, such as machines.
    :param by_cause: unserved requests by how their last attempt ended.
    """

    worth: float
    by_part: Mapping[str, float]
    by_price: Mapping[str, float]
    by_cause: Mapping[str, int]
    rows_by_group: Mapping[str, Sequence[Row]]


def read_losses(report: Mapping[str, Any]) -> Losses:
    """Return the losses of one report.

    :param report: what ``fleetbench run --report`` writes.
    """
    by_cause: Counter[str] = Counter()
    for ending, count, _example in report['unserved_by']:
        by_cause[_cause(ending)] += count
    return Losses(
        worth=report['G'],
        by_part={
            name: weight * (1 - earned)
            for name, weight, earned in report['parts']
        },
        by_price={
            name: fraction for name, _amount, fraction in report['prices']
        },
        by_cause=by_cause,
        rows_by_group={
            'kind of request': _rows(report['classes']),
            'zone': _rows(report['zones']),
            'second': _rows(report['windows']),
        },
    )


def describe(losses: Losses) -> Iterator[str]:
    """Return the lines that describe the losses of one report."""
    yield f'worth {losses.worth:.3f}'
    yield from _format_amounts('lost in', losses.by_part)
    small = sum(
        fraction
        for fraction in losses.by_price.values()
        if fraction < _MIN_LISTED_COST
    )
    large = {
        name: fraction
        for name, fraction in losses.by_price.items()
        if fraction >= _MIN_LISTED_COST
    }
    yield from _format_amounts('paid for', {**large, 'all else': small})
    for cause, count in sorted(
        losses.by_cause.items(), key=lambda item: -item[1]
    ):
        yield f'  {count:5d} not served: {cause}'
    for group, rows in losses.rows_by_group.items():
        for row in sorted(rows, key=lambda row: row.earned)[:_WORST_ROW_COUNT]:
            yield (
                f'  worst {group} {row.name}: {row.earned:.3f} earned,'
                f' of {row.requests} refused {row.refused},'
                f' failed {row.failed}, late {row.late}'
            )


def compare(before: Losses, after: Losses) -> Iterator[str]:
    """Return the lines that compare the losses of two reports."""
    yield _format_pair('worth', before.worth, after.worth)
    for title, first, second in (
        ('lost in', before.by_part, after.by_part),
        ('paid for', before.by_price, after.by_price),
    ):
        for name in sorted({*first, *second}):
            pair = first.get(name, 0), second.get(name, 0)
            if max(pair) >= _MIN_LISTED_COST:
                yield _format_pair(f'{title} {name}', *pair)
    for cause in sorted({*before.by_cause, *after.by_cause}):
        counts = before.by_cause.get(cause, 0), after.by_cause.get(cause, 0)
        yield f'{cause:40} {counts[0]:8d} {counts[1]:8d}'


def main() -> None:
    """Print the losses of one report, or compare two reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('report', type=pathlib.Path)
    parser.add_argument('--after', type=pathlib.Path, default=None)
    arguments = parser.parse_args()
    losses = read_losses(json.loads(arguments.report.read_text()))
    lines = describe(losses)
    if arguments.after is not None:
        after = read_losses(json.loads(arguments.after.read_text()))
        lines = compare(losses, after)
    print('\n'.join(lines))  # noqa: T201, WPS421


def _cause(ending: str) -> str:
    if _FROM_INSTANCE in ending:
        return 'an instance failed it'
    return _CAUSES_BY_STATUS.get(ending, f'other: {ending}')


def _rows(groups: Sequence[Mapping[str, Any]]) -> tuple[Row, ...]:
    return tuple(
        Row(
            name=group['name'],
            requests=group['n'],
            refused=group['refused'],
            failed=group['failed'],
            late=group['late'],
            earned=group['worth'],
        )
        for group in groups
        if group['worth'] is not None
    )


def _format_amounts(title: str, by_name: Mapping[str, float]) -> Iterator[str]:
    for name, fraction in sorted(by_name.items(), key=lambda item: -item[1]):
        if fraction:
            yield f'  {fraction:.4f} {title} {name}'


def _format_pair(name: str, before: float, after: float) -> str:
    return f'{name:40} {before:8.4f} {after:8.4f}'


if __name__ == '__main__':
    main()
