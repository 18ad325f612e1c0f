"""Reports and operations of one VM's admin endpoint."""

from collections.abc import Callable
from typing import Any

import attrs

from bronzewall.publication_check import VmAnswer
from bronzewall.published_change import PublishedChange
from bronzewall.types import RequestId

Report = dict[str, Any]
ReportBuilder = Callable[[], Report]
StepsFinder = Callable[[RequestId], list[Report]]


@attrs.define(kw_only=True)
class AdminView:
    """Functions behind the admin endpoint of one VM.

    :param is_ready: returns the answer to the load balancer's check.
    :param status: builds the report for ``bronzewall status``.
    :param debug: builds the report for ``bronzewall debug``.
    :param explain: returns the recorded steps of one request.
    :param metrics: returns the metrics in the Prometheus text format.
    :param answer: applies a stored change sent by an operator's tool and
        returns which generation is in force on this VM.
    """

    is_ready: Callable[[], bool]
    status: ReportBuilder
    debug: ReportBuilder
    explain: StepsFinder
    metrics: Callable[[], bytes]
    answer: Callable[[PublishedChange], VmAnswer]
