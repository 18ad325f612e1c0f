"""Counters and latency histograms of one VM."""

from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from bronzewall.build import build_id

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
_US_PER_S = 1_000_000


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


@attrs.define(kw_only=True, eq=False)
class Metrics(Collector):
    """Counters and the latency histogram of one VM.

    :param refusals: refusals by reason code.
    :param retries: retries by reason.
    :param events: other events by name.
    :param cross_region_bytes: answer bytes from other regions.
    :param configuration_age: seconds since the configuration was confirmed,
        at each attempt.
    :param list_age: the same for the list of instances.
    """

    refusals: Counter[str] = attrs.field(factory=Counter)
    retries: Counter[str] = attrs.field(factory=Counter)
    events: Counter[str] = attrs.field(factory=Counter)
    requests: int = 0
    answered: int = 0
    cross_region_bytes: int = 0
    latency: HdrHistogram = attrs.field(factory=_new_histogram)
    configuration_age: HdrHistogram = attrs.field(factory=_new_histogram)
    list_age: HdrHistogram = attrs.field(factory=_new_histogram)

    def record_latency(self, seconds: float) -> None:
        """Record the time from request to the end of the answer."""
        _record(self.latency, seconds)

    def record_ages(self, *, configuration: float, instances: float) -> None:
        """Record how old the data of an attempt is, in seconds."""
        _record(self.configuration_age, configuration)
        _record(self.list_age, instances)

    def collect(self) -> list[Metric]:
        """Return the metric families for the text format."""
        totals = CounterMetricFamily(
            'bronzewall_requests', 'Requests by result', labels=['result']
        )
        totals.add_metric(['received'], self.requests)
        totals.add_metric(['answered'], self.answered)
        traffic = CounterMetricFamily(
            'bronzewall_cross_region_bytes', 'Bytes from other regions'
        )
        traffic.add_metric([], self.cross_region_bytes)
        build = GaugeMetricFamily(
            'bronzewall_build', 'Build of this process', labels=['build']
        )
        build.add_metric([build_id()], 1)
        return [
            build,
            totals,
            traffic,
            _quantiles('latency', 'Request latency', self.latency),
            _quantiles(
                'configuration_age',
                'Age of the configuration at use',
                self.configuration_age,
            ),
            _quantiles(
                'list_age', 'Age of the instance list at use', self.list_age
            ),
            _by_label('refusals', 'reason', self.refusals),
            _by_label('retries', 'reason', self.retries),
            _by_label('events', 'event', self.events),
        ]

    def exposition(self) -> bytes:
        """Return the Prometheus text format."""
        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)


def _record(histogram: HdrHistogram, seconds: float) -> None:
    micros = min(_MAX_LATENCY_US, seconds * _US_PER_S)
    histogram.record_value(max(_MIN_LATENCY_US, int(micros)))


def _quantiles(name: str, text: str, histogram: HdrHistogram) -> Metric:
    family = GaugeMetricFamily(
        f'bronzewall_{name}_seconds', f'{text} quantiles', labels=['quantile']
    )
    for quantile in _QUANTILES:
        micros = histogram.get_value_at_percentile(quantile)
        family.add_metric([str(quantile / 100)], micros / _US_PER_S)
    return family


def _by_label(name: str, label: str, counts: Counter[str]) -> Metric:
    family = CounterMetricFamily(
        f'bronzewall_{name}', f'Count of {name} by {label}', labels=[label]
    )
    for key, count in counts.items():
        family.add_metric([key], count)
    return family
