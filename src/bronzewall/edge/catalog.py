"""Instances listed by service discovery and those that may get requests."""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs
import structlog

from bronzewall.edge.departures import Departures
from bronzewall.edge.model import EdgeInstance
from bronzewall.ports import Clock
from bronzewall.types import InstanceId, ServiceName

# Entries that expired while the store was unreachable, or that its copy lacks,
# return within 2 s of its recovery; an instance that is still missing then has
# ended.
_EXPIRY_GRACE_S = 2.0
# Discovery removes an entry after this many intervals without a report.
_EXPIRY_INTERVALS = 2.0
# An entry of an instance that has ended is removed within this many intervals,
# also after the store was restored from a copy.
_REMOVAL_INTERVALS = 4.0
# Warm-up times count down from one report to the next; a rise beyond this is no
# rounding, seconds.
_WARMUP_RISE_S = 0.1
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class Catalog:
    """Instances by id and by service.

    :param interval: seconds between two reports of an instance to service
        discovery.
    :param confirmed_at: latest clock time at which the list is known to have
        been current.
    :param adopted_at: clock time at which the last list of another VM was
        current.
    :param revision: incremented with each change on this VM.
    :param on_listed: called with each list that is applied, also if it only
        differs in the warm-up times left.
    :param on_removed: called with the instances that were removed from the
        list or replaced by a new process.
    """

    clock: Clock
    interval: float
    on_listed: Callable[[Mapping[InstanceId, EdgeInstance]], None] = (
        lambda _listed: None
    )
    on_removed: Callable[[Iterable[EdgeInstance]], None] = lambda _removed: None
    confirmed_at: float = -math.inf
    adopted_at: float = -math.inf
    revision: int = 0
    instances_by_id: Mapping[InstanceId, EdgeInstance] = attrs.field(
        factory=dict
    )
    _usable_by_service: dict[ServiceName, tuple[EdgeInstance, ...]] = (
        attrs.field(factory=dict)
    )
    _rejected_addresses: dict[InstanceId, str] = attrs.field(factory=dict)
    _grace_ends_at: float = -math.inf
    _departures: Departures = attrs.field(factory=Departures)

    def record_restore(self) -> None:
        """Note that the store was restored from a copy.

        Instances write again what the copy lacks, and its entries of those
        that have ended since are removed in time.
        """
        now = self.clock.now()
        self._grace_ends_at = now + _EXPIRY_GRACE_S
        self._departures.distrust(
            until=now + self.interval * _REMOVAL_INTERVALS
        )

    def record_reports(self, counts_by_id: Mapping[InstanceId, int]) -> None:
        """Record how often instances have reported, as the store says.

        :param counts_by_id: reports since the start of each instance.
        """
        self._departures.record_reports(counts_by_id)

    def is_in_grace(self) -> bool:
        """Return whether missing entries are kept because they may return."""
        return self.clock.now() < self._grace_ends_at

    def usable(self, service: ServiceName) -> tuple[EdgeInstance, ...]:
        """Return the instances that may get new requests."""
        return self._usable_by_service.get(service, ())

    def is_usable(self, instance: EdgeInstance) -> bool:
        """Return whether the process of an entry may get new requests.

        The entry may have changed since; its warm-up time does all the time.
        """
        return any(
            item.instance_id == instance.instance_id
            and not _has_ended(instance, item)
            for item in self.usable(instance.service)
        )

    def reject(self, instance: EdgeInstance) -> None:
        """Stop using an instance at whose address another one answers."""
        _LOG.warning(
            'instance_replaced',
            instance=instance.instance_id,
            address=instance.address,
        )
        self._rejected_addresses[instance.instance_id] = instance.address
        self._index()

    def record_leaving(self, instance: EdgeInstance) -> None:
        """Stop using an instance whose answers state that it leaves."""
        known = self.instances_by_id.get(instance.instance_id)
        if known is None or known.started_ms != instance.started_ms:
            return
        leaving = attrs.evolve(known, is_leaving=True)
        self._replace(
            {**self.instances_by_id, instance.instance_id: leaving}, 'answer'
        )

    def confirm(self, at: float) -> None:
        """Record that the list was still current at a clock time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def adopt(
        self, instances: Iterable[EdgeInstance], *, confirmed_at: float
    ) -> bool:
        """Adopt another VM's list if it is newer; return whether it is."""
        if confirmed_at <= self.confirmed_at:
            return False
        self.confirmed_at = confirmed_at
        self.adopted_at = confirmed_at
        self._replace({item.instance_id: item for item in instances}, 'hub')
        return True

    def accept(
        self, instances: Iterable[EdgeInstance], *, confirmed_at: float
    ) -> None:
        """Apply a newer list from the store.

        Instances whose entries expired while the store was unreachable are
        kept for a grace period.

        :param confirmed_at: clock time at which the list was current.
        """
        if confirmed_at < self.confirmed_at:
            return
        listed = {item.instance_id: item for item in instances}
        now = self.clock.now()
        gap = confirmed_at - self.confirmed_at
        if self.revision and gap > self.interval * _EXPIRY_INTERVALS:
            self._grace_ends_at = now + _EXPIRY_GRACE_S
        self.confirmed_at = confirmed_at
        if now < self._grace_ends_at:
            listed = {**self._expired(listed), **listed}
        self._replace(listed, 'store')

    def _expired(
        self, listed: Mapping[InstanceId, EdgeInstance]
    ) -> dict[InstanceId, EdgeInstance]:
        """Return known instances that are missing but may be listed again.

        An instance that was leaving, or whose address is used by another
        one, does not return.
        """
        addresses = {item.address for item in listed.values()}
        return {
            instance_id: item
            for instance_id, item in self.instances_by_id.items()
            if instance_id not in listed
            and not item.is_leaving
            and item.address not in addresses
        }

    def _replace(
        self, listed: Mapping[InstanceId, EdgeInstance], source: str
    ) -> None:
        before = self.instances_by_id
        listed = self._departures.apply(listed, now=self.clock.now())
        self.on_listed(listed)
        if not _differs(before, listed):
            # Warm-up times that rise are noticed against the last ones.
            self.instances_by_id = listed
            return
        self.revision += 1
        self.instances_by_id = listed
        removed = [
            item
            for instance_id, item in before.items()
            if _has_ended(item, listed.get(instance_id))
        ]
        self._departures.record_gone(
            item for item in removed if item.instance_id not in listed
        )
        self._departures.record_leaving(
            item for item in listed.values() if item.is_leaving
        )
        _LOG.info(
            'instances_changed',
            source=source,
            revision=self.revision,
            listed=sorted(set(listed) - set(before)),
            gone=sorted(set(before) - set(listed)),
            leaving=sorted(
                item.instance_id for item in listed.values() if item.is_leaving
            ),
        )
        self._index()
        self.on_removed(removed)

    def _index(self) -> None:
        usable: dict[ServiceName, list[EdgeInstance]] = {}
        for item in self.instances_by_id.values():
            is_rejected = (
                self._rejected_addresses.get(item.instance_id) == item.address
            )
            if not item.is_leaving and not is_rejected:
                usable.setdefault(item.service, []).append(item)
        self._usable_by_service = {
            service: tuple(sorted(items, key=_instance_id))
            for service, items in usable.items()
        }


def _instance_id(instance: EdgeInstance) -> InstanceId:
    return instance.instance_id


def _is_same(one: EdgeInstance, other: EdgeInstance) -> bool:
    """Return whether two entries differ at most in the warm-up time left.

    A time that rises shows that the instance has become cold again.
    """
    if (one.warmup > 0) != (other.warmup > 0):
        return False
    if other.warmup > one.warmup + _WARMUP_RISE_S:
        return False
    return one == other or attrs.evolve(one, warmup=other.warmup) == other


def _differs(
    before: Mapping[InstanceId, EdgeInstance],
    after: Mapping[InstanceId, EdgeInstance],
) -> bool:
    """Return whether lists differ in more than the warm-up times left."""
    if before.keys() != after.keys():
        return True
    return any(
        not _is_same(item, after[instance_id])
        for instance_id, item in before.items()
    )


def _has_ended(before: EdgeInstance, after: EdgeInstance | None) -> bool:
    return after is None or (
        (before.address, before.started_ms) != (after.address, after.started_ms)
    )
