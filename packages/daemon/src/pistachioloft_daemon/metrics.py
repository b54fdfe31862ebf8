"""Collect the metrics of an instance and render them in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter as Tally
from itertools import accumulate
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as HistogramValue
from aioprometheus.renderer import render

from .byte_counts import ByteCounts

if TYPE_CHECKING:
    from pistachioloft_core.errors import ResultCode
    from pistachioloft_core.request.attempts import Attempt, AttemptEnd
    from pistachioloft_core.request.forward import ForwardState
    from pistachioloft_core.request.gather_state import GatherState

# The organisations that have counters of their own; the others are counted together.
NAMED_ORGANISATION_COUNT = 20
TEXT_ACCEPT = ['text/plain']
# Upper bounds of the latency histograms' buckets: close together up to the latency targets (60 to
# 400 ms) and reaching to the longest time limit (4 s).
LATENCY_BUCKETS_MS = (
    *(0.5, 1.0, 2.0),
    *(5.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 80.0, 100.0, 150.0, 200.0, 300.0),
    *(400.0, 600.0, 1_000.0, 2_000.0, 4_000.0, float('inf')),
)


class LatencyHistogram:
    """Count latencies by bucket, and hand the counts to the library when they are rendered."""

    # The library's own counting takes a tenth of the time of an attempt.

    def __init__(self, registry: Registry, name: str, help_text: str) -> None:
        self.collector = Histogram(
            f'pistachioloft_{name}', help_text, registry=registry, buckets=LATENCY_BUCKETS_MS
        )
        self.counts = [0] * len(LATENCY_BUCKETS_MS)
        self.sum_ms = 0.0

    def add(self, latency_ms: float) -> None:
        """Count one latency."""
        self.counts[bisect_left(LATENCY_BUCKETS_MS, latency_ms)] += 1
        self.sum_ms += latency_ms

    def publish(self) -> None:
        """Hand the counts to the library."""
        value = HistogramValue(*LATENCY_BUCKETS_MS)
        cumulative_counts = accumulate(self.counts)
        value.buckets.update(zip(LATENCY_BUCKETS_MS, cumulative_counts, strict=True))
        value.observations = sum(self.counts)
        value.sum = self.sum_ms
        self.collector.set_value({}, value)


class Metrics:
    """Hold the metrics of one instance."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            'pistachioloft_requests_total', 'Requests by result code', registry=self.registry
        )
        self.latency = LatencyHistogram(self.registry, 'request_ms', 'Time to the reply in ms')
        self.attempt_latency = LatencyHistogram(
            self.registry, 'attempt_ms', 'Time from sending an attempt to its end in ms'
        )
        self.plan_time = LatencyHistogram(
            self.registry, 'plan_ms', 'Time to choose the first endpoints of a request in ms'
        )
        self.answer_delay = LatencyHistogram(
            self.registry,
            'answer_delay_ms',
            'Time from a due answer of a query to its writing in ms',
        )
        self.attempts = Counter(
            'pistachioloft_attempts_total', 'Attempts on endpoints by end', registry=self.registry
        )
        self.refusals = Counter(
            'pistachioloft_refusals_total',
            'Requests that admission refused, by route, priority and the limit that was reached',
            registry=self.registry,
        )
        self.given_up_controls = Counter(
            'pistachioloft_given_up_controls_total',
            'Control instances given up by reason',
            registry=self.registry,
        )
        self.delegated_groups = Counter(
            'pistachioloft_delegated_groups_total',
            'Groups delegated to helpers by end',
            registry=self.registry,
        )
        # Incrementing a counter of the library takes 5 us, too long to do for each attempt, so
        # attempts are tallied here and set when the metrics are rendered.
        self.attempt_tally: Tally[tuple[str, bool, str]] = Tally()
        self.admissions = Counter(
            'pistachioloft_organisation_requests_total',
            'Requests of organisations with an allotment, by organisation and outcome',
            registry=self.registry,
        )
        self.admission_tally: Tally[tuple[str, bool]] = Tally()
        self.named_organisations: set[str] = set()
        self.gauges: dict[str, Gauge] = {}
        self.bytes = ByteCounts(self.registry)

    def count_request(self, code: ResultCode, latency_ms: float) -> None:
        """Record the result code and the latency of a request."""
        self.requests.inc({'code': code.name.lower()})
        self.latency.add(latency_ms)

    def count_refusal(self, request: GatherState | ForwardState, limit: str) -> None:
        """Count a request that admission refused because of a limit."""
        labels = {'route': request.route.name, 'priority': str(request.priority), 'limit': limit}
        self.refusals.inc(labels)

    def count_attempt(self, now_ms: float, attempt: Attempt, end: AttemptEnd) -> None:
        """Record the end and the latency of an attempt."""
        self.attempt_tally[attempt.route.name, attempt.hedge, end.outcome.value] += 1
        if attempt.sent_ms is not None:
            self.attempt_latency.add(now_ms - attempt.sent_ms)

    def count_given_up_control(self, reason: str) -> None:
        """Count a control instance that is no longer polled."""
        self.given_up_controls.inc({'reason': reason})

    def count_group(self, end: str) -> None:
        """Count a delegated group that has ended."""
        self.delegated_groups.inc({'end': end})

    def count_admission(self, organisation: str, *, is_admitted: bool) -> None:
        """Count a request that was admitted or refused because of its allotment."""
        self.admission_tally[organisation, is_admitted] += 1

    def _publish_admissions(self) -> None:
        """Name the largest organisations; once named, one keeps its counter."""
        totals: Tally[str] = Tally()
        for (organisation, _), count in self.admission_tally.items():
            totals[organisation] += count
        for organisation, _ in totals.most_common():
            if len(self.named_organisations) >= NAMED_ORGANISATION_COUNT:
                break
            self.named_organisations.add(organisation)
        published: Tally[tuple[str, bool]] = Tally()
        for (organisation, is_admitted), count in self.admission_tally.items():
            label = organisation if organisation in self.named_organisations else 'other'
            published[label, is_admitted] += count
        for (label, is_admitted), count in published.items():
            outcome = 'admitted' if is_admitted else 'refused'
            self.admissions.set({'organisation': label, 'outcome': outcome}, count)

    def set_gauge(self, name: str, help_text: str, value: float) -> None:
        """Set a gauge, and create it at its first use."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = Gauge(f'pistachioloft_{name}', help_text, registry=self.registry)
            self.gauges[name] = gauge
        gauge.set({}, value)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics as text, and its content type."""
        for (route, hedge, outcome), count in self.attempt_tally.items():
            labels = {'route': route, 'hedge': str(hedge).lower(), 'end': outcome.replace(' ', '_')}
            self.attempts.set(labels, count)
        for histogram in (self.latency, self.attempt_latency, self.plan_time, self.answer_delay):
            histogram.publish()
        self._publish_admissions()
        self.bytes.publish()
        content, headers = render(self.registry, TEXT_ACCEPT)
        return content, headers.get('Content-Type', 'text/plain')
