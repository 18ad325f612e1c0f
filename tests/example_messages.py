"""Examples of what VMs write, made from the types of a build's own classes.

Run with the sources of a build to record it:
``PYTHONPATH=<checkout>/src python tests/example_messages.py COMMIT``.
"""

import importlib
import json
import pathlib
import pkgutil
import sys
import typing
from types import NoneType
from typing import Any

import attrs

_BUILDS = pathlib.Path(__file__).parent / 'data' / 'builds'
# Only these kinds are exchanged on the users' platform.
_KIND_PREFIX = 'edge-'
_PLAIN: dict[type, Any] = {
    # Also an address.
    str: 'text:1',
    int: 7,
    float: 1.5,
    bool: True,
    bytes: b'\x01\x02',
}


def examples() -> dict[str, Any]:
    """Return the encoded examples of the imported build, and field names."""
    edge = importlib.import_module('bronzewall.edge')
    for module in pkgutil.iter_modules(edge.__path__):
        importlib.import_module(f'bronzewall.edge.{module.name}')
    messages = importlib.import_module('bronzewall.messages')
    classes_by_kind = {
        kind: found
        for kind, found in sorted(messages._classes_by_kind.items())
        if kind.startswith(_KIND_PREFIX)
    }
    return {
        'payloads': {
            kind: messages.encode(
                messages.Envelope(
                    sender='vm-1', incarnation=3, sequence=5, body=_build(found)
                )
            ).hex()
            for kind, found in classes_by_kind.items()
        },
        'fields': {
            kind: [field.name for field in attrs.fields(found)]
            for kind, found in classes_by_kind.items()
        },
        'lists': _lists(),
        'vm_row': _vm_row().hex(),
    }


def recorded() -> dict[str, dict[str, Any]]:
    """Return the recorded examples by the commit of their build."""
    return {
        path.stem: json.loads(path.read_text())
        for path in sorted(_BUILDS.glob('*.json'))
    }


def _lists() -> dict[str, str]:
    packing = importlib.import_module('bronzewall.edge.zone_packing')
    model = importlib.import_module('bronzewall.edge.model')
    return {
        'instances': packing.pack_instances([_build(model.EdgeInstance)]).hex(),
        'vms': packing.pack_vms([_build(model.VmEntry)]).hex(),
    }


def _vm_row() -> bytes:
    decoding = importlib.import_module('bronzewall.platform.decoding')
    model = importlib.import_module('bronzewall.edge.model')
    # The second name is the one before the wording of the code was changed.
    encode = getattr(decoding, 'encode_vm', None) or decoding.encoded_vm
    return encode(_build(model.VmEntry))


def _build(kind: Any) -> Any:
    """Return a value of a type in which nothing has its default."""
    if attrs.has(kind):
        hints = typing.get_type_hints(kind)
        return kind(
            **{
                field.name: _build(hints[field.name])
                for field in attrs.fields(kind)
            }
        )
    origin, inner = typing.get_origin(kind), typing.get_args(kind)
    if origin is dict:
        return {_build(inner[0]): _build(inner[1])}
    if origin is list:
        return [_build(inner[0])]
    if origin is tuple:
        return tuple(_build(one) for one in inner if one is not Ellipsis)
    if inner:
        return _build(next(one for one in inner if one is not NoneType))
    return _PLAIN[getattr(kind, '__supertype__', kind)]


if __name__ == '__main__':
    _BUILDS.mkdir(exist_ok=True)
    (_BUILDS / f'{sys.argv[1]}.json').write_text(
        f'{json.dumps(examples(), indent=1)}\n'
    )
