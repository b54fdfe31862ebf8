"""Replicated state machine: configuration, operator commands and claims."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgspec

from ..codec import content_digest, decode_packed, encode_packed
from ..errors import CodedError, ResultCode
from ..messages.accepted import (
    NO_EVACUATIONS,
    AcceptedCommand,
    AcceptedConfiguration,
    AcceptedEvacuations,
    AcceptedRoutes,
    AcceptRoutes,
    CloseClaim,
    CommandOutcome,
    Configuration,
    DrainInstance,
    HistoryEntry,
    NoOperation,
    OpenClaim,
    SetEvacuation,
    SubmitConfiguration,
)
from ..messages.agreement import ENTRY_COMMAND
from .claims import Claim, ClaimTable, close_claim, expire_claims, is_storable, open_claim

if TYPE_CHECKING:
    from ..messages.agreement import LogEntry

COMMAND_FORMAT = 1
SNAPSHOT_FORMAT = 1
OUTCOME_LIMIT_COUNT = 4096
HISTORY_LIMIT_COUNT = 200
OPERATOR_TEXT_LIMIT_BYTES = 4096
CONFIGURATION_LIMIT_BYTES = 8 * 1024 * 1024

# A removed instance can still hold a lease that an earlier leader granted. A new leader needs the
# names of these instances to report correctly where a submission is in force.
REMOVED_LIMIT_COUNT = 1024

# Far above the failure domains that an operator evacuates at once; bounds each feed reply.
EVACUATION_LIMIT_COUNT = 64

NO_ROUTES = AcceptedRoutes()

_COMMAND_TYPE_BY_NAME: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        SubmitConfiguration,
        DrainInstance,
        OpenClaim,
        CloseClaim,
        AcceptRoutes,
        NoOperation,
        SetEvacuation,
    )
}
_command_decoder_by_name: dict[str, msgspec.msgpack.Decoder[Any]] = {
    name: msgspec.msgpack.Decoder(kind) for name, kind in _COMMAND_TYPE_BY_NAME.items()
}
_envelope_decoder = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])


@dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """Store the first outcome of an operator command and the digest of its content."""

    command_id: str
    command_digest: str
    outcome: CommandOutcome


@dataclass(frozen=True, slots=True)
class _StateSnapshot:
    format: int
    applied_term: int
    applied_index: int
    log_time_ms: int
    accepted: AcceptedConfiguration
    history: tuple[HistoryEntry, ...]
    outcomes: tuple[RecordedOutcome, ...]
    claims: tuple[Claim, ...]
    routes: AcceptedRoutes = NO_ROUTES
    evacuations: AcceptedEvacuations = NO_EVACUATIONS


class AcceptedState:
    """Hold the state that results from all committed commands."""

    def __init__(self) -> None:
        self.applied_term = 0
        self.applied_index = 0
        self.log_time_ms = 0
        empty = Configuration()
        self.accepted = AcceptedConfiguration(0, 0, configuration_digest(empty), empty)
        self.history: list[HistoryEntry] = []
        self.outcomes: dict[str, RecordedOutcome] = {}
        self.claim_table = ClaimTable()
        self.routes = NO_ROUTES
        self.evacuations = NO_EVACUATIONS


def configuration_digest(configuration: Configuration) -> str:
    """Return the digest that identifies an accepted configuration."""
    return content_digest(configuration)


def accepted_configuration(state: AcceptedState) -> AcceptedConfiguration:
    """Return the configuration in force with its log position."""
    return state.accepted


def accepted_routes(state: AcceptedState) -> AcceptedRoutes:
    """Return the routes in force."""
    return state.routes


def accepted_evacuations(state: AcceptedState) -> AcceptedEvacuations:
    """Return the evacuations in force."""
    return state.evacuations


def history(state: AcceptedState) -> tuple[HistoryEntry, ...]:
    """Return the last HISTORY_LIMIT_COUNT accepted submissions, oldest first."""
    return tuple(state.history)


def apply_command(
    state: AcceptedState, term: int, index: int, time_ms: int, command: AcceptedCommand
) -> CommandOutcome:
    """Apply one committed command; every replica computes the same outcome."""
    if index <= state.applied_index:
        raise ValueError(f'index {index} is already applied (up to {state.applied_index})')
    state.applied_term = term
    state.applied_index = index
    # The clock of a new leader can be behind; the log time must not go back, or expired keys would
    # become valid again.
    state.log_time_ms = max(state.log_time_ms, time_ms)
    expire_claims(state.claim_table, state.log_time_ms)
    match command:
        case OpenClaim():
            return open_claim(state.claim_table, state.log_time_ms, command)
        case CloseClaim():
            return close_claim(state.claim_table, command)
        case SubmitConfiguration() | DrainInstance():
            return _apply_operator_command(state, command)
        case AcceptRoutes():
            return _apply_accept_routes(state, command)
        case SetEvacuation():
            return _apply_set_evacuation(state, command)
        case NoOperation():
            return CommandOutcome(ResultCode.ACCEPTED, accepted_index=state.accepted.index)


def apply_entry(state: AcceptedState, entry: LogEntry) -> CommandOutcome:
    """Apply one committed log entry of any kind; every replica applies all entries."""
    command: AcceptedCommand = NoOperation()
    if entry.kind == ENTRY_COMMAND:
        try:
            command = decode_command(entry.payload)
        except CodedError as error:
            # Refuse an unreadable entry: an exception would stop every voter that applies it.
            apply_command(state, entry.term, entry.index, entry.time_ms, command)
            return CommandOutcome(error.code, error.detail)
    return apply_command(state, entry.term, entry.index, entry.time_ms, command)


def encode_command(command: AcceptedCommand) -> bytes:
    """Encode a command with its type for the log; omit a reply that cannot be stored."""
    if isinstance(command, CloseClaim) and not is_storable(command.outcome):
        command = replace(command, outcome=None)
    try:
        return encode_packed((COMMAND_FORMAT, type(command).__name__, command))
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise CodedError(ResultCode.OUT_OF_RANGE, f'command cannot be stored: {error}') from error


def decode_command(data: bytes) -> AcceptedCommand:
    """Decode a command from the log."""
    try:
        format_number, name, raw = _envelope_decoder.decode(data)
        decoder = _command_decoder_by_name.get(name)
        if format_number != COMMAND_FORMAT or decoder is None:
            raise CodedError(
                ResultCode.MALFORMED, f'unknown command {name!r}, format {format_number}'
            )
        return decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodedError(ResultCode.MALFORMED, f'not a valid command: {error}') from error


def encode_snapshot(state: AcceptedState) -> bytes:
    """Encode the whole state; equal states give equal bytes."""
    return encode_packed(
        _StateSnapshot(
            SNAPSHOT_FORMAT,
            state.applied_term,
            state.applied_index,
            state.log_time_ms,
            state.accepted,
            tuple(state.history),
            tuple(state.outcomes.values()),
            tuple(state.claim_table.claims.values()),
            state.routes,
            state.evacuations,
        )
    )


def decode_snapshot(data: bytes) -> AcceptedState:
    """Decode a snapshot; empty data, as in a new cluster, is the empty state."""
    state = AcceptedState()
    if not data:
        return state
    snapshot = decode_packed(data, _StateSnapshot)
    if snapshot.format != SNAPSHOT_FORMAT:
        raise CodedError(ResultCode.MALFORMED, f'unknown snapshot format {snapshot.format}')
    state.applied_term = snapshot.applied_term
    state.applied_index = snapshot.applied_index
    state.log_time_ms = snapshot.log_time_ms
    state.accepted = snapshot.accepted
    state.history = list(snapshot.history)
    state.outcomes = {recorded.command_id: recorded for recorded in snapshot.outcomes}
    state.claim_table = ClaimTable(snapshot.claims)
    state.routes = snapshot.routes
    state.evacuations = snapshot.evacuations
    return state


def _apply_accept_routes(state: AcceptedState, command: AcceptRoutes) -> CommandOutcome:
    current = state.routes
    if command.version <= current.version:
        detail = f'version {current.version} is accepted already'
        return CommandOutcome(ResultCode.ACCEPTED_REPEATED, detail, current.index, repeated=True)
    state.routes = AcceptedRoutes(command.version, command.document, state.applied_index)
    return CommandOutcome(ResultCode.ACCEPTED, accepted_index=state.applied_index)


def _apply_set_evacuation(state: AcceptedState, command: SetEvacuation) -> CommandOutcome:
    current, name = state.evacuations, command.failure_domain
    if command.evacuated == (name in current.failure_domains):
        return CommandOutcome(
            ResultCode.ACCEPTED_REPEATED, 'already so', current.index, repeated=True
        )
    if command.base_index < current.index:
        # A late copy of an order must not undo one that was accepted after it.
        detail = f'ordered at index {command.base_index}, changed at index {current.index}'
        return CommandOutcome(ResultCode.CONFLICT, detail, current.index)
    domains = {*current.failure_domains, name} - ({name} if not command.evacuated else set())
    if len(domains) > EVACUATION_LIMIT_COUNT:
        detail = f'{EVACUATION_LIMIT_COUNT} failure domains are evacuated already'
        return CommandOutcome(ResultCode.TOO_LARGE, detail, current.index)
    state.evacuations = AcceptedEvacuations(state.applied_index, tuple(sorted(domains)))
    return CommandOutcome(ResultCode.ACCEPTED, accepted_index=state.applied_index)


def _apply_operator_command(
    state: AcceptedState, command: SubmitConfiguration | DrainInstance
) -> CommandOutcome:
    digest = content_digest(type(command).__name__, command)
    recorded = state.outcomes.get(command.command_id)
    if recorded is not None:
        if recorded.command_digest != digest:
            detail = 'the command id was used for another command'
            return CommandOutcome(ResultCode.KEY_REUSED, detail, state.accepted.index)
        first_outcome = recorded.outcome
        was_accepted = first_outcome.result_code is ResultCode.ACCEPTED
        code = ResultCode.ACCEPTED_REPEATED if was_accepted else first_outcome.result_code
        return replace(first_outcome, result_code=code, repeated=True)
    size_refusal = _check_operator_command_size(command)
    if size_refusal is not None:
        return size_refusal
    if isinstance(command, SubmitConfiguration):
        outcome = _apply_submit(state, command)
    else:
        outcome = _apply_drain(state, command)
    state.outcomes[command.command_id] = RecordedOutcome(command.command_id, digest, outcome)
    if len(state.outcomes) > OUTCOME_LIMIT_COUNT:
        del state.outcomes[next(iter(state.outcomes))]
    return outcome


def _check_operator_command_size(
    command: SubmitConfiguration | DrainInstance,
) -> CommandOutcome | None:
    text_bytes = len(command.command_id.encode()) + len(command.operator.encode())
    if isinstance(command, SubmitConfiguration):
        text_bytes += len(command.note.encode())
        if len(encode_packed(command.configuration)) > CONFIGURATION_LIMIT_BYTES:
            detail = f'the configuration exceeds {CONFIGURATION_LIMIT_BYTES} bytes'
            return CommandOutcome(ResultCode.TOO_LARGE, detail)
    if text_bytes > OPERATOR_TEXT_LIMIT_BYTES:
        detail = f'command id, operator and note exceed {OPERATOR_TEXT_LIMIT_BYTES} bytes'
        return CommandOutcome(ResultCode.TOO_LARGE, detail)
    return None


def _apply_submit(state: AcceptedState, command: SubmitConfiguration) -> CommandOutcome:
    current = state.accepted
    if command.base_index != current.index:
        detail = f'based on index {command.base_index}, accepted is index {current.index}'
        return CommandOutcome(ResultCode.CONFLICT, detail, current.index)
    remaining_names = {entry.instance for entry in command.configuration.instances}
    former_names = (
        *current.removed_instances,
        *(e.instance for e in current.configuration.instances),
    )
    removed = tuple(name for name in dict.fromkeys(former_names) if name not in remaining_names)
    state.accepted = AcceptedConfiguration(
        state.applied_term,
        state.applied_index,
        configuration_digest(command.configuration),
        command.configuration,
        tuple(name for name in current.draining_instances if name in remaining_names),
        removed[-REMOVED_LIMIT_COUNT:],
    )
    state.history.append(
        HistoryEntry(
            state.applied_index,
            state.applied_term,
            state.accepted.digest,
            command.operator,
            command.note,
            state.log_time_ms,
        )
    )
    del state.history[:-HISTORY_LIMIT_COUNT]
    return CommandOutcome(ResultCode.ACCEPTED, accepted_index=state.applied_index)


def _apply_drain(state: AcceptedState, command: DrainInstance) -> CommandOutcome:
    current = state.accepted
    if all(entry.instance != command.instance for entry in current.configuration.instances):
        detail = f'the inventory has no instance {command.instance!r}'
        return CommandOutcome(ResultCode.UNKNOWN_INSTANCE, detail, current.index)
    draining = set(current.draining_instances)
    if command.draining == (command.instance in draining):
        return CommandOutcome(ResultCode.ACCEPTED, 'already so', current.index)
    draining ^= {command.instance}
    state.accepted = replace(
        current,
        term=state.applied_term,
        index=state.applied_index,
        draining_instances=tuple(sorted(draining)),
    )
    return CommandOutcome(ResultCode.ACCEPTED, accepted_index=state.applied_index)
