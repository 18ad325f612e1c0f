"""What operators and the balancer can ask one VM."""

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
    """Read-only reports of one VM.

    :param is_ready: answer to the balancer's check.
    :param status: report for ``bronzewall status``.
    :param debug: report for ``bronzewall debug``.
    :param explain: steps of one request.
    :param metrics: Prometheus text.
    :param answer: takes a stored change from an operator's tool and says
        what is in force here.
    """

    is_ready: Callable[[], bool]
    status: ReportBuilder
    debug: ReportBuilder
    explain: StepsFinder
    metrics: Callable[[], bytes]
    answer: Callable[[PublishedChange], VmAnswer]
