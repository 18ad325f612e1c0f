"""Request limits of instances, which hold for all VMs together."""

from collections.abc import Iterable

import attrs
import structlog

from bronzewall.edge.cold_starts import ColdStarts
from bronzewall.edge.limit_messages import LimitUpdate
from bronzewall.edge.model import EdgeInstance
from bronzewall.types import InstanceId

# An update of another VM does not replace what an answer told this VM within
# this time, seconds; the update may be older.
_OWN_ANSWER_S = 0.5
_LOG = structlog.get_logger()


@attrs.define(kw_only=True)
class _Limit:
    """Limit of one instance.

    :param rate: requests a second.
    :param known_at: clock time at which an answer last stated it, or at
        which another VM told this one.
    """

    rate: float
    known_at: float


@attrs.define(kw_only=True, eq=False)
class InstanceLimits:
    """Limits by instance as this VM knows them.

    An instance has a limit if its answers state one, or while it is cold.

    :param cold_starts: ``None`` if cold instances bear any rate.
    """

    cold_starts: ColdStarts | None = None
    # Clock times before which no permit is expected.
    _next_permit_at: dict[InstanceId, float] = attrs.field(factory=dict)
    _by_id: dict[InstanceId, _Limit] = attrs.field(factory=dict)
    _answered_at: dict[InstanceId, float] = attrs.field(factory=dict)

    def limit(self, instance_id: InstanceId) -> float | None:
        """Return an instance's limit in requests a second, if it has one."""
        stated = self.stated_limit(instance_id)
        if self.cold_starts is None:
            return stated
        cold = self.cold_starts.rate(instance_id)
        return min(
            (one for one in (stated, cold) if one is not None), default=None
        )

    def stated_limit(self, instance_id: InstanceId) -> float | None:
        """Return the limit that an instance's answers state, if any."""
        known = self._by_id.get(instance_id)
        return None if known is None else known.rate

    def limited_ids(self) -> set[InstanceId]:
        """Return the instances that have a limit."""
        cold = (
            set() if self.cold_starts is None else self.cold_starts.cold_ids()
        )
        return cold | self._by_id.keys()

    def limits_by_id(self) -> dict[InstanceId, float]:
        """Return all stated limits in requests a second."""
        return {
            instance_id: known.rate
            for instance_id, known in self._by_id.items()
        }

    def wait(self, instance_id: InstanceId, *, now: float) -> float:
        """Return the seconds until a permit for an instance is expected."""
        return max(0, self._next_permit_at.get(instance_id, now) - now)

    def expect_wait(
        self, instance_id: InstanceId, wait: float, *, now: float
    ) -> None:
        """Record that no permit is expected for some seconds."""
        self._next_permit_at[instance_id] = now + wait

    def record_answer(
        self,
        instance_id: InstanceId,
        limit: float | None,
        *,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record what an answer states; return whether this is a change.

        An answer without a limit ends the limit only if its request was sent
        after this VM learned of the limit; an older answer may have been
        created before the limit was.

        :param limit: requests a second, ``None`` for no limit.
        :param sent_at: clock time at which the request was sent.
        """
        known = self._by_id.get(instance_id)
        if limit is None:
            if known is None or sent_at <= known.known_at:
                return False
            self._answered_at[instance_id] = now
            return self._end(instance_id, source='answer')
        self._answered_at[instance_id] = now
        is_changed = self._set(instance_id, limit, now=now, source='answer')
        self._by_id[instance_id].known_at = now
        return is_changed

    def apply_update(self, update: LimitUpdate, *, now: float) -> LimitUpdate:
        """Apply what another VM knows; return what has changed by it."""
        limits = {
            instance_id: limit
            for instance_id, limit in update.limits.items()
            if not self._has_own_answer(instance_id, now)
            and self._set(instance_id, limit, now=now, source='peer')
        }
        ended = [
            instance_id
            for instance_id in update.ended
            if not self._has_own_answer(instance_id, now)
            and self._end(instance_id, source='peer')
        ]
        return LimitUpdate(limits=limits, ended=ended)

    def forget(self, removed: Iterable[EdgeInstance]) -> None:
        """Drop the limits of removed instances."""
        for item in removed:
            self._by_id.pop(item.instance_id, None)
            self._answered_at.pop(item.instance_id, None)
            self._next_permit_at.pop(item.instance_id, None)

    def _has_own_answer(self, instance_id: InstanceId, now: float) -> bool:
        answered_at = self._answered_at.get(instance_id)
        return answered_at is not None and now - answered_at < _OWN_ANSWER_S

    def _set(
        self, instance_id: InstanceId, rate: float, *, now: float, source: str
    ) -> bool:
        known = self._by_id.get(instance_id)
        before = None if known is None else known.rate
        if before == rate:
            return False
        self._by_id[instance_id] = _Limit(rate=rate, known_at=now)
        _log_change(instance_id, rate, before, source)
        return True

    def _end(self, instance_id: InstanceId, *, source: str) -> bool:
        known = self._by_id.pop(instance_id, None)
        if known is None:
            return False
        self._next_permit_at.pop(instance_id, None)
        _log_change(instance_id, None, known.rate, source)
        return True


def _log_change(
    instance_id: InstanceId,
    limit: float | None,
    before: float | None,
    source: str,
) -> None:
    _LOG.info(
        'instance_limit_changed',
        instance=instance_id,
        limit=limit,
        before=before,
        source=source,
    )
