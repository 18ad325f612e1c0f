"""Detection time of failing instances, and ejections without a fault."""

import gc
import logging
import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import structlog
from detection_calm import measure_calm
from detection_model import (
    DEPLOYMENTS,
    SERVICE,
    ConsecutiveFailures,
    Deployment,
    EvidencePolicy,
    Fleet,
    NoEjection,
)
from harness import Target, run_bench

from bronzewall.types import InstanceId

_TRIALS = 4
_BASELINE_TRIALS = 1
_BASELINE_LIMIT_S = 10.0
_WARM_UP_S = 20.0
_BASELINE_WARM_UP_S = 5.0
_SETTLE_S = 1.0
_FAULT_S = {
    'hang': 2.0,
    'slow': 2.5,
    'partial': 3.5,
    'resets': 2.0,
    'flapping': 22.0,
    'one_zone': 4.0,
}
_FLAPPING_TRIALS = 1
_FLAP_PERIOD_S = 5.0
# A fault counts as detected once this fraction of the VMs avoids it.
_DETECTED_VM_FRACTION = 0.95
# Fault-free decisions per deployment, half of the total.
_CALM_DECISIONS = 252_000


def _percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    rank = min(len(ordered) - 1, int(fraction * len(ordered)))
    return round(ordered[rank], 3)


def _run_trial(fleet: Fleet, fault: str, number: int) -> dict[str, Any]:
    timeline = fleet.timeline
    fleet.reset_policy()
    timeline.run_until(timeline.time + _SETTLE_S + fleet.random.random())
    failing = fleet.instances_by_id[InstanceId(f'instance-{number % 12}')]
    fleet.faulty_zone = failing.config.placement.zone
    fleet.watched = failing.config.instance_id
    fleet.avoided_at.clear()
    limit = _FAULT_S[fault]
    if fleet.policy is not EvidencePolicy:
        limit = max(limit, _BASELINE_LIMIT_S)
    start, end = timeline.time, timeline.time + limit
    sent, decisions = fleet.sent_to_watched, fleet.decisions
    detected = None
    is_failing = True
    failing.fault = 'hang' if fault == 'flapping' else fault
    next_flap = start + _FLAP_PERIOD_S
    affected = [
        vm.vm_id
        for vm in fleet.vms_by_id.values()
        if fault != 'one_zone' or vm.placement.zone == fleet.faulty_zone
    ]
    needed = int(_DETECTED_VM_FRACTION * len(affected) + 0.999)
    after_sent, after_decisions = sent, decisions
    while timeline.time < end:
        timeline.run_until(timeline.time + 0.05)
        if fault == 'flapping' and timeline.time >= next_flap:
            next_flap += _FLAP_PERIOD_S
            is_failing = not is_failing
            if is_failing:
                failing.fault = 'hang'
            else:
                failing.clear()
        times = sorted(
            at for vm, at in fleet.avoided_at.items() if vm in affected
        )
        if detected is None and len(times) >= needed:
            detected = times[needed - 1] - start
            after_sent = fleet.sent_to_watched
            after_decisions = fleet.decisions
    others = [item for item in fleet.ejections if item[2] != fleet.watched]
    report = {
        'detected': limit if detected is None else detected,
        'is_missed': detected is None,
        'share': (fleet.sent_to_watched - sent) / (fleet.decisions - decisions),
        'share_after': (fleet.sent_to_watched - after_sent)
        / max(1, fleet.decisions - after_decisions),
        'others': len(others),
        'spread': len(fleet.avoided_at) - len(times),
    }
    fleet.ejections.clear()
    fleet.watched = None
    failing.clear()
    _discard_trial(fleet)
    return report


def _discard_trial(fleet: Fleet) -> None:
    """Discard late answers, which carry evidence of the last trial."""
    fleet.timeline.run_until(fleet.timeline.time + 0.2)
    for vm in fleet.vms_by_id.values():
        vm.evidence.drain(SERVICE, fleet.timeline.time)
    # Summaries of the trial that are still in transit reach this policy, which
    # the next trial replaces.
    fleet.reset_policy()
    fleet.timeline.run_until(fleet.timeline.time + 0.1)
    fleet.ejections.clear()


def _measure_faults(
    deployment: Deployment, policy: Any, trials: int, seed: int
) -> dict[str, Any]:
    fleet = Fleet(
        deployment=deployment, random=random.Random(seed), policy=policy
    )
    uses_evidence = policy is EvidencePolicy
    warm_up = _WARM_UP_S if uses_evidence else _BASELINE_WARM_UP_S
    fleet.timeline.run_until(warm_up)
    found: dict[str, Any] = {}
    for fault in _FAULT_S:
        count = trials
        if fault == 'flapping':
            count = min(trials, _FLAPPING_TRIALS)
        late = fleet.over_deadline
        found[fault] = [
            _run_trial(fleet, fault, number) for number in range(count)
        ]
        found[fault][0]['over_deadline'] = fleet.over_deadline - late
    per_vm = fleet.timeline.time * len(fleet.vms_by_id)
    found['messages_per_vm_s'] = fleet.message_count / per_vm
    found['bytes_per_vm_s'] = fleet.sampled_bytes * 500 / per_vm
    found['floor_violations'] = fleet.floor_violations
    return found


def _summary(trials: list[dict[str, Any]]) -> dict[str, Any]:
    times = [trial['detected'] for trial in trials]
    return {
        'trials': len(trials),
        'missed': sum(trial['is_missed'] for trial in trials),
        'detected_p50_s': _percentile(times, 0.5),
        'detected_p99_s': _percentile(times, 0.99),
        'share_on_sick': round(
            statistics.mean(trial['share'] for trial in trials), 4
        ),
        'share_after_detection': round(
            max(trial['share_after'] for trial in trials), 4
        ),
        'other_ejections': sum(trial['others'] for trial in trials),
        'spread_beyond_zone': sum(trial['spread'] for trial in trials),
        'callers_over_deadline': sum(
            trial.get('over_deadline', 0) for trial in trials
        ),
    }


def _prepare() -> None:
    # The simulation creates hardly any reference cycles; disabling the
    # garbage collector saves a tenth of the run time.
    gc.disable()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )


def _run_faults(task: tuple[Deployment, int]) -> dict[str, Any]:
    deployment, seed = task
    _prepare()
    return {
        'evidence': _measure_faults(deployment, EvidencePolicy, _TRIALS, seed),
        'no_ejection': _measure_faults(
            deployment, NoEjection, _BASELINE_TRIALS, seed
        ),
        'consecutive_failures': _measure_faults(
            deployment, ConsecutiveFailures, _BASELINE_TRIALS, seed
        ),
    }


def _run_calm(task: tuple[Deployment, int]) -> dict[str, Any]:
    deployment, seed = task
    _prepare()
    return measure_calm(deployment, seed, _CALM_DECISIONS)


def _summaries(reports: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        name: _summary([trial for report in reports for trial in report[name]])
        for name in _FAULT_S
    }


def _deployment_report(
    found: dict[str, Any], calm: dict[str, Any]
) -> dict[str, Any]:
    summaries = _summaries([found])
    return {
        'detected_p99_s': {
            name: summary['detected_p99_s']
            for name, summary in summaries.items()
        },
        'messages_per_vm_s': round(found['messages_per_vm_s'], 1),
        'bytes_per_vm_s': round(found['bytes_per_vm_s']),
        'calm': calm,
    }


def _measure(seed: int) -> dict[str, Any]:
    tasks = [(deployment, seed) for deployment in DEPLOYMENTS]
    with ProcessPoolExecutor(max_workers=len(tasks)) as pool:
        fault_reports = list(pool.map(_run_faults, tasks))
        calm_reports = list(pool.map(_run_calm, tasks))
    evidence_reports = [report['evidence'] for report in fault_reports]
    faults = _summaries(evidence_reports)
    flapping = faults['flapping']
    flapping['flapping_share'] = flapping['share_after_detection']
    late = [summary['callers_over_deadline'] for summary in faults.values()]
    return {
        'faults': faults,
        'baselines': {
            name: _summaries([report[name] for report in fault_reports])
            for name in ('no_ejection', 'consecutive_failures')
        },
        'by_deployment': {
            deployment.name: _deployment_report(found, calm_report)
            for deployment, found, calm_report in zip(
                DEPLOYMENTS, evidence_reports, calm_reports, strict=True
            )
        },
        'callers_over_deadline': sum(late)
        + sum(
            calm_report['callers_over_deadline'] for calm_report in calm_reports
        ),
        'decisions': sum(
            calm_report['decisions'] for calm_report in calm_reports
        ),
        'false_ejections': sum(
            calm_report['false_ejections'] for calm_report in calm_reports
        ),
        'floor_violations': sum(
            report['floor_violations']
            for report in (*evidence_reports, *calm_reports)
        ),
    }


def _targets() -> tuple[Target, ...]:
    bounds = {
        'faults.hang.detected_p99_s': 1.0,
        'faults.slow.detected_p99_s': 2.0,
        'faults.partial.detected_p99_s': 3.0,
        'faults.resets.detected_p99_s': 1.0,
        'faults.flapping.detected_p99_s': 3.0,
        'faults.flapping.flapping_share': 0.05,
        'faults.one_zone.spread_beyond_zone': 0,
        'callers_over_deadline': 0,
        'false_ejections': 0,
        'floor_violations': 0,
    }
    return (
        Target(figure='decisions', at_least=500_000),
        *(Target(figure=name, at_most=bound) for name, bound in bounds.items()),
    )


if __name__ == '__main__':
    run_bench(name='detection', measure=_measure, targets=_targets())
