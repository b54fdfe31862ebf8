"""Guard against shards that are lost, or queried twice, when helpers return their groups."""

from __future__ import annotations

import msgspec
import pytest

from pistachioloft_core.messages.relay import RelayResults
from pistachioloft_daemon.loop_timers import monotonic_ms
from tests.test_relay.test_relays import (
    FLUSH_AFTER_MS,
    ROUTE,
    SHARDS,
    Pair,
    run,
    run_loop_turns,
)


def test_helper_that_sent_nothing_returns_its_shards_and_is_avoided() -> None:
    """Guard against shards that count as tried because a helper is cut off."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        (group,) = pair.helping.incoming
        pair.helping.relays.finish(group.group, group.query)  # type: ignore[arg-type]
        await run_loop_turns()
        assert pair.delegating.lost == {}
        assert pair.delegating.refused == list(SHARDS)
        assert pair.helper.suspended_until_ms > monotonic_ms()

    run(scenario)


def test_results_of_a_build_that_does_not_count_attempts_are_not_retried() -> None:
    """Guard against attempts beyond the limit of a route while two builds run side by side."""

    async def scenario(pair: Pair) -> None:
        pair.delegate()
        await run_loop_turns()
        relay_id = next(iter(pair.delegating.relays.outgoing))
        old_results = [relay_id, [], b'', 1.0, True]
        pair.delegating.relays.on_results(
            msgspec.msgpack.decode(msgspec.msgpack.encode(old_results), type=RelayResults)
        )
        assert pair.delegating.lost == dict.fromkeys(SHARDS, ROUTE.attempt_limit)
        assert pair.delegating.refused == []

    run(scenario)


@pytest.mark.parametrize('timers_first', [False, True])
def test_group_that_waited_while_its_helper_was_paused_is_refused(timers_first: bool) -> None:
    """Guard against a helper that queries shards which the other instance has queried meanwhile."""

    async def scenario(pair: Pair) -> None:
        relays = pair.helping.relays
        relays.checked_ms -= FLUSH_AFTER_MS + 1_000.0
        if timers_first:
            relays._check_helpers(monotonic_ms())
        pair.delegate()
        await run_loop_turns()
        assert pair.helping.incoming == []
        assert pair.delegating.refused == list(SHARDS)
        # Once the backlog is read, groups are taken again.
        relays.checked_ms, relays.backlog_until_ms = monotonic_ms(), 0.0
        pair.delegate()
        await run_loop_turns()
        assert len(pair.helping.incoming) == 1

    run(scenario)
