"""Decode the platform's JSON documents into the types of this project."""

from __future__ import annotations

import re
from typing import Annotated, Any

import msgspec

from pistachioloft_core.errors import CodedError, ResultCode
from pistachioloft_core.messages.fleet import (
    ENDPOINT_DRAINING,
    ENDPOINT_READY,
    AnnouncedEndpoint,
)
from pistachioloft_core.messages.routes import (
    DEFAULT_LIMITS,
    CallerLimits,
    Gather,
    Organisation,
    Route,
    RouteSet,
    ServiceRule,
    WeightedService,
)
from pistachioloft_core.util.names import is_address

# Messages between instances and stored records carry integers of 64 bits.
_Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Text = Annotated[str, msgspec.Meta(max_length=256)]
# Names of routes, hosts, services, organisations and regions.
_Name = Annotated[str, msgspec.Meta(max_length=1_024)]
# Paths and keys, which callers send in the heads of their requests.
_HeadText = Annotated[str, msgspec.Meta(max_length=65_536)]
# Most memory of a decoded value, with what is derived from it while a document is checked.
VALUE_BYTES = 200
# A text with a character outside of ASCII takes up to four bytes for each byte of its encoding,
# beside the decoder's own copy.
WIDE_FACTOR = 5
# The id of an endpoint is sent as the value of a header.
_ENDPOINT_ID = re.compile('[!-~]{1,256}')
# A longer cold start makes no difference to where requests are placed.
_COLD_LIMIT_MS = 3_600_000.0
_IDEMPOTENT = 'idempotent'
_ENDPOINT_STATES = {'ready': ENDPOINT_READY, 'draining': ENDPOINT_DRAINING}


class _SplitEntry(msgspec.Struct, rename='camel'):
    service: _Name
    weight: float = 1.0


class _Route(msgspec.Struct, rename='camel'):
    name: _Name
    host: _Name
    path_prefix: _HeadText
    route_kind: _Name
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: _Integer = 0
    attempts: _Integer = 1
    service: _Name | None = None
    # The services that share the requests, with their weights.
    split: list[_SplitEntry] | None = None
    # The services that each hold one shard.
    gather: list[_Name] | None = None
    top_k: _Integer = 0
    min_coverage: float = 0.0
    public: bool = False
    allowed_regions: list[_Name] | None = None


class _Tenant(msgspec.Struct, rename='camel'):
    name: _Name
    api_keys: list[_HeadText] = []
    priority: _Integer | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[_Name] | None = None


class _Service(msgspec.Struct, rename='camel'):
    name: _Name
    health_path: _HeadText = '/health'
    max_conns: _Integer = 1
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: _Integer = DEFAULT_LIMITS.header_limit_bytes
    max_body_bytes: _Integer = DEFAULT_LIMITS.body_limit_bytes
    header_timeout_ms: float = DEFAULT_LIMITS.header_timeout_ms
    idle_timeout_ms: float = DEFAULT_LIMITS.idle_timeout_ms


class _Config(msgspec.Struct, rename='camel'):
    version: _Integer
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Announcement(msgspec.Struct, rename='camel'):
    service: _Text
    address: _Text
    zone: _Text
    slots: _Count
    # 'ready' or 'draining'.
    state: _Text
    seq: _Count
    version: _Text = ''
    cold_left_ms: float = 0.0
    # When the endpoint's process started, in Unix milliseconds.
    born: _Count = 0


class _Departure(msgspec.Struct):
    born: _Count = 0


_config_decoder = msgspec.json.Decoder(_Config)
_announcement_decoder = msgspec.json.Decoder(_Announcement)
_departure_decoder = msgspec.json.Decoder(_Departure)


def estimate_decoded_bytes(document: bytes) -> int:
    """Return at least the memory that a JSON document takes while it is decoded and checked."""
    # Each value follows a comma or an opening bracket; those in texts only raise the estimate.
    value_count = sum(document.count(mark) for mark in (b',', b'{', b'['))
    is_wide = not document.isascii() or b'\\u' in document
    text_bytes = len(document) * (WIDE_FACTOR if is_wide else 1)
    return text_bytes + VALUE_BYTES * value_count


def decode_routes(document: bytes) -> RouteSet:
    """Decode a configuration into a set of routes."""
    config: _Config = _decode(_config_decoder, document)
    limits = config.limits
    return RouteSet(
        config.version,
        tuple(_route(route) for route in config.routes),
        tuple(
            ServiceRule(
                service.name,
                service.health_path,
                service.max_conns,
                1_000.0 * service.cold_start_s,
                service.cold_per_s,
            )
            for service in config.services
        ),
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
        tuple(_organisation(tenant) for tenant in config.tenants),
    )


def decode_announcement(endpoint: str, body: bytes) -> AnnouncedEndpoint:
    """Decode the announcement of an endpoint."""
    decoded: _Announcement = _decode(_announcement_decoder, body)
    endpoint_state = _ENDPOINT_STATES.get(decoded.state)
    if (
        endpoint_state is None
        or not is_address(decoded.address)
        or not is_endpoint_id(endpoint)
        or not decoded.service
    ):
        raise CodedError(ResultCode.WRONG_TYPE, 'state, address, service or id is not usable')
    return AnnouncedEndpoint(
        endpoint,
        decoded.service,
        decoded.address,
        decoded.zone,
        decoded.slots,
        endpoint_state,
        decoded.seq,
        decoded.born,
        min(_COLD_LIMIT_MS, max(0.0, decoded.cold_left_ms)),
        decoded.version,
    )


def is_endpoint_id(text: str) -> bool:
    """Return whether a text can be the id of an endpoint."""
    return _ENDPOINT_ID.fullmatch(text) is not None


def decode_departure(body: bytes) -> int:
    """Decode the start time of the departing endpoint process, 0 if the body names none."""
    if not body.strip():
        return 0
    decoded: _Departure = _decode(_departure_decoder, body)
    return decoded.born


def _decode(decoder: msgspec.json.Decoder[Any], data: bytes) -> Any:
    try:
        return decoder.decode(data)
    except msgspec.ValidationError as error:
        raise CodedError(ResultCode.WRONG_TYPE, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodedError(ResultCode.MALFORMED, f'not valid JSON: {error}') from error


def _organisation(tenant: _Tenant) -> Organisation:
    return Organisation(
        tenant.name,
        tuple(dict.fromkeys(tenant.api_keys)),
        tenant.priority,
        tenant.rate_per_s,
        tenant.burst,
        tuple(tenant.allowed_regions or ()),
    )


def _route(route: _Route) -> Route:
    services: tuple[WeightedService, ...] = ()
    gather = None
    if route.gather is not None:
        gather = Gather(tuple(route.gather), route.top_k, route.min_coverage)
    elif route.split is not None:
        services = tuple(WeightedService(entry.service, entry.weight) for entry in route.split)
    elif route.service is not None:
        services = (WeightedService(route.service),)
    return Route(
        route.name,
        route.host,
        route.path_prefix,
        route.route_kind == _IDEMPOTENT,
        route.timeout_ms,
        route.target_latency_ms or route.timeout_ms,
        route.priority,
        max(1, route.attempts),
        services,
        gather,
        route.public,
        tuple(route.allowed_regions or ()),
    )
