"""Serve metrics, the instance's report and placements to operators on a separate address."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from pistachioloft_core.codec import encode_json
from pistachioloft_core.errors import RESULTS, ResultCode
from pistachioloft_core.messages.public import ErrorReply

from .http1.messages import Response
from .http1.server import HttpServer, ServerLimits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pistachioloft_core.messages.report import FleetReport

    from .http1.messages import Request
    from .http1.receive_budget import ReceiveBudget
    from .http1.server import Cancel, Respond
    from .metrics import Metrics

    # The name, the help text and the value of a gauge.
    GaugeValue = tuple[str, str, float]

logger = logging.getLogger(__name__)

PREFIX = '[operator]'
METRICS_PATH = '/metrics'
REPORT_PATH = '/report'
PLACEMENT_PATH = '/placement'
# The clients are a few monitors and operators, and their requests have no body.
LIMITS = ServerLimits(header_limit_bytes=8_192, body_limit_bytes=0, connection_limit_count=16)


def refusal_response(code: ResultCode, detail: str) -> Response:
    """Return the response that refuses a question of an operator."""
    result = RESULTS[code]
    body = encode_json(ErrorReply(code, result.run_status, detail))
    return Response(result.http_status, ((b'Content-Type', b'application/json'),), body)


def _refuse_explanation(_request: Request) -> Response:
    detail = 'a control instance places no requests; ask an entry instance'
    return refusal_response(ResultCode.UNKNOWN_PATH, detail)


class MonitoringInterface:
    """Hold the server for the metrics and the report of an instance, if it has an address."""

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        gauges: Callable[[], Iterable[GaugeValue]],
        report: Callable[[], FleetReport],
        explain: Callable[[Request], Response] | None = None,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self.metrics = metrics
        self.gauges = gauges
        self.report = report
        # Explains where an entry instance would send a request.
        self.explain = explain or _refuse_explanation
        self.server = HttpServer(address, self.handle, LIMITS, budget) if address else None

    async def start(self) -> None:
        """Start to listen; if that fails, the instance runs without this interface."""
        if self.server is None:
            return
        try:
            await self.server.start()
        except OSError as error:
            logger.error(
                '%s metrics are not served: address=%s reason="%s"',
                PREFIX,
                self.server.address,
                error,
            )
            self.server = None

    def stop(self) -> None:
        """Stop the server."""
        if self.server is not None:
            self.server.stop()

    def handle(self, request: Request, respond: Respond) -> Cancel | None:
        """Answer a request for metrics, for the report or for a placement."""
        path = request.target.partition(b'?')[0].decode('latin-1')
        if request.method != b'GET' or path not in (METRICS_PATH, REPORT_PATH, PLACEMENT_PATH):
            respond(Response(404, (), b''))
        elif path == METRICS_PATH:
            for name, text, value in self.gauges():
                self.metrics.set_gauge(name, text, value)
            body, content_type = self.metrics.render()
            respond(Response(200, ((b'Content-Type', content_type.encode()),), body))
        elif path == PLACEMENT_PATH:
            respond(self.explain(request))
        else:
            body = encode_json(self.report())
            respond(Response(200, ((b'Content-Type', b'application/json'),), body))
        return None
