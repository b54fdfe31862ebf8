"""Record the state of the system before a rehearsal and compare it afterwards."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.messages.operator import (
    STATE_FENCED,
    STATE_IN_FORCE,
    InstanceForce,
)

from .exits import CommandFailure, ExitCode

if TYPE_CHECKING:
    from pistachioloft_core.messages.accepted import AcceptedConfiguration

    from .operators import StatusView

FORMAT_VERSION = 1
STATE_MISSING = 'missing'


@dataclass(frozen=True, slots=True)
class RehearsalState:
    """Hold the accepted configuration, where it is in force and the usable endpoints."""

    format: int
    saved_at_ms: int
    accepted_index: int
    accepted_term: int
    accepted_digest: str
    everywhere: bool
    instances: tuple[InstanceForce, ...]
    can_lose_count: int | None
    endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RehearsalReport:
    """Hold the states before and after a rehearsal and their differences."""

    exit_code: int
    before: RehearsalState
    after: RehearsalState
    reverted: bool
    changed: bool
    fenced: tuple[str, ...]
    not_in_force: tuple[str, ...]
    missing_endpoints: tuple[str, ...]
    new_endpoints: tuple[str, ...]


def collect_state(accepted: AcceptedConfiguration, view: StatusView, now_ms: int) -> RehearsalState:
    """Return the state according to the leader's report, or raise a failure without one."""
    leader = view.leader_reply
    if leader is None or leader.in_force is None:
        detail = "No given address has the leader's report on what is in force."
        raise CommandFailure(ExitCode.NOT_IN_FORCE, detail)
    reported = {
        instance_force.instance: instance_force for instance_force in leader.in_force.instances
    }
    instances = [
        _check_digest(accepted, reported.pop(entry.instance, None), entry.instance)
        for entry in accepted.configuration.instances
    ]
    # A removed instance may still serve until its lease expires.
    instances.extend(
        instance_force
        for instance_force in reported.values()
        if instance_force.state != STATE_FENCED
    )
    usable = {
        endpoint_status.endpoint
        for endpoint_status in leader.endpoints
        if endpoint_status.usable and not endpoint_status.draining
    }
    return RehearsalState(
        format=FORMAT_VERSION,
        saved_at_ms=now_ms,
        accepted_index=accepted.index,
        accepted_term=accepted.term,
        accepted_digest=accepted.digest,
        everywhere=all(instance_force.state == STATE_IN_FORCE for instance_force in instances),
        instances=tuple(instances),
        can_lose_count=leader.voters.can_lose_count if leader.voters is not None else None,
        endpoints=tuple(sorted(usable)),
    )


def _check_digest(
    accepted: AcceptedConfiguration, instance_force: InstanceForce | None, instance: str
) -> InstanceForce:
    """Return the state of an instance; `in_force` requires the accepted index and digest."""
    if instance_force is None:
        return InstanceForce(instance, STATE_MISSING, 0, '')
    matches_accepted = (instance_force.index, instance_force.digest) == (
        accepted.index,
        accepted.digest,
    )
    if instance_force.state == STATE_IN_FORCE and not matches_accepted:
        return InstanceForce(instance, 'other_digest', instance_force.index, instance_force.digest)
    return instance_force


def compare_states(before: RehearsalState, after: RehearsalState) -> RehearsalReport:
    """Compare the states before and after a rehearsal and choose the exit code."""
    reverted = after.accepted_index < before.accepted_index or (
        after.accepted_index == before.accepted_index
        and after.accepted_digest != before.accepted_digest
    )
    absent_endpoints = tuple(sorted(set(before.endpoints) - set(after.endpoints)))
    tolerates_fewer_losses = (after.can_lose_count or 0) < (before.can_lose_count or 0)
    exit_code = ExitCode.DONE
    if reverted:
        exit_code = ExitCode.CONFLICT
    elif not after.everywhere:
        exit_code = ExitCode.NOT_IN_FORCE
    elif absent_endpoints or tolerates_fewer_losses:
        exit_code = ExitCode.PARTIAL
    return RehearsalReport(
        exit_code=int(exit_code),
        before=before,
        after=after,
        reverted=reverted,
        changed=after.accepted_index > before.accepted_index,
        fenced=tuple(
            instance_force.instance
            for instance_force in after.instances
            if instance_force.state == STATE_FENCED
        ),
        not_in_force=tuple(
            instance_force.instance
            for instance_force in after.instances
            if instance_force.state != STATE_IN_FORCE
        ),
        missing_endpoints=absent_endpoints,
        new_endpoints=tuple(sorted(set(after.endpoints) - set(before.endpoints))),
    )


def describe_report(report: RehearsalReport) -> tuple[str, ...]:
    """Return the lines of a report for people."""
    before, after = report.before, report.after
    lines = [
        f'Before: index {before.accepted_index}, digest {before.accepted_digest}',
        f'After:  index {after.accepted_index}, digest {after.accepted_digest}',
    ]
    if report.reverted:
        lines.append('REVERTED: the configuration accepted before is no longer the accepted one.')
    elif report.changed and before.accepted_digest == after.accepted_digest:
        lines.append('The content is the same; it was accepted again, or instances were drained.')
    elif report.changed:
        lines.append('Newer submissions were accepted since; see config history.')
    else:
        lines.append('The accepted configuration is the same.')
    instance_count = len(after.instances)
    in_force_count = instance_count - len(report.not_in_force)
    lines.append(
        f'In force with the accepted digest on {in_force_count} of {instance_count} instances.'
    )
    lines.extend(
        f'  not on {instance_force.instance}: {instance_force.state}, index {instance_force.index}'
        for instance_force in after.instances
        if instance_force.state != STATE_IN_FORCE
    )
    lines.append(f'Fenced instances: {", ".join(report.fenced) or "none"}')
    lines.append(
        f'Voters that can still be lost: {_format_count(after.can_lose_count)}'
        f' (before: {_format_count(before.can_lose_count)})'
    )
    lines.append(
        f'Endpoints: {len(after.endpoints)} usable (before: {len(before.endpoints)});'
        f' missing: {", ".join(report.missing_endpoints) or "none"}'
    )
    if report.new_endpoints:
        lines.append(f'New endpoints: {", ".join(report.new_endpoints)}')
    return tuple(lines)


def _format_count(count: int | None) -> str:
    return 'unknown' if count is None else str(count)
