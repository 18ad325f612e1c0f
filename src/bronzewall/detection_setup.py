"""Wires the detection of failing instances on one VM."""

import attrs

from bronzewall.config_feed import ConfigFeed
from bronzewall.crash_guard import CrashGuard
from bronzewall.ejection import Ejections
from bronzewall.evidence import Evidence
from bronzewall.instance_suspicions import Suspicions
from bronzewall.membership import Members
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.types import InstanceId, RouteId


@attrs.frozen(kw_only=True)
class Detection:
    """Evidence, ejections and the exchange of evidence with other VMs."""

    evidence: Evidence
    ejections: Ejections
    suspicions: Suspicions


def build_detection(
    *,
    clock: Clock,
    feed: ConfigFeed,
    members: Members,
    endpoint: PeerEndpoint,
    crash_guard: CrashGuard,
) -> Detection:
    """Create the failure detection of one VM."""

    def is_crash_suspect(fingerprint: bytes) -> bool:
        # Failures of a request that crashes instances are not the instances'.
        return crash_guard.table.find(fingerprint) is not None

    def cancel_overdue(instance_id: InstanceId, route_class: RouteId) -> None:
        evidence.cancel_overdue(instance_id, route_class, clock.now())

    evidence = Evidence(is_crash_suspect=is_crash_suspect)
    ejections = Ejections(
        clock=clock, service_of=feed.service_of, on_eject=cancel_overdue
    )
    evidence.is_cold = ejections.is_cold
    suspicions = Suspicions(
        vm_id=members.own_id,
        placement=members.own_placement,
        clock=clock,
        members=members,
        endpoint=endpoint,
        evidence=evidence,
        on_suspects=ejections.evaluate,
    )
    return Detection(
        evidence=evidence, ejections=ejections, suspicions=suspicions
    )
