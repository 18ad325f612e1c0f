"""Sends requests through another VM while this one reaches no instance."""

import json
import math

import attrs
import structlog

from bronzewall import headers as header_rules
from bronzewall.edge.exchange import EdgeExchange
from bronzewall.edge.forwarded_headers import forwarded_headers
from bronzewall.edge.ports import (
    HeaderNames,
    InstanceAnswer,
    InstanceHttp,
    InstanceRequest,
)
from bronzewall.edge.relay_header import RelayHeader
from bronzewall.edge.relay_peers import RelayPeer, RelayPeers
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamShedError,
    UpstreamTimeoutError,
)
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.problems import Ran, Reason
from bronzewall.types import InstanceId
from bronzewall.wire_checks import shown

_MS_PER_S = 1000
# VMs to which one request is sent at most, if they do not take it.
_MAX_PEERS = 3
# Timeout of a new connection to another VM, seconds.
_CONNECT_TIMEOUT_S = 0.3
# The other VM gets a deadline that is earlier by this, seconds, so that its
# refusal at the deadline arrives in time.
_DEADLINE_MARGIN_S = 0.03
# Reasons for which one VM refuses a request that another one may serve.
_REASONS_OF_ONE_VM = frozenset(
    (
        Reason.NOT_CONFIGURED,
        Reason.CUT_OFF,
        Reason.NO_INSTANCE,
        Reason.OVERLOADED,
        Reason.STOPPING,
    )
)
_REASONS_BY_CODE = {reason.code: reason for reason in Reason}
# Errors of a refusal that cannot be read; a deeply nested one raises
# ``RecursionError``.
_UNREADABLE = (ValueError, KeyError, TypeError, RecursionError)
_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class Relay:
    """Sends requests to VMs that have agreed to serve them."""

    clock: Clock
    names: HeaderNames
    peers: RelayPeers
    instances: InstanceHttp
    metrics: Metrics

    async def send(self, exchange: EdgeExchange) -> InstanceAnswer:
        """Return the answer that another VM got.

        :raises RefusalError: the other VM refused it for a reason that holds
            on all VMs, or it may have run.
        :raises UpstreamError: no VM took the request, or its outcome is
            unknown.
        """
        error: UpstreamError = ConnectFailedError(
            'no VM that reaches the instances has answered'
        )
        for _ in range(_MAX_PEERS):
            peer = await self.peers.find(
                exchange.service, exchange.home_regions
            )
            if peer is None:
                break
            try:
                return await self._send_to(peer, exchange)
            except (ConnectFailedError, UpstreamShedError) as exc:
                self.metrics.events['relay_not_taken'] += 1
                self.peers.drop(peer)
                error = exc
        raise error

    async def _send_to(
        self, peer: RelayPeer, exchange: EdgeExchange
    ) -> InstanceAnswer:
        request = self._build_request(peer, exchange)
        if request.timeout <= 0:
            raise UpstreamTimeoutError('deadline passed before the relay')
        started = self.clock.now()
        exchange.runs += 1
        try:
            answer = await self.instances.send(request)
        except ConnectFailedError:
            exchange.runs -= 1
            raise
        finally:
            self.metrics.events['relayed'] += 1
            _LOG.info(
                'relayed',
                request_id=exchange.request_id,
                vm=peer.vm_id,
                seconds=round(self.clock.now() - started, 3),
            )
        self._check_refusal(peer, exchange, answer)
        return answer

    def _check_refusal(
        self, peer: RelayPeer, exchange: EdgeExchange, answer: InstanceAnswer
    ) -> None:
        """Raise an error if the other VM has refused the request.

        Only refusals have a request id of this fleet; that of an instance's
        answer would have been removed.
        """
        if header_rules.find(answer.headers, header_rules.REQUEST_ID) is None:
            return
        try:
            problem = json.loads(answer.body)
            reason = _REASONS_BY_CODE[problem['reason']]
            ran = Ran(problem['ran'])
        except _UNREADABLE as exc:
            raise UpstreamBrokenError(
                f'{peer.vm_id}: unreadable refusal, {shown(exc)}'
            ) from exc
        detail = f'{peer.vm_id}: {problem.get("detail", "")}'
        if ran is Ran.NO:
            exchange.runs -= 1
            if reason in _REASONS_OF_ONE_VM:
                raise UpstreamShedError(detail)
        raise exchange.refusal(
            reason,
            detail=detail,
            retry_after=_retry_after(answer),
        )

    def _build_request(
        self, peer: RelayPeer, exchange: EdgeExchange
    ) -> InstanceRequest:
        remaining = exchange.deadline - self.clock.now()
        deadline_ms = int((remaining - _DEADLINE_MARGIN_S) * _MS_PER_S)
        header = RelayHeader(
            ticket=peer.ticket,
            version=self.peers.directory.version,
            max_instances=max(1, exchange.max_instances - exchange.runs),
        )
        added = [
            (self.names.attempt_id, exchange.request_id),
            (self.names.deadline_ms, str(max(0, deadline_ms))),
            (header_rules.RELAY, str(header)),
        ]
        if exchange.key is not None:
            added.append(('Authorization', f'Bearer {exchange.key}'))
        return InstanceRequest(
            instance_id=InstanceId(peer.vm_id),
            address=peer.address,
            method=exchange.request.method,
            target=exchange.request.target,
            headers=forwarded_headers(
                self.names, exchange.request.headers, added
            ),
            body=exchange.body,
            attempt_id=exchange.request_id,
            timeout=remaining,
            connect_timeout=min(remaining, _CONNECT_TIMEOUT_S),
        )


def _retry_after(answer: InstanceAnswer) -> float | None:
    """Return the seconds that a refusal states; odd ones are none."""
    text = header_rules.find(answer.headers, 'Retry-After')
    try:
        seconds = math.nan if text is None else float(text)
    except ValueError:
        return None
    return seconds if 0 <= seconds < math.inf else None
