"""Tests of explaining a request from log lines."""

import json

from bronzewall.log_explain import steps_of


def log_line(event: str, place: str = 'vm-1', **fields) -> str:
    return f'1.0 {place} ' + json.dumps({'event': event, **fields})


def test_request_with_the_state_changes_before_it() -> None:
    lines = [
        log_line('suspicion_changed', instance='i-1', after=0.9),
        log_line('suspicion_changed', instance='i-2', after=0.9),
        log_line('suspicion_changed', place='vm-2', instance='i-1', after=0.1),
        log_line('configuration_in_force', version=7),
        log_line('instance_answered', request_id='a', instance='i-1'),
        log_line('instance_answered', request_id='b', instance='i-2'),
        'no JSON here',
        '{"broken',
        log_line('refused', request_id='a', reason='answer_lost'),
    ]
    found = [(step.source, step.event) for step in steps_of(lines, 'a')]
    assert found == [
        ('vm-1', 'suspicion_changed'),
        ('vm-1', 'configuration_in_force'),
        ('vm-1', 'instance_answered'),
        ('vm-1', 'refused'),
    ]
    assert 'reason=answer_lost' in str(steps_of(lines, 'a')[-1])


def test_unknown_request() -> None:
    assert steps_of([log_line('refused', request_id='a')], 'x') == []
