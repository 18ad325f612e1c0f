"""Sends requests when an instance has room, in an order that serves callers.

Requests that can be served in time wait in the VM and not in the queues of
instances, where no order can be kept. Requests whose turn would come too late
are refused at once.
"""

import asyncio
from collections.abc import Callable

import attrs
import structlog

from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.retry_budget import RetryBudget
from bronzewall.edge.scheduling.order import hopeless, in_order, next_request
from bronzewall.edge.scheduling.service_outcomes import (
    Outcome,
    ServiceOutcomes,
)
from bronzewall.edge.scheduling.use_floor import RISK_FRACTION
from bronzewall.edge.scheduling.waiting_request import WaitEnd, WaitingRequest
from bronzewall.edge.scheduling.waiting_room import WaitingRoom
from bronzewall.edge.selection import (
    QUEUE_TIME_WEIGHT,
    Candidate,
    RequestProfile,
    RoomBounds,
    Selector,
    least_time,
    target_latency,
)
from bronzewall.edge.zone_state import ZoneState
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.problems import Reason
from bronzewall.types import InstanceId, ServiceName

# Requests that may wait in the queue of an instance, for each of its slots.
# They keep it busy until the VMs of the zone know that a slot is free.
_QUEUED_PER_SLOT = 1.0
# Time between two checks whether waiting requests can be sent, seconds. Other
# VMs' requests end without a message to this one.
_RECHECK_S = 0.02
# Kinds of bounds (home regions, instances already tried) that are tried for
# each request that is sent. Requests whose own instances have no room must not
# block those behind them.
_MAX_TRIED = 6
_LOG = structlog.get_logger()


@attrs.frozen(kw_only=True)
class Preview:
    """What would happen to a request now.

    :param candidate: instance to which it would go at once, if any.
    :param waiting: requests that wait for its service.
    :param wait: expected seconds until it is sent.
    :param is_hopeless: it would be refused because that is too late.
    """

    candidate: Candidate | None
    waiting: int
    wait: float
    is_hopeless: bool


@attrs.define(kw_only=True, eq=False)
class Scheduler:
    """Waiting rooms of one VM, by service.

    :param is_enabled: whether the settings and the configuration in force ask
        for scheduling.
    :param usual_rate: returns the weight of requests without an account, or
        whose account has no rate.
    """

    clock: Clock
    selector: Selector
    state: ZoneState
    budget: RetryBudget
    metrics: Metrics
    is_enabled: Callable[[], bool]
    usual_rate: Callable[[], float] = lambda: 1
    outcomes: ServiceOutcomes = attrs.field(factory=ServiceOutcomes)
    rooms_by_service: dict[ServiceName, WaitingRoom] = attrs.field(factory=dict)
    _timer: asyncio.TimerHandle | None = None

    def connect(self) -> None:
        """Send waiting requests whenever a request of this VM ends."""
        self.state.end_listeners.append(self._on_ended)

    def is_shedding(self, service: ServiceName) -> bool:
        """Return whether the instances of a service reject in general."""
        return self.is_enabled() and self.outcomes.is_shedding(
            service, now=self.clock.now()
        )

    def is_failing(self, service: ServiceName) -> bool:
        """Return whether a service fails many of this VM's requests."""
        if not self.is_enabled():
            return False
        unserved = self.outcomes.unserved_fraction(
            service, now=self.clock.now()
        )
        return unserved >= RISK_FRACTION

    def record(
        self, service: ServiceName, instance_id: InstanceId, outcome: Outcome
    ) -> None:
        """Record what an instance did with a request."""
        if self.is_enabled():
            self.outcomes.record(
                service, instance_id, outcome, now=self.clock.now()
            )

    async def choose(
        self,
        exchange: EdgeExchange,
        profile: RequestProfile,
        *,
        excluded: frozenset[InstanceId],
    ) -> Candidate | None:
        """Return an instance with room, after a wait if there is none.

        A request that an instance has rejected waits for a retry of the budget
        as well.

        :param excluded: instances that the request cannot be sent to.
        :return: ``None`` if no instance is left.
        :raises RefusalError: the request would be sent too late.
        """
        now = self.clock.now()
        room = self.rooms_by_service.setdefault(profile.service, WaitingRoom())
        item = self._waiting_request(exchange, profile, excluded, now)
        exchange.waiting_since = now
        if not self.selector.has_any(profile, excluded=excluded, now=now):
            return None
        try:
            self._join(room, item, now)
            reason = await item.ended
        except BaseException:
            self._abandon(room, item)
            raise
        return self._take(exchange, room, item, reason)

    def preview(
        self, exchange: EdgeExchange, profile: RequestProfile
    ) -> Preview:
        """Return what would happen to a request now; nothing is changed."""
        now = self.clock.now()
        room = self.rooms_by_service.get(profile.service, WaitingRoom())
        item = self._waiting_request(exchange, profile, frozenset(), now)
        ordered = in_order(
            [*room.requests, item], fair_use=room.fair_use, now=now
        )
        candidate = None
        if not room.requests:
            candidate = self.selector.best_with_room(
                profile, self._bounds(room, item), now=now
            )
        gap = self._gap(room, item)
        late = hopeless(
            ordered,
            gap=gap,
            is_overloaded=room.is_overloaded(now=now),
            now=now,
        )
        return Preview(
            candidate=candidate,
            waiting=len(room.requests),
            wait=0 if candidate else (ordered.index(item) + 1) * gap,
            is_hopeless=candidate is None and item in late,
        )

    def _join(
        self, room: WaitingRoom, item: WaitingRequest, now: float
    ) -> None:
        displaced = room.join(item, now=now)
        if displaced is not None:
            displaced.end(WaitEnd.DISPLACED)
        self._dispatch(item.profile.service, room)

    def _take(
        self,
        exchange: EdgeExchange,
        room: WaitingRoom,
        item: WaitingRequest,
        reason: WaitEnd,
    ) -> Candidate | None:
        """Return the instance of a request that no longer waits.

        :raises RefusalError: its wait did not end with an instance.
        """
        now = self.clock.now()
        waited = now - item.arrived
        if item.candidate is not None:
            # From here on the attempt itself counts as in flight.
            self.state.unreserve(item.candidate.instance.instance_id)
        if waited or reason is not WaitEnd.SENT:
            self.metrics.events[f'wait_{reason.value}'] += 1
            _LOG.info(
                'wait_ended',
                request_id=exchange.request_id,
                reason=reason.value,
                seconds=round(waited, 3),
                rank=item.rank,
                again=item.needs_retry,
                waiting=len(room.requests),
            )
        if reason is WaitEnd.SENT:
            exchange.owes_retry = False
            return item.candidate
        if reason is WaitEnd.NO_INSTANCE:
            return None
        gap = self._gap(room, item)
        raise exchange.refusal(
            Reason.OVERLOADED,
            detail=(
                f'{len(room.requests)} requests wait for {exchange.service},'
                f' one is sent each {gap:.3f} s'
            ),
            retry_after=room.returns.assign(
                backlog=room.backlog(gap=gap), gap=gap, now=now
            ),
        )

    def _abandon(self, room: WaitingRoom, item: WaitingRequest) -> None:
        """Forget a request whose caller has left."""
        room.leave(item)
        if item.candidate is not None:
            self.state.unreserve(item.candidate.instance.instance_id)
            self._dispatch(item.profile.service, room)

    def _waiting_request(
        self,
        exchange: EdgeExchange,
        profile: RequestProfile,
        excluded: frozenset[InstanceId],
        now: float,
    ) -> WaitingRequest:
        account = exchange.account
        in_time_at = exchange.started + target_latency(profile)
        return WaitingRequest(
            profile=profile,
            excluded=excluded,
            rank=exchange.rank,
            account_id=None if account is None else account.account_id,
            weight=(account and account.rate) or self.usual_rate(),
            needs_retry=exchange.owes_retry,
            is_first=exchange.waiting_since is None,
            arrived=now,
            in_time_until=in_time_at - profile.expected_time,
            expires_at=exchange.deadline - least_time(profile),
        )

    def _on_ended(self, instance_id: InstanceId) -> None:
        """Send waiting requests after a request of this VM has ended."""
        instance = self.selector.catalog.instances_by_id.get(instance_id)
        if instance is None:
            return
        room = self.rooms_by_service.get(instance.service)
        if room is not None:
            self._dispatch(instance.service, room)

    def _dispatch(self, service: ServiceName, room: WaitingRoom) -> None:
        """Send the waiting requests for which there is room, in order."""
        while room.requests:
            now = self.clock.now()
            self._end_expired(room, now)
            ordered = in_order(room.requests, fair_use=room.fair_use, now=now)
            if not self._send_one(service, room, ordered, now):
                self._end_hopeless(room, ordered, now)
                break
        if room.requests and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                _RECHECK_S, self._recheck
            )

    def _recheck(self) -> None:
        self._timer = None
        for service, room in self.rooms_by_service.items():
            self._dispatch(service, room)

    def _send_one(
        self,
        service: ServiceName,
        room: WaitingRoom,
        ordered: list[WaitingRequest],
        now: float,
    ) -> bool:
        """End the wait of one request and return whether there was room."""
        may_retry = self.budget.can_consume(service)
        eligible = [
            item for item in ordered if may_retry or not item.needs_retry
        ]
        blocked: set[tuple[object, ...]] = set()
        while eligible and len(blocked) < _MAX_TRIED:
            item = next_request(eligible, turn=room.turn)
            candidate = self._find_room(room, item, now)
            if candidate is not None:
                self._send(service, room, item, candidate, now)
                return True
            if not self.selector.has_any(
                item.profile, excluded=item.excluded, now=now
            ):
                room.leave(item)
                item.end(WaitEnd.NO_INSTANCE)
                return True
            blocked.add(item.bounds)
            eligible = [one for one in eligible if one.bounds not in blocked]
        return False

    def _find_room(
        self, room: WaitingRoom, item: WaitingRequest, now: float
    ) -> Candidate | None:
        """Return the best instance with room, if it is worth its distance.

        The longer the queue in this VM, the more a distant instance may cost:
        each request that goes there shortens the wait of all behind it.
        """
        return self.selector.choose_with_room(
            item.profile, self._bounds(room, item), now=now
        )

    def _bounds(self, room: WaitingRoom, item: WaitingRequest) -> RoomBounds:
        """Return which instances a request may be sent to now."""
        profile = item.profile
        backlog = room.backlog(gap=self._gap(room, item))
        return RoomBounds(
            excluded=item.excluded,
            max_queue_time=profile.expected_time * _QUEUED_PER_SLOT,
            extra_loss=QUEUE_TIME_WEIGHT * backlog / target_latency(profile),
        )

    def _send(
        self,
        service: ServiceName,
        room: WaitingRoom,
        item: WaitingRequest,
        candidate: Candidate,
        now: float,
    ) -> None:
        if item.needs_retry:
            self.budget.consume(service)
        # Counts until the request's task continues, so that the next request
        # does not get the same place.
        self.state.reserve(candidate.instance.instance_id)
        room.leave(item)
        room.record_sent(item, now=now)
        item.end(WaitEnd.SENT, candidate)

    def _end_expired(self, room: WaitingRoom, now: float) -> None:
        """Drop the requests whose time has passed or whose caller has left."""
        for item in tuple(room.requests):
            if now >= item.expires_at or item.ended.done():
                room.leave(item)
                item.end(WaitEnd.HOPELESS)

    def _end_hopeless(
        self, room: WaitingRoom, ordered: list[WaitingRequest], now: float
    ) -> None:
        """Refuse the requests whose turn would come too late."""
        for needs_retry in (False, True):
            lane = [item for item in ordered if item.needs_retry is needs_retry]
            if not lane:
                continue
            late = hopeless(
                lane,
                gap=self._gap(room, lane[0]),
                is_overloaded=room.is_overloaded(now=now),
                now=now,
            )
            for item in late:
                room.leave(item)
                item.end(WaitEnd.HOPELESS)

    def _gap(self, room: WaitingRoom, item: WaitingRequest) -> float:
        """Return the expected seconds between two requests that are sent.

        Before any has waited, all VMs are expected to send as often as each
        other and to keep all slots busy.
        """
        profile = item.profile
        now = self.clock.now()
        gap = room.sent.gap(now=now)
        if gap is None:
            slots = sum(
                instance.slots
                for instance in self.selector.catalog.usable(profile.service)
            )
            gap = profile.expected_time * self.budget.vm_count / max(1, slots)
        if not item.needs_retry or self.budget.can_consume(profile.service):
            return gap
        retry_ratio = self.budget.ratio_per_vm()
        arrival_gap = room.arrived.gap(now=now)
        if arrival_gap is None or not retry_ratio:
            return gap
        return max(gap, arrival_gap / retry_ratio)
