"""Claims on idempotency keys, part of the replicated state machine."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace
from typing import Any

from ..codec import decode_packed, encode_packed
from ..errors import ResultCode
from ..messages.accepted import (
    CLAIM_CLOSED,
    CLAIM_EXPIRED,
    CLAIM_GRANTED,
    CLAIM_KEY_REUSED,
    CLAIM_NOT_HELD,
    CLAIM_PENDING,
    CLAIM_RELEASED,
    CLAIM_REPEATED,
    CLAIM_TABLE_FULL,
    CLAIM_TOO_LARGE,
    CloseClaim,
    CommandOutcome,
    OpenClaim,
)

KEY_LIFETIME_MS = 24 * 60 * 60 * 1000
KEY_FUTURE_LIMIT_MS = 60 * 1000
OUTCOME_LIMIT_BYTES = 64 * 1024

# Decoders recurse; a deeper reply could be readable on one replica and not on another, whose
# stack is deeper when it applies the command.
OUTCOME_LIMIT_DEPTH = 64

# A claim costs about 0.35 KB of objects besides the text and the outcome that the byte limit
# counts, so that a full table stays near 40 MB of the 64 MB that a daemon may use.
CLAIM_LIMIT_COUNT = 65_536
CLAIM_LIMIT_BYTES = 16 * 1024 * 1024
CLAIM_TEXT_LIMIT_BYTES = 1024

# Attempts of one claim whose first outcome is remembered. An older attempt that is sent again
# is treated as a new one, which can leave the claim pending but never grants it twice.
SETTLED_ATTEMPT_COUNT = 16

# A command removes at most this many expired claims, so that the first command after a long
# silence costs no more than others. It exceeds 1, so that the backlog shrinks.
EXPIRY_BATCH_COUNT = 64

HELD = 'held'
RELEASED = 'released'
RAN = 'ran'


@dataclass(frozen=True, slots=True)
class SettledAttempt:
    """Remember what an attempt that does not hold the claim was told."""

    attempt_id: str
    result: str


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold one claim; `outcome` is the packed reply, if it was small enough."""

    caller: str
    idempotency_key: str
    key_issued_at_ms: int
    content_digest: str
    state: str
    attempt_id: str
    holder: str
    settled: tuple[SettledAttempt, ...] = ()
    outcome: bytes | None = None

    def size_bytes(self) -> int:
        """Compute what the claim counts towards the limit of the table."""
        text = _text_bytes(
            self.caller,
            self.idempotency_key,
            self.content_digest,
            self.attempt_id,
            self.holder,
            *(attempt.attempt_id for attempt in self.settled),
        )
        return text + len(self.outcome or b'')


def is_storable(outcome: Any) -> bool:
    """Tell whether the log can hold a reply; otherwise close the claim without a reply."""
    level = [outcome]
    for _ in range(OUTCOME_LIMIT_DEPTH):
        level = [
            inner
            for value in level
            if isinstance(value, dict | list | tuple)
            for inner in (value.values() if isinstance(value, dict) else value)
        ]
        if not level:
            break
    else:
        return False
    try:
        return len(encode_packed(outcome)) <= OUTCOME_LIMIT_BYTES
    except (TypeError, ValueError, OverflowError):
        # JSON allows integers that the packed form, with 64 bits, does not.
        return False


class ClaimTable:
    """Hold all claims whose keys are within their lifetime."""

    def __init__(self, claims: tuple[Claim, ...] = ()) -> None:
        self.claims: dict[tuple[str, str], Claim] = {}
        self.size_bytes = 0
        self.expiry: list[tuple[int, str, str]] = []
        for claim in claims:
            self.claims[claim.caller, claim.idempotency_key] = claim
            self.size_bytes += claim.size_bytes()
            self.expiry.append(_expiry_entry(claim))
        heapq.heapify(self.expiry)


def expire_claims(table: ClaimTable, log_time_ms: int) -> None:
    """Remove claims whose keys are past their lifetime, a bounded number at a time."""
    for _ in range(EXPIRY_BATCH_COUNT):
        if not table.expiry or table.expiry[0][0] > log_time_ms:
            return
        _, caller, key = heapq.heappop(table.expiry)
        table.size_bytes -= table.claims.pop((caller, key)).size_bytes()


def open_claim(table: ClaimTable, log_time_ms: int, command: OpenClaim) -> CommandOutcome:
    """Grant the claim if no attempt may have run or still run under its key."""
    refusal = _check_key(log_time_ms, command)
    if refusal is not None:
        return refusal
    claim = table.claims.get((command.caller, command.idempotency_key))
    if claim is None:
        return _open_new(table, command)
    if (claim.content_digest, claim.key_issued_at_ms) != (
        command.content_digest,
        command.key_issued_at_ms,
    ):
        detail = 'the key was used with other content or another time of issue'
        return CommandOutcome(ResultCode.KEY_REUSED, detail, claim_result=CLAIM_KEY_REUSED)
    if claim.state == RAN:
        return _repeated(claim)
    if claim.attempt_id == command.attempt_id:
        return _granted(True) if claim.state == HELD else _settled(CLAIM_RELEASED, True)
    for attempt in claim.settled:
        if attempt.attempt_id == command.attempt_id:
            return _settled(attempt.result, repeated=True)
    if claim.state == HELD:
        # Without room the attempt stays unknown, which is safe: it holds nothing.
        _store(table, _settle(claim, command.attempt_id, CLAIM_PENDING))
        return _settled(CLAIM_PENDING, repeated=False)
    held = replace(claim, state=HELD, attempt_id=command.attempt_id, holder=command.holder)
    if _store(table, _settle(held, claim.attempt_id, CLAIM_RELEASED)) or _store(table, held):
        return _granted(repeated=False)
    return _table_full(table)


def close_claim(table: ClaimTable, command: CloseClaim) -> CommandOutcome:
    """Record how the attempt that holds the claim ended."""
    claim = table.claims.get((command.caller, command.idempotency_key))
    if claim is None:
        return _not_held('there is no such claim')
    if command.attempt_id != claim.attempt_id:
        released = SettledAttempt(command.attempt_id, CLAIM_RELEASED) in claim.settled
        if released and not command.ran:
            return _closed(repeated=True)
        return _not_held('another attempt holds the claim')
    wanted = RAN if command.ran else RELEASED
    if claim.state == wanted:
        return _closed(repeated=True)
    if claim.state != HELD:
        return _not_held(f'the claim is already closed as {claim.state}')
    if not command.ran:
        table.claims[claim.caller, claim.idempotency_key] = replace(claim, state=RELEASED)
        return _closed(repeated=False)
    ran = replace(claim, state=RAN)
    if command.outcome is not None and is_storable(command.outcome):
        with_outcome = replace(ran, outcome=encode_packed(command.outcome))
        if _store(table, with_outcome):
            return _closed(repeated=False)
    table.claims[claim.caller, claim.idempotency_key] = ran
    return _closed(repeated=False)


def _check_key(log_time_ms: int, command: OpenClaim) -> CommandOutcome | None:
    text = (
        command.caller,
        command.idempotency_key,
        command.content_digest,
        command.attempt_id,
        command.holder,
    )
    if _text_bytes(*text) > CLAIM_TEXT_LIMIT_BYTES:
        detail = f'the names of a claim exceed {CLAIM_TEXT_LIMIT_BYTES} bytes'
        return CommandOutcome(ResultCode.TOO_LARGE, detail, claim_result=CLAIM_TOO_LARGE)
    if command.key_issued_at_ms + KEY_LIFETIME_MS <= log_time_ms:
        detail = 'the key was issued over 24 hours ago'
    elif command.key_issued_at_ms > log_time_ms + KEY_FUTURE_LIMIT_MS:
        detail = 'the key was issued over 60 seconds in the future'
    else:
        return None
    return CommandOutcome(ResultCode.KEY_EXPIRED, detail, claim_result=CLAIM_EXPIRED)


def _open_new(table: ClaimTable, command: OpenClaim) -> CommandOutcome:
    claim = Claim(
        command.caller,
        command.idempotency_key,
        command.key_issued_at_ms,
        command.content_digest,
        HELD,
        command.attempt_id,
        command.holder,
    )
    if len(table.claims) >= CLAIM_LIMIT_COUNT or not _store(table, claim):
        return _table_full(table)
    heapq.heappush(table.expiry, _expiry_entry(claim))
    return _granted(repeated=False)


def _store(table: ClaimTable, claim: Claim) -> bool:
    key = (claim.caller, claim.idempotency_key)
    previous = table.claims.get(key)
    size_bytes = table.size_bytes + claim.size_bytes()
    if previous is not None:
        size_bytes -= previous.size_bytes()
    if size_bytes > CLAIM_LIMIT_BYTES:
        return False
    table.size_bytes = size_bytes
    table.claims[key] = claim
    return True


def _settle(claim: Claim, attempt_id: str, result: str) -> Claim:
    settled = (*claim.settled, SettledAttempt(attempt_id, result))
    return replace(claim, settled=settled[-SETTLED_ATTEMPT_COUNT:])


def _text_bytes(*texts: str) -> int:
    return sum(len(text.encode()) for text in texts)


def _expiry_entry(claim: Claim) -> tuple[int, str, str]:
    return claim.key_issued_at_ms + KEY_LIFETIME_MS, claim.caller, claim.idempotency_key


def _table_full(table: ClaimTable) -> CommandOutcome:
    detail = f'{len(table.claims)} claims of {table.size_bytes} bytes are kept'
    return CommandOutcome(ResultCode.OVERLOADED, detail, claim_result=CLAIM_TABLE_FULL)


def _granted(repeated: bool) -> CommandOutcome:
    return CommandOutcome(ResultCode.ACCEPTED, claim_result=CLAIM_GRANTED, repeated=repeated)


def _repeated(claim: Claim) -> CommandOutcome:
    stored = claim.outcome is not None
    return CommandOutcome(
        ResultCode.COMMAND_REPEATED,
        '' if stored else 'the command ran; its reply was not kept',
        repeated=True,
        claim_result=CLAIM_REPEATED,
        claim_outcome=decode_packed(claim.outcome, object) if claim.outcome is not None else None,
        claim_outcome_stored=stored,
    )


def _settled(result: str, repeated: bool) -> CommandOutcome:
    if result == CLAIM_RELEASED:
        code, detail = ResultCode.NOT_STARTED, 'this attempt released the claim'
    else:
        code, detail = ResultCode.CLAIM_PENDING, 'another attempt holds the claim'
    return CommandOutcome(code, detail, claim_result=result, repeated=repeated)


def _closed(repeated: bool) -> CommandOutcome:
    code = ResultCode.ACCEPTED_REPEATED if repeated else ResultCode.ACCEPTED
    return CommandOutcome(code, claim_result=CLAIM_CLOSED, repeated=repeated)


def _not_held(detail: str) -> CommandOutcome:
    return CommandOutcome(ResultCode.CONFLICT, detail, claim_result=CLAIM_NOT_HELD)
