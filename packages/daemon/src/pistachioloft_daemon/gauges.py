"""Gauges of an entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioloft_core.request.query_admission import refused_fraction

from .loop_timers import monotonic_ms

if TYPE_CHECKING:
    from .entry_instance import EntryInstance


def entry_gauges(instance: EntryInstance) -> list[tuple[str, str, float]]:
    """Return name, help text and value of each gauge of an entry instance."""
    now_ms = monotonic_ms()
    loads = instance.state.table.endpoints.values()
    budgets = instance.state.budgets.values()
    routes = instance.state.routes
    count = instance.requests.in_flight_count()
    return [
        ('in_flight_requests', 'Requests without a reply', count),
        ('serving', 'Whether new work is taken', float(instance.serving())),
        ('chosen', 'Whether callers are sent here', float(instance.advertised)),
        ('route_version', 'Version of the routes in force', routes.version if routes else 0),
        (
            'refused_query_fraction',
            'Fraction of the work that is refused because of overload',
            refused_fraction(instance.state),
        ),
        (
            'confirmed_age_ms',
            'Time since a quorum confirmed the routes',
            instance.confirmation_age_ms(),
        ),
        (
            'first_tries_10s',
            'First tries in 10 s',
            sum(budget.first_count for budget in budgets),
        ),
        (
            'extra_tries_10s',
            'Hedges and retries',
            sum(budget.extra_count for budget in budgets),
        ),
        (
            'limited_endpoints',
            'Endpoints that state a limit',
            len(instance.state.limited_endpoints),
        ),
        (
            'requested_permits',
            'Permits requested for endpoints with a limit',
            instance.requests.permits.requested_count,
        ),
        (
            'granted_permits',
            'Permits received for endpoints with a limit',
            instance.requests.permits.granted_count,
        ),
        (
            'cut_off',
            'Whether this instance reaches none of the endpoints',
            float(instance.state.reach.cut_off),
        ),
        (
            'resting_endpoints',
            'Endpoints that want no requests for a while',
            sum(load.statements.is_resting(now_ms) for load in loads),
        ),
        (
            'leaving_endpoints',
            'Endpoints that said they leave',
            sum(load.statements.is_leaving for load in loads),
        ),
        (
            'evacuated_domains',
            'Evacuated failure domains',
            len(instance.state.table.evacuated_domains),
        ),
        (
            'answer_allowance_ms',
            'Time by which answers of queries are due before they must be written',
            instance.state.answer_delay.allowance_ms,
        ),
        ('endpoint_connections', 'To endpoints', instance.requests.pool.connection_count()),
        ('caller_connections', 'From callers', len(instance.caller_server.connections)),
        ('peer_sent_bytes', 'Bytes sent to other instances', instance.peers.sent_bytes),
        ('peer_received_bytes', 'Bytes from other instances', instance.peers.received_bytes),
    ]
