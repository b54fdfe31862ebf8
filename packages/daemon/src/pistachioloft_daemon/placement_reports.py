"""Answer operators who ask where an entry instance would send a request now."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

from pistachioloft_core.codec import encode_json
from pistachioloft_core.errors import ResultCode
from pistachioloft_core.request.attempts import Refuse
from pistachioloft_core.request.explanation import (
    PlacementBasis,
    PlacementQuestion,
    explain_placement,
)

from .http1.messages import Response
from .loop_timers import monotonic_ms
from .monitoring_interface import refusal_response

if TYPE_CHECKING:
    from pistachioloft_core.messages.routes import Route

    from .entry_instance import EntryInstance
    from .http1.messages import Request


def explain_request(instance: EntryInstance, request: Request) -> Response:
    """Return the placement of the request that an operator describes, without sending it."""
    requests = instance.requests
    fields = dict(parse_qsl(request.target.partition(b'?')[2].decode('latin-1')))
    path = fields.get('path', '').partition('?')[0]
    if 'host' not in fields or not path.startswith('/'):
        return refusal_response(ResultCode.MALFORMED, 'a host and a path are required')
    key = requests.wire.decode_key(request.headers)
    question = PlacementQuestion(fields['host'], path, fields.get('organisation', ''), key)
    now_ms = monotonic_ms()
    basis = PlacementBasis(
        requests.helpers,
        requests.splits,
        requests.allotments.purses,
        instance.confirmation_age_ms(),
        lambda route: _refuse_here(instance, now_ms, route),
    )
    result = explain_placement(instance.state, now_ms, question, basis)
    if isinstance(result, Refuse):
        return refusal_response(result.code, result.detail)
    return Response(200, ((b'Content-Type', b'application/json'),), encode_json(result))


def _refuse_here(instance: EntryInstance, now_ms: float, route: Route) -> Refuse | None:
    """Return why the instance takes no requests of a route now, None if it does."""
    usable = instance.requests.usable_routes()
    if isinstance(usable, Refuse):
        return usable
    if instance.requests.ends_too_early(now_ms, route):
        detail = 'this instance stops before the request would end'
        return Refuse(ResultCode.STOPPING, detail)
    return None
