"""HTML page with figures and plots of all bench reports."""

import html
import io
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import matplotlib

matplotlib.use('svg')

from matplotlib import pyplot  # noqa: E402

Report = Mapping[str, Any]
_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>bronzewall bench</title>
<style>
body {{ font: 15px/1.5 sans-serif; max-width: 60rem; margin: 2rem auto;
  padding: 0 1rem; color: #222; }}
table {{ border-collapse: collapse; margin: 1rem 0; }}
td, th {{ border: 1px solid #ccc; padding: .2rem .6rem; text-align: left; }}
.missed {{ color: #a00; font-weight: bold; }} .held {{ color: #060; }}
svg {{ max-width: 100%; height: auto; }}
</style></head><body><h1>bronzewall bench report</h1>
{body}</body></html>
"""
_DETECTION_TARGETS_S = {
    'hang': 1.0,
    'slow': 2.0,
    'partial': 3.0,
    'resets': 1.0,
    'flapping': 3.0,
}


def render(reports_by_name: Mapping[str, Report]) -> str:
    """Return the page of the reports by bench name."""
    parts = []
    for name, report in reports_by_name.items():
        parts.append(f'<h2>{html.escape(name)}</h2>')
        parts.append(_verdict(report))
        plot = _PLOTS_BY_BENCH.get(name)
        if plot is not None and 'error' not in report:
            parts.append(_svg(plot, report))
        parts.append(_table(report))
    return _PAGE.format(body='\n'.join(parts))


def _verdict(report: Report) -> str:
    if 'error' in report:
        text = html.escape(str(report['error']))
        return f'<pre class="missed">{text}</pre>'
    if report['missed']:
        names = html.escape(', '.join(report['missed']))
        return f'<p class="missed">targets missed: {names}</p>'
    return '<p class="held">all targets met</p>'


def _table(report: Report) -> str:
    rows = ''.join(
        f'<tr><td>{html.escape(name)}</td><td>{html.escape(text)}</td></tr>'
        for name, text in _flatten(report)
    )
    return f'<table><tr><th>figure</th><th>value</th></tr>{rows}</table>'


def _flatten(report: Report, prefix: str = '') -> Iterator[tuple[str, str]]:
    for name, found in report.items():
        if isinstance(found, Mapping):
            yield from _flatten(found, f'{prefix}{name}.')
        elif not isinstance(found, list):
            yield f'{prefix}{name}', str(found)


def _svg(plot: Callable[[Any, Report], None], report: Report) -> str:
    figure, axes = pyplot.subplots(figsize=(8, 3.5), layout='constrained')
    plot(axes, report)
    buffer = io.StringIO()
    figure.savefig(buffer, format='svg')
    pyplot.close(figure)
    text = buffer.getvalue()
    return text[text.index('<svg') :]


def _bars(axes: Any, names: Iterable[str], **heights: Iterable[float]) -> None:
    names = list(names)
    width = 0.8 / len(heights)
    for number, (label, values) in enumerate(heights.items()):
        offsets = [position + number * width for position in range(len(names))]
        axes.bar(offsets, list(values), width, label=label)
    middle = width * (len(heights) - 1) / 2
    axes.set_xticks(
        [position + middle for position in range(len(names))], names
    )
    axes.legend()


def _plot_detection(axes: Any, report: Report) -> None:
    faults = _faults(report)
    _bars(
        axes,
        faults,
        p50=[fault['detected_p50_s'] for fault in faults.values()],
        p99=[fault['detected_p99_s'] for fault in faults.values()],
        target=[_DETECTION_TARGETS_S.get(name, 0) for name in faults],
    )
    axes.set_ylabel('seconds until 95 % of VMs avoid it')
    axes.set_title('Time to detect by fault')


def _faults(report: Report) -> Mapping[str, Report]:
    if 'faults' in report:
        return report['faults']
    first = next(iter(report['deployments'].values()))
    return first['faults']


def _plot_overload(axes: Any, report: Report) -> None:
    variants = {'shares and queue': report['levels']}
    variants['baseline'] = report['baseline']
    for name, levels in variants.items():
        axes.plot(
            [float(level.rstrip('x')) for level in levels],
            [found['goodput_of_capacity'] for found in levels.values()],
            marker='o',
            label=name,
        )
    axes.legend()
    axes.set_xlabel('demand, multiples of capacity')
    axes.set_ylabel('good answers, share of capacity')
    axes.set_title('Goodput by demand')


def _plot_limits(axes: Any, report: Report) -> None:
    variants = {'regional pools': report, **report['baselines']}
    shares = [variant['wrongly_refused_share'] for variant in variants.values()]
    _bars(
        axes,
        variants,
        calm=[share['calm'] for share in shares],
        faults=[share['faults'] for share in shares],
    )
    axes.set_yscale('log')
    axes.set_ylabel('share refused wrongly')
    axes.set_title('Requests refused although within the rate')


def _plot_config(axes: Any, report: Report) -> None:
    _bars(
        axes,
        ('p50', 'p99', 'max'),
        handed_over=[
            report[f'in_force_{name}_s'] for name in ('p50', 'p99', 'max')
        ],
        by_readers=[
            report[f'in_force_by_readers_{name}_s']
            for name in ('p50', 'p99', 'max')
        ],
    )
    axes.set_ylabel('seconds')
    axes.set_title('Time until a generation is in force')


def _plot_overhead(axes: Any, report: Report) -> None:
    cpu = report['cpu_us_per_request']
    axes.bar(list(cpu), list(cpu.values()))
    axes.set_ylabel('CPU, microseconds per request')
    axes.set_title('CPU by path')


def _plot_slopes(axes: Any, report: Report) -> None:
    shares = report['share_of_budget_at_two_years']
    axes.barh(list(shares), list(shares.values()))
    axes.axvline(1, color='red', label='budget')
    axes.set_xlabel('share of the budget')
    axes.set_title('Cost of one daemon at the size expected in two years')
    axes.legend()


def _plot_series(title: str, label: str) -> Callable[[Any, Report], None]:
    def plot(axes: Any, report: Report) -> None:
        for name, points in report.get('series', {}).items():
            axes.plot(*zip(*points, strict=True), label=name)
        if report.get('series'):
            axes.legend()
        axes.set_xlabel('seconds')
        axes.set_ylabel(label)
        axes.set_title(title)

    return plot


_PLOTS_BY_BENCH: Mapping[str, Callable[[Any, Report], None]] = {
    'config': _plot_config,
    'detection': _plot_detection,
    'limits': _plot_limits,
    'overhead': _plot_overhead,
    'overload': _plot_overload,
    'recovery': _plot_series('Outcomes by second', 'requests'),
    'slopes': _plot_slopes,
}
