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

# A borrowed slot gets new work for REUSE_S and is returned when its last
# request ends. After LOAN_S the loan expires without a return message.
REUSE_S = 0.25
LOAN_S = 1.0
# A slot request without an answer for this long counts as lost.
_REQUEST_TIMEOUT_S = 0.05
# A lender without an idle slot keeps a request for this long and lends the
# next slot that becomes idle.
PENDING_REQUEST_S = 0.25
_MAX_PENDING_REQUESTS = 16
# Requests per second for one service that may bring no loan. A request that
# brings a loan is refunded, so most messages are sent where slots are idle.
FAILED_REQUESTS_PER_S = 20.0
_REQUEST_BURST = 8.0


@messages.message('slot_ask', label='SlotAsk')
@attrs.frozen(kw_only=True)
class SlotRequest:
    """Requests an idle slot from a VM."""

    service: str
    ask_id: int


@messages.message('slot_loan')
@attrs.frozen(kw_only=True)
class SlotLoan:
    """Answer to a slot request.

    :param instance_id: instance of the lent slot, ``None`` if no slot is
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
    """One slot that is lent or borrowed.

    :param is_expiring: a borrowed slot that gets no new work.
    """

    load: InstanceLoad
    timer: asyncio.TimerHandle
    is_expiring: bool = False


@attrs.frozen(kw_only=True)
class _PendingRequest:
    """A slot request for which no slot was idle yet.

    :param expires_at: clock time at which it is dropped.
    """

    sender: VmId
    ask_id: int
    expires_at: float


@attrs.define(kw_only=True, eq=False)
class _BorrowState:
    """Slot requests of this VM for one service.

    :param lenders: VMs that may have idle slots, nearest first.
    :param next_lender: index of the lender to request from next.
    :param ask_id: the request that waits for its answer, 0 for none.
    :param requested_at: clock time at which it was sent.
    :param send_budget: requests that may be sent now.
    :param credited_at: clock time of the last credit to the budget.
    """

    lenders: tuple[VmId, ...] = ()
    next_lender: int = 0
    ask_id: int = 0
    requested_at: float = 0
    send_budget: float = _REQUEST_BURST
    credited_at: float = 0


@attrs.define(kw_only=True, eq=False)
class SlotLending:
    """Borrows slots when requests wait and lends idle ones.

    After a lost message a slot may be idle, or used by two VMs, until the
    loan expires. The instance sheds a request beyond its slots.
    """

    clock: Clock
    dispatcher: Dispatcher
    endpoint: PeerEndpoint
    borrow_state_by_service: dict[ServiceName, _BorrowState] = attrs.field(
        factory=dict
    )
    borrowed_by_request: dict[tuple[VmId, int], _Loan] = attrs.field(
        factory=dict
    )
    lent_by_request: dict[tuple[VmId, int], _Loan] = attrs.field(factory=dict)
    pending_by_service: dict[
        ServiceName, collections.deque['_PendingRequest']
    ] = attrs.field(factory=dict)
    _ask_ids: 'itertools.count[int]' = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def __attrs_post_init__(self) -> None:
        """Register the message handlers and the dispatcher's callbacks."""
        self.endpoint.serve(SlotRequest, self._on_request)
        self.endpoint.serve(SlotLoan, self._on_loan)
        self.endpoint.serve(SlotReturn, self._on_return)
        self.dispatcher.on_out_of_slots = self.request_slot
        self.dispatcher.on_release = self.on_slot_released

    def set_lenders(
        self, state: ServiceLoad, lenders: tuple[VmId, ...]
    ) -> None:
        """Set the VMs that may have idle slots."""
        state.has_lenders = bool(lenders)
        borrow_state = self.borrow_state_by_service.setdefault(
            state.service.name, _BorrowState()
        )
        borrow_state.lenders = lenders
        borrow_state.next_lender = 0

    def request_slot(self, state: ServiceLoad) -> None:
        """Request a slot from the next lender."""
        borrow_state = self.borrow_state_by_service.get(state.service.name)
        if borrow_state is None or borrow_state.next_lender >= len(
            borrow_state.lenders
        ):
            return
        now = self.clock.now()
        if (
            borrow_state.ask_id
            and now - borrow_state.requested_at < _REQUEST_TIMEOUT_S
        ):
            return
        if not _consume_budget(borrow_state, now):
            return
        lender = borrow_state.lenders[borrow_state.next_lender]
        borrow_state.next_lender += 1
        borrow_state.ask_id = next(self._ask_ids)
        borrow_state.requested_at = now
        self.endpoint.send(
            to=lender,
            message=SlotRequest(
                service=state.service.name, ask_id=borrow_state.ask_id
            ),
        )

    def on_slot_released(self, state: ServiceLoad, load: InstanceLoad) -> None:
        """Return a borrowed slot and lend idle ones to pending requests."""
        if load.borrowed or load.expiring:
            self._return_borrowed(state, load)
        pending_requests = self.pending_by_service.get(state.service.name)
        now = self.clock.now()
        while pending_requests and not state.queue.length:
            pending = pending_requests.popleft()
            if pending.expires_at > now and not self._lend(state, pending):
                return

    def _return_borrowed(self, state: ServiceLoad, load: InstanceLoad) -> None:
        if load.expiring and load.in_flight < load.usable() + load.expiring:
            self._return_loan(load, is_expiring=True)
        elif load.borrowed and load.in_flight < load.usable():
            # The queue is empty, or its requests cannot use this slot.
            self._return_loan(load, is_expiring=False)

    def _return_loan(self, load: InstanceLoad, *, is_expiring: bool) -> None:
        for key, loan in self.borrowed_by_request.items():
            if loan.load is load and loan.is_expiring == is_expiring:
                self._end_borrowed(key)
                self.endpoint.send(to=key[0], message=SlotReturn(ask_id=key[1]))
                return

    def _on_request(self, envelope: messages.Envelope) -> None:
        request: SlotRequest = envelope.body
        service = ServiceName(request.service)
        pending = _PendingRequest(
            sender=envelope.sender,
            ask_id=request.ask_id,
            expires_at=self.clock.now() + PENDING_REQUEST_S,
        )
        state = self.dispatcher.states_by_service.get(service)
        if state is not None and self._lend(state, pending):
            return
        pending_requests = self.pending_by_service.setdefault(
            service, collections.deque(maxlen=_MAX_PENDING_REQUESTS)
        )
        pending_requests.append(pending)
        answer = SlotLoan(
            service=request.service, ask_id=request.ask_id, instance_id=None
        )
        self.endpoint.send(to=envelope.sender, message=answer)

    def _lend(self, state: ServiceLoad, pending: '_PendingRequest') -> bool:
        key = (pending.sender, pending.ask_id)
        load = _idle_load(state, self.clock.now())
        if load is None or key in self.lent_by_request:
            return False
        load.lent += 1
        timer = asyncio.get_running_loop().call_later(
            LOAN_S, self._end_lent, key
        )
        self.lent_by_request[key] = _Loan(load=load, timer=timer)
        answer = SlotLoan(
            service=state.service.name,
            ask_id=pending.ask_id,
            instance_id=load.instance.instance_id,
        )
        self.endpoint.send(to=pending.sender, message=answer)
        return True

    def _on_loan(self, envelope: messages.Envelope) -> None:
        answer: SlotLoan = envelope.body
        service = ServiceName(answer.service)
        borrow_state = self.borrow_state_by_service.get(service)
        state = self.dispatcher.states_by_service.get(service)
        if borrow_state is None or state is None:
            return
        if borrow_state.ask_id == answer.ask_id:
            borrow_state.ask_id = 0
        if answer.instance_id is not None:
            borrow_state.send_budget += 1
            self._borrow(state, envelope.sender, answer)
        if state.queue.length:
            self.request_slot(state)

    def _borrow(
        self, state: ServiceLoad, lender: VmId, answer: SlotLoan
    ) -> None:
        key = (lender, answer.ask_id)
        load = state.loads_by_id.get(InstanceId(str(answer.instance_id)))
        is_known = key in self.borrowed_by_request
        if load is None or is_known or not state.queue.length:
            self.endpoint.send(
                to=lender, message=SlotReturn(ask_id=answer.ask_id)
            )
            return
        load.borrowed += 1
        timer = asyncio.get_running_loop().call_later(
            REUSE_S, self._stop_reuse, key
        )
        self.borrowed_by_request[key] = _Loan(load=load, timer=timer)
        self.dispatcher.dispatch_queued(state)
        if load.in_flight < load.usable() and not state.queue.length:
            self._return_loan(load, is_expiring=False)

    def _on_return(self, envelope: messages.Envelope) -> None:
        self._end_lent((envelope.sender, envelope.body.ask_id))

    def _end_lent(self, key: tuple[VmId, int]) -> None:
        loan = self.lent_by_request.pop(key, None)
        if loan is not None:
            loan.timer.cancel()
            loan.load.lent -= 1

    def _stop_reuse(self, key: tuple[VmId, int]) -> None:
        """Give no new work to a borrowed slot, and return it if idle."""
        loan = self.borrowed_by_request[key]
        loan.load.borrowed -= 1
        loan.load.expiring += 1
        timer = asyncio.get_running_loop().call_later(
            LOAN_S - REUSE_S, self._end_borrowed, key
        )
        self.borrowed_by_request[key] = _Loan(
            load=loan.load, timer=timer, is_expiring=True
        )
        if loan.load.in_flight < loan.load.usable() + loan.load.expiring:
            self._return_loan(loan.load, is_expiring=True)

    def _end_borrowed(self, key: tuple[VmId, int]) -> None:
        loan = self.borrowed_by_request.pop(key)
        loan.timer.cancel()
        if loan.is_expiring:
            loan.load.expiring -= 1
        else:
            loan.load.borrowed -= 1


def _consume_budget(borrow_state: _BorrowState, now: float) -> bool:
    credit = (now - borrow_state.credited_at) * FAILED_REQUESTS_PER_S
    borrow_state.send_budget = min(
        _REQUEST_BURST, borrow_state.send_budget + credit
    )
    borrow_state.credited_at = now
    if borrow_state.send_budget < 1:
        return False
    borrow_state.send_budget -= 1
    return True


def _idle_load(state: ServiceLoad, now: float) -> InstanceLoad | None:
    if state.queue.length:
        return None
    for load in state.loads_by_id.values():
        is_usable = max(load.blocked_until, load.leaving_until) <= now
        if is_usable and load.in_flight < load.usable() - load.borrowed:
            return load
    return None
