"""Messages between the VMs of a zone and between the hubs of zones."""

import attrs

from bronzewall.edge.model import VmEntry
from bronzewall.messages import message
from bronzewall.types import InstanceId


@attrs.frozen(kw_only=True)
class BrokenRequest:
    """A request during which the connection to an instance broke.

    :param fingerprint: the same for the same request sent again.
    """

    fingerprint: bytes
    instance_id: str


@message('edge-report', label='Report')
@attrs.frozen(kw_only=True)
class MemberReport:
    """What one VM tells the hub of its zone.

    :param stamp: clock of the sender when it sent this; never compared
        with another VM's clock.
    :param entry: the sender, until the hub has answered.
    :param version: version of the configuration in force.
    :param catalog_revision: revision of the hub's list that it holds.
    :param members_revision: the same for the members.
    :param in_flight: requests at each instance.
    :param signs: outcomes since the last report, as pairs of instance and
        name of the sign.
    :param spent: admitted requests by account since the last report.
    :param wanted: requests by account since the last report.
    :param broken: see :class:`BrokenRequest`.
    :param is_leaving: the sender stops.
    """

    stamp: float
    entry: VmEntry | None = None
    version: int = -1
    catalog_revision: int = -1
    members_revision: int = -1
    in_flight: dict[str, int] = attrs.field(factory=dict)
    signs: list[tuple[str, str]] = attrs.field(factory=list)
    spent: dict[str, int] = attrs.field(factory=dict)
    wanted: dict[str, int] = attrs.field(factory=dict)
    broken: list[BrokenRequest] = attrs.field(factory=list)
    is_leaving: bool = False


@message('edge-beacon', label='Beacon')
@attrs.frozen(kw_only=True)
class ZoneStatus:
    """What the hub of a zone tells each VM of the zone.

    :param echo: stamp of the newest report from the receiver.
    :param has_store: the hub's last call to the store was answered.
    :param store_age: seconds since the configuration was confirmed.
    :param catalog_age: seconds since the list of instances was confirmed.
    :param version: version of the configuration that the hub holds; the
        ages hold for a receiver that has it as well.
    :param raw: the configuration, if the receiver's is older.
    :param catalog: packed instances, if the receiver has another list.
    :param members: packed VMs of all zones, if the receiver has another list.
    :param in_flight: requests of the zone's other VMs at each instance.
    :param beliefs: probabilities of failing that differ from the prior.
    :param tokens: admissible requests of the zone by account.
    :param refill: tokens a second of the zone by account.
    :param crashing: fingerprints of requests that crash instances.
    """

    echo: float | None = None
    has_store: bool = True
    store_age: float | None = None
    catalog_age: float | None = None
    version: int = -1
    raw: bytes | None = None
    catalog: bytes | None = None
    catalog_revision: int = -1
    members: bytes | None = None
    members_revision: int = -1
    in_flight: dict[str, int] = attrs.field(factory=dict)
    beliefs: dict[InstanceId, float] = attrs.field(factory=dict)
    tokens: dict[str, float] = attrs.field(factory=dict)
    refill: dict[str, float] = attrs.field(factory=dict)
    crashing: list[bytes] = attrs.field(factory=list)
    is_leaving: bool = False


@message('edge-news', label='ZoneNews')
@attrs.frozen(kw_only=True)
class ZoneSummary:
    """What the hub of a zone tells the hubs of other zones.

    :param zone: zone of the sender.
    :param suspects: instances of the zone that seem to fail; the others are
        believed to be sound.
    :param busy: instances of the zone without a free slot.
    :param broken: new since the last news.
    """

    zone: str
    suspects: list[str] = attrs.field(factory=list)
    busy: list[str] = attrs.field(factory=list)
    broken: list[BrokenRequest] = attrs.field(factory=list)


@message('edge-token-ask', label='TokenAsk')
@attrs.frozen(kw_only=True)
class TokenRequest:
    """Asks the hub of another zone for tokens of several accounts."""

    tokens: dict[str, float]


@message('edge-token-grant')
@attrs.frozen(kw_only=True)
class TokenGrant:
    """Tokens that the sender has given up, by account."""

    tokens: dict[str, float] = attrs.field(factory=dict)
