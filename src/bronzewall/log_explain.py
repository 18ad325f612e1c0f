"""Finds the log lines of VMs that explain one request."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

# Events that change how a VM rates instances, or which configuration, keys,
# store or zone leader it uses. They help to explain the requests that it
# sends shortly after.
_CONTEXT_EVENTS = frozenset(
    (
        'configuration_in_force',
        'hub_followed',
        'instance_limit_changed',
        'instances_changed',
        'instances_reached',
        'instances_unreachable',
        'keys_not_trusted',
        'keys_trusted',
        'store_lost',
        'store_reached',
        'suspicion_changed',
    )
)
_HIDDEN_FIELDS = frozenset(('event', 'level', 'timestamp', 'request_id'))


@attrs.frozen(kw_only=True)
class LogStep:
    """One line of a log.

    :param source: last token before the JSON object, for example the VM.
    :param request_id: id of the request that the line concerns, if any.
    """

    source: str
    request_id: object
    event: str
    at: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the step as one line."""
        details = ' '.join(
            f'{name}={found}' for name, found in self.fields.items()
        )
        return f'{self.at} {self.source} {self.event} {details}'.rstrip()


def steps_of(lines: Iterable[str], request_id: str) -> list[LogStep]:
    """Return the steps of a request and the state changes that affect it.

    A step about an instance or the configuration is included if it is the
    last of its event on the same VM before a step of the request.

    :param lines: log lines; the token before the JSON object names the VM.
    """
    found: list[LogStep] = []
    context: dict[tuple[str, str, str], LogStep] = {}
    for line in lines:
        step = _parse_step(line)
        if step is None:
            continue
        if step.event in _CONTEXT_EVENTS:
            about = str(step.fields.get('instance', ''))
            context[step.source, step.event, about] = step
        if step.request_id == request_id:
            found.extend(_pop_context(context, step))
            found.append(step)
    return found


def _pop_context(
    context: dict[tuple[str, str, str], LogStep], step: LogStep
) -> list[LogStep]:
    """Remove the context of a step and return it in order of time."""
    instance = str(step.fields.get('instance', ''))
    keys = [
        key
        for key in context
        if key[0] == step.source and key[2] in {'', instance}
    ]
    return sorted((context.pop(key) for key in keys), key=_step_time)


def _step_time(step: LogStep) -> str:
    return step.at


def _parse_json(line: str) -> dict[str, Any]:
    start = line.find('{')
    if start < 0:
        return {}
    try:
        document = json.loads(line[start:])
    except ValueError:
        # Other programs may write to the same log.
        return {}
    return document if isinstance(document, dict) else {}


def _parse_step(line: str) -> LogStep | None:
    document = _parse_json(line)
    if 'event' not in document:
        return None
    prefix_words = line[: line.find('{')].split()
    return LogStep(
        source=prefix_words[-1] if prefix_words else '',
        request_id=document.get('request_id'),
        event=str(document['event']),
        at=str(document.get('timestamp', '')),
        fields={
            name: text
            for name, text in document.items()
            if name not in _HIDDEN_FIELDS
        },
    )
