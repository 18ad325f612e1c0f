"""Exchanges the configuration between VMs."""

import asyncio

import attrs

from bronzewall.config_codec import PartEntry
from bronzewall.config_feed import ConfigFeed
from bronzewall.errors import PeerTimeoutError, SnapshotError, StoreError
from bronzewall.messages import Envelope, message
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.types import VmId

_PULL_TIMEOUT_S = 0.5
_MAX_BODY_BYTES = 1_048_576
_PARTS_PER_PULL = 256


@message('config_pull')
@attrs.frozen(kw_only=True)
class ConfigPull:
    """Requests the changes since a generation.

    :param have: generation in force at the sender.
    """

    have: int = 0


@message('config_body')
@attrs.frozen(kw_only=True)
class ConfigBody:
    """Changed parts, with as many bodies as fit into one message.

    :param digest: manifest digest of the generation.
    :param changes: manifest entries of the changed parts.
    """

    generation: int
    digest: bytes
    changes: dict[str, PartEntry]
    bodies_by_part: dict[str, bytes]


@message('parts_pull')
@attrs.frozen(kw_only=True)
class PartsPull:
    """Requests the bodies of some parts."""

    digests_by_part: dict[str, bytes]


@message('parts_body')
@attrs.frozen(kw_only=True)
class PartsBody:
    """Bodies of parts; those that the sender does not hold are omitted."""

    bodies_by_part: dict[str, bytes]


@attrs.define(kw_only=True, eq=False)
class ConfigExchange:
    """Answers pulls of other VMs and pulls newer generations from them."""

    endpoint: PeerEndpoint
    feed: ConfigFeed
    _pending_generations_by_id: dict[VmId, int] = attrs.field(factory=dict)
    _pull_task: 'asyncio.Task[None] | None' = None

    def __attrs_post_init__(self) -> None:
        """Register the handlers for pulls of other VMs."""
        self.endpoint.serve(ConfigPull, self._answer_config_pull)
        self.endpoint.serve(PartsPull, self._answer_parts_pull)

    def schedule_pull(self, sender: VmId, generation: int) -> None:
        """Schedule a pull from a member that has a newer generation."""
        self._pending_generations_by_id[sender] = generation
        if self._pull_task is None or self._pull_task.done():
            self._pull_task = asyncio.create_task(self._pull_pending())

    async def close(self) -> None:
        """Cancel a pull that is in progress."""
        if self._pull_task is not None:
            self._pull_task.cancel()
            await asyncio.gather(self._pull_task, return_exceptions=True)

    async def pull(self, sender: VmId) -> bool:
        """Pull from one member and return whether a generation was applied."""
        try:
            return await self._pull(sender)
        except (PeerTimeoutError, StoreError):
            self.endpoint.counters['config_pull_failed'] += 1
        except SnapshotError:
            self.endpoint.counters['config_digest'] += 1
        return False

    async def _pull_pending(self) -> None:
        while self._pending_generations_by_id:
            sender = max(
                self._pending_generations_by_id,
                key=self._pending_generations_by_id.__getitem__,
            )
            generation = self._pending_generations_by_id.pop(sender)
            if generation > self.feed.generation:
                await self.pull(sender)

    async def _pull(self, sender: VmId) -> bool:
        body: ConfigBody = await self.endpoint.call(
            to=sender,
            message=ConfigPull(have=self.feed.generation),
            timeout=_PULL_TIMEOUT_S,
        )
        if body.generation <= self.feed.generation:
            return False
        bodies = dict(body.bodies_by_part)
        await self._add_missing_bodies(sender, body, bodies)
        return self.feed.apply_change(
            generation=body.generation,
            digest=body.digest,
            changes=body.changes,
            bodies_by_part=bodies,
        )

    async def _add_missing_bodies(
        self, sender: VmId, body: ConfigBody, bodies: dict[str, bytes]
    ) -> None:
        """Fetch the bodies that did not fit into the first answer.

        If the member does not hold them either, they are read from the
        object store.
        """
        missing = self.feed.state.missing_digests(body.changes)
        digests_to_fetch = {
            part: digest
            for part, digest in missing.items()
            if part not in bodies
        }
        while digests_to_fetch:
            batch = dict(list(digests_to_fetch.items())[:_PARTS_PER_PULL])
            answer: PartsBody = await self.endpoint.call(
                to=sender,
                message=PartsPull(digests_by_part=batch),
                timeout=_PULL_TIMEOUT_S,
            )
            if not answer.bodies_by_part:
                bodies.update(await self.feed.fetch(digests_to_fetch))
                return
            bodies.update(answer.bodies_by_part)
            for part in answer.bodies_by_part:
                digests_to_fetch.pop(part, None)

    def _answer_config_pull(self, envelope: Envelope) -> ConfigBody:
        state = self.feed.state
        changes = state.changes_since(envelope.body.have)
        return ConfigBody(
            generation=state.generation,
            digest=state.digest,
            changes=changes,
            bodies_by_part=self._held_bodies(
                {part: entry.digest for part, entry in changes.items()}
            ),
        )

    def _answer_parts_pull(self, envelope: Envelope) -> PartsBody:
        return PartsBody(
            bodies_by_part=self._held_bodies(envelope.body.digests_by_part)
        )

    def _held_bodies(
        self, digests_by_part: dict[str, bytes]
    ) -> dict[str, bytes]:
        state = self.feed.state
        found: dict[str, bytes] = {}
        size = 0
        for part, digest in digests_by_part.items():
            entry = state.entries_by_part.get(part)
            body = state.bodies_by_part.get(part)
            if entry is None or body is None or entry.digest != digest:
                continue
            size += len(body)
            if found and size > _MAX_BODY_BYTES:
                break
            found[part] = body
        return found
