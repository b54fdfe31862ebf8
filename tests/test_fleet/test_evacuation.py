"""Guard against endpoints of evacuated failure domains that are used, or stay unused afterwards."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest
from msgspec.structs import replace

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.accepted import AcceptedEvacuations, CommandOutcome, SetEvacuation
from pistachioloft_core.messages.fleet import (
    ENDPOINT_DRAINING,
    ENDPOINT_LAPSED,
    ENDPOINT_READY,
    AnnouncedEndpoint,
    EntryStatus,
    FeedPoll,
    FeedReply,
    ReceivedEndpoint,
)
from pistachioloft_core.process.endpoint_table import (
    EndpointTable,
    apply_update,
    remove_missing_endpoints,
    set_evacuated_domains,
    withdraw_leaving,
)
from pistachioloft_daemon.control_calls import Done, Evacuate, Outcome
from pistachioloft_daemon.control_instance import ControlInstance
from pistachioloft_daemon.fleet_settings import load_fleet_settings
from pistachioloft_daemon.wire import ControlWire
from tests.test_fleet import test_control_instance as control
from tests.test_fleet import test_entry_instance as entry

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

RECORD = AnnouncedEndpoint('i-a', 's', '10.9.0.1:80', 'a', 2, ENDPOINT_READY, 1, 1_000)
OTHER = replace(RECORD, endpoint='i-b', address='10.9.0.2:80', failure_domain='b')


def announce(table: EndpointTable, *records: AnnouncedEndpoint, now_ms: float = 0.0) -> None:
    apply_update(table, now_ms, [ReceivedEndpoint(record, 0.0) for record in records], True)


def usable(table: EndpointTable) -> list[str]:
    names = sorted(load.record.endpoint for load in table.usable('s'))
    assert table.usable_count == len(names)
    assert table.services_in('a') == (frozenset('s') if 'i-a' in names else frozenset())
    return names


def test_endpoints_are_withdrawn_and_restored() -> None:
    """Guard against endpoints that are used while evacuated, whatever is announced of them."""
    table = EndpointTable()
    announce(table, RECORD, OTHER)
    assert usable(table) == ['i-a', 'i-b']
    (affected,) = set_evacuated_domains(table, 0.0, 5, ('a',))
    assert affected.record == RECORD
    assert usable(table) == ['i-b']
    for record in (
        replace(RECORD, sequence=2),
        replace(RECORD, sequence=3, address='10.9.0.3:80', born_ms=2_000),
        replace(RECORD, endpoint='i-c', address='10.9.0.4:80'),
    ):
        announce(table, record)
        assert usable(table) == ['i-b']
    assert set_evacuated_domains(table, 0.0, 5, ()) == []
    assert set_evacuated_domains(table, 0.0, 4, ('b',)) == []
    assert usable(table) == ['i-b']
    assert len(set_evacuated_domains(table, 0.0, 9, ())) == 2
    assert usable(table) == ['i-a', 'i-b', 'i-c']


@pytest.mark.parametrize(
    'change',
    [
        lambda table: announce(table, replace(RECORD, endpoint_state=ENDPOINT_DRAINING)),
        lambda table: announce(table, replace(RECORD, endpoint_state=ENDPOINT_LAPSED)),
        lambda table: remove_missing_endpoints(table, ()),
        lambda table: withdraw_leaving_as_stated(table),
    ],
)
def test_endpoint_that_left_meanwhile_is_not_restored(
    change: Callable[[EndpointTable], Any],
) -> None:
    """Guard against work for endpoints that drained, lapsed or left while evacuated."""
    table = EndpointTable()
    announce(table, RECORD)
    set_evacuated_domains(table, 0.0, 1, ('a',))
    change(table)
    set_evacuated_domains(table, 10_000.0, 2, ())
    assert usable(table) == []


def withdraw_leaving_as_stated(table: EndpointTable) -> None:
    load = table.endpoints['i-a']
    load.statements.is_leaving = True
    withdraw_leaving(table, load)


def test_lapsed_endpoint_that_still_replies_is_restored() -> None:
    """Guard against a lost feed that makes an evacuation last longer for some endpoints."""
    table = EndpointTable()
    announce(table, RECORD)
    set_evacuated_domains(table, 0.0, 1, ('a',))
    # The reply to an attempt that was in flight.
    table.endpoints['i-a'].record_reply(500.0, 10.0, 10.0)
    announce(table, replace(RECORD, endpoint_state=ENDPOINT_LAPSED), now_ms=600.0)
    set_evacuated_domains(table, 700.0, 2, ())
    assert usable(table) == ['i-a']


def feed_reply(revision: int, since: int, index: int, *domains: str) -> FeedReply:
    endpoints = (ReceivedEndpoint(RECORD, 0.0), ReceivedEndpoint(OTHER, 0.0))
    return FeedReply(
        poll_id=0,
        control_incarnation=1,
        confirmed=True,
        synchronized=True,
        full=since == 0,
        since_revision=since,
        endpoint_revision=revision,
        endpoints=endpoints if since == 0 else (),
        route_version=0,
        document=b'',
        controls=(),
        advertised=(),
        evacuation_index=index,
        evacuated_domains=domains,
    )


def test_entry_applies_the_highest_index_and_frees_what_waits(tmp_path: Path) -> None:
    """Guard against orders missed with a lost update, older ones, and requests left waiting."""

    def scenario() -> None:
        instance, _sent = entry.make_instance(tmp_path)
        returned: list[str] = []
        instance.requests.pool.return_queued = (  # type: ignore[method-assign]
            lambda endpoint, _detail: returned.append(endpoint)
        )
        table = instance.state.table
        instance._on_message(entry.SEED, feed_reply(4, 0, 0))
        assert usable(table) == ['i-a', 'i-b']
        # An update before this one was lost, so its endpoints are not applied.
        instance._on_message(entry.SEED, feed_reply(9, 8, 7, 'a'))
        assert usable(table) == ['i-b']
        assert returned == ['i-a']
        instance._on_message('10.1.0.2', feed_reply(3, 0, 6))
        assert usable(table) == ['i-b']
        instance._on_message('10.1.0.2', feed_reply(4, 0, 8))
        assert usable(table) == ['i-a', 'i-b']
        assert returned == ['i-a']

    entry.run(scenario)


def make_control(folder: Path) -> tuple[ControlInstance, list[FeedReply]]:
    file = folder / 'settings.toml'
    file.write_text(control.SETTINGS.format(instance='10.1.0.1', folder=folder / 'data'))
    instance = ControlInstance(
        load_fleet_settings(file),
        ControlWire(lambda request: request, lambda outcome: outcome),  # type: ignore[arg-type, return-value]
        control.unused,
    )
    instance.peers.connect = lambda _peer, _address: None  # type: ignore[method-assign]
    sent: list[FeedReply] = []

    def send(_peer: str, message: Any) -> bool:
        sent.append(message)
        return True

    instance.peers.send = send  # type: ignore[method-assign]
    return instance, sent


def test_change_is_pushed_at_once_and_repeated_with_each_poll(tmp_path: Path) -> None:
    """Guard against entry instances that learn of an evacuation with a later poll only."""

    async def scenario() -> None:
        instance, sent = make_control(tmp_path)
        status = EntryStatus('10.1.1.1', 1, 'a', '10.1.1.1:80', '10.1.1.1:90', True, False, 0)
        instance._on_message('10.1.1.1', FeedPoll(1, status, 0, 0))
        assert (sent[-1].evacuation_index, sent[-1].evacuated_domains) == (0, ())
        for index, domains in ((7, ('a',)), (9, ('a', 'b')), (8, ())):
            instance._on_evacuations(AcceptedEvacuations(index, domains))
            await asyncio.sleep(0)
        assert [(each.poll_id, each.evacuation_index) for each in sent[1:]] == [(0, 7), (0, 9)]
        instance._on_message('10.1.1.1', FeedPoll(2, status, 0, 0))
        assert (sent[-1].poll_id, sent[-1].evacuated_domains) == (2, ('a', 'b'))

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('outcome', 'code'),
    [
        (CommandOutcome(ResultCode.ACCEPTED), ResultCode.ACCEPTED),
        (CommandOutcome(ResultCode.ACCEPTED_REPEATED), ResultCode.ACCEPTED_REPEATED),
        (CommandOutcome(ResultCode.CONFLICT), ResultCode.SUBMIT_UNKNOWN),
        (CommandOutcome(ResultCode.TOO_LARGE), ResultCode.TOO_LARGE),
        (None, ResultCode.SUBMIT_UNKNOWN),
    ],
)
def test_order_is_confirmed_only_by_the_outcome_of_its_proposal(
    tmp_path: Path, outcome: CommandOutcome | None, code: ResultCode
) -> None:
    """Guard against a control instance that confirms what only its own, older state shows."""

    async def scenario() -> None:
        instance, _sent = make_control(tmp_path)
        instance._on_evacuations(AcceptedEvacuations(7, ('a',)))
        proposed: list[tuple[Any, Callable[[CommandOutcome | None], None]]] = []
        instance.proposals.propose = (  # type: ignore[method-assign]
            lambda _id, command, _timeout_ms, callback: proposed.append((command, callback))
        )
        answers: list[Outcome] = []
        instance.interface.handle(Evacuate('a', True), answers.append)  # type: ignore[arg-type]
        assert answers == []
        ((command, callback),) = proposed
        assert command == SetEvacuation('a', True, 7)
        callback(outcome)
        (answer,) = answers
        assert isinstance(answer, Done)
        assert answer.code is code

    asyncio.run(scenario())
