"""Messages of heartbeats, suspicions and the members' list."""

import attrs

from bronzewall.freshness import StoreReport
from bronzewall.membership import MemberState
from bronzewall.messages import message
from bronzewall.types import VmId, VmRecord


@message('heartbeat')
@attrs.frozen(kw_only=True)
class Heartbeat:
    """Asks for an ack.

    :param beat: number of this heartbeat, repeated in its acks.
    :param follow: the sender wants further acks of this heartbeat when
        there is news.
    """

    beat: int
    follow: bool = False


@attrs.frozen(kw_only=True)
class NoticeReport:
    """A notice about a member on its way.

    :param at: seconds after the arrival of the heartbeat; negative.
    """

    vm_id: VmId
    incarnation: int
    state: MemberState
    at: float


@message('heartbeat_ack')
@attrs.frozen(kw_only=True)
class HeartbeatAck:
    """State of the sender, for one heartbeat.

    :param generation: generation in force at the sender.
    :param list_digest: digest of the sender's copy of the VM list.
    :param list_read: when that copy was read, seconds after the arrival
        of the heartbeat; negative.
    """

    beat: int
    generation: int = 0
    store: StoreReport = attrs.field(factory=StoreReport)
    list_digest: bytes = b''
    list_read: float = 0
    notices: list[NoticeReport] = attrs.field(factory=list)


@message('stopping')
@attrs.frozen(kw_only=True)
class Stopping:
    """The sender begins a planned stop."""


@message('suspicion')
@attrs.frozen(kw_only=True)
class Suspicion:
    """Asks a member whether it hears another one."""

    vm_id: VmId


@message('suspicion_vote')
@attrs.frozen(kw_only=True)
class SuspicionVote:
    """Answer to a suspicion."""

    is_heard: bool


@message('ping')
@attrs.frozen(kw_only=True)
class Ping:
    """Asks for a sign of life."""


@message('pong')
@attrs.frozen(kw_only=True)
class Pong:
    """Sign of life."""


@message('list_pull')
@attrs.frozen(kw_only=True)
class ListPull:
    """Asks for the VM list.

    :param have: digest of the copy that the sender has.
    """

    have: bytes = b''


@message('list_body')
@attrs.frozen(kw_only=True)
class ListBody:
    """A copy of the VM list, or what changed.

    :param base: digest of the copy to change; empty for a full list.
    """

    digest: bytes
    base: bytes = b''
    records: list[VmRecord] = attrs.field(factory=list)
    removed_ids: list[VmId] = attrs.field(factory=list)
