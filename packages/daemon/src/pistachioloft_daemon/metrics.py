"""Count and gauge what operators watch, in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Registry, Summary
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from pistachioloft_core.errors import ResultCode

TEXT_ACCEPT = ['text/plain']


class Metrics:
    """Hold the metrics of one instance."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            'pistachioloft_requests_total', 'Requests by result code', registry=self.registry
        )
        self.latency = Summary(
            'pistachioloft_request_ms', 'Time to the reply in ms', registry=self.registry
        )
        self.gauges: dict[str, Gauge] = {}

    def count_request(self, code: ResultCode, latency_ms: float) -> None:
        """Count a reply."""
        self.requests.inc({'code': code.name.lower()})
        self.latency.observe({}, latency_ms)

    def set_gauge(self, name: str, text: str, value: float) -> None:
        """Set a gauge, and create it at its first use."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = Gauge(f'pistachioloft_{name}', text, registry=self.registry)
            self.gauges[name] = gauge
        gauge.set({}, value)

    def render(self) -> tuple[bytes, str]:
        """Return the text and its content type."""
        content, headers = render(self.registry, TEXT_ACCEPT)
        return content, headers.get('Content-Type', 'text/plain')
