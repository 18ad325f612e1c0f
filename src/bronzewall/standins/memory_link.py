"""In-memory peer links with delay, loss, duplication and one-way blocks."""

import asyncio
import random
from collections.abc import Callable, Mapping

import attrs

from bronzewall.ports import PayloadHandler
from bronzewall.types import VmId

_DEFAULT_DELAY_S = 0.001


def _constant_delay(_sender: VmId, _receiver: VmId) -> float:
    return _DEFAULT_DELAY_S


@attrs.define(kw_only=True)
class MemoryNetwork:
    """All links of a test.

    :param delay: returns seconds from a sender to a receiver.
    :param loss: fraction of messages lost, 0 to 1.
    :param duplication: fraction of messages delivered twice, 0 to 1.
    :param jitter: largest random addition to the delay, as a fraction of it.
    :param blocked_pairs: sender and receiver of each blocked direction.
    """

    random: random.Random
    delay: Callable[[VmId, VmId], float] = _constant_delay
    loss: float = 0
    duplication: float = 0
    jitter: float = 0
    handlers_by_id: dict[VmId, PayloadHandler] = attrs.field(factory=dict)
    blocked_pairs: set[tuple[VmId, VmId]] = attrs.field(factory=set)
    frozen_ids: set[VmId] = attrs.field(factory=set)
    messages: int = 0
    bytes_sent: int = 0
    sent_by_id: dict[VmId, int] = attrs.field(factory=dict)
    _held_by_id: dict[VmId, list[bytes]] = attrs.field(factory=dict)

    def block(self, *, sender: VmId, receiver: VmId) -> None:
        """Drop every message in one direction until ``heal``."""
        self.blocked_pairs.add((sender, receiver))

    def heal(self) -> None:
        """Unblock all directions."""
        self.blocked_pairs.clear()

    def kill(self, vm_id: VmId) -> None:
        """Stop delivering to a VM."""
        self.handlers_by_id.pop(vm_id, None)

    def freeze(self, vm_id: VmId) -> None:
        """Hold a VM's incoming messages until it is thawed."""
        self.frozen_ids.add(vm_id)

    def thaw(self, vm_id: VmId) -> None:
        """Deliver the messages held while the VM was frozen."""
        self.frozen_ids.discard(vm_id)
        for payload in self._held_by_id.pop(vm_id, ()):
            self._deliver(vm_id, payload)

    def transmit(self, sender: VmId, receiver: VmId, payload: bytes) -> None:
        """Schedule the delivery of one message."""
        self.messages += 1
        self.bytes_sent += len(payload)
        self.sent_by_id[sender] = self.sent_by_id.get(sender, 0) + 1
        if (sender, receiver) in self.blocked_pairs:
            return
        if self.loss and self.random.random() < self.loss:
            return
        self._schedule(sender, receiver, payload)
        if self.duplication and self.random.random() < self.duplication:
            self._schedule(sender, receiver, payload)

    def _schedule(self, sender: VmId, receiver: VmId, payload: bytes) -> None:
        delay = self.delay(sender, receiver)
        if self.jitter:
            delay *= 1 + self.jitter * self.random.random()
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver, receiver, payload)

    def _deliver(self, receiver: VmId, payload: bytes) -> None:
        if receiver in self.frozen_ids:
            self._held_by_id.setdefault(receiver, []).append(payload)
            return
        handler = self.handlers_by_id.get(receiver)
        if handler is not None:
            handler(payload)


@attrs.define(kw_only=True)
class MemoryLink:
    """Peer link port of one VM on a network."""

    vm_id: VmId
    network: MemoryNetwork

    def send(self, *, to: VmId, payload: bytes) -> None:
        """Send one message unless this VM is frozen."""
        if self.vm_id not in self.network.frozen_ids:
            self.network.transmit(self.vm_id, to, payload)

    def on_payload(self, handler: PayloadHandler) -> None:
        """Set the receive handler."""
        self.network.handlers_by_id[self.vm_id] = handler

    def set_addresses(self, addresses_by_id: Mapping[VmId, str]) -> None:
        """Ignore the addresses; the network needs none."""
