"""Encode and decode messages; data that cannot be decoded raises CodedError."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import importlib
import re
import types
import typing
from typing import TYPE_CHECKING, Any, TypeVar, cast, get_args, get_origin, get_type_hints

import msgspec

from .errors import CodedError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

T = TypeVar('T')
# The name of a message's type and the encoded message.
NamedMessage = tuple[str, bytes]

PEER_FORMAT = 1
# Messages between instances are MessagePack, whose integers are limited to 64 bits.
INTEGER_MIN = -(2**63)
INTEGER_MAX = 2**64 - 1
_LONG_DIGITS = re.compile(rb'[0-9]{19}')

# The messages between instances by the module that defines them. A module is imported when the
# first of its messages is decoded, so that an instance starts without those that it never receives.
_PEER_MESSAGES_BY_MODULE: dict[str, tuple[str, ...]] = {
    'peer': (
        'AttemptBatch',
        'AttemptResults',
        'CancelAttempts',
        'Poll',
        'PollReply',
        'ChangeHint',
        'SoftStatePull',
        'SoftStateReply',
        'RelayAnnouncement',
        'InForceRequest',
        'InForceReply',
    ),
    'crash': ('CrashReport',),
    'proposal': (
        'ProposeRequest',
        'ProposeReply',
    ),
    'fleet': (
        'ControlShare',
        'LeavingNotice',
        'LeavingNoted',
        'FeedPoll',
        'FeedReply',
        'ReadRequest',
        'ReadReply',
    ),
    'relay': (
        'RelayRequest',
        'RelayResults',
        'RelayTried',
        'RelayCancel',
        'PassedRequest',
        'PassedReply',
        'PassedRefusal',
    ),
    'permits': (
        'PermitRequest',
        'PermitGrant',
    ),
    'allotments': (
        'AllotmentRequest',
        'AllotmentGrant',
    ),
    'agreement': (
        'VoteRequest',
        'VoteReply',
        'AppendRequest',
        'AppendReply',
        'SnapshotChunk',
        'SnapshotReply',
        'TimeoutNow',
    ),
}
_MODULE_BY_MESSAGE = {
    name: module for module, names in _PEER_MESSAGES_BY_MODULE.items() for name in names
}


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableMessage:
    """Stand for a message of another instance that this build cannot decode."""

    name: str
    detail: str


_msgpack_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(tuple[int, str, list[tuple[str, msgspec.Raw]]])
_peer_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}


def encode_json(message: Any) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(message)


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode a JSON message; reject fields that its type does not have."""
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodedError(ResultCode.MALFORMED, f'not valid JSON: {error}') from error
    _reject_unknown_fields(raw, kind, kind.__name__)
    _reject_large_integers(data, raw)
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise CodedError(ResultCode.WRONG_TYPE, str(error)) from error


def decode_json_reply(data: bytes, kind: type[T]) -> T:
    """Decode a JSON reply; ignore unknown fields, since the sender may run a newer release."""
    try:
        if _LONG_DIGITS.search(data):
            _reject_large_integers(data, msgspec.json.decode(data))
        return cast('T', _json_decoder(cast('Hashable', kind)).decode(data))
    except msgspec.ValidationError as error:
        raise CodedError(ResultCode.WRONG_TYPE, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodedError(ResultCode.MALFORMED, f'not valid JSON: {error}') from error


def encode_packed(message: Any) -> bytes:
    """Encode a message as MessagePack for the disk or for another instance."""
    return _msgpack_encoder.encode(message)


def decode_packed(data: bytes, kind: type[T]) -> T:
    """Decode a MessagePack message from the disk or from another instance."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodedError(ResultCode.MALFORMED, f'not a valid {kind.__name__}: {error}') from error


def encode_peer(sender: str, messages: Iterable[Any]) -> bytes:
    """Encode messages to another instance with their types and their sender."""
    return join_peer(sender, [encode_named(message) for message in messages])


def encode_named(message: Any) -> NamedMessage:
    """Encode one message to another instance and return it with its type."""
    return type(message).__name__, _msgpack_encoder.encode(message)


def join_peer(sender: str, named_messages: Iterable[NamedMessage]) -> bytes:
    """Join encoded messages to another instance with their sender."""
    raw_messages = [(name, msgspec.Raw(data)) for name, data in named_messages]
    return _msgpack_encoder.encode((PEER_FORMAT, sender, raw_messages))


def decode_peer(data: bytes) -> tuple[str, tuple[Any, ...]]:
    """Return the sender and its messages, with an UnreadableMessage for each that is not valid."""
    try:
        version, sender, named_messages = _envelope_decoder.decode(data)
        if version != PEER_FORMAT:
            raise CodedError(ResultCode.MALFORMED, f'unknown peer format {version}')
        return sender, tuple(_decode_named(name, raw) for name, raw in named_messages)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodedError(ResultCode.MALFORMED, f'not a valid peer message: {error}') from error


def _decode_named(name: str, raw: msgspec.Raw) -> Any:
    if name not in _MODULE_BY_MESSAGE:
        # A newer build may send messages that this one does not know.
        return UnreadableMessage(name, 'unknown message')
    decoder = _peer_decoders.get(name)
    if decoder is None:
        decoder = _peer_decoders[name] = msgspec.msgpack.Decoder(_peer_type(name))
    try:
        return decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return UnreadableMessage(name, str(error))


def _peer_type(name: str) -> type:
    module = importlib.import_module(f'.messages.{_MODULE_BY_MESSAGE[name]}', __package__)
    message_type: type = getattr(module, name)
    return message_type


def content_digest(*parts: Any) -> str:
    """Return a digest that is equal for equal content."""
    data = msgspec.json.encode(parts, order='deterministic')
    return hashlib.sha256(data).hexdigest()[:32]


def _reject_large_integers(data: bytes, raw: Any) -> None:
    if not _LONG_DIGITS.search(data):
        return
    unchecked_values = [raw]
    while unchecked_values:
        value = unchecked_values.pop()
        if isinstance(value, dict):
            unchecked_values.extend(value.values())
        elif isinstance(value, list):
            unchecked_values.extend(value)
        elif isinstance(value, int) and not INTEGER_MIN <= value <= INTEGER_MAX:
            raise CodedError(ResultCode.OUT_OF_RANGE, 'an integer does not fit in 64 bits')


@functools.cache
def _field_types(kind: Hashable) -> dict[str, Any]:
    return get_type_hints(kind)


@functools.cache
def _json_decoder(kind: Hashable) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(kind)


def _reject_unknown_fields(raw: Any, kind: Any, path: str) -> None:
    origin = get_origin(kind)
    if dataclasses.is_dataclass(kind) and isinstance(raw, dict):
        hints = _field_types(cast('Hashable', kind))
        for name, value in raw.items():
            if name not in hints:
                raise CodedError(ResultCode.UNKNOWN_FIELD, f'{path} has no field {name!r}')
            _reject_unknown_fields(value, hints[name], f'{path}.{name}')
    elif origin is tuple and isinstance(raw, list):
        for position, value in enumerate(raw):
            _reject_unknown_fields(value, get_args(kind)[0], f'{path}[{position}]')
    elif origin in (typing.Union, types.UnionType):
        for member_type in get_args(kind):
            if dataclasses.is_dataclass(member_type):
                _reject_unknown_fields(raw, member_type, path)
