"""Detects requests that crash the instances that run them."""

from collections.abc import Iterable

import attrs
import structlog

from bronzewall.edge.zone_messages import BrokenRequest

# A request is refused after the connections to this many instances broke
# during it. Two may break by coincidence while an instance fails.
CRASH_INSTANCES = 3
# Time for which a request is refused once it reached CRASH_INSTANCES, seconds;
# crashed instances are back within some seconds. Then one attempt is let
# through, and its break alone refuses the request again.
_REFUSAL_TIME_S = 30.0
# Factor of that time after each such break, and the longest time, seconds.
# Attempts are let through after 30, 150, 630 and 2,550 s and then each hour: a
# request that always crashes instances reaches three in its first 40 minutes.
_REFUSAL_FACTOR = 4
_MAX_REFUSAL_TIME_S = 3600.0
# Time after the end of its refusal for which a request is known to crash
# instances, seconds. The first attempt in it renews the refusal or ends the
# knowledge; callers that send a request less often cost little.
_KNOWN_TIME_S = 900.0
# The count of a request restarts if its last break is older than this, seconds.
_BREAK_WINDOW_S = 20.0
# Limit of the number of tracked requests; the oldest entry is dropped first.
_MAX_REQUESTS = 2000
# The same of requests that are known to crash instances. Status messages name
# those that are refused, with 16 bytes each.
_MAX_KNOWN = 500
_LOG = structlog.get_logger()


@attrs.define(kw_only=True)
class _Breaks:
    """Instances whose connections broke during one request.

    :param at: clock time of the last break.
    """

    instance_ids: set[str]
    at: float


@attrs.define(kw_only=True)
class _Refusal:
    """Refusal of a request that is known to crash instances.

    :param began: clock time at which it began or was renewed.
    :param seconds: its length, longer with each renewal.
    :param until: clock time of its end.
    """

    began: float
    seconds: float
    until: float

    def forgotten_at(self) -> float:
        """Return the clock time from which the request is unknown."""
        return self.until + _KNOWN_TIME_S


@attrs.define(kw_only=True, eq=False)
class CrashTracker:
    """Broken connections by request fingerprint.

    A refused attempt does not prolong a refusal: it says nothing about the
    instances, and a mended one would never be found while a caller insists.
    """

    _breaks_by_fingerprint: dict[bytes, _Breaks] = attrs.field(factory=dict)
    _refusals: dict[bytes, _Refusal] = attrs.field(factory=dict)

    def record(self, broken: Iterable[BrokenRequest], *, now: float) -> None:
        """Record broken connections; refuse requests that reach the limit."""
        for item in broken:
            if self._known(item.fingerprint, now=now):
                self._renew(item.fingerprint, now=now)
                continue
            breaks = self._breaks_by_fingerprint.get(item.fingerprint)
            if breaks is None or now - breaks.at > _BREAK_WINDOW_S:
                breaks = _Breaks(instance_ids=set(), at=now)
            breaks.instance_ids.add(item.instance_id)
            breaks.at = now
            self._breaks_by_fingerprint[item.fingerprint] = breaks
            if len(breaks.instance_ids) >= CRASH_INSTANCES:
                self._start(item.fingerprint, _REFUSAL_TIME_S, now=now)
        while len(self._breaks_by_fingerprint) > _MAX_REQUESTS:
            self._breaks_by_fingerprint.pop(
                next(iter(self._breaks_by_fingerprint))
            )

    def clear(self, fingerprint: bytes, *, now: float) -> None:
        """Drop what is known of a request that an instance has answered.

        A refusal that has begun stays in force.
        """
        self._breaks_by_fingerprint.pop(fingerprint, None)
        if not self.is_refused(fingerprint, now=now):
            self._refusals.pop(fingerprint, None)

    def refuse(self, fingerprints: Iterable[bytes], *, now: float) -> None:
        """Refuse the requests that the zone leader refuses.

        They are refused for a time after the leader has named them last, so
        that a lost leader or status message does not let them through.
        """
        for fingerprint in fingerprints:
            refusal = self._known(fingerprint, now=now)
            if refusal is None:
                self._start(fingerprint, _REFUSAL_TIME_S, now=now)
            else:
                refusal.until = max(refusal.until, now + _REFUSAL_TIME_S)

    def is_refused(self, fingerprint: bytes, *, now: float) -> bool:
        """Return whether a request must not be sent to an instance."""
        refusal = self._refusals.get(fingerprint)
        return refusal is not None and now < refusal.until

    def refused(self, *, now: float) -> list[bytes]:
        """Return the refused fingerprints."""
        self._refusals = {
            fingerprint: refusal
            for fingerprint, refusal in self._refusals.items()
            if now < refusal.forgotten_at()
        }
        return [
            fingerprint
            for fingerprint, refusal in self._refusals.items()
            if now < refusal.until
        ]

    def _known(self, fingerprint: bytes, *, now: float) -> _Refusal | None:
        """Return the refusal of a request, also one that has ended."""
        refusal = self._refusals.get(fingerprint)
        if refusal is None or now >= refusal.forgotten_at():
            return None
        return refusal

    def _renew(self, fingerprint: bytes, *, now: float) -> None:
        """Refuse a known request for longer than before.

        Attempts that had begun before the refusal do not count: their breaks
        are those of the same round.
        """
        refusal = self._refusals[fingerprint]
        if now < refusal.began + refusal.seconds:
            return
        self._start(
            fingerprint,
            min(refusal.seconds * _REFUSAL_FACTOR, _MAX_REFUSAL_TIME_S),
            now=now,
        )

    def _start(self, fingerprint: bytes, seconds: float, *, now: float) -> None:
        """Refuse a request; the one refused longest ago may be dropped."""
        _LOG.warning('request_crashes_instances', fingerprint=fingerprint.hex())
        self._refusals.pop(fingerprint, None)
        self._refusals[fingerprint] = _Refusal(
            began=now, seconds=seconds, until=now + seconds
        )
        while len(self._refusals) > _MAX_KNOWN:
            self._refusals.pop(next(iter(self._refusals)))
