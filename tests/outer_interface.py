"""Reads from the code every name and payload that leaves a process."""

import ast
import enum
import functools
import importlib
import pathlib
import pkgutil
import types
import typing
from collections.abc import Iterator
from typing import Any

import attrs

import bronzewall
from bronzewall import (
    errors,
    messages,
    once_rows,
    publication_rows,
    published_change,
    slot_rows,
)
from bronzewall import headers as caller_headers
from bronzewall.config_model import Account, Service
from bronzewall.edge.failure_estimates import Observation
from bronzewall.edge.model import EdgeInstance, VmEntry
from bronzewall.edge.settings import EdgeSettings
from bronzewall.journal import Step
from bronzewall.locality import Locality
from bronzewall.metrics import Metrics
from bronzewall.platform import names as platform_names
from bronzewall.problems import Ran, Reason
from bronzewall.publication_check import VmAnswer
from bronzewall.quota_shares import QuotaShare
from bronzewall.settings import PREFIX, Settings
from bronzewall.standins.memory import StoreFaults
from bronzewall.standins.upstream import Run, UpstreamFaults
from bronzewall.types import Row, RowCheck, RowWrite, VmRecord, VmState

_SOURCE = pathlib.Path(bronzewall.__file__).parent
_LOG_METHODS = frozenset(
    ('debug', 'info', 'warning', 'error', 'exception', 'critical')
)
_STORED_CLASSES: dict[str, type] = {
    'generation row': publication_rows.GenerationRow,
    'part row': publication_rows.PartRow,
    'history row': publication_rows.HistoryRow,
    'key row': once_rows.Entry,
    'slot row': slot_rows.SlotRow,
    'published change': published_change.PublishedChange,
    'service': Service,
    'account': Account,
    'packed VM': VmEntry,
    'packed instance': EdgeInstance,
    'table row': Row,
    'row check': RowCheck,
    'row write': RowWrite,
    'VM record': VmRecord,
}
# Classes that are shown or set by their field names on HTTP interfaces.
_JSON_CLASSES: dict[str, type] = {
    'answer to a change': VmAnswer,
    'step of a request': Step,
    'quota lent': QuotaShare,
    'store faults': StoreFaults,
    'run of an upstream': Run,
    'upstream faults': UpstreamFaults,
}


@functools.cache
def interface() -> dict[str, Any]:
    """Return the names by where they are seen."""
    load_all_modules()
    return {
        'messages': {
            kind: _fields(found)
            for kind, found in sorted(messages._classes_by_kind.items())
            if found.__module__.startswith('bronzewall')
        },
        'message labels': {
            kind: messages._labels_by_class[found]
            for kind, found in sorted(messages._classes_by_kind.items())
            if found.__module__.startswith('bronzewall')
        },
        'errors that are counted by name': _error_names(),
        'stored': {
            label: _fields(found) for label, found in _STORED_CLASSES.items()
        },
        'shown as JSON': {
            label: _fields(found) for label, found in _JSON_CLASSES.items()
        },
        'localities in counters': [found.name.lower() for found in Locality],
        'settings': [
            PREFIX + field.name.upper() for field in attrs.fields(Settings)
        ],
        'edge settings': [
            field.name.upper() for field in attrs.fields(EdgeSettings)
        ],
        'caller headers': _texts(caller_headers.__dict__),
        'platform': sorted(
            (
                *_texts(platform_names.__dict__),
                *attrs.asdict(platform_names.HEADERS).values(),
            )
        ),
        'refusals': {reason.code: reason.status for reason in Reason},
        'ran': [found.value for found in Ran],
        'VM states': [found.value for found in VmState],
        'edge observations': {found.name: found.value for found in Observation},
        'metrics': _metric_lines(),
        'log lines': _log_lines(),
        'counted events': _subscripts('events'),
        'counted retries': _subscripts('retries'),
        'counters': _subscripts('counters'),
    }


def load_all_modules() -> None:
    """Import every module, so that all message types are registered."""
    for found in pkgutil.walk_packages(bronzewall.__path__, 'bronzewall.'):
        if not found.name.endswith('__main__'):
            importlib.import_module(found.name)


def _fields(found: type) -> list[str]:
    """Return field names in their order, those of nested classes dotted."""
    names: list[str] = []
    for field in attrs.fields(attrs.resolve_types(found)):
        names.append(field.name)
        for nested in _classes(field.type):
            if attrs.has(nested):
                names += [f'{field.name}.{name}' for name in _fields(nested)]
            elif issubclass(nested, enum.Enum):
                names += [f'{field.name}={item.value}' for item in nested]
    return names


def _classes(annotation: Any) -> Iterator[type]:
    if isinstance(annotation, typing.NewType):
        return
    inner = typing.get_args(annotation)
    for item in inner:
        yield from _classes(item)
    if not inner and isinstance(annotation, type):
        if not isinstance(annotation, types.GenericAlias):
            yield annotation


def _error_names() -> list[str]:
    """Return the errors whose class names appear in counters."""
    return sorted(
        name
        for name, found in errors.__dict__.items()
        if isinstance(found, type)
        and issubclass(found, (errors.PeerError, errors.UpstreamError))
    )


def _texts(found: dict[str, Any]) -> list[str]:
    """Return the texts of constants; the constants' names are inner."""
    return sorted(
        text
        for name, text in found.items()
        if name.isupper() and isinstance(text, str) and name[0] != '_'
    )


def _metric_lines() -> list[str]:
    metrics = Metrics()
    for counted in (metrics.refusals, metrics.retries, metrics.events):
        counted['one'] = 1
    return [
        line
        for line in metrics.exposition().decode().splitlines()
        if not line.startswith('#') and '_created' not in line
    ]


@functools.cache
def _trees() -> tuple[ast.Module, ...]:
    return tuple(
        ast.parse(path.read_text()) for path in sorted(_SOURCE.rglob('*.py'))
    )


def _log_lines() -> list[str]:
    """Return each logged event with its fields."""
    found = set()
    for tree in _trees():
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            called = node.func
            if (
                isinstance(called, ast.Attribute)
                and called.attr in _LOG_METHODS
                and ast.unparse(called.value).upper().endswith('LOG')
            ):
                fields = sorted(item.arg or '**' for item in node.keywords)
                for event in _strings(node.args[0]):
                    found.add(' '.join((event, *fields)))
    return sorted(found)


def _subscripts(attribute: str) -> list[str]:
    """Return the literal keys that are counted under an attribute."""
    found = set()
    for tree in _trees():
        for node in ast.walk(tree):
            if (
                isinstance(node, ast.Subscript)
                and isinstance(node.value, ast.Attribute)
                and node.value.attr == attribute
            ):
                found.update(_strings(node.slice))
    return sorted(found)


def _strings(node: ast.AST) -> list[str]:
    return [
        item.value
        for item in ast.walk(node)
        if isinstance(item, ast.Constant) and isinstance(item.value, str)
    ]
