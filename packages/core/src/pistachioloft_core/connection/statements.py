"""What one run of an endpoint says about itself, and until when."""

from __future__ import annotations

from dataclasses import dataclass

from .endpoint_limit import EndpointLimit, record_stated_limit

# A longer rest makes no difference: the endpoint is announced anew after a restart.
MAX_REST_MS = 86_400_000.0


@dataclass(frozen=True, slots=True)
class Statement:
    """Carry what a reply says about its endpoint."""

    # Requests a second from all instances, UNLIMITED without a limit; None if it cannot be read.
    limit_per_s: float | None = None
    # For how long it wants no requests from the instance that it refused.
    rest_ms: float | None = None
    is_leaving: bool = False


class EndpointStatements:
    """Hold the statements of one run of an endpoint that apply to this instance."""

    __slots__ = ('is_leaving', 'limit', 'rest_until_ms')

    def __init__(self) -> None:
        # For all instances together, until a reply to a later request states none.
        self.limit = EndpointLimit()
        # For this instance, until the latest of the times that were asked for.
        self.rest_until_ms = float('-inf')
        # Until the end of the run; the announcement tells the other instances.
        self.is_leaving = False

    def is_resting(self, now_ms: float) -> bool:
        """Return whether the endpoint has asked for a rest that is not over."""
        return now_ms < self.rest_until_ms

    def wants_requests(self, now_ms: float) -> bool:
        """Return whether the endpoint takes requests of this instance, within its limit."""
        return now_ms >= self.rest_until_ms and not self.is_leaving

    def wanted_at_ms(self, now_ms: float) -> float:
        """Return from when on it takes requests of this instance, infinity if it leaves."""
        return float('inf') if self.is_leaving else max(now_ms, self.rest_until_ms)

    def usable_at_ms(self, now_ms: float) -> float:
        """Return from when on a request may be sent, as far as that is known."""
        return max(self.wanted_at_ms(now_ms), self.limit.usable_at_ms(now_ms))


def record_statement(
    statements: EndpointStatements, now_ms: float, sent_ms: float, statement: Statement
) -> bool:
    """Record what the reply to a request sent at a time says; return whether that is news."""
    is_news = False
    if statement.limit_per_s is not None:
        is_news = record_stated_limit(statements.limit, now_ms, sent_ms, statement.limit_per_s)
    if statement.rest_ms is not None:
        is_news = is_news or not statements.is_resting(now_ms)
        until_ms = now_ms + min(statement.rest_ms, MAX_REST_MS)
        # A shorter rest can be the reply to an earlier request.
        statements.rest_until_ms = max(statements.rest_until_ms, until_ms)
    if statement.is_leaving and not statements.is_leaving:
        statements.is_leaving = is_news = True
    return is_news
