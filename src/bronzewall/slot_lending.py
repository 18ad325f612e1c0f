"""Loans of idle slots between VMs that use the same service."""

import asyncio
import collections
import itertools

import attrs

from bronzewall import messages
from bronzewall.choice import InstanceLoad
from bronzewall.dispatch import Dispatcher
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.service_load import ServiceLoad
from bronzewall.types import InstanceId, ServiceName, VmId

# A borrowed slot gets new work for this long, is given back when its last
# request ends, and returns to the lender by itself if that takes longer.
REUSE_S = 0.25
LOAN_S = 1.0
# An ask without an answer for this long is lost.
_ASK_TIMEOUT_S = 0.05
# A VM asked in vain lends the next slot that becomes idle within this time.
ASK_LIFE_S = 0.25
_MAX_WAITING = 16
# Asks without success in a second, for one service. Those that bring a
# loan are free, so messages are spent where slots are idle.
ASKS_PER_S = 20.0
_ASK_BURST = 8.0


@messages.message('slot_ask', label='SlotAsk')
@attrs.frozen(kw_only=True)
class SlotRequest:
    """Asks a VM for an idle slot."""

    service: str
    ask_id: int


@messages.message('slot_loan')
@attrs.frozen(kw_only=True)
class SlotLoan:
    """Answer to an ask.

    :param instance_id: instance of the slot lent, ``None`` if no slot is
        idle.
    """

    service: str
    ask_id: int
    instance_id: str | None


@messages.message('slot_return')
@attrs.frozen(kw_only=True)
class SlotReturn:
    """Ends a loan early."""

    ask_id: int


@attrs.frozen(kw_only=True)
class _Loan:
    """One slot that is lent or borrowed."""

    load: InstanceLoad
    timer: asyncio.TimerHandle
    is_ending: bool = False


@attrs.frozen(kw_only=True)
class _Asked:
    """An ask that found no idle slot yet.

    :param until: clock time at which it is forgotten.
    """

    sender: VmId
    ask_id: int
    until: float


@attrs.define(kw_only=True, eq=False)
class _Asking:
    """Asks of this VM for one service.

    :param lenders: VMs that may have idle slots, nearest first.
    :param ask_id: the ask that waits for its answer, 0 for none.
    """

    lenders: tuple[VmId, ...] = ()
    next_lender: int = 0
    ask_id: int = 0
    asked_at: float = 0
    allowance: float = _ASK_BURST
    earned_at: float = 0


@attrs.define(kw_only=True, eq=False)
class SlotLending:
    """Borrows slots when requests wait and lends those that are idle.

    A lost message leaves a slot idle or used twice until the loan's end;
    the instance sheds a request that finds its slot used.
    """

    clock: Clock
    dispatcher: Dispatcher
    endpoint: PeerEndpoint
    asking_by_service: dict[ServiceName, _Asking] = attrs.field(factory=dict)
    borrowed_by_ask: dict[tuple[VmId, int], _Loan] = attrs.field(factory=dict)
    lent_by_ask: dict[tuple[VmId, int], _Loan] = attrs.field(factory=dict)
    waiting_by_service: dict[ServiceName, collections.deque['_Asked']] = (
        attrs.field(factory=dict)
    )
    _ask_ids: 'itertools.count[int]' = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def __attrs_post_init__(self) -> None:
        """Receive messages and follow the dispatcher."""
        self.endpoint.serve(SlotRequest, self._on_ask)
        self.endpoint.serve(SlotLoan, self._on_loan)
        self.endpoint.serve(SlotReturn, self._on_return)
        self.dispatcher.on_starved = self.ask
        self.dispatcher.on_release = self.released

    def set_lenders(
        self, state: ServiceLoad, lenders: tuple[VmId, ...]
    ) -> None:
        """Take over who may have idle slots."""
        state.has_lenders = bool(lenders)
        asking = self.asking_by_service.setdefault(
            state.service.name, _Asking()
        )
        asking.lenders = lenders
        asking.next_lender = 0

    def ask(self, state: ServiceLoad) -> None:
        """Ask the next lender for a slot."""
        asking = self.asking_by_service.get(state.service.name)
        if asking is None or asking.next_lender >= len(asking.lenders):
            return
        now = self.clock.now()
        if asking.ask_id and now - asking.asked_at < _ASK_TIMEOUT_S:
            return
        if not _earn(asking, now):
            return
        lender = asking.lenders[asking.next_lender]
        asking.next_lender += 1
        asking.ask_id = next(self._ask_ids)
        asking.asked_at = now
        self.endpoint.send(
            to=lender,
            message=SlotRequest(
                service=state.service.name, ask_id=asking.ask_id
            ),
        )

    def released(self, state: ServiceLoad, load: InstanceLoad) -> None:
        """Return a borrowed slot, or lend one of this VM's own."""
        if load.borrowed or load.ending:
            self._give_back(state, load)
        waiting = self.waiting_by_service.get(state.service.name)
        now = self.clock.now()
        while waiting and not state.queue.length:
            asked = waiting.popleft()
            if asked.until > now and not self._lend(state, asked):
                return

    def _give_back(self, state: ServiceLoad, load: InstanceLoad) -> None:
        if load.ending and load.in_flight < load.usable() + load.ending:
            self._return_one(load, is_ending=True)
        elif load.borrowed and load.in_flight < load.usable():
            # The queue is empty, or its requests may not use this slot.
            self._return_one(load, is_ending=False)

    def _return_one(self, load: InstanceLoad, *, is_ending: bool) -> None:
        for key, loan in self.borrowed_by_ask.items():
            if loan.load is load and loan.is_ending == is_ending:
                self._end_borrowed(key)
                self.endpoint.send(to=key[0], message=SlotReturn(ask_id=key[1]))
                return

    def _on_ask(self, envelope: messages.Envelope) -> None:
        ask: SlotRequest = envelope.body
        service = ServiceName(ask.service)
        asked = _Asked(
            sender=envelope.sender,
            ask_id=ask.ask_id,
            until=self.clock.now() + ASK_LIFE_S,
        )
        state = self.dispatcher.states_by_service.get(service)
        if state is not None and self._lend(state, asked):
            return
        waiting = self.waiting_by_service.setdefault(
            service, collections.deque(maxlen=_MAX_WAITING)
        )
        waiting.append(asked)
        answer = SlotLoan(
            service=ask.service, ask_id=ask.ask_id, instance_id=None
        )
        self.endpoint.send(to=envelope.sender, message=answer)

    def _lend(self, state: ServiceLoad, asked: '_Asked') -> bool:
        key = (asked.sender, asked.ask_id)
        load = _idle_load(state, self.clock.now())
        if load is None or key in self.lent_by_ask:
            return False
        load.lent += 1
        timer = asyncio.get_running_loop().call_later(
            LOAN_S, self._end_lent, key
        )
        self.lent_by_ask[key] = _Loan(load=load, timer=timer)
        answer = SlotLoan(
            service=state.service.name,
            ask_id=asked.ask_id,
            instance_id=load.instance.instance_id,
        )
        self.endpoint.send(to=asked.sender, message=answer)
        return True

    def _on_loan(self, envelope: messages.Envelope) -> None:
        answer: SlotLoan = envelope.body
        service = ServiceName(answer.service)
        asking = self.asking_by_service.get(service)
        state = self.dispatcher.states_by_service.get(service)
        if asking is None or state is None:
            return
        if asking.ask_id == answer.ask_id:
            asking.ask_id = 0
        if answer.instance_id is not None:
            asking.allowance += 1
            self._borrow(state, envelope.sender, answer)
        if state.queue.length:
            self.ask(state)

    def _borrow(
        self, state: ServiceLoad, lender: VmId, answer: SlotLoan
    ) -> None:
        key = (lender, answer.ask_id)
        load = state.loads_by_id.get(InstanceId(str(answer.instance_id)))
        is_known = key in self.borrowed_by_ask
        if load is None or is_known or not state.queue.length:
            self.endpoint.send(
                to=lender, message=SlotReturn(ask_id=answer.ask_id)
            )
            return
        load.borrowed += 1
        timer = asyncio.get_running_loop().call_later(
            REUSE_S, self._close_borrowed, key
        )
        self.borrowed_by_ask[key] = _Loan(load=load, timer=timer)
        self.dispatcher.pump(state)
        if load.in_flight < load.usable() and not state.queue.length:
            self._return_one(load, is_ending=False)

    def _on_return(self, envelope: messages.Envelope) -> None:
        self._end_lent((envelope.sender, envelope.body.ask_id))

    def _end_lent(self, key: tuple[VmId, int]) -> None:
        loan = self.lent_by_ask.pop(key, None)
        if loan is not None:
            loan.timer.cancel()
            loan.load.lent -= 1

    def _close_borrowed(self, key: tuple[VmId, int]) -> None:
        """Give no new work to a borrowed slot, and return it if idle."""
        loan = self.borrowed_by_ask[key]
        loan.load.borrowed -= 1
        loan.load.ending += 1
        timer = asyncio.get_running_loop().call_later(
            LOAN_S - REUSE_S, self._end_borrowed, key
        )
        self.borrowed_by_ask[key] = _Loan(
            load=loan.load, timer=timer, is_ending=True
        )
        if loan.load.in_flight < loan.load.usable() + loan.load.ending:
            self._return_one(loan.load, is_ending=True)

    def _end_borrowed(self, key: tuple[VmId, int]) -> None:
        loan = self.borrowed_by_ask.pop(key)
        loan.timer.cancel()
        if loan.is_ending:
            loan.load.ending -= 1
        else:
            loan.load.borrowed -= 1


def _earn(asking: _Asking, now: float) -> bool:
    gained = (now - asking.earned_at) * ASKS_PER_S
    asking.allowance = min(_ASK_BURST, asking.allowance + gained)
    asking.earned_at = now
    if asking.allowance < 1:
        return False
    asking.allowance -= 1
    return True


def _idle_load(state: ServiceLoad, now: float) -> InstanceLoad | None:
    if state.queue.length:
        return None
    for load in state.loads_by_id.values():
        is_usable = max(load.blocked_until, load.leaving_until) <= now
        if is_usable and load.in_flight < load.usable() - load.borrowed:
            return load
    return None
