"""What a VM knows of the instances, shared with the VMs of its zone."""

from collections import Counter

import attrs

from bronzewall.edge.allowances import Admission
from bronzewall.edge.beliefs import Beliefs, Sign
from bronzewall.edge.crash_ledger import CrashLedger
from bronzewall.edge.zone_messages import Broken
from bronzewall.types import InstanceId

# A VM that does not reach an instance says little about the instance.
_SHARED_SIGNS = {Sign.UNREACHABLE: Sign.OVERDUE}
_OWN_SIGNS = frozenset((Sign.UNREACHABLE, Sign.OVERDUE, Sign.SILENT))


@attrs.define(kw_only=True, eq=False)
class ZoneState:
    """Load and health of instances as this VM sees them.

    :param own: requests of this VM at each instance.
    :param others: requests of the zone's other VMs at each instance.
    :param busy_elsewhere: instances in other zones without a free slot.
    :param shared: beliefs of the zone.
    :param private: beliefs from this VM's own connections.
    :param signs: outcomes that the hub was not told yet.
    """

    own: Counter[str] = attrs.field(factory=Counter)
    others: dict[str, int] = attrs.field(factory=dict)
    busy_elsewhere: frozenset[str] = frozenset()
    shared: Beliefs = attrs.field(factory=lambda: Beliefs(scope='zone'))
    private: Beliefs = attrs.field(factory=lambda: Beliefs(scope='own'))
    admission: Admission = attrs.field(factory=Admission)
    crashes: CrashLedger = attrs.field(factory=CrashLedger)
    signs: list[tuple[str, str]] = attrs.field(factory=list)
    broken: list[Broken] = attrs.field(factory=list)
    is_changed: bool = False
    is_urgent: bool = False

    def begin(self, instance_id: InstanceId) -> None:
        """Count a request that is sent to an instance."""
        self.own[instance_id] += 1
        self.is_changed = True

    def end(self, instance_id: InstanceId) -> None:
        """Count the end of a request at an instance."""
        self.own[instance_id] -= 1
        if self.own[instance_id] <= 0:
            del self.own[instance_id]
        self.is_changed = True

    def note(self, instance_id: InstanceId, sign: Sign, *, now: float) -> None:
        """Take an outcome at an instance into account."""
        shared = _SHARED_SIGNS.get(sign, sign)
        self.shared.note(instance_id, shared, now=now)
        self.signs.append((instance_id, shared.name))
        if sign in _OWN_SIGNS or sign is Sign.GOOD:
            self.private.note(instance_id, sign, now=now)
        self.is_changed = True
        self.is_urgent |= sign is not Sign.GOOD

    def note_broken(
        self, fingerprint: bytes, instance_id: InstanceId, *, now: float
    ) -> None:
        """Count a request during which the connection broke."""
        item = Broken(fingerprint=fingerprint, instance_id=instance_id)
        self.crashes.note((item,), now=now)
        self.broken.append(item)
        self.is_changed = True

    def load(self, instance_id: InstanceId) -> int:
        """Return the requests of the zone at an instance."""
        return self.own[instance_id] + self.others.get(instance_id, 0)

    def failing(self, instance_id: InstanceId, *, now: float) -> float:
        """Return the probability that requests of this VM fail there."""
        return 1 - (
            (1 - self.shared.probability(instance_id, now=now))
            * (1 - self.private.probability(instance_id, now=now))
        )

    def forget(self, instance_id: InstanceId) -> None:
        """Drop what is known of an instance that ended."""
        self.shared.forget(instance_id)
        self.private.forget(instance_id)
