"""Assigns requests to upstream instances within their capacity."""

import asyncio
import random
from collections.abc import Callable

import attrs

from bronzewall import headers as header_rules
from bronzewall.choice import (
    FULL_WEIGHT,
    Choice,
    InstanceLoad,
    WeightOf,
    candidates_of,
    choose,
    full_weight,
)
from bronzewall.config_model import Instance, Route, Service
from bronzewall.errors import (
    NoInstanceError,
    QueueFullError,
    UpstreamError,
    UpstreamShedError,
)
from bronzewall.locality import Locality, locality_of
from bronzewall.ports import Clock, Headers
from bronzewall.queueing import Waiter
from bronzewall.retry import is_not_run
from bronzewall.service_load import (
    WAIT_FRACTION,
    HeldSlot,
    LoopClock,
    ServiceLoad,
    ignore,
    new_service_load,
    update_instances,
)
from bronzewall.types import AccountId, InstanceId, Placement, ServiceName

# A blocked instance becomes usable when its pause ends, so the queue is
# checked at this interval even if no slot of this VM is released.
_DISPATCH_INTERVAL_S = 0.025


@attrs.define(kw_only=True, eq=False)
class Dispatcher:
    """Assigns requests to instances by the load that this VM observes.

    :param clock: clock that the deadlines of callers refer to.
    :param placement: this VM's placement; ``None`` treats every instance
        as one of its own zone.
    :param weight_of: fraction of normal traffic that an instance gets, 0
        if it is ejected.
    :param on_update: called when a service is added or changed.
    :param on_out_of_slots: called when requests wait for a slot.
    :param on_release: called when a slot was released and no request of
        this VM took it.
    :param on_less_capacity: called with a service when one of its
        instances begins to leave.
    """

    random: random.Random
    clock: Clock | LoopClock = attrs.field(factory=LoopClock)
    placement: Placement | None = None
    weight_of: WeightOf = full_weight
    on_update: Callable[[ServiceLoad], None] = ignore
    on_out_of_slots: Callable[[ServiceLoad], None] = ignore
    on_release: Callable[[ServiceLoad, InstanceLoad], None] = ignore
    on_less_capacity: Callable[[ServiceName], object] = ignore
    states_by_service: dict[ServiceName, ServiceLoad] = attrs.field(
        factory=dict
    )
    _held_slots_by_instance: dict[Instance, list[HeldSlot]] = attrs.field(
        factory=dict
    )

    async def acquire(
        self,
        *,
        service: Service,
        route: Route,
        account_id: AccountId | None,
        deadline: float,
        excluded: frozenset[InstanceId],
    ) -> Instance:
        """Return an instance for one attempt; ``release`` it afterwards.

        :param deadline: clock time at which the caller's deadline passes.
        :param excluded: instances already tried for this request.
        :raises NoInstanceError: no instance may take the request.
        :raises QueueFullError: the queue is full, or no slot became free
            in time.
        """
        state = self.state_of(service)
        if not excluded:
            state.count_arrival(account_id)
        if not state.queue.length:
            instance = self._take_slot(state, route, excluded)
            if instance is not None:
                state.admit(account_id, self.clock.now())
                return instance
        return await self._wait(state, route, account_id, deadline, excluded)

    def try_hedge(
        self,
        *,
        service: Service,
        route: Route,
        excluded: frozenset[InstanceId],
    ) -> Instance | None:
        """Return an instance for a second attempt, or ``None``.

        The attempt uses the service's hedge budget and a slot that is
        free now; it never waits and never delays a first attempt.
        """
        state = self.state_of(service)
        if state.queue.length or not state.hedge.can_consume():
            return None
        try:
            instance = self._take_slot(state, route, excluded)
        except NoInstanceError:
            return None
        if instance is not None:
            state.hedge.consume()
        return instance

    def hedge_delay(self, service: Service) -> float:
        """Return the seconds after which a second attempt may start."""
        return self.state_of(service).slow_hold

    def release(
        self,
        instance: Instance,
        *,
        is_served: bool = False,
        error: UpstreamError | None = None,
    ) -> None:
        """Release the slot taken by ``acquire``.

        :param is_served: an answer was relayed.
        :param error: how the attempt failed, if it was sent.
        """
        held_slot = self._pop_held_slot(instance)
        held_slot.load.in_flight -= 1
        now = self.clock.now()
        if error is not None and is_not_run(error):
            held_slot.load.block(now)
            if isinstance(error, UpstreamShedError):
                # The borrow budget limits the number of shed answers.
                held_slot.state.borrow.balance -= 1
        elif is_served or error is not None:
            held_slot.load.failures = 0
            held_slot.state.record_hold(now - held_slot.started)
        self.dispatch_queued(held_slot.state)
        self.on_release(held_slot.state, held_slot.load)

    def state_of(self, service: Service) -> ServiceLoad:
        """Return the state of a service, with its current instances."""
        state = self.states_by_service.get(service.name)
        if state is None:
            state = new_service_load(service)
            self.states_by_service[service.name] = state
        if state.service is not service or not state.loads_by_id:
            update_instances(
                state,
                service=service,
                placement=self.placement,
                now=self.clock.now(),
            )
            self.on_update(state)
        return state

    def may_retry(self, service: Service) -> bool:
        """Consume one retry of the service's retry budget if one is left."""
        return self.state_of(service).retry.consume()

    def observe_headers(self, instance: Instance, headers: Headers) -> None:
        """Apply a drain notice from an upstream's answer."""
        if header_rules.find(headers, header_rules.DRAINING) is not None:
            self.mark_leaving(instance.instance_id)

    def mark_leaving(
        self,
        instance_id: InstanceId,
        *,
        service: ServiceName | None = None,
        is_reported: bool = False,
    ) -> None:
        """Mark an instance as leaving, so that it gets no new work.

        :param service: its service, ``None`` for all services with an
            instance of this id.
        :param is_reported: another VM observed that it is leaving.
        """
        now = self.clock.now()
        for state in self.states_by_service.values():
            load = state.loads_by_id.get(instance_id)
            if load is not None and service in {None, state.service.name}:
                was_staying = load.leaving_until <= now
                load.mark_leaving(now, is_reported=is_reported)
                if was_staying:
                    self.on_less_capacity(state.service.name)

    def usable_fraction(self, instance: Instance) -> float:
        """Return the fraction of an instance's slots that are usable now.

        It is 0 while the instance is leaving and below 1 during its
        ramp-up.
        """
        now = self.clock.now()
        for state in self.states_by_service.values():
            load = state.loads_by_id.get(instance.instance_id)
            if load is not None and load.instance == instance:
                return (
                    0 if load.leaving_until > now else load.ramp_up_weight(now)
                )
        return FULL_WEIGHT

    def is_remote(self, instance: Instance) -> bool:
        """Return whether traffic with an instance crosses regions."""
        own = self.placement or instance.placement
        return locality_of(own, instance.placement) is Locality.REMOTE

    def dispatch_queued(self, state: ServiceLoad) -> None:
        """Assign free slots to queued requests."""
        queue = state.queue
        has_progress = queue.length > 0
        while has_progress:
            has_progress = self._dispatch_one(
                state, queue.next_waiters(self.clock.now())
            )
        if queue.length:
            self._schedule_dispatch(state)

    def _dispatch_one(self, state: ServiceLoad, waiters: list[Waiter]) -> bool:
        failed_routes = set()
        for waiter in waiters:
            # Requests of one route without exclusions have the same
            # candidates: if one gets no slot, none does.
            if not waiter.excluded and waiter.route.route_id in failed_routes:
                continue
            if self._try_dispatch(state, waiter):
                return True
            if not waiter.excluded:
                failed_routes.add(waiter.route.route_id)
        return False

    def _try_dispatch(self, state: ServiceLoad, waiter: Waiter) -> bool:
        if waiter.future.done():
            # The caller disconnected; its cancelled task has not run yet.
            return state.queue.remove(waiter)
        try:
            instance = self._take_slot(state, waiter.route, waiter.excluded)
        except NoInstanceError as exc:
            waiter.future.set_exception(exc)
        else:
            if instance is None:
                return False
            waiter.future.set_result(instance)
        state.queue.remove(waiter)
        return True

    def _schedule_dispatch(self, state: ServiceLoad) -> None:
        if state.is_pump_set:
            return

        def on_timer() -> None:
            state.is_pump_set = False
            self.dispatch_queued(state)
            if state.queue.length:
                self.on_out_of_slots(state)

        state.is_pump_set = True
        loop = asyncio.get_running_loop()
        loop.call_later(_DISPATCH_INTERVAL_S, on_timer)

    def _take_slot(
        self,
        state: ServiceLoad,
        route: Route,
        excluded: frozenset[InstanceId],
    ) -> Instance | None:
        now = self.clock.now()
        choice = choose(
            candidates=self._candidates(state, route, excluded),
            # A VM with lenders requests idle slots of other VMs as loans,
            # which causes no shed answers. Only a VM without lenders, such
            # as one without a grant, uses these slots without a loan.
            may_borrow=not state.has_lenders and state.borrow.can_consume(),
            rng=self.random,
            now=now,
        )
        if choice is None and excluded:
            choice = self._choose_after_shed(state, route, excluded, now)
        if choice is None:
            return None
        load = choice.load
        load.in_flight += 1
        if choice.relative_weight < FULL_WEIGHT:
            pause = state.mean_hold / choice.relative_weight
            load.paced_until = now + pause
        if not excluded:
            state.credit_budgets()
        self._held_slots_by_instance.setdefault(load.instance, []).append(
            HeldSlot(state=state, load=load, started=now)
        )
        return load.instance

    def _choose_after_shed(
        self,
        state: ServiceLoad,
        route: Route,
        excluded: frozenset[InstanceId],
        now: float,
    ) -> Choice | None:
        """Choose again among the instances that this request was sent to.

        Only those qualify whose last answer to this VM was a refusal, of
        the request or of the connection, and whose pause has ended. Needed
        because a VM may have slots on one instance only.
        """
        shed = [
            load
            for load in state.loads_by_id.values()
            if load.failures and load.instance.instance_id in excluded
        ]
        candidates = candidates_of(
            loads=shed,
            route=route,
            excluded=frozenset(),
            weight_of=self.weight_of,
            now=now,
        )
        return choose(
            candidates=candidates, may_borrow=False, rng=self.random, now=now
        )

    def _candidates(
        self,
        state: ServiceLoad,
        route: Route,
        excluded: frozenset[InstanceId],
    ) -> list[InstanceLoad]:
        candidates = candidates_of(
            loads=state.loads_by_id.values(),
            route=route,
            excluded=excluded,
            weight_of=self.weight_of,
            now=self.clock.now(),
        )
        if not candidates:
            raise NoInstanceError(
                f'no usable instance of service {state.service.name}'
            )
        return candidates

    async def _wait(
        self,
        state: ServiceLoad,
        route: Route,
        account_id: AccountId | None,
        deadline: float,
        excluded: frozenset[InstanceId],
    ) -> Instance:
        remaining = deadline - self.clock.now()
        wait_limit = state.wait_limit(remaining)
        rate = state.served_per_second()
        length_limit = wait_limit * rate
        # A retry has waited before, and the retry budget bounds the number
        # of retries.
        is_retry = bool(excluded)
        is_full = state.queue.length >= state.service.queue_limit
        is_admitted = not is_full and (
            is_retry or state.may_enqueue(account_id, limit=length_limit)
        )
        if not is_admitted:
            wait = state.queue.length / rate
            raise QueueFullError(retry_after=self._retry_after(wait))
        state.admit(account_id, self.clock.now())
        waiter = Waiter(
            account_id=account_id,
            route=route,
            excluded=excluded,
            due=self.clock.now() + wait_limit,
            future=asyncio.get_running_loop().create_future(),
        )
        state.queue.push(waiter)
        self._schedule_dispatch(state)
        self.on_out_of_slots(state)
        timeout = wait_limit if is_retry else remaining * WAIT_FRACTION
        return await self._await_slot(state, waiter, timeout)

    async def _await_slot(
        self, state: ServiceLoad, waiter: Waiter, timeout: float
    ) -> Instance:
        def on_timeout() -> None:
            if state.queue.remove(waiter):
                waiter.future.set_exception(
                    QueueFullError(retry_after=self._retry_after(timeout))
                )

        timer = asyncio.get_running_loop().call_later(timeout, on_timeout)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._abandon_wait(state, waiter)
            raise
        finally:
            timer.cancel()

    def _abandon_wait(self, state: ServiceLoad, waiter: Waiter) -> None:
        has_result = not state.queue.remove(waiter)
        # The slot may be assigned in the same event loop step in which the
        # caller disconnects.
        if has_result and not waiter.future.cancelled():
            if waiter.future.exception() is None:
                self.release(waiter.future.result())

    def _retry_after(self, wait: float) -> float:
        # Jitter keeps refused callers from retrying at the same time.
        return max(1, wait) * (1 + self.random.random())

    def _pop_held_slot(self, instance: Instance) -> HeldSlot:
        held_slots = self._held_slots_by_instance[instance]
        # With several slots held on one instance, the order of release does
        # not matter: the sum of the hold times, and so their mean, is the
        # same.
        held_slot = held_slots.pop(0)
        if not held_slots:
            del self._held_slots_by_instance[instance]
        return held_slot
