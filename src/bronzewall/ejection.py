"""Ejection and return of instances under the capacity floor."""

import enum
import math
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import structlog

from bronzewall.config_model import Instance, Route, Service
from bronzewall.instance_suspicions import OWN_PATH
from bronzewall.pool_state import (
    ANY_CLASS,
    EJECT_SCORE,
    EVERYWHERE,
    REPORT_SCORE,
)
from bronzewall.pooled_evidence import Suspect
from bronzewall.ports import Clock
from bronzewall.types import InstanceId, RouteId, ServiceName

# Score at which the trickle to a returning instance stops.
RELAPSE_SCORE = REPORT_SCORE
# Wait before the first return; doubled after each relapse.
_FIRST_WAIT_S = 5.0
_MOST_DOUBLINGS = 5
# An instance that stays good for this long after its return starts with
# the first wait again. It is longer than the longest wait.
_FORGIVEN_AFTER_S = 300.0
# Shares of the usual load while an instance returns.
_TRICKLE_SHARES = (0.05, 0.15, 0.4)
_TRICKLE_STEP_S = 1.5
# An instance that joined a known service is cold for this long.
_COLD_S = 10.0
_FULL = 1.0
# Rounding of sums of capacity shares.
_EPSILON = 1e-9
_LOG = structlog.get_logger()

Key = tuple[InstanceId, RouteId]


class Rule(enum.StrEnum):
    """Why an instance was ejected."""

    FAILING = 'failing'
    UNREACHABLE_FROM_ZONE = 'unreachable_from_zone'
    UNREACHABLE_FROM_HERE = 'unreachable_from_here'


@attrs.define(kw_only=True, eq=False)
class Ejection:
    """An (instance, route class) that is out or returns.

    :param key: instance and route class, empty for the whole instance.
    :param since: start of the current phase.
    :param relapses: ejections soon after a return.
    :param suspect: newest evidence.
    :param is_kept: used nevertheless, because the floor needs it.
    :param step: index of the trickle share while it returns, else -1.
    """

    key: Key
    service: ServiceName
    since: float
    relapses: int
    suspect: Suspect
    is_kept: bool = False
    step: int = -1

    @property
    def wait(self) -> float:
        """Seconds until the trickle starts."""
        doublings = min(self.relapses, _MOST_DOUBLINGS)
        return math.ldexp(_FIRST_WAIT_S, doublings)

    @property
    def weight(self) -> float:
        """Share of the usual load that it gets."""
        if self.is_kept:
            return _FULL
        return 0 if self.step < 0 else _TRICKLE_SHARES[self.step]

    def report(self) -> dict[str, Any]:
        """Return the fields of log lines and of the status report."""
        return {
            'service': self.service,
            'instance': self.key[0],
            'route_class': self.key[1] or 'all',
            'rule': _rule_of(self.suspect).value,
            'zone': self.suspect.zone or 'all',
            'score': self.suspect.score,
            'failed': self.suspect.failed,
            'ok': self.suspect.ok,
            'overdue': self.suspect.overdue,
            'witnesses': self.suspect.witnesses,
            'relapses': self.relapses,
            'weight': self.weight,
        }


@attrs.frozen(kw_only=True)
class _Past:
    """Memory of an instance that has returned."""

    returned_at: float
    relapses: int


def _whole_capacity(_instance: Instance) -> float:
    return _FULL


@attrs.define(kw_only=True, eq=False)
class Ejections:
    """Which instances this VM does not use, and how they return.

    Capacity in use is counted for each route class; a returning instance
    counts as unused. It stays at or above the floor of the service after
    every call, or nothing of the service is ejected.

    :param service_of: service in force by name, ``None`` if removed.
    :param on_eject: called with each instance and route class that gets
        no work from now on.
    :param capacity_of: usable share of an instance's slots; 0 while it is
        leaving, below 1 while it is cold. Call ``review`` when it falls.
    """

    clock: Clock
    service_of: Callable[[ServiceName], Service | None]
    on_eject: Callable[[InstanceId, RouteId], object]
    capacity_of: Callable[[Instance], float] = _whole_capacity
    _ejections_by_key: dict[Key, Ejection] = attrs.field(factory=dict)
    _pasts_by_id: dict[InstanceId, _Past] = attrs.field(factory=dict)
    _weights_by_key: dict[Key, float] = attrs.field(factory=dict)
    _services_by_name: dict[ServiceName, Service] = attrs.field(factory=dict)
    _cold_until: dict[InstanceId, float] = attrs.field(factory=dict)

    def weight_of(self, instance: Instance, route: Route) -> float:
        """Return the share of its usual load that an instance may get.

        0 means ejected and 1 in full use; between, it returns, and only
        idempotent requests may try it until the last step.
        """
        if self.service_of(route.service) is not self._services_by_name.get(
            route.service
        ):
            self.review(route.service)
        if not self._weights_by_key:
            return _FULL
        weight = min(
            self._weights_by_key.get((instance.instance_id, ANY_CLASS), _FULL),
            self._weights_by_key.get(
                (instance.instance_id, route.route_id), _FULL
            ),
        )
        if not route.idempotent and weight < _TRICKLE_SHARES[-1]:
            return 0
        return weight

    def is_cold(self, instance_id: InstanceId) -> bool:
        """Return whether an instance has joined a known service lately."""
        until = self._cold_until.get(instance_id)
        return until is not None and self.clock.now() < until

    def judge(self, name: ServiceName, suspects: Iterable[Suspect]) -> None:
        """Eject, return or keep instances of a service.

        :param suspects: all present suspects that concern this VM.
        """
        service = self.service_of(name)
        if service is None:
            return
        worst_by_key: dict[Key, Suspect] = {}
        for suspect in sorted(suspects, key=lambda seen: -seen.score):
            key = (suspect.instance_id, suspect.route_class)
            worst_by_key.setdefault(key, suspect)
        for ejection in self._of_service(name):
            self._advance(ejection, worst_by_key.get(ejection.key))
        for key, suspect in worst_by_key.items():
            if suspect.score >= EJECT_SCORE and self._is_new(service, key):
                self._eject(service, key, suspect)
        self.review(name)

    def review(self, name: ServiceName) -> None:
        """Restore the floor after the instances or their capacity changed."""
        service = self.service_of(name)
        self._follow_instances(name, service)
        if service is not None:
            while True:
                short = self._short_class(service)
                if short is None:
                    break
                self._keep_least_bad(name, short)
        self._weights_by_key = {
            key: ejection.weight
            for key, ejection in self._ejections_by_key.items()
        }

    def capacity_in_use(self, service: Service, route_class: RouteId) -> float:
        """Return the share of the slots in full use for a route class."""
        total = sum(item.slots for item in service.instances_by_id.values())
        used = sum(
            item.slots * self.capacity_of(item)
            for item in service.instances_by_id.values()
            if not self._is_out(item.instance_id, route_class)
        )
        return used / total if total else _FULL

    def report(self) -> list[dict[str, Any]]:
        """Return the ejections for the status report."""
        return [item.report() for item in self._ejections_by_key.values()]

    def _of_service(self, name: ServiceName) -> list[Ejection]:
        return [
            ejection
            for ejection in self._ejections_by_key.values()
            if ejection.service == name
        ]

    def _is_out(self, instance_id: InstanceId, route_class: RouteId) -> bool:
        whole = self._ejections_by_key.get((instance_id, ANY_CLASS))
        if whole is not None and not whole.is_kept:
            return True
        part = self._ejections_by_key.get((instance_id, route_class))
        return part is not None and not part.is_kept

    def _is_new(self, service: Service, key: Key) -> bool:
        return (
            key[0] in service.instances_by_id
            and key not in self._ejections_by_key
            and (key[0], ANY_CLASS) not in self._ejections_by_key
        )

    def _short_class(self, service: Service) -> RouteId | None:
        """Return a class whose capacity the ejections hold below the floor."""
        classes = {
            ejection.key[1]
            for ejection in self._of_service(service.name)
            if not ejection.is_kept
        }
        for route_class in sorted(classes):
            in_use = self.capacity_in_use(service, route_class)
            if in_use < service.floor - _EPSILON:
                return route_class
        return None

    def _keep_least_bad(self, name: ServiceName, route_class: RouteId) -> None:
        out = [
            ejection
            for ejection in self._of_service(name)
            if not ejection.is_kept
            and ejection.key[1] in {ANY_CLASS, route_class}
        ]
        self._keep(min(out, key=_badness))

    def _keep(self, ejection: Ejection) -> None:
        ejection.is_kept = True
        ejection.step = -1
        _LOG.warning('ejection_refused', because='floor', **ejection.report())

    def _eject(self, service: Service, key: Key, suspect: Suspect) -> None:
        past = self._pasts_by_id.pop(key[0], None)
        now = self.clock.now()
        relapses = 0
        if past is not None and now - past.returned_at < _FORGIVEN_AFTER_S:
            relapses = past.relapses + 1
        if key[1] == ANY_CLASS:
            relapses = max(relapses, self._absorb_classes(key[0]))
        ejection = Ejection(
            key=key,
            service=service.name,
            since=now,
            relapses=relapses,
            suspect=suspect,
            is_kept=True,
        )
        self._ejections_by_key[key] = ejection
        if self._make_room(service, ejection):
            self._put_out(ejection)
        else:
            _LOG.warning(
                'ejection_refused', because='floor', **ejection.report()
            )

    def _make_room(self, service: Service, ejection: Ejection) -> bool:
        """Keep less bad instances until the floor allows an ejection."""
        while not self._fits(service, ejection):
            less_bad = [
                other
                for other in self._of_service(service.name)
                if not other.is_kept
                and other.suspect.score < ejection.suspect.score
            ]
            if not less_bad:
                return False
            self._keep(min(less_bad, key=_badness))
        return True

    def _absorb_classes(self, instance_id: InstanceId) -> int:
        """Drop ejections of single classes; return their relapses."""
        keys = [key for key in self._ejections_by_key if key[0] == instance_id]
        return max(
            (self._ejections_by_key.pop(key).relapses for key in keys),
            default=0,
        )

    def _fits(self, service: Service, ejection: Ejection) -> bool:
        """Return whether the floor allows an ejection."""
        ejection.is_kept = False
        fits = self._short_class(service) is None
        ejection.is_kept = True
        return fits

    def _put_out(self, ejection: Ejection) -> None:
        ejection.is_kept = False
        ejection.step = -1
        ejection.since = self.clock.now()
        _LOG.warning('ejected', **ejection.report())
        self.on_eject(*ejection.key)

    def _advance(self, ejection: Ejection, suspect: Suspect | None) -> None:
        if suspect is not None:
            ejection.suspect = suspect
        is_bad = suspect is not None and suspect.score >= RELAPSE_SCORE
        if ejection.is_kept:
            self._advance_kept(ejection, is_bad)
        elif ejection.step < 0:
            self._advance_out(ejection, is_bad)
        else:
            self._advance_trickle(ejection, is_bad)

    def _advance_kept(self, ejection: Ejection, is_bad: bool) -> None:
        if not is_bad:
            self._return(ejection)
            return
        service = self.service_of(ejection.service)
        if service is not None and self._fits(service, ejection):
            self._put_out(ejection)

    def _advance_out(self, ejection: Ejection, is_bad: bool) -> None:
        now = self.clock.now()
        if not is_bad and now >= ejection.since + ejection.wait:
            ejection.step = 0
            ejection.since = now

    def _advance_trickle(self, ejection: Ejection, is_bad: bool) -> None:
        if is_bad:
            ejection.relapses += 1
            self._put_out(ejection)
        elif self.clock.now() >= ejection.since + _TRICKLE_STEP_S:
            ejection.step += 1
            ejection.since = self.clock.now()
            if ejection.step == len(_TRICKLE_SHARES):
                self._return(ejection)

    def _return(self, ejection: Ejection) -> None:
        ejection.step = -1
        self._ejections_by_key.pop(ejection.key, None)
        self._pasts_by_id[ejection.key[0]] = _Past(
            returned_at=self.clock.now(), relapses=ejection.relapses
        )
        _LOG.info('returned', **ejection.report())

    def _follow_instances(
        self, name: ServiceName, service: Service | None
    ) -> None:
        known = self._services_by_name.get(name)
        if service is known:
            return
        present = service.instances_by_id if service else {}
        for ejection in self._of_service(name):
            if ejection.key[0] not in present:
                self._return(ejection)
        if service is None:
            self._services_by_name.pop(name, None)
            return
        self._services_by_name[name] = service
        if known is not None:
            until = self.clock.now() + _COLD_S
            for instance_id in present:
                if instance_id not in known.instances_by_id:
                    self._cold_until[instance_id] = until


def _badness(ejection: Ejection) -> tuple[float, Key]:
    return ejection.suspect.score, ejection.key


def _rule_of(suspect: Suspect) -> Rule:
    if suspect.zone == EVERYWHERE:
        return Rule.FAILING
    if suspect.zone == OWN_PATH:
        return Rule.UNREACHABLE_FROM_HERE
    return Rule.UNREACHABLE_FROM_ZONE
