"""Network path of this VM to the instances."""

import math

import attrs
import structlog

from bronzewall.metrics import Metrics
from bronzewall.types import InstanceId

# Distinct instances that gave no answer, one after the other, after which the
# path counts as lost.
_LOST_INSTANCES = 3
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class InstancePath:
    """Whether this VM reaches any instance.

    :param is_lost: the last attempts at several instances gave no answer.
    :param answered_at: clock time of the last answer of an instance.
    """

    metrics: Metrics
    is_lost: bool = False
    answered_at: float = -math.inf
    _silent_ids: set[InstanceId] = attrs.field(factory=set)

    def record_answer(self, *, now: float) -> None:
        """Record that an instance has answered."""
        self._silent_ids.clear()
        if self.is_lost:
            self.is_lost = False
            _LOG.info(
                'instances_reached', seconds=round(now - self.answered_at, 3)
            )
        self.answered_at = now

    def record_no_answer(self, instance_id: InstanceId, *, now: float) -> None:
        """Record that an instance was not reached or has not answered."""
        self._silent_ids.add(instance_id)
        if self.is_lost or len(self._silent_ids) < _LOST_INSTANCES:
            return
        self.is_lost = True
        self.metrics.events['instances_unreachable'] += 1
        seconds = now - self.answered_at
        _LOG.warning(
            'instances_unreachable',
            instances=sorted(self._silent_ids),
            seconds=None if math.isinf(seconds) else round(seconds, 3),
        )
