"""Tests of the claims in the replicated state machine."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.errors import CodedError, ResultCode
from pistachioloft_core.messages.accepted import CloseClaim, OpenClaim
from pistachioloft_core.messages.agreement import LogEntry
from pistachioloft_core.version import accepted, claims

DAY_MS = claims.KEY_LIFETIME_MS


class Log:
    """Apply commands at increasing indexes."""

    def __init__(self) -> None:
        self.state = accepted.AcceptedState()
        self.index = 0
        self.time_ms = 1_000_000

    def apply(self, command, encode=True):
        self.index += 1
        if encode:
            command = accepted.decode_command(accepted.encode_command(command))
        return accepted.apply_command(self.state, 1, self.index, self.time_ms, command)

    def restore(self):
        data = accepted.encode_snapshot(self.state)
        self.state = accepted.decode_snapshot(data)
        assert accepted.encode_snapshot(self.state) == data


def open_command(attempt, key='k', issued_ms=1_000_000, digest='d'):
    return OpenClaim('caller', key, issued_ms, digest, attempt, 'e1')


def close_command(attempt, ran, outcome=None, key='k'):
    return CloseClaim('caller', key, attempt, ran, outcome)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['open', 'open', 'open', 'ran', 'released', 'wait', 'restore']),
        st.sampled_from(['k1', 'k2']),
        st.sampled_from(['a', 'b', 'c', 'd']),
        st.sampled_from([1, 1000, DAY_MS // 2, DAY_MS]),
    ),
    max_size=40,
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(STEPS)
def test_claim_is_granted_again_only_after_a_proved_release(steps) -> None:
    """Guard against a second execution after any order of open, close, resend and expiry."""
    log = Log()
    holders: dict[str, str] = {}
    ran: dict[str, str] = {}
    released: dict[str, set[str]] = {}
    for kind, key, attempt, wait_ms in steps:
        if kind == 'wait':
            log.time_ms += wait_ms
        elif kind == 'restore':
            log.restore()
        elif kind == 'open':
            outcome = log.apply(open_command(attempt, key))
            granted = outcome.claim_result == 'granted'
            if granted:
                assert log.time_ms < 1_000_000 + DAY_MS
                assert key not in ran
                assert holders.get(key, attempt) == attempt
                assert attempt not in released.get(key, set())
                assert outcome.repeated == (key in holders)
                holders[key] = attempt
            elif outcome.claim_result == 'repeated':
                assert outcome.claim_outcome == ran[key]
        else:
            outcome = log.apply(close_command(attempt, kind == 'ran', attempt, key))
            if outcome.claim_result == 'closed' and not outcome.repeated:
                assert holders.pop(key) == attempt
                if kind == 'ran':
                    ran[key] = attempt
                else:
                    released.setdefault(key, set()).add(attempt)


def test_resent_open_gets_its_first_outcome() -> None:
    """Guard against a lost reply whose resent request changes a granted claim to pending."""
    log = Log()
    assert log.apply(open_command('a')).claim_result == 'granted'
    assert log.apply(open_command('b')).claim_result == 'pending'
    log.restore()
    again = log.apply(open_command('a'))
    assert (again.claim_result, again.repeated) == ('granted', True)
    assert log.apply(close_command('a', ran=False)).claim_result == 'closed'
    assert log.apply(open_command('b')).claim_result == 'pending'
    resent = log.apply(open_command('a'))
    assert (resent.result_code, resent.claim_result) == (ResultCode.NOT_STARTED, 'released')
    assert log.apply(open_command('c')).claim_result == 'granted'


def test_close_by_another_attempt_is_rejected() -> None:
    """Guard against an earlier attempt that closes the claim of a later one."""
    log = Log()
    log.apply(open_command('a'))
    assert log.apply(close_command('b', ran=False)).claim_result == 'not_held'
    assert log.apply(close_command('a', ran=False)).claim_result == 'closed'
    log.apply(open_command('b'))
    late = log.apply(close_command('a', ran=False))
    assert (late.claim_result, late.repeated) == ('closed', True)
    assert log.apply(close_command('a', ran=True)).claim_result == 'not_held'
    assert log.apply(open_command('c')).claim_result == 'pending'
    assert log.apply(close_command('b', ran=True, outcome={'n': 1})).claim_result == 'closed'
    assert log.apply(close_command('b', ran=False)).claim_result == 'not_held'
    assert log.apply(open_command('c')).claim_outcome == {'n': 1}


@pytest.mark.parametrize(
    ('issued_ms', 'result'),
    [
        (1_000_000 - DAY_MS, 'expired'),
        (1_000_000 - DAY_MS + 1, 'granted'),
        (1_000_000 + 60_000, 'granted'),
        (1_000_000 + 60_001, 'expired'),
    ],
)
def test_key_outside_its_lifetime_is_refused(issued_ms, result) -> None:
    """Guard against a key that is granted again after its claim has expired."""
    assert Log().apply(open_command('a', issued_ms=issued_ms)).claim_result == result


def test_log_time_never_goes_back() -> None:
    """Guard against a new leader with a slow clock that makes an expired key valid again."""
    log = Log()
    log.apply(open_command('a'))
    log.apply(close_command('a', ran=True))
    log.time_ms += DAY_MS
    log.apply(open_command('x', key='other', issued_ms=log.time_ms))
    log.time_ms -= DAY_MS
    assert log.apply(open_command('b')).claim_result == 'expired'


def test_key_with_other_content_is_refused() -> None:
    """Guard against one key that serves two commands or gets a second lifetime."""
    log = Log()
    log.apply(open_command('a'))
    assert log.apply(open_command('a', digest='other')).claim_result == 'key_reused'
    assert log.apply(open_command('b', issued_ms=1_000_001)).claim_result == 'key_reused'


@pytest.mark.parametrize('encode', [True, False])
@pytest.mark.parametrize(('extra', 'stored'), [(0, True), (1, False)])
def test_oversized_reply_is_recorded_as_ran_without_being_stored(extra, stored, encode) -> None:
    """Guard against unbounded replies, and against a second run when a reply is not stored."""
    log = Log()
    log.apply(open_command('a'))
    reply = 'x' * (claims.OUTCOME_LIMIT_BYTES - 3 + extra)
    log.apply(close_command('a', ran=True, outcome=reply), encode)
    again = log.apply(open_command('b'))
    assert (again.claim_result, again.claim_outcome_stored) == ('repeated', stored)
    assert again.claim_outcome == (reply if stored else None)


def test_full_table_refuses_claims_until_older_ones_expire(monkeypatch) -> None:
    """Guard against claims that exhaust the memory of a voter."""
    monkeypatch.setattr(claims, 'CLAIM_LIMIT_COUNT', 100)
    log = Log()
    for number in range(100):
        assert log.apply(open_command('a', key=f'k{number}')).claim_result == 'granted'
    refused = log.apply(open_command('a', key='more'))
    assert (refused.result_code, refused.claim_result) == (ResultCode.OVERLOADED, 'table_full')
    log.time_ms += DAY_MS
    assert log.apply(open_command('a', key='n', issued_ms=log.time_ms)).claim_result == 'granted'
    assert len(log.state.claim_table.claims) == 100 - claims.EXPIRY_BATCH_COUNT + 1
    log.apply(open_command('a', key='n2', issued_ms=log.time_ms))
    assert set(log.state.claim_table.claims) == {('caller', 'n'), ('caller', 'n2')}
    sizes = sum(claim.size_bytes() for claim in log.state.claim_table.claims.values())
    assert log.state.claim_table.size_bytes == sizes


def test_byte_limit_refuses_new_claims_but_records_runs(monkeypatch) -> None:
    """Guard against replies that exhaust the memory, and against a run that is not recorded."""
    monkeypatch.setattr(claims, 'CLAIM_LIMIT_BYTES', 1000)
    log = Log()
    for attempt in 'abc':
        log.apply(open_command(attempt, key=attempt))
        log.apply(close_command(attempt, ran=True, outcome='x' * 450, key=attempt))
    assert log.apply(open_command('z', key='a')).claim_outcome_stored
    assert not log.apply(open_command('z', key='c')).claim_outcome_stored
    assert log.state.claim_table.size_bytes <= 1000
    results = [log.apply(open_command('a', key=f'k{number}')).claim_result for number in range(40)]
    assert results[-1] == 'table_full'


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=80))
def test_arbitrary_bytes_raise_coded_error(data: bytes) -> None:
    """Guard against a damaged log entry or snapshot that terminates the process."""
    with pytest.raises(CodedError):
        accepted.decode_command(data)
    if data:
        with pytest.raises(CodedError):
            accepted.decode_snapshot(data)


def nested_list(depth: int):
    value: list = []
    for _ in range(depth - 1):
        value = [value]
    return value


def test_unstorable_reply_is_omitted_from_the_log() -> None:
    """Guard against an integer over 64 bits or a deep reply that terminates a voter."""
    assert claims.is_storable({'n': [2**63, 'x']})
    assert claims.is_storable(nested_list(claims.OUTCOME_LIMIT_DEPTH))
    assert not claims.is_storable({'n': 2**70})
    assert not claims.is_storable(nested_list(claims.OUTCOME_LIMIT_DEPTH + 1))
    log = Log()
    log.apply(open_command('a'))
    assert log.apply(close_command('a', ran=True, outcome={'n': 2**70})).claim_result == 'closed'
    assert log.apply(open_command('b')).claim_result == 'repeated'
    with pytest.raises(CodedError):
        accepted.encode_command(open_command('a', issued_ms=2**70))


def test_unreadable_entry_is_refused_and_counts_as_applied() -> None:
    """Guard against one committed entry that terminates every voter."""
    state = accepted.AcceptedState()
    entry = LogEntry(1, 1, 'command', 5, b'not a command')
    assert accepted.apply_entry(state, entry).result_code is ResultCode.MALFORMED
    assert accepted.apply_entry(state, LogEntry(1, 2, 'noop', 9)).result_code is ResultCode.ACCEPTED
    assert (state.applied_index, state.log_time_ms) == (2, 9)
