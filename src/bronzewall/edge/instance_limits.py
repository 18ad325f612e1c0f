"""Request limits that instances state in their answers."""

from collections.abc import Iterable

import attrs
import structlog

from bronzewall.edge.model import EdgeInstance
from bronzewall.types import InstanceId

_LOG = structlog.get_logger()


@attrs.frozen(kw_only=True)
class StatedLimit:
    """Limit of one instance.

    :param rate: requests a second from all VMs together.
    :param at: clock time at which this VM last learned of it.
    """

    rate: float
    at: float


@attrs.define(kw_only=True, eq=False)
class InstanceLimits:
    """Stated limits by instance."""

    _by_id: dict[InstanceId, StatedLimit] = attrs.field(factory=dict)

    def limit(self, instance_id: InstanceId) -> float | None:
        """Return an instance's limit in requests a second, if it has one."""
        stated = self._by_id.get(instance_id)
        return None if stated is None else stated.rate

    def limits_by_id(self) -> dict[InstanceId, float]:
        """Return all limits in requests a second."""
        return {
            instance_id: stated.rate
            for instance_id, stated in self._by_id.items()
        }

    def record(
        self,
        instance_id: InstanceId,
        limit: float | None,
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Record what an answer states.

        An answer without a limit ends the limit only if its request was sent
        after this VM learned of the limit; an older answer may have been
        created before the limit was.

        :param limit: requests a second, ``None`` for no limit.
        :param sent_at: clock time at which the request was sent.
        """
        stated = self._by_id.get(instance_id)
        before = None if stated is None else stated.rate
        if limit is None:
            if stated is None or sent_at <= stated.at:
                return
            self._by_id.pop(instance_id)
        else:
            self._by_id[instance_id] = StatedLimit(rate=limit, at=now)
        if limit != before:
            _LOG.info(
                'instance_limit_changed',
                instance=instance_id,
                limit=limit,
                before=before,
                source='answer',
            )

    def forget(self, removed: Iterable[EdgeInstance]) -> None:
        """Drop the limits of removed instances."""
        for item in removed:
            self._by_id.pop(item.instance_id, None)
