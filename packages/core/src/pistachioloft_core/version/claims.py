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

# Decoders recurse. Without a limit, a deeply nested reply could be readable on one replica and
# exceed the recursion limit on another whose stack is deeper when it applies the command.
OUTCOME_LIMIT_DEPTH = 64

# Each claim takes about 0.35 KB of Python objects in addition to the texts and the outcome that
# CLAIM_LIMIT_BYTES counts, so a full table takes about 40 MB of the 64 MB that a daemon may use.
CLAIM_LIMIT_COUNT = 65_536
CLAIM_LIMIT_BYTES = 16 * 1024 * 1024
CLAIM_TEXT_LIMIT_BYTES = 1024

# Number of attempts of one claim whose first result is stored. If an older attempt is resent, it
# is treated as a new one; this can leave the claim pending but never grants it twice.
SETTLED_ATTEMPT_COUNT = 16

# Limits the expired claims that one command removes, so that the first command after a long idle
# period costs no more than others. It exceeds 1, so that the backlog shrinks.
EXPIRY_BATCH_COUNT = 64

HELD = 'held'
RELEASED = 'released'
RAN = 'ran'


@dataclass(frozen=True, slots=True)
class SettledAttempt:
    """Store the result returned to an attempt that does not hold the claim."""

    attempt_id: str
    result: str


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold one claim; `outcome` is the encoded reply, None if it was not storable."""

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
        """Return the number of bytes that the claim counts towards CLAIM_LIMIT_BYTES."""
        text_bytes = _encoded_size_bytes(
            self.caller,
            self.idempotency_key,
            self.content_digest,
            self.attempt_id,
            self.holder,
            *(attempt.attempt_id for attempt in self.settled),
        )
        return text_bytes + len(self.outcome or b'')


def is_storable(outcome: Any) -> bool:
    """Return whether the log can store a reply; if not, the claim is closed without it."""
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
        # JSON allows larger integers than MessagePack, which is limited to 64 bits.
        return False


class ClaimTable:
    """Hold all claims whose keys have not expired."""

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
    """Remove up to EXPIRY_BATCH_COUNT claims whose keys have expired."""
    for _ in range(EXPIRY_BATCH_COUNT):
        if not table.expiry or table.expiry[0][0] > log_time_ms:
            return
        _, caller, key = heapq.heappop(table.expiry)
        table.size_bytes -= table.claims.pop((caller, key)).size_bytes()


def open_claim(table: ClaimTable, log_time_ms: int, command: OpenClaim) -> CommandOutcome:
    """Grant the claim unless another attempt with its key may have run or may still run."""
    refusal = _check_open(log_time_ms, command)
    if refusal is not None:
        return refusal
    claim = table.claims.get((command.caller, command.idempotency_key))
    if claim is None:
        return _open_new_claim(table, command)
    if (claim.content_digest, claim.key_issued_at_ms) != (
        command.content_digest,
        command.key_issued_at_ms,
    ):
        detail = 'the key was used with other content or another time of issue'
        return CommandOutcome(ResultCode.KEY_REUSED, detail, claim_result=CLAIM_KEY_REUSED)
    if claim.state == RAN:
        return _repeated_outcome(claim)
    if claim.attempt_id == command.attempt_id:
        return (
            _granted_outcome(True)
            if claim.state == HELD
            else _settled_outcome(CLAIM_RELEASED, True)
        )
    for attempt in claim.settled:
        if attempt.attempt_id == command.attempt_id:
            return _settled_outcome(attempt.result, repeated=True)
    if claim.state == HELD:
        # If the table is full, the attempt is not recorded; this is safe, as it holds no claim.
        _try_store(table, _with_settled_attempt(claim, command.attempt_id, CLAIM_PENDING))
        return _settled_outcome(CLAIM_PENDING, repeated=False)
    held = replace(claim, state=HELD, attempt_id=command.attempt_id, holder=command.holder)
    if _try_store(
        table, _with_settled_attempt(held, claim.attempt_id, CLAIM_RELEASED)
    ) or _try_store(table, held):
        return _granted_outcome(repeated=False)
    return _table_full_outcome(table)


def close_claim(table: ClaimTable, command: CloseClaim) -> CommandOutcome:
    """Record whether the attempt that holds the claim ran."""
    claim = table.claims.get((command.caller, command.idempotency_key))
    if claim is None:
        return _not_held_outcome('there is no such claim')
    if command.attempt_id != claim.attempt_id:
        released = SettledAttempt(command.attempt_id, CLAIM_RELEASED) in claim.settled
        if released and not command.ran:
            return _closed_outcome(repeated=True)
        return _not_held_outcome('another attempt holds the claim')
    final_state = RAN if command.ran else RELEASED
    if claim.state == final_state:
        return _closed_outcome(repeated=True)
    if claim.state != HELD:
        return _not_held_outcome(f'the claim is already closed as {claim.state}')
    if not command.ran:
        table.claims[claim.caller, claim.idempotency_key] = replace(claim, state=RELEASED)
        return _closed_outcome(repeated=False)
    ran = replace(claim, state=RAN)
    if command.outcome is not None and is_storable(command.outcome):
        with_outcome = replace(ran, outcome=encode_packed(command.outcome))
        if _try_store(table, with_outcome):
            return _closed_outcome(repeated=False)
    table.claims[claim.caller, claim.idempotency_key] = ran
    return _closed_outcome(repeated=False)


def _check_open(log_time_ms: int, command: OpenClaim) -> CommandOutcome | None:
    texts = (
        command.caller,
        command.idempotency_key,
        command.content_digest,
        command.attempt_id,
        command.holder,
    )
    if _encoded_size_bytes(*texts) > CLAIM_TEXT_LIMIT_BYTES:
        detail = f'the names of a claim exceed {CLAIM_TEXT_LIMIT_BYTES} bytes'
        return CommandOutcome(ResultCode.TOO_LARGE, detail, claim_result=CLAIM_TOO_LARGE)
    if command.key_issued_at_ms + KEY_LIFETIME_MS <= log_time_ms:
        detail = 'the key was issued over 24 hours ago'
    elif command.key_issued_at_ms > log_time_ms + KEY_FUTURE_LIMIT_MS:
        detail = 'the key was issued over 60 seconds in the future'
    else:
        return None
    return CommandOutcome(ResultCode.KEY_EXPIRED, detail, claim_result=CLAIM_EXPIRED)


def _open_new_claim(table: ClaimTable, command: OpenClaim) -> CommandOutcome:
    claim = Claim(
        command.caller,
        command.idempotency_key,
        command.key_issued_at_ms,
        command.content_digest,
        HELD,
        command.attempt_id,
        command.holder,
    )
    if len(table.claims) >= CLAIM_LIMIT_COUNT or not _try_store(table, claim):
        return _table_full_outcome(table)
    heapq.heappush(table.expiry, _expiry_entry(claim))
    return _granted_outcome(repeated=False)


def _try_store(table: ClaimTable, claim: Claim) -> bool:
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


def _with_settled_attempt(claim: Claim, attempt_id: str, result: str) -> Claim:
    settled = (*claim.settled, SettledAttempt(attempt_id, result))
    return replace(claim, settled=settled[-SETTLED_ATTEMPT_COUNT:])


def _encoded_size_bytes(*texts: str) -> int:
    return sum(len(text.encode()) for text in texts)


def _expiry_entry(claim: Claim) -> tuple[int, str, str]:
    return claim.key_issued_at_ms + KEY_LIFETIME_MS, claim.caller, claim.idempotency_key


def _table_full_outcome(table: ClaimTable) -> CommandOutcome:
    detail = f'{len(table.claims)} claims of {table.size_bytes} bytes are kept'
    return CommandOutcome(ResultCode.OVERLOADED, detail, claim_result=CLAIM_TABLE_FULL)


def _granted_outcome(repeated: bool) -> CommandOutcome:
    return CommandOutcome(ResultCode.ACCEPTED, claim_result=CLAIM_GRANTED, repeated=repeated)


def _repeated_outcome(claim: Claim) -> CommandOutcome:
    stored = claim.outcome is not None
    return CommandOutcome(
        ResultCode.COMMAND_REPEATED,
        '' if stored else 'the command ran; its reply was not kept',
        repeated=True,
        claim_result=CLAIM_REPEATED,
        claim_outcome=decode_packed(claim.outcome, object) if claim.outcome is not None else None,
        claim_outcome_stored=stored,
    )


def _settled_outcome(result: str, repeated: bool) -> CommandOutcome:
    if result == CLAIM_RELEASED:
        code, detail = ResultCode.NOT_STARTED, 'this attempt released the claim'
    else:
        code, detail = ResultCode.CLAIM_PENDING, 'another attempt holds the claim'
    return CommandOutcome(code, detail, claim_result=result, repeated=repeated)


def _closed_outcome(repeated: bool) -> CommandOutcome:
    code = ResultCode.ACCEPTED_REPEATED if repeated else ResultCode.ACCEPTED
    return CommandOutcome(code, claim_result=CLAIM_CLOSED, repeated=repeated)


def _not_held_outcome(detail: str) -> CommandOutcome:
    return CommandOutcome(ResultCode.CONFLICT, detail, claim_result=CLAIM_NOT_HELD)
