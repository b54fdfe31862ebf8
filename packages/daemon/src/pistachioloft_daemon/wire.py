"""Interfaces of the codecs with which an instance decodes and encodes messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.request.attempts import AttemptEnd, Refuse

    from .control_calls import Call, Outcome
    from .http1.messages import Headers, Request, Response
    from .http1.server import BodyLimit
    from .routed_messages import EndpointReply, MergedReply, RoutedRequest, UnreadableRequest


def _no_key(_headers: Headers) -> str | None:
    return None


def _no_estimate(_request: Request) -> int:
    return 0


@dataclass(frozen=True, slots=True)
class ControlWire:
    """Bundle the functions that decode calls to an instance and encode their outcomes."""

    decode_call: Callable[[Request], Call]
    encode_outcome: Callable[[Outcome], Response]
    # Returns at least the memory that a call takes while it is decoded and checked.
    estimate_call_bytes: Callable[[Request], int] = _no_estimate
    # Returns how many bytes the body of a call may have.
    body_limit: BodyLimit | None = None


@dataclass(frozen=True, slots=True)
class WireFormat:
    """Bundle the functions that decode and encode the protocol of callers and endpoints."""

    decode_request: Callable[[Request], RoutedRequest | UnreadableRequest]
    encode_attempt: Callable[[RoutedRequest, str, float], bytes]
    decode_reply: Callable[[str, Response], AttemptEnd | None]
    encode_reply: Callable[[EndpointReply], Response]
    encode_merged: Callable[[MergedReply], Response]
    encode_refusal: Callable[[Refuse], Response]
    # Replaces the caller's key by the name of its organisation, or by nothing if that is empty.
    encode_organisation: Callable[[RoutedRequest, str], RoutedRequest]
    # Used where no organisations are configured.
    encode_anonymous: Callable[[RoutedRequest], RoutedRequest]
    # Returns the caller's key.
    decode_key: Callable[[Headers], str | None] = _no_key
