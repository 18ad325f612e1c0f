"""Decides whether this VM may trust its keys while it is cut off."""

from collections.abc import Callable, Iterable

import attrs

from bronzewall.ports import Clock

# A withdrawn key must stop within 2 s; the rest is for the poll that
# confirms the store and for requests that are admitted at this moment.
FRESHNESS_LIMIT_S = 1.5
# Clocks that disagree by more than this were paused or set.
_JUMP_LIMIT_S = 0.5


@attrs.frozen(kw_only=True)
class StoreReport:
    """What one VM tells another about the store.

    Times are seconds after the arrival of the heartbeat that is answered,
    so they are negative for earlier events. The receiver adds them to the
    time at which it sent that heartbeat: any delay only makes the result
    older than the truth.

    :param confirmed: when the store answered, or ``None``.
    :param confirmed_generation: the generation that it had then.
    :param keys_generation: newest generation heard of that changed keys.
    :param silent_by_zone: when the store was asked in vain, by zone.
    """

    confirmed: float | None = None
    confirmed_generation: int = 0
    keys_generation: int = 0
    silent_by_zone: dict[str, float] = attrs.field(factory=dict)


@attrs.define(kw_only=True, eq=False)
class Freshness:
    """Newest confirmation of the store that this VM has heard of.

    :param own_generation: returns the generation in force here.
    :param zones: returns the availability zones that have members.
    """

    clock: Clock
    own_generation: Callable[[], int]
    zones: Callable[[], Iterable[str]]
    keys_generation: int = 0
    _confirmed_at: float | None = None
    _confirmed_generation: int = 0
    _silent_by_zone: dict[str, float] = attrs.field(factory=dict)
    _trusted_since: float = float('-inf')
    _wall_offset: float = 0

    def __attrs_post_init__(self) -> None:
        """Note how far the two clocks are apart."""
        self._wall_offset = self.clock.wall() - self.clock.now()

    def may_serve_keyed(self) -> bool:
        """Return whether routes that need a key may be served now.

        The answer is computed for each request, because the time may have
        passed while the whole VM was frozen.
        """
        self._check_clocks()
        return self.age() <= FRESHNESS_LIMIT_S or self.is_store_silent()

    def age(self) -> float:
        """Return seconds since the newest confirmation."""
        if self._confirmed_at is None:
            return float('inf')
        return self.clock.now() - self._confirmed_at

    def is_store_silent(self) -> bool:
        """Return whether every zone found the store silent just now.

        Nothing can then have been accepted that this VM does not know.
        """
        zones = set(self.zones())
        if not zones or self.keys_generation > self.own_generation():
            return False
        return all(self.silent_age(zone) <= FRESHNESS_LIMIT_S for zone in zones)

    def silent_age(self, zone: str) -> float:
        """Return seconds since the zone last found the store silent."""
        at = self._silent_by_zone.get(zone)
        return float('inf') if at is None else self.clock.now() - at

    def confirm(self, *, at: float, generation: int) -> bool:
        """Note that the store answered.

        :param at: clock time at which the question was sent.
        :param generation: the generation that the store had.
        :returns: whether this is news. A generation that is not in force
            here is none: a key may be withdrawn in it.
        """
        self._check_clocks()
        if at < self._trusted_since or generation > self.own_generation():
            return False
        if self._confirmed_at is not None and at <= self._confirmed_at:
            return False
        self._confirmed_at = at
        self._confirmed_generation = generation
        return True

    def note_silent(self, *, zone: str, at: float) -> bool:
        """Note that a VM of a zone asked the store in vain.

        :param at: clock time at which the question was sent.
        :returns: whether this is news.
        """
        self._check_clocks()
        if at < self._trusted_since:
            return False
        if at <= self._silent_by_zone.get(zone, float('-inf')):
            return False
        self._silent_by_zone[zone] = at
        return True

    def hear_of_keys(self, generation: int) -> None:
        """Note that a generation exists in which keys were changed."""
        self.keys_generation = max(self.keys_generation, generation)

    def report(self, *, since: float) -> StoreReport:
        """Return what to tell a VM.

        :param since: clock time at which its heartbeat arrived.
        """
        self._check_clocks()
        confirmed = self._confirmed_at
        oldest = self.clock.now() - FRESHNESS_LIMIT_S
        if confirmed is not None:
            oldest = max(oldest, confirmed)
        return StoreReport(
            confirmed=None if confirmed is None else confirmed - since,
            confirmed_generation=self._confirmed_generation,
            keys_generation=self.keys_generation,
            silent_by_zone={
                zone: at - since
                for zone, at in self._silent_by_zone.items()
                if at > oldest
            },
        )

    def learn(self, report: StoreReport, *, sent: float) -> bool:
        """Take over what another VM knows.

        :param sent: clock time at which the own heartbeat was sent.
        :returns: whether there was news.
        """
        self._check_clocks()
        if sent < self._trusted_since:
            return False
        now = self.clock.now()
        is_news = False
        self.hear_of_keys(report.keys_generation)
        if report.confirmed is not None:
            is_news = self.confirm(
                at=min(sent + report.confirmed, now),
                generation=report.confirmed_generation,
            )
        for zone, seconds in report.silent_by_zone.items():
            at = min(sent + seconds, now)
            is_news |= self.note_silent(zone=zone, at=at)
        return is_news

    def _check_clocks(self) -> None:
        """Forget everything if the clocks show a pause or were set.

        A VM that is restored from a snapshot may find that its monotonic
        clock has not counted the time in between.
        """
        offset = self.clock.wall() - self.clock.now()
        if abs(offset - self._wall_offset) > _JUMP_LIMIT_S:
            self._confirmed_at = None
            self._silent_by_zone.clear()
            self._trusted_since = self.clock.now()
        self._wall_offset = offset
