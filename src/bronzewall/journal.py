"""Bounded log of the decisions about each request, for ``explain``."""

import collections
from typing import Any

import attrs

from bronzewall.types import RequestId

_DEFAULT_CAPACITY = 2000


@attrs.frozen(kw_only=True)
class Step:
    """One decision about a request.

    :param at: Unix time in seconds.
    :param event: name of the decision.
    :param fields: the data behind the decision, by name.
    """

    at: float
    event: str
    fields: dict[str, Any]


@attrs.define(kw_only=True)
class Journal:
    """Steps of the most recent requests of this VM."""

    capacity: int = _DEFAULT_CAPACITY
    steps_by_request: 'collections.OrderedDict[RequestId, list[Step]]' = (
        attrs.field(factory=collections.OrderedDict)
    )

    def add(
        self, *, request_id: RequestId, at: float, event: str, **fields: Any
    ) -> None:
        """Add a step, dropping the oldest request beyond the capacity."""
        steps = self.steps_by_request.get(request_id)
        if steps is None:
            steps = []
            self.steps_by_request[request_id] = steps
            if len(self.steps_by_request) > self.capacity:
                self.steps_by_request.popitem(last=False)
        steps.append(Step(at=at, event=event, fields=fields))

    def find(self, request_id: RequestId) -> list[Step]:
        """Return the steps of a request, or an empty list."""
        return self.steps_by_request.get(request_id, [])
