"""Messages between the VMs of a zone and between zone leaders."""

import attrs

from bronzewall.edge.model import VmEntry
from bronzewall.messages import message
from bronzewall.types import InstanceId


@attrs.frozen(kw_only=True)
class BrokenRequest:
    """A request during which the connection to an instance broke.

    :param fingerprint: identifies the request, also when it is sent again.
    """

    fingerprint: bytes
    instance_id: str


@message('edge-evacuations')
@attrs.frozen(kw_only=True)
class EvacuationList:
    """Zones that are evacuated, as of a revision of the store.

    :param era: era of the revision.
    :param number: number of the revision within the era.
    """

    era: int
    number: int
    zones: list[str] = attrs.field(factory=list)


@message('edge-report', label='Report')
@attrs.frozen(kw_only=True)
class MemberReport:
    """Report of one VM to its zone leader.

    :param stamp: clock of the sender when it sent this; never compared
        with another VM's clock.
    :param entry: entry of the sender, until the leader has answered.
    :param version: version of the sender's active configuration.
    :param catalog_revision: revision of the leader's instance list that the
        sender holds.
    :param members_revision: the same for the list of VMs.
    :param in_flight: requests of the sender at each instance.
    :param signs: observations since the last report, as pairs of instance
        id and name of the observation.
    :param spent: admitted requests by account since the last report.
    :param wanted: requests by account since the last report, admitted or
        not.
    :param broken: broken requests since the last report.
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
    """Status message of a zone leader to one VM of its zone.

    :param echo: stamp of the latest report from the receiver.
    :param has_store: the leader's last call to the store was answered, and
        its data is recent.
    :param store_age: seconds since the configuration was confirmed.
    :param catalog_age: seconds since the list of instances was confirmed.
    :param version: version of the leader's configuration; ``store_age``
        applies to a receiver whose version is at least this one.
    :param raw: the configuration, if the receiver's is older.
    :param catalog: packed instances, if the receiver has another list.
    :param members: packed VMs of all zones, if the receiver has another list.
    :param in_flight: requests of the zone's other VMs at each instance.
    :param beliefs: failure estimates that differ from the prior.
    :param tokens: requests that the zone may admit now, by account; with
        ``quota_share`` only of accounts whose bucket is not full.
    :param refill: tokens per second of the zone by account, from leaders of
        the build before ``quota_share``.
    :param quota_share: the zone's fraction of each account's rate and burst.
    :param quota_extra: tokens of a full bucket beyond that of the burst.
    :param crashing: fingerprints of requests that crash instances.
    :param is_leaving: the sender stops being a leader.
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
    quota_share: float | None = None
    quota_extra: float = 0
    crashing: list[bytes] = attrs.field(factory=list)
    is_leaving: bool = False


@message('edge-news', label='ZoneNews')
@attrs.frozen(kw_only=True)
class ZoneSummary:
    """Summary of a zone for the leaders of other zones.

    :param zone: zone of the sender.
    :param suspects: instances of the zone that are suspected to fail; the
        others count as healthy.
    :param busy: instances of the zone without a free slot.
    :param broken: broken requests since the last summary.
    """

    zone: str
    suspects: list[str] = attrs.field(factory=list)
    busy: list[str] = attrs.field(factory=list)
    broken: list[BrokenRequest] = attrs.field(factory=list)


@message('edge-refresh')
@attrs.frozen(kw_only=True)
class RefreshRequest:
    """Requests the configuration and the instance list from any VM.

    :param version: version of the sender's active configuration.
    :param list_age: seconds since the sender's instance list was confirmed.
    """

    version: int
    list_age: float


@message('edge-refresh-reply')
@attrs.frozen(kw_only=True)
class RefreshReply:
    """What the answering VM knows of the store.

    :param version: version of its configuration; ``store_age`` applies to a
        receiver whose version is at least this one.
    :param store_age: seconds since the configuration was confirmed.
    :param raw: the configuration, if the receiver's is older.
    :param list_age: seconds since the list of instances was confirmed.
    :param catalog: packed instances, if the receiver's list is older.
    """

    version: int = -1
    store_age: float | None = None
    raw: bytes | None = None
    list_age: float | None = None
    catalog: bytes | None = None


@message('edge-token-ask', label='TokenAsk')
@attrs.frozen(kw_only=True)
class TokenRequest:
    """Requests tokens of several accounts from the leader of another zone."""

    tokens: dict[str, float]


@message('edge-token-grant')
@attrs.frozen(kw_only=True)
class TokenGrant:
    """Granted tokens by account; the sender has subtracted them."""

    tokens: dict[str, float] = attrs.field(factory=dict)
