"""Messages of heartbeats, suspicion votes and the VM list."""

import attrs

from bronzewall.freshness import StoreReport
from bronzewall.membership import MemberState
from bronzewall.messages import message
from bronzewall.types import VmId, VmRecord


@message('heartbeat')
@attrs.frozen(kw_only=True)
class Heartbeat:
    """Requests an ack.

    :param beat: number of this heartbeat, repeated in its acks.
    :param follow: the sender subscribes to further acks of this heartbeat,
        one for each change of state.
    """

    beat: int
    follow: bool = False


@attrs.frozen(kw_only=True)
class NoticeReport:
    """A notice about a member, as sent in an ack.

    :param at: when the event happened, seconds after the arrival of the
        heartbeat; negative.
    """

    vm_id: VmId
    incarnation: int
    state: MemberState
    at: float


@message('heartbeat_ack')
@attrs.frozen(kw_only=True)
class HeartbeatAck:
    """State of the sender, in answer to one heartbeat.

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
    """Asks a member whether it has contact with another one."""

    vm_id: VmId


@message('suspicion_vote')
@attrs.frozen(kw_only=True)
class SuspicionVote:
    """Answer to a suspicion.

    :param is_heard: whether the voter has contact with the member.
    """

    is_heard: bool


@message('ping')
@attrs.frozen(kw_only=True)
class Ping:
    """Asks a member to answer with a pong."""


@message('pong')
@attrs.frozen(kw_only=True)
class Pong:
    """Answer to a ping."""


@message('list_pull')
@attrs.frozen(kw_only=True)
class ListPull:
    """Requests the VM list.

    :param have: digest of the copy that the sender has.
    """

    have: bytes = b''


@message('list_body')
@attrs.frozen(kw_only=True)
class ListBody:
    """A copy of the VM list, or its changes since an older copy.

    :param digest: digest of the resulting copy.
    :param base: digest of the older copy; empty for a full list.
    """

    digest: bytes
    base: bytes = b''
    records: list[VmRecord] = attrs.field(factory=list)
    removed_ids: list[VmId] = attrs.field(factory=list)
