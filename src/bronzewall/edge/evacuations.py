"""Zones whose instances are to get nothing until they are taken back."""

from collections.abc import Callable
from collections.abc import Set as AbstractSet

import attrs
import structlog

from bronzewall.edge.ports import ConfigurationReading
from bronzewall.edge.zone_messages import EvacuationList

_LOG = structlog.get_logger()


def _ignore(_zone: str) -> None:
    """Do nothing on a change."""


@attrs.define(kw_only=True, eq=False)
class Evacuations:
    """Evacuated zones as of the newest revision that any VM has read.

    Revisions of the store order the lists, whichever VM they come from. What
    is known stands while the store cannot be read.

    :param zones: evacuated zones.
    :param known: newest list, ``None`` before the first one.
    :param on_evacuated: called with each zone that is evacuated.
    :param on_returned: called with each zone that is taken back.
    """

    zones: AbstractSet[str] = frozenset()
    known: EvacuationList | None = None
    on_evacuated: Callable[[str], None] = _ignore
    on_returned: Callable[[str], None] = _ignore
    _has_evacuated: bool = False
    # Zones that a store which was restored from a copy may have forgotten.
    _carried: AbstractSet[str] = frozenset()

    @property
    def shared(self) -> EvacuationList | None:
        """The newest list for other VMs, ``None`` before any evacuation.

        Where no zone is ever evacuated, no VM hears of it; builds before
        evacuations reject the message.
        """
        return self.known if self._has_evacuated else None

    def apply_reading(self, reading: ConfigurationReading) -> bool:
        """Apply what the store holds; return whether this is a change."""
        zones = reading.evacuated
        if not reading.is_whole and self.known is not None:
            zones = (zones | set(self.known.zones)) - reading.returned
        return self.accept(
            EvacuationList(
                era=reading.revision.era,
                number=reading.revision.number,
                zones=sorted(zones),
            ),
            source='store',
        )

    def accept(self, found: EvacuationList, *, source: str) -> bool:
        """Apply a list if it is newer; return whether zones have changed.

        :param source: where it came from, for the log.
        """
        known = self.known
        if known is not None:
            if _position(found) <= _position(known):
                return False
            if found.era != known.era:
                self._carried = self.zones
        self.known = found
        self._has_evacuated |= bool(found.zones)
        # What the restored store states itself, it may also end.
        self._carried -= set(found.zones)
        before, self.zones = self.zones, self._carried | set(found.zones)
        self._report(before, source)
        return before != self.zones

    def _report(self, before: AbstractSet[str], source: str) -> None:
        for zone in sorted(self.zones - before):
            _LOG.warning('zone_evacuated', zone=zone, source=source)
            self.on_evacuated(zone)
        for returned in sorted(before - self.zones):
            _LOG.warning('zone_taken_back', zone=returned, source=source)
            self.on_returned(returned)


def _position(found: EvacuationList) -> tuple[int, int]:
    return found.era, found.number
