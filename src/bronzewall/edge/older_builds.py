"""Finds VMs of the zone that cannot read this build's zone status."""

import attrs
import structlog

from bronzewall.types import VmId

_LOG = structlog.get_logger()
# A VM that leads beside a leader of higher rank for this long, seconds, does
# not read its status. Two leaders of one build agree sooner.
_LEADS_BESIDE_S = 1.5
# A leader sends its status at least every 0.25 s; after a longer gap, seconds,
# it has begun anew.
_STATUS_GAP_S = 0.7
# Time after which the present form is tried again, seconds.
_RETRY_S = 30.0


@attrs.define(kw_only=True)
class _OtherLeader:
    """A VM that leads beside this one."""

    since: float
    heard_at: float
    needs_until: float = 0


@attrs.define(kw_only=True, eq=False)
class OlderBuilds:
    """VMs that get the zone status as builds before the quota share wrote it.

    Such a build rejects a message with a field that it does not know. It then
    has no leader and leads itself.
    """

    _leaders_by_id: dict[VmId, _OtherLeader] = attrs.field(factory=dict)

    def record_leader(self, vm_id: VmId, *, now: float) -> None:
        """Record a status of a VM that should follow this one."""
        known = self._leaders_by_id.get(vm_id)
        if known is None:
            self._leaders_by_id[vm_id] = _OtherLeader(since=now, heard_at=now)
            return
        if now - known.heard_at > _STATUS_GAP_S:
            known.since = now
        known.heard_at = now
        is_old = now - known.since >= _LEADS_BESIDE_S
        if is_old and now >= known.needs_until:
            known.needs_until = now + _RETRY_S
            _LOG.info('older_status_sent', vm=vm_id)

    def needs_older_status(self, vm_id: VmId, *, now: float) -> bool:
        """Return whether a VM gets the older form of the status."""
        known = self._leaders_by_id.get(vm_id)
        return known is not None and now < known.needs_until
