"""Detects requests that crash the instances that run them."""

from collections.abc import Iterable

import attrs
import structlog

from bronzewall.edge.zone_messages import BrokenRequest

# A request is refused after the connections to this many instances broke
# during it. Two may break by coincidence while an instance fails.
CRASH_INSTANCES = 3
# Time for which a request is refused once it reached CRASH_INSTANCES, seconds.
_REFUSAL_TIME_S = 30.0
# The count of a request restarts if its last break is older than this, seconds.
_BREAK_WINDOW_S = 20.0
# Limit of the number of tracked requests; the oldest entry is dropped first.
_MAX_REQUESTS = 2000
_LOG = structlog.get_logger()


@attrs.define(kw_only=True)
class _Breaks:
    """Instances whose connections broke during one request.

    :param at: clock time of the last break.
    """

    instance_ids: set[str]
    at: float


@attrs.define(kw_only=True, eq=False)
class CrashTracker:
    """Broken connections by request fingerprint."""

    _breaks_by_fingerprint: dict[bytes, _Breaks] = attrs.field(factory=dict)
    _refused_until: dict[bytes, float] = attrs.field(factory=dict)

    def record(self, broken: Iterable[BrokenRequest], *, now: float) -> None:
        """Record broken connections; refuse requests that reach the limit."""
        for item in broken:
            breaks = self._breaks_by_fingerprint.get(item.fingerprint)
            if breaks is None or now - breaks.at > _BREAK_WINDOW_S:
                breaks = _Breaks(instance_ids=set(), at=now)
            breaks.instance_ids.add(item.instance_id)
            breaks.at = now
            self._breaks_by_fingerprint[item.fingerprint] = breaks
            if len(breaks.instance_ids) >= CRASH_INSTANCES:
                self.refuse((item.fingerprint,), now=now)
        while len(self._breaks_by_fingerprint) > _MAX_REQUESTS:
            self._breaks_by_fingerprint.pop(
                next(iter(self._breaks_by_fingerprint))
            )

    def clear(self, fingerprint: bytes) -> None:
        """Drop the breaks of a request that an instance has answered.

        A refusal that has begun stays in force.
        """
        self._breaks_by_fingerprint.pop(fingerprint, None)

    def refuse(self, fingerprints: Iterable[bytes], *, now: float) -> None:
        """Refuse the requests with these fingerprints for a time."""
        for fingerprint in fingerprints:
            if not self.is_refused(fingerprint, now=now):
                _LOG.warning(
                    'request_crashes_instances', fingerprint=fingerprint.hex()
                )
                self._refused_until[fingerprint] = now + _REFUSAL_TIME_S

    def is_refused(self, fingerprint: bytes, *, now: float) -> bool:
        """Return whether a request must not be sent to an instance."""
        return now < self._refused_until.get(fingerprint, 0)

    def refused(self, *, now: float) -> list[bytes]:
        """Return the refused fingerprints."""
        self._refused_until = {
            fingerprint: until
            for fingerprint, until in self._refused_until.items()
            if until > now
        }
        return list(self._refused_until)
