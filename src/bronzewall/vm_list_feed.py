"""Copy of the platform's VM list: read by a few VMs, pulled by the rest."""

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
# A VM that got no newer copy for this long reads the platform itself.
_STALE_AFTER_S = 10.0
_PULL_TIMEOUT_S = 1.0
# Copies kept to answer pulls with differences only. A member is rarely more
# than a few copies behind.
_MAX_COPIES = 16
_DIGEST_BYTES = 8

Records = Mapping[VmId, VmRecord]


@attrs.define(kw_only=True, eq=False)
class VmListFeed:
    """This VM's copy of the list.

    :param is_reader: returns whether this VM reads the list for its zone.
    :param read_at: clock time at which the copy was requested.
    """

    clock: Clock
    vm_list: VmList
    members: Members
    endpoint: PeerEndpoint
    is_reader: Callable[[], bool]
    digest: bytes = b''
    read_at: float = float('-inf')
    _copies_by_digest: dict[bytes, Records] = attrs.field(factory=dict)
    _pull_task: 'asyncio.Task[None] | None' = None

    def __attrs_post_init__(self) -> None:
        """Register the handler for pulls of other VMs."""
        self.endpoint.serve(ListPull, self._answer_pull)

    async def run(self) -> None:
        """Read the list periodically until cancelled."""
        while True:
            is_stale = self.clock.now() - self.read_at > _STALE_AFTER_S
            if is_stale or self.is_reader():
                await self.read()
            await self.clock.sleep(_READ_INTERVAL_S)

    async def read(self) -> None:
        """Read the platform's list once; keep the old copy on failure."""
        asked_at = self.clock.now()
        try:
            records = await self.vm_list.read()
        except StoreError:
            self.endpoint.counters['vm_list_unavailable'] += 1
            return
        self.apply_copy({record.vm_id: record for record in records}, asked_at)

    def apply_copy(self, records: Records, read_at: float) -> None:
        """Store a copy if it is newer than the current one."""
        if read_at <= self.read_at:
            return
        self.read_at = read_at
        digest = list_digest(records)
        if digest == self.digest:
            return
        self.digest = digest
        self._copies_by_digest.pop(digest, None)
        self._copies_by_digest[digest] = records
        if len(self._copies_by_digest) > _MAX_COPIES:
            self._copies_by_digest.pop(next(iter(self._copies_by_digest)))
        self.members.update(tuple(records.values()))

    async def close(self) -> None:
        """Cancel a running pull."""
        if self._pull_task is not None:
            self._pull_task.cancel()
            await asyncio.gather(self._pull_task, return_exceptions=True)

    def pull_if_newer(
        self, *, sender: VmId, digest: bytes, read_at: float
    ) -> None:
        """Pull the copy of another member if it is newer."""
        if not digest or read_at <= self.read_at:
            return
        if digest == self.digest:
            self.read_at = read_at
        elif self._pull_task is None or self._pull_task.done():
            self._pull_task = asyncio.create_task(self._pull(sender, read_at))

    async def _pull(self, sender: VmId, read_at: float) -> None:
        try:
            body: ListBody = await self.endpoint.call(
                to=sender,
                message=ListPull(have=self.digest),
                timeout=_PULL_TIMEOUT_S,
            )
        except PeerTimeoutError:
            return
        self._apply_body(body, read_at)

    def _apply_body(self, body: ListBody, read_at: float) -> None:
        records: dict[VmId, VmRecord] = {}
        if body.base:
            if body.base not in self._copies_by_digest:
                return
            records.update(self._copies_by_digest[body.base])
        for vm_id in body.removed_ids:
            records.pop(vm_id, None)
        records.update({record.vm_id: record for record in body.records})
        if list_digest(records) == body.digest:
            self.apply_copy(records, read_at)
        else:
            self.endpoint.counters['vm_list_digest'] += 1

    def _answer_pull(self, envelope: Envelope) -> ListBody:
        current = self._copies_by_digest.get(self.digest, {})
        base = self._copies_by_digest.get(envelope.body.have)
        old_records: Records = base or {}
        changed = [
            record
            for vm_id, record in current.items()
            if old_records.get(vm_id) != record
        ]
        return ListBody(
            digest=self.digest,
            base=b'' if base is None else envelope.body.have,
            records=changed,
            removed_ids=[
                vm_id for vm_id in old_records if vm_id not in current
            ],
        )


def list_digest(records: Records) -> bytes:
    """Return the digest of a copy of the list."""
    wire_records = [
        sorted(platform_wire.vm_record_to_wire(records[vm_id]).items())
        for vm_id in sorted(records)
    ]
    hasher = hashlib.blake2b(
        cbor2.dumps(wire_records), digest_size=_DIGEST_BYTES
    )
    return hasher.digest()
