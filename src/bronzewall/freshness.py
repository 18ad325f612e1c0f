"""Decides whether this VM's keys are fresh enough to be used."""

from collections.abc import Callable, Iterable

import attrs

from bronzewall.ports import Clock

# A withdrawn key must be refused within 2 s; the difference covers the poll
# that confirms the store and requests that are being admitted.
FRESHNESS_LIMIT_S = 1.5
# If the two clocks drift apart by more than this, one was paused or set.
_CLOCK_JUMP_LIMIT_S = 0.5


@attrs.frozen(kw_only=True)
class StoreReport:
    """State of the store as one VM reports it to another.

    Times are seconds after the arrival of the heartbeat that is answered,
    so they are negative for earlier events. The receiver adds them to the
    time at which it sent that heartbeat, so a delay can only make the
    result older than the actual time.

    :param confirmed: when the store answered, or ``None``.
    :param confirmed_generation: the generation that the store had then.
    :param keys_generation: newest known generation that changed keys.
    :param silent_by_zone: when a request to the store got no answer, by
        zone.
    """

    confirmed: float | None = None
    confirmed_generation: int = 0
    keys_generation: int = 0
    silent_by_zone: dict[str, float] = attrs.field(factory=dict)


@attrs.define(kw_only=True, eq=False)
class Freshness:
    """Newest confirmation of the store that is known to this VM.

    :param own_generation: returns the generation in force on this VM.
    :param zones: returns the availability zones that have members.
    """

    clock: Clock
    own_generation: Callable[[], int]
    zones: Callable[[], Iterable[str]]
    keys_generation: int = 0
    _confirmed_at: float | None = None
    _confirmed_generation: int = 0
    _no_answer_at_by_zone: dict[str, float] = attrs.field(factory=dict)
    _trusted_since: float = float('-inf')
    _wall_offset: float = 0

    def __attrs_post_init__(self) -> None:
        """Record the offset between the two clocks."""
        self._wall_offset = self.clock.wall() - self.clock.now()

    def may_serve_keyed(self) -> bool:
        """Return whether routes that need a key may be served now.

        It is computed for each request, because the keys may have become
        stale while the whole VM was frozen.
        """
        self._discard_after_clock_jump()
        return self.age() <= FRESHNESS_LIMIT_S or self.is_store_unreachable()

    def age(self) -> float:
        """Return seconds since the newest confirmation."""
        if self._confirmed_at is None:
            return float('inf')
        return self.clock.now() - self._confirmed_at

    def is_store_unreachable(self) -> bool:
        """Return whether the store recently answered no zone.

        In that case the store cannot have accepted a generation that this
        VM has not received.
        """
        zones = set(self.zones())
        if not zones or self.keys_generation > self.own_generation():
            return False
        return all(
            self.no_answer_age(zone) <= FRESHNESS_LIMIT_S for zone in zones
        )

    def no_answer_age(self, zone: str) -> float:
        """Return seconds since the zone last got no answer from the store."""
        at = self._no_answer_at_by_zone.get(zone)
        return float('inf') if at is None else self.clock.now() - at

    def confirm(self, *, at: float, generation: int) -> bool:
        """Record that the store answered.

        :param at: clock time at which the request was sent.
        :param generation: the generation that the store had.
        :returns: whether the confirmation is newer than the known one. It is
            not recorded if its generation is not in force on this VM yet,
            because that generation may withdraw a key.
        """
        self._discard_after_clock_jump()
        if at < self._trusted_since or generation > self.own_generation():
            return False
        if self._confirmed_at is not None and at <= self._confirmed_at:
            return False
        self._confirmed_at = at
        self._confirmed_generation = generation
        return True

    def record_no_answer(self, *, zone: str, at: float) -> bool:
        """Record that a VM of a zone got no answer from the store.

        :param at: clock time at which the request was sent.
        :returns: whether it is newer than the recorded one of the zone.
        """
        self._discard_after_clock_jump()
        if at < self._trusted_since:
            return False
        if at <= self._no_answer_at_by_zone.get(zone, float('-inf')):
            return False
        self._no_answer_at_by_zone[zone] = at
        return True

    def record_keys_generation(self, generation: int) -> None:
        """Record the number of a generation that changed keys."""
        self.keys_generation = max(self.keys_generation, generation)

    def report(self, *, received_at: float) -> StoreReport:
        """Return the report for a VM.

        :param received_at: clock time at which its heartbeat arrived.
        """
        self._discard_after_clock_jump()
        confirmed = self._confirmed_at
        oldest = self.clock.now() - FRESHNESS_LIMIT_S
        if confirmed is not None:
            oldest = max(oldest, confirmed)
        return StoreReport(
            confirmed=None if confirmed is None else confirmed - received_at,
            confirmed_generation=self._confirmed_generation,
            keys_generation=self.keys_generation,
            silent_by_zone={
                zone: at - received_at
                for zone, at in self._no_answer_at_by_zone.items()
                if at > oldest
            },
        )

    def apply_report(self, report: StoreReport, *, sent_at: float) -> bool:
        """Apply the report of another VM.

        :param sent_at: clock time at which this VM sent the heartbeat that
            the report answers.
        :returns: whether the report changed anything.
        """
        self._discard_after_clock_jump()
        if sent_at < self._trusted_since:
            return False
        now = self.clock.now()
        is_newer = False
        self.record_keys_generation(report.keys_generation)
        if report.confirmed is not None:
            is_newer = self.confirm(
                at=min(sent_at + report.confirmed, now),
                generation=report.confirmed_generation,
            )
        for zone, seconds in report.silent_by_zone.items():
            at = min(sent_at + seconds, now)
            is_newer |= self.record_no_answer(zone=zone, at=at)
        return is_newer

    def _discard_after_clock_jump(self) -> None:
        """Discard all recorded times after a pause or a change of a clock.

        When a VM is restored from a snapshot, its monotonic clock may not
        have counted the time in between.
        """
        offset = self.clock.wall() - self.clock.now()
        if abs(offset - self._wall_offset) > _CLOCK_JUMP_LIMIT_S:
            self._confirmed_at = None
            self._no_answer_at_by_zone.clear()
            self._trusted_since = self.clock.now()
        self._wall_offset = offset
