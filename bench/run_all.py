"""Runs every bench and writes one JSON file and one HTML page."""

import argparse
import json
import pathlib
import subprocess
import sys
from typing import Any

import report_page

_BENCHES = (
    'limits',
    'once',
    'config',
    'detection',
    'overload',
    'recovery',
    'slopes',
    'overhead',
)
_TIMEOUT_S = 300


def _run(name: str, seed: int) -> dict[str, Any]:
    """Return the report of one bench, or the reason why there is none."""
    script = pathlib.Path(__file__).with_name(f'{name}.py')
    try:
        finished = subprocess.run(
            [sys.executable, str(script), '--json', '--seed', str(seed)],
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return {'bench': name, 'error': f'no result in {_TIMEOUT_S} s'}
    lines = finished.stdout.strip().splitlines()
    try:
        return dict(json.loads(lines[-1]))
    except (IndexError, json.JSONDecodeError):
        return {'bench': name, 'error': finished.stderr[-2000:]}


def main() -> None:
    """Run the benches one after the other; exit 1 if a target is missed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--out', type=pathlib.Path, default='bench-report')
    parser.add_argument('names', nargs='*', default=_BENCHES)
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    reports_by_name: dict[str, dict[str, Any]] = {}
    for name in arguments.names:
        report = _run(name, arguments.seed)
        reports_by_name[name] = report
        verdict = report.get('error') or report['missed'] or 'targets met'
        sys.stdout.write(f'{name}: {verdict}\n')
    (arguments.out / 'report.json').write_text(
        json.dumps(reports_by_name, indent=2)
    )
    page = report_page.render(reports_by_name)
    (arguments.out / 'report.html').write_text(page)
    sys.stdout.write(f'report written to {arguments.out}/report.html\n')
    has_failed = any(
        report.get('error') or report['missed']
        for report in reports_by_name.values()
    )
    sys.exit(1 if has_failed else 0)


if __name__ == '__main__':
    main()
