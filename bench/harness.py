"""Command line and target checks shared by the benches."""

import argparse
import json
import sys
from collections.abc import Callable, Mapping
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Target:
    """One bound on a figure of a bench.

    :param figure: dotted name of the figure in the report.
    :param at_most: upper bound, or ``None``.
    :param at_least: lower bound, or ``None``.
    """

    figure: str
    at_most: float | None = None
    at_least: float | None = None

    def is_met(self, report: Mapping[str, Any]) -> bool:
        """Return whether the figure in a report is within the bounds."""
        found: Any = report
        for part in self.figure.split('.'):
            found = found[part]
        if self.at_most is not None and found > self.at_most:
            return False
        return self.at_least is None or found >= self.at_least


def run_bench(
    *,
    name: str,
    measure: Callable[[int], dict[str, Any]],
    targets: tuple[Target, ...],
) -> None:
    """Parse the flags, measure, print the report and exit.

    The last line is one JSON object; exit code 1 means that a target was
    missed.
    """
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    arguments = parser.parse_args()
    report = {'bench': name, 'seed': arguments.seed}
    report.update(measure(arguments.seed))
    missed = [target.figure for target in targets if not target.is_met(report)]
    report['missed'] = missed
    indent = None if arguments.json else 2
    sys.stdout.write(f'{json.dumps(report, indent=indent)}\n')
    sys.exit(1 if missed else 0)
