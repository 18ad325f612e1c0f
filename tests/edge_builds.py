"""VMs that read messages by the rules of a landed build."""

from collections.abc import Mapping
from typing import Any

import cbor2
from edge_builders import EdgeVm
from example_messages import recorded

_RECORDED = recorded()


def is_readable(payload: bytes, commit: str) -> bool:
    """Return whether a landed build would have read a message.

    These builds reject a body with a field that they do not know.
    """
    fields: Mapping[str, Any] = _RECORDED[commit]['fields']
    wire = cbor2.loads(payload)
    return wire['t'] in fields and set(wire['b']) <= set(fields[wire['t']])


def read_as(vm: EdgeVm, commit: str) -> None:
    """Let a VM read only what a landed build would read.

    What it does and sends stays that of the present build.
    """
    endpoint = vm.leader.endpoint

    def receive(payload: bytes) -> None:
        if is_readable(payload, commit):
            endpoint.receive(payload)

    endpoint.link.on_payload(receive)
