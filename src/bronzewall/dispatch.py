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
    WAIT_SHARE,
    Hold,
    LoopClock,
    ServiceLoad,
    ignore,
    new_service_load,
    update_instances,
)
from bronzewall.types import AccountId, InstanceId, Placement, ServiceName

# Blocked instances become usable with time alone, so a queue is looked at
# again even if no slot of this VM is released.
_PUMP_INTERVAL_S = 0.025


@attrs.define(kw_only=True, eq=False)
class Dispatcher:
    """Load of each instance as seen by this VM.

    :param clock: the clock in whose time deadlines are given.
    :param placement: this VM's placement; ``None`` treats every instance
        as near.
    :param weight_of: share of normal traffic of an instance, 0 if it is
        ejected.
    :param on_update: called when a service is new or has changed.
    :param on_starved: called when requests wait.
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
    on_starved: Callable[[ServiceLoad], None] = ignore
    on_release: Callable[[ServiceLoad, InstanceLoad], None] = ignore
    on_less_capacity: Callable[[ServiceName], object] = ignore
    states_by_service: dict[ServiceName, ServiceLoad] = attrs.field(
        factory=dict
    )
    _holds_by_instance: dict[Instance, list[Hold]] = attrs.field(factory=dict)

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
        :raises QueueFullError: none is free before the deadline.
        """
        state = self.state_of(service)
        if not excluded:
            state.count_arrival(account_id)
        if not state.queue.length:
            instance = self._take(state, route, excluded)
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

        The attempt uses the service's hedge allowance and a slot that is
        free now; it never waits and never delays a first attempt.
        """
        state = self.state_of(service)
        if state.queue.length or not state.hedge.can_consume():
            return None
        try:
            instance = self._take(state, route, excluded)
        except NoInstanceError:
            return None
        if instance is not None:
            state.hedge.consume()
        return instance

    def hedge_delay(self, service: Service) -> float:
        """Return the seconds after which an answer is late enough."""
        return self.state_of(service).slow_hold

    def release(
        self,
        instance: Instance,
        *,
        is_served: bool = False,
        error: UpstreamError | None = None,
    ) -> None:
        """Give back the capacity taken by ``acquire``.

        :param is_served: an answer was relayed.
        :param error: how the attempt failed, if it was sent.
        """
        hold = self._pop_hold(instance)
        hold.load.in_flight -= 1
        now = self.clock.now()
        if error is not None and is_not_run(error):
            hold.load.block(now)
            if isinstance(error, UpstreamShedError):
                hold.state.borrow.balance -= 1
        elif is_served or error is not None:
            hold.load.failures = 0
            hold.state.record_hold(now - hold.started)
        self.pump(hold.state)
        self.on_release(hold.state, hold.load)

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
        """Use one retry of the service's allowance if one is left."""
        return self.state_of(service).retry.consume()

    def observe_headers(self, instance: Instance, headers: Headers) -> None:
        """Take over a drain notice from an upstream's answer."""
        if header_rules.find(headers, header_rules.DRAINING) is not None:
            self.mark_leaving(instance.instance_id)

    def mark_leaving(
        self,
        instance_id: InstanceId,
        *,
        service: ServiceName | None = None,
        is_reported: bool = False,
    ) -> None:
        """Send no new work to an instance that is leaving.

        :param service: its service, ``None`` for all with such an id.
        :param is_reported: another VM saw the sign.
        """
        now = self.clock.now()
        for state in self.states_by_service.values():
            load = state.loads_by_id.get(instance_id)
            if load is not None and service in {None, state.service.name}:
                was_staying = load.leaving_until <= now
                load.mark_leaving(now, is_reported=is_reported)
                if was_staying:
                    self.on_less_capacity(state.service.name)

    def usable_part(self, instance: Instance) -> float:
        """Return the part of an instance's slots that can be used now.

        It is 0 while the instance is leaving and below 1 while it is cold.
        """
        now = self.clock.now()
        for state in self.states_by_service.values():
            load = state.loads_by_id.get(instance.instance_id)
            if load is not None and load.instance == instance:
                return 0 if load.leaving_until > now else load.ramp(now)
        return FULL_WEIGHT

    def is_remote(self, instance: Instance) -> bool:
        """Return whether traffic with an instance crosses regions."""
        own = self.placement or instance.placement
        return locality_of(own, instance.placement) is Locality.REMOTE

    def pump(self, state: ServiceLoad) -> None:
        """Hand free capacity to the requests that wait."""
        queue = state.queue
        is_moving = queue.length > 0
        while is_moving:
            is_moving = self._serve_one(state, queue.heads(self.clock.now()))
        if queue.length:
            self._set_pump(state)

    def _serve_one(self, state: ServiceLoad, heads: list[Waiter]) -> bool:
        failed_routes = set()
        for head in heads:
            # Without exclusions, what fails for one request of a route
            # fails for all.
            if not head.excluded and head.route.route_id in failed_routes:
                continue
            if self._serve(state, head):
                return True
            if not head.excluded:
                failed_routes.add(head.route.route_id)
        return False

    def _serve(self, state: ServiceLoad, waiter: Waiter) -> bool:
        if waiter.future.done():
            # The caller left, and its task has not run since.
            return state.queue.remove(waiter)
        try:
            instance = self._take(state, waiter.route, waiter.excluded)
        except NoInstanceError as exc:
            waiter.future.set_exception(exc)
        else:
            if instance is None:
                return False
            waiter.future.set_result(instance)
        state.queue.remove(waiter)
        return True

    def _set_pump(self, state: ServiceLoad) -> None:
        if state.is_pump_set:
            return

        def on_timer() -> None:
            state.is_pump_set = False
            self.pump(state)
            if state.queue.length:
                self.on_starved(state)

        state.is_pump_set = True
        loop = asyncio.get_running_loop()
        loop.call_later(_PUMP_INTERVAL_S, on_timer)

    def _take(
        self,
        state: ServiceLoad,
        route: Route,
        excluded: frozenset[InstanceId],
    ) -> Instance | None:
        now = self.clock.now()
        choice = choose(
            candidates=self._candidates(state, route, excluded),
            # Asking costs no shed answers; untold use is for a VM that
            # has no grant and so nobody to ask.
            may_borrow=not state.has_lenders and state.borrow.can_consume(),
            rng=self.random,
            now=now,
        )
        if choice is None and excluded:
            choice = self._choose_again(state, route, excluded, now)
        if choice is None:
            return None
        load = choice.load
        load.in_flight += 1
        if choice.relative_weight < FULL_WEIGHT:
            pause = state.mean_hold / choice.relative_weight
            load.paced_until = now + pause
        if not excluded:
            state.earn()
        self._holds_by_instance.setdefault(load.instance, []).append(
            Hold(state=state, load=load, started=now)
        )
        return load.instance

    def _choose_again(
        self,
        state: ServiceLoad,
        route: Route,
        excluded: frozenset[InstanceId],
        now: float,
    ) -> Choice | None:
        """Choose an instance that shed the request, after its pause.

        A VM may have slots on one instance only.
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
        found = candidates_of(
            loads=state.loads_by_id.values(),
            route=route,
            excluded=excluded,
            weight_of=self.weight_of,
            now=self.clock.now(),
        )
        if not found:
            raise NoInstanceError(f'no instance of {state.service.name}')
        return found

    async def _wait(
        self,
        state: ServiceLoad,
        route: Route,
        account_id: AccountId | None,
        deadline: float,
        excluded: frozenset[InstanceId],
    ) -> Instance:
        remaining = deadline - self.clock.now()
        useful = state.useful_wait(remaining)
        rate = state.served_per_second()
        limit = useful * rate
        # A retry has waited before, and the allowance bounds their number.
        is_retry = bool(excluded)
        is_full = state.queue.length >= state.service.queue_limit
        is_admitted = not is_full and (
            is_retry or state.has_place(account_id, limit=limit)
        )
        if not is_admitted:
            wait = state.queue.length / rate
            raise QueueFullError(retry_after=self._retry_after(wait))
        state.admit(account_id, self.clock.now())
        waiter = Waiter(
            account_id=account_id,
            route=route,
            excluded=excluded,
            due=self.clock.now() + useful,
            future=asyncio.get_running_loop().create_future(),
        )
        state.queue.push(waiter)
        self._set_pump(state)
        self.on_starved(state)
        longest = useful if is_retry else remaining * WAIT_SHARE
        return await self._await_turn(state, waiter, longest)

    async def _await_turn(
        self, state: ServiceLoad, waiter: Waiter, limit: float
    ) -> Instance:
        def on_limit() -> None:
            if state.queue.remove(waiter):
                waiter.future.set_exception(
                    QueueFullError(retry_after=self._retry_after(limit))
                )

        timer = asyncio.get_running_loop().call_later(limit, on_limit)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._give_up(state, waiter)
            raise
        finally:
            timer.cancel()

    def _give_up(self, state: ServiceLoad, waiter: Waiter) -> None:
        is_served = not state.queue.remove(waiter)
        # The slot may be handed over in the step in which the caller left.
        if is_served and not waiter.future.cancelled():
            if waiter.future.exception() is None:
                self.release(waiter.future.result())

    def _retry_after(self, wait: float) -> float:
        # Spread, so that refused callers do not come back together.
        return max(1, wait) * (1 + self.random.random())

    def _pop_hold(self, instance: Instance) -> Hold:
        holds = self._holds_by_instance[instance]
        # Which of several holds is released does not matter: the sum of
        # the hold times, and so their mean, is the same.
        hold = holds.pop(0)
        if not holds:
            del self._holds_by_instance[instance]
        return hold
