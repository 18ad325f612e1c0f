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

# Score at which an instance that ramps up is ejected again.
RELAPSE_SCORE = REPORT_SCORE
# Time out of use before the first ramp-up; doubled after each relapse.
_INITIAL_BACKOFF_S = 5.0
_MAX_DOUBLINGS = 5
# An instance that stays healthy for this long after its return starts with
# the initial backoff again. It is longer than the longest backoff.
_BACKOFF_RESET_S = 300.0
# Fractions of the usual load while an instance ramps up.
_RAMP_UP_FRACTIONS = (0.05, 0.15, 0.4)
_RAMP_UP_STEP_S = 1.5
# An instance that joined a known service is cold for this long.
_COLD_START_S = 10.0
_FULL = 1.0
# Tolerance for rounding errors in sums of capacity fractions.
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
    """An (instance, route class) that is ejected, retained or ramping up.

    :param key: instance and route class, empty for the whole instance.
    :param since: start of the current phase.
    :param relapses: ejections during or soon after a return.
    :param suspect: newest evidence.
    :param is_retained: kept in use, because the floor needs its capacity.
    :param step: index of the ramp-up fraction while it ramps up, else -1.
    """

    key: Key
    service: ServiceName
    since: float
    relapses: int
    suspect: Suspect
    is_retained: bool = False
    step: int = -1

    @property
    def backoff(self) -> float:
        """Seconds out of use until the ramp-up starts."""
        doublings = min(self.relapses, _MAX_DOUBLINGS)
        return math.ldexp(_INITIAL_BACKOFF_S, doublings)

    @property
    def weight(self) -> float:
        """Fraction of the usual load that it gets."""
        if self.is_retained:
            return _FULL
        return 0 if self.step < 0 else _RAMP_UP_FRACTIONS[self.step]

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
class _ReturnRecord:
    """Relapse count of an instance at its last return."""

    returned_at: float
    relapses: int


def _full_capacity(_instance: Instance) -> float:
    return _FULL


@attrs.define(kw_only=True, eq=False)
class Ejections:
    """Ejects instances that fail and returns them to use gradually.

    Capacity in use is counted for each route class; an instance that ramps
    up counts as unused. After every call it is at or above the floor of the
    service, or nothing of the service is ejected.

    :param service_of: service in force by name, ``None`` if removed.
    :param on_eject: called with each instance and route class that is taken
        out of use.
    :param capacity_of: usable fraction of an instance's slots; 0 while it is
        leaving, below 1 while it is cold. Call ``review`` when it falls.
    """

    clock: Clock
    service_of: Callable[[ServiceName], Service | None]
    on_eject: Callable[[InstanceId, RouteId], object]
    capacity_of: Callable[[Instance], float] = _full_capacity
    _ejections_by_key: dict[Key, Ejection] = attrs.field(factory=dict)
    _returns_by_id: dict[InstanceId, _ReturnRecord] = attrs.field(factory=dict)
    _weights_by_key: dict[Key, float] = attrs.field(factory=dict)
    _services_by_name: dict[ServiceName, Service] = attrs.field(factory=dict)
    _cold_until: dict[InstanceId, float] = attrs.field(factory=dict)

    def weight_of(self, instance: Instance, route: Route) -> float:
        """Return the fraction of its usual load that an instance may get.

        0 means ejected and 1 in full use. Between, it ramps up, and only
        idempotent requests may use it until the last step.
        """
        if self.service_of(route.service) is not self._services_by_name.get(
            route.service
        ):
            self.restore_floor(route.service)
        if not self._weights_by_key:
            return _FULL
        weight = min(
            self._weights_by_key.get((instance.instance_id, ANY_CLASS), _FULL),
            self._weights_by_key.get(
                (instance.instance_id, route.route_id), _FULL
            ),
        )
        if not route.idempotent and weight < _RAMP_UP_FRACTIONS[-1]:
            return 0
        return weight

    def is_cold(self, instance_id: InstanceId) -> bool:
        """Return whether an instance recently joined a known service."""
        until = self._cold_until.get(instance_id)
        return until is not None and self.clock.now() < until

    def evaluate(self, name: ServiceName, suspects: Iterable[Suspect]) -> None:
        """Eject, return or retain instances of a service.

        :param suspects: all current suspects that concern this VM.
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
        self.restore_floor(name)

    def restore_floor(self, name: ServiceName) -> None:
        """Restore the floor after the instances or their capacity changed."""
        service = self.service_of(name)
        self._update_instances(name, service)
        if service is not None:
            while True:
                below_floor = self._class_below_floor(service)
                if below_floor is None:
                    break
                self._retain_least_severe(name, below_floor)
        self._weights_by_key = {
            key: ejection.weight
            for key, ejection in self._ejections_by_key.items()
        }

    def capacity_in_use(self, service: Service, route_class: RouteId) -> float:
        """Return the fraction of slots in full use for a route class."""
        total = sum(item.slots for item in service.instances_by_id.values())
        used = sum(
            item.slots * self.capacity_of(item)
            for item in service.instances_by_id.values()
            if not self._is_out_of_use(item.instance_id, route_class)
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

    def _is_out_of_use(
        self, instance_id: InstanceId, route_class: RouteId
    ) -> bool:
        for_instance = self._ejections_by_key.get((instance_id, ANY_CLASS))
        if for_instance is not None and not for_instance.is_retained:
            return True
        for_class = self._ejections_by_key.get((instance_id, route_class))
        return for_class is not None and not for_class.is_retained

    def _is_new(self, service: Service, key: Key) -> bool:
        return (
            key[0] in service.instances_by_id
            and key not in self._ejections_by_key
            and (key[0], ANY_CLASS) not in self._ejections_by_key
        )

    def _class_below_floor(self, service: Service) -> RouteId | None:
        """Return a class that ejections reduce below the floor, if any."""
        classes = {
            ejection.key[1]
            for ejection in self._of_service(service.name)
            if not ejection.is_retained
        }
        for route_class in sorted(classes):
            in_use = self.capacity_in_use(service, route_class)
            if in_use < service.floor - _EPSILON:
                return route_class
        return None

    def _retain_least_severe(
        self, name: ServiceName, route_class: RouteId
    ) -> None:
        ejected = [
            ejection
            for ejection in self._of_service(name)
            if not ejection.is_retained
            and ejection.key[1] in {ANY_CLASS, route_class}
        ]
        self._retain(min(ejected, key=_severity))

    def _retain(self, ejection: Ejection) -> None:
        ejection.is_retained = True
        ejection.step = -1
        _LOG.warning('ejection_refused', because='floor', **ejection.report())

    def _eject(self, service: Service, key: Key, suspect: Suspect) -> None:
        last_return = self._returns_by_id.pop(key[0], None)
        now = self.clock.now()
        relapses = 0
        if (
            last_return is not None
            and now - last_return.returned_at < _BACKOFF_RESET_S
        ):
            relapses = last_return.relapses + 1
        if key[1] == ANY_CLASS:
            relapses = max(relapses, self._merge_class_ejections(key[0]))
        ejection = Ejection(
            key=key,
            service=service.name,
            since=now,
            relapses=relapses,
            suspect=suspect,
            is_retained=True,
        )
        self._ejections_by_key[key] = ejection
        if self._restore_capacity_for(service, ejection):
            self._take_out_of_use(ejection)
        else:
            _LOG.warning(
                'ejection_refused', because='floor', **ejection.report()
            )

    def _restore_capacity_for(
        self, service: Service, ejection: Ejection
    ) -> bool:
        """Retain instances with lower scores until the floor allows it.

        :returns: whether the floor now allows the ejection.
        """
        while not self._floor_allows(service, ejection):
            less_severe = [
                other
                for other in self._of_service(service.name)
                if not other.is_retained
                and other.suspect.score < ejection.suspect.score
            ]
            if not less_severe:
                return False
            self._retain(min(less_severe, key=_severity))
        return True

    def _merge_class_ejections(self, instance_id: InstanceId) -> int:
        """Drop the ejections of single classes; return their most relapses."""
        keys = [key for key in self._ejections_by_key if key[0] == instance_id]
        return max(
            (self._ejections_by_key.pop(key).relapses for key in keys),
            default=0,
        )

    def _floor_allows(self, service: Service, ejection: Ejection) -> bool:
        """Return whether the floor allows an ejection."""
        ejection.is_retained = False
        is_allowed = self._class_below_floor(service) is None
        ejection.is_retained = True
        return is_allowed

    def _take_out_of_use(self, ejection: Ejection) -> None:
        ejection.is_retained = False
        ejection.step = -1
        ejection.since = self.clock.now()
        _LOG.warning('ejected', **ejection.report())
        self.on_eject(*ejection.key)

    def _advance(self, ejection: Ejection, suspect: Suspect | None) -> None:
        if suspect is not None:
            ejection.suspect = suspect
        is_failing = suspect is not None and suspect.score >= RELAPSE_SCORE
        if ejection.is_retained:
            self._advance_retained(ejection, is_failing)
        elif ejection.step < 0:
            self._advance_ejected(ejection, is_failing)
        else:
            self._advance_ramp_up(ejection, is_failing)

    def _advance_retained(self, ejection: Ejection, is_failing: bool) -> None:
        if not is_failing:
            self._complete_return(ejection)
            return
        service = self.service_of(ejection.service)
        if service is not None and self._floor_allows(service, ejection):
            self._take_out_of_use(ejection)

    def _advance_ejected(self, ejection: Ejection, is_failing: bool) -> None:
        now = self.clock.now()
        if not is_failing and now >= ejection.since + ejection.backoff:
            ejection.step = 0
            ejection.since = now

    def _advance_ramp_up(self, ejection: Ejection, is_failing: bool) -> None:
        if is_failing:
            ejection.relapses += 1
            self._take_out_of_use(ejection)
        elif self.clock.now() >= ejection.since + _RAMP_UP_STEP_S:
            ejection.step += 1
            ejection.since = self.clock.now()
            if ejection.step == len(_RAMP_UP_FRACTIONS):
                self._complete_return(ejection)

    def _complete_return(self, ejection: Ejection) -> None:
        ejection.step = -1
        self._ejections_by_key.pop(ejection.key, None)
        self._returns_by_id[ejection.key[0]] = _ReturnRecord(
            returned_at=self.clock.now(), relapses=ejection.relapses
        )
        _LOG.info('returned', **ejection.report())

    def _update_instances(
        self, name: ServiceName, service: Service | None
    ) -> None:
        known = self._services_by_name.get(name)
        if service is known:
            return
        present = service.instances_by_id if service else {}
        for ejection in self._of_service(name):
            if ejection.key[0] not in present:
                self._complete_return(ejection)
        if service is None:
            self._services_by_name.pop(name, None)
            return
        self._services_by_name[name] = service
        if known is not None:
            until = self.clock.now() + _COLD_START_S
            for instance_id in present:
                if instance_id not in known.instances_by_id:
                    self._cold_until[instance_id] = until


def _severity(ejection: Ejection) -> tuple[float, Key]:
    return ejection.suspect.score, ejection.key


def _rule_of(suspect: Suspect) -> Rule:
    if suspect.zone == EVERYWHERE:
        return Rule.FAILING
    if suspect.zone == OWN_PATH:
        return Rule.UNREACHABLE_FROM_HERE
    return Rule.UNREACHABLE_FROM_ZONE
