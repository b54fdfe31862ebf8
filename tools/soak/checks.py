"""Checks of a finished soak against what its searchers received."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

from .site import BOUNDS, BURST_COUNT, LIMITED, NOBODY, RATE_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..fleet.searcher import StandInSearcher
    from .site import SoakCall, SoakSite

# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# No request that a caller sends later than this reaches an endpoint from an instance to which the
# endpoint has said that it leaves.
DRAIN_S = 3.0
# From this time after it has asked an instance for a rest until the end of the rest, an endpoint
# receives at most this many requests of that instance.
REST_SLACK_S = 0.5
REST_REQUEST_COUNT = 2
# Later than this after an evacuation is confirmed, no endpoint of the failure domain gets requests.
EVACUATE_S = 3.0
ALLOTMENT_OVERAGE = 0.1


def check_run(site: SoakSite) -> Iterator[str]:
    """Describe each violation of a guarantee that only shows over time."""
    yield from _check_late_runs(site)
    yield from _check_stops(site)
    yield from _check_organisations(site)
    yield from _check_allotment(site)
    yield from _check_evacuations(site)
    for searcher in site.searchers:
        yield from _check_rests(site, searcher)
        yield from _check_leaving(site, searcher)


def _check_late_runs(site: SoakSite) -> Iterator[str]:
    """Check that refused requests have not run later, and others that must not run twice."""
    run_counts = Counter(
        request.request_id
        for searcher in site.searchers
        for request in searcher.received_requests
        if request.ran
    )
    for call in site.calls:
        run_count = run_counts[call.answer.request_id]
        if call.answer.status in NOT_RUN_STATUSES and run_count:
            yield f'{_describe(call)}: ran {run_count} times, in the end'
        if call.kind == 'once' and run_count > 1:
            yield f'{_describe(call)}: ran {run_count} times, in the end'


def _check_stops(site: SoakSite) -> Iterator[str]:
    """Check that an instance that stops answers each request that it has received."""
    for call in site.calls:
        if call.answer.status:
            continue
        for stop in site.stops:
            if call.period.ip == stop.ip and call.period.overlaps(stop.from_s, stop.until_s):
                sent_s = call.period.from_s - stop.from_s
                yield f'{_describe(call)}: cut, sent {sent_s:.2f} s after the signal to stop'


def _check_organisations(site: SoakSite) -> Iterator[str]:
    """Check that endpoints get the name of the key's organisation, and never a key."""
    callers = {call.answer.request_id: call.organisation for call in site.calls}
    for call in site.calls:
        if call.organisation not in ('', NOBODY) and call.answer.status == 401:
            yield f'{_describe(call)}: the key of {call.organisation} was refused'
    for searcher in site.searchers:
        for request in searcher.received_requests:
            organisation = callers.get(request.request_id, '')
            headers = {name.lower(): value for name, value in request.headers}
            if organisation and headers.get('x-tenant') != organisation:
                yield f'{request.request_id} of {organisation}: ran as {headers.get("x-tenant")}'
            if 'authorization' in headers:
                yield f'{request.request_id}: {searcher.endpoint} got the key'


def _check_allotment(site: SoakSite) -> Iterator[str]:
    """Check that no window has more requests of an organisation than its allotment allows."""
    limited = {call.answer.request_id for call in site.calls if call.organisation == LIMITED}
    first_run_s: dict[str, float] = {}
    for searcher in site.searchers:
        for request in searcher.received_requests:
            if request.ran and request.request_id in limited:
                earlier_s = first_run_s.get(request.request_id, request.at_s)
                first_run_s[request.request_id] = min(earlier_s, request.at_s)
    window_s = BOUNDS.allotment_window_s
    allowed_count = (RATE_PER_S * window_s + BURST_COUNT) * (1.0 + ALLOTMENT_OVERAGE)
    allowed_count += BOUNDS.allotment_slack_count
    times_s = sorted(first_run_s.values())
    for position, from_s in enumerate(times_s):
        count = bisect_left(times_s, from_s + window_s) - position
        if count > allowed_count:
            yield f'{count} requests of {LIMITED} in {window_s} s, {allowed_count:.0f} are allowed'
            return


def _check_evacuations(site: SoakSite) -> Iterator[str]:
    """Check that endpoints of an evacuated failure domain get no requests."""
    for evacuation in site.evacuations:
        from_s = evacuation.confirmed_s + EVACUATE_S
        for searcher in site.searchers:
            if searcher.failure_domain != evacuation.failure_domain:
                continue
            for request in searcher.received_requests:
                if from_s < request.at_s < evacuation.withdrawn_s and not _is_excused(
                    site, searcher, request.sender_ip, evacuation.confirmed_s, request.at_s
                ):
                    late_s = request.at_s - evacuation.confirmed_s
                    yield f'{searcher.endpoint}: request {late_s:.1f} s after its evacuation'


def _check_rests(site: SoakSite, searcher: StandInSearcher) -> Iterator[str]:
    """Check that an endpoint that has asked an instance for a rest is left alone by it."""
    for statement in searcher.statements:
        if statement.rest_s is None:
            continue
        until_s = statement.at_s + statement.rest_s
        count = sum(
            request.sender_ip == statement.sender_ip
            and request.born_ms == statement.born_ms
            and statement.at_s + REST_SLACK_S < request.at_s < until_s
            for request in searcher.received_requests
        )
        if count > REST_REQUEST_COUNT and not _is_excused(
            site, searcher, statement.sender_ip, statement.at_s, until_s
        ):
            yield f'{searcher.endpoint}: {count} requests of {statement.sender_ip} during its rest'


def _check_leaving(site: SoakSite, searcher: StandInSearcher) -> Iterator[str]:
    """Check that an instance no longer sends to an endpoint that has told it that it leaves."""
    told_s: dict[tuple[str, int], float] = {}
    for statement in searcher.statements:
        if statement.rest_s is None:
            told_s.setdefault((statement.sender_ip, statement.born_ms), statement.at_s)
    called_s = {call.answer.request_id: call.period.from_s for call in site.calls}
    for request in searcher.received_requests:
        at_s = told_s.get((request.sender_ip, request.born_ms), float('inf'))
        late_s = called_s.get(request.request_id, float('-inf')) - at_s
        if late_s > DRAIN_S and not _is_excused(
            site, searcher, request.sender_ip, at_s, request.at_s
        ):
            yield f'{searcher.endpoint}: {request.request_id} {late_s:.1f} s after it left'


def _is_excused(
    site: SoakSite, searcher: StandInSearcher, sender_ip: str, from_s: float, until_s: float
) -> bool:
    """Return whether the sender may not have received a statement, or may have lost it."""
    return any(site.is_disturbed(ip, from_s, until_s) for ip in (searcher.ip, sender_ip))


def _describe(call: SoakCall) -> str:
    return f'{call.kind} {call.answer.request_id} with status {call.answer.status}'
