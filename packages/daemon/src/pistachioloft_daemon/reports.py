"""Build the reports of an instance for operators."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from pistachioloft_core.messages.fleet import ENDPOINT_LAPSED, ENDPOINT_READY
from pistachioloft_core.messages.operator import VoterStatus
from pistachioloft_core.messages.report import (
    ENDPOINT_SILENT,
    AnnouncedReport,
    BudgetReport,
    EntryReport,
    FleetReport,
    OrganisationReport,
    SuspectReport,
)
from pistachioloft_core.process import agreement, feed, fleet
from pistachioloft_core.process.directory import advertised_entries
from pistachioloft_core.process.endpoint_table import is_evacuated
from pistachioloft_core.process.suspects import SuspicionLevel, suspicion_level

from .loop_timers import monotonic_ms
from .metrics import NAMED_ORGANISATION_COUNT

if TYPE_CHECKING:
    from pistachioloft_core.connection.endpoint_load import EndpointLoad
    from pistachioloft_core.messages.fleet import AnnouncedEndpoint

    from .control_instance import ControlInstance
    from .entry_instance import EntryInstance
    from .voter import Voter


def voter_status(voter: Voter, now_ms: float) -> VoterStatus:
    """Return the status of the voter group as seen by one voter."""
    members = agreement.membership(voter.state)
    can_lose_count = (
        agreement.tolerated_loss_count(voter.state, now_ms) if voter.is_leader() else None
    )
    return VoterStatus(
        voter.leader_instance(),
        voter.state.term,
        agreement.commit_index(voter.state),
        members.voters,
        members.learners,
        can_lose_count,
    )


def report_entry(instance: EntryInstance) -> FleetReport:
    """Return the report of an entry instance."""
    now_ms = monotonic_ms()
    settings, state = instance.settings, instance.state
    confirmation_age_ms = feed.confirmation_age_ms(instance.feed, now_ms)
    suspects = instance.requests.crashes.watch.suspects
    suspicion_levels = {
        digest: suspicion_level(suspects, now_ms, caller, digest)
        for caller, digest in suspects.entries
    }
    return FleetReport(
        instance=settings.instance,
        label=settings.label,
        role=settings.role,
        failure_domain=settings.failure_domain,
        serving=instance.serving(),
        stopping=instance.stopping,
        route_version=state.routes.version if state.routes is not None else 0,
        confirmed_age_ms=None if confirmation_age_ms == float('inf') else confirmation_age_ms,
        control_instances=feed.candidates(instance.feed),
        endpoints=tuple(
            replace(
                _describe_load(load, load in state.table.usable(load.record.service), now_ms),
                evacuated=is_evacuated(state.table, load),
            )
            for load in state.table.endpoints.values()
        ),
        budgets=tuple(
            BudgetReport(
                service,
                budget.balance,
                budget.limits.allowance_count,
                budget.first_count,
                budget.extra_count,
            )
            for service, budget in state.budgets.items()
        ),
        suspects=tuple(
            SuspectReport(digest, level.value)
            for digest, level in suspicion_levels.items()
            if level is not SuspicionLevel.CLEAR
        ),
        evacuated_domains=tuple(sorted(state.table.evacuated_domains)),
        organisations=_describe_organisations(instance),
    )


def _describe_organisations(instance: EntryInstance) -> tuple[OrganisationReport, ...]:
    """Describe the organisations that are limited and sent most requests here."""
    routes = instance.state.routes
    tally = instance.requests.metrics.admission_tally
    known = routes.organisations if routes is not None else {}
    reports = [
        OrganisationReport(
            name,
            organisation.rate_per_s,
            organisation.burst_count,
            tally[name, True],
            tally[name, False],
        )
        for name, organisation in known.items()
        if tally[name, True] + tally[name, False]
    ]
    reports.sort(key=lambda report: report.admitted_count + report.refused_count, reverse=True)
    return tuple(reports[:NAMED_ORGANISATION_COUNT])


def report_control(instance: ControlInstance) -> FleetReport:
    """Return the report of a control instance."""
    now_ms = monotonic_ms()
    settings, state = instance.settings, instance.fleet
    voter = instance.supervisor.voter
    evacuated = instance.evacuations.failure_domains
    entries = fleet.live_entries(state, now_ms)
    advertised = {entry.instance for entry in advertised_entries(entries, state.entry_limit)}
    return FleetReport(
        instance=settings.instance,
        label=settings.label,
        role=settings.role,
        failure_domain=settings.failure_domain,
        serving=instance.confirmed(),
        stopping=any(server.closing for server in instance.servers),
        route_version=instance.routes.version,
        confirmed_age_ms=None,
        control_instances=fleet.live_controls(state, now_ms),
        voters=voter_status(voter, now_ms) if voter is not None else None,
        entries=tuple(
            EntryReport(
                entry.instance,
                entry.failure_domain,
                entry.ready,
                entry.stopping,
                entry.instance in advertised,
                entry.route_version,
                entry.in_flight_count,
                entry.age_ms,
                entry.cut_off,
            )
            for entry in entries
        ),
        endpoints=tuple(
            _describe_announced(received.record, evacuated)
            for received in state.announced.endpoints.values()
        ),
        evacuated_domains=evacuated,
    )


def _describe_announced(record: AnnouncedEndpoint, evacuated: tuple[str, ...]) -> AnnouncedReport:
    is_out = record.failure_domain in evacuated
    usable = record.endpoint_state == ENDPOINT_READY and not is_out
    return replace(_describe(record, usable), evacuated=is_out)


def _describe(record: AnnouncedEndpoint, usable: bool) -> AnnouncedReport:
    return AnnouncedReport(
        record.endpoint,
        record.service,
        record.failure_domain,
        record.address,
        ENDPOINT_SILENT if record.endpoint_state == ENDPOINT_LAPSED else record.endpoint_state,
        usable,
    )


def _describe_load(load: EndpointLoad, usable: bool, now_ms: float) -> AnnouncedReport:
    return replace(
        _describe(load.record, usable),
        in_flight_count=load.in_flight_count,
        overdue_count=load.overdue_count,
        breaker_open=load.breaker.is_open(now_ms),
        limit_per_s=load.limit.per_s if load.limit.is_limited else None,
        rest_left_ms=max(0.0, load.statements.rest_until_ms - now_ms),
        leaving=load.statements.is_leaving,
    )
