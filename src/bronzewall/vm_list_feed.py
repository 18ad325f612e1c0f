"""The platform's VM list: read by few, passed on to all."""

import asyncio
import hashlib
from collections.abc import Callable, Mapping

import attrs
import cbor2

from bronzewall import platform_wire
from bronzewall.errors import PeerTimeoutError, StoreError
from bronzewall.heartbeat_messages import ListBody, ListPull
from bronzewall.membership import Members
from bronzewall.messages import Envelope
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock, VmList
from bronzewall.types import VmId, VmRecord

_READ_INTERVAL_S = 2.0
# A copy that nobody renewed for this long is read from the platform.
_STALE_S = 10.0
_PULL_TIMEOUT_S = 1.0
# Copies kept to answer with differences; members are rarely further
# behind than a few readings.
_KEPT_COPIES = 16
_DIGEST_BYTES = 8

Records = Mapping[VmId, VmRecord]


@attrs.define(kw_only=True, eq=False)
class VmListFeed:
    """This VM's copy of the list.

    :param is_reader: whether this VM reads the list for its zone.
    :param read_at: clock time at which the copy was asked for.
    """

    clock: Clock
    vm_list: VmList
    members: Members
    endpoint: PeerEndpoint
    is_reader: Callable[[], bool]
    digest: bytes = b''
    read_at: float = float('-inf')
    _copies_by_digest: dict[bytes, Records] = attrs.field(factory=dict)
    _pulling: 'asyncio.Task[None] | None' = None

    def __attrs_post_init__(self) -> None:
        """Answer other VMs."""
        self.endpoint.serve(ListPull, self._answer)

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            is_stale = self.clock.now() - self.read_at > _STALE_S
            if is_stale or self.is_reader():
                await self.read()
            await self.clock.sleep(_READ_INTERVAL_S)

    async def read(self) -> None:
        """Read the platform's list once; a failure changes nothing."""
        asked = self.clock.now()
        try:
            records = await self.vm_list.read()
        except StoreError:
            self.endpoint.counters['vm_list_unavailable'] += 1
            return
        self.take({record.vm_id: record for record in records}, asked)

    def take(self, records: Records, read_at: float) -> None:
        """Take over a copy if it is newer than the own one."""
        if read_at <= self.read_at:
            return
        self.read_at = read_at
        digest = list_digest(records)
        if digest == self.digest:
            return
        self.digest = digest
        self._copies_by_digest.pop(digest, None)
        self._copies_by_digest[digest] = records
        if len(self._copies_by_digest) > _KEPT_COPIES:
            self._copies_by_digest.pop(next(iter(self._copies_by_digest)))
        self.members.update(tuple(records.values()))

    async def close(self) -> None:
        """End a pull that is under way."""
        if self._pulling is not None:
            self._pulling.cancel()
            await asyncio.gather(self._pulling, return_exceptions=True)

    def offered(self, *, sender: VmId, digest: bytes, read_at: float) -> None:
        """Pull a copy that a member has, if it is newer."""
        if not digest or read_at <= self.read_at:
            return
        if digest == self.digest:
            self.read_at = read_at
        elif self._pulling is None or self._pulling.done():
            self._pulling = asyncio.create_task(self._pull(sender, read_at))

    async def _pull(self, sender: VmId, read_at: float) -> None:
        try:
            body: ListBody = await self.endpoint.call(
                to=sender,
                message=ListPull(have=self.digest),
                timeout=_PULL_TIMEOUT_S,
            )
        except PeerTimeoutError:
            return
        self._take_body(body, read_at)

    def _take_body(self, body: ListBody, read_at: float) -> None:
        records: dict[VmId, VmRecord] = {}
        if body.base:
            if body.base not in self._copies_by_digest:
                return
            records.update(self._copies_by_digest[body.base])
        for vm_id in body.removed_ids:
            records.pop(vm_id, None)
        records.update({record.vm_id: record for record in body.records})
        if list_digest(records) == body.digest:
            self.take(records, read_at)
        else:
            self.endpoint.counters['vm_list_digest'] += 1

    def _answer(self, envelope: Envelope) -> ListBody:
        current = self._copies_by_digest.get(self.digest, {})
        base = self._copies_by_digest.get(envelope.body.have)
        before: Records = base or {}
        changed = [
            record
            for vm_id, record in current.items()
            if before.get(vm_id) != record
        ]
        return ListBody(
            digest=self.digest,
            base=b'' if base is None else envelope.body.have,
            records=changed,
            removed_ids=[vm_id for vm_id in before if vm_id not in current],
        )


def list_digest(records: Records) -> bytes:
    """Return the digest of a copy of the list."""
    wires = [
        sorted(platform_wire.vm_record_to_wire(records[vm_id]).items())
        for vm_id in sorted(records)
    ]
    hashed = hashlib.blake2b(cbor2.dumps(wires), digest_size=_DIGEST_BYTES)
    return hashed.digest()
