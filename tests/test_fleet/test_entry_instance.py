"""Guard against an entry instance that serves or is advertised too late."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.fleet import FeedPoll, FeedReply, InstanceLocation
from pistachioloft_core.messages.routes import RouteSet
from pistachioloft_core.process import feed
from pistachioloft_core.request.attempts import Refuse
from pistachioloft_daemon import entry_instance
from pistachioloft_daemon.entry_instance import EntryInstance
from pistachioloft_daemon.fleet_settings import load_fleet_settings
from pistachioloft_daemon.loop_timers import monotonic_ms
from pistachioloft_daemon.routes_document import pack_document
from pistachioloft_daemon.wire import ControlWire, WireFormat

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    import pytest
from msgspec.structs import replace

SETTINGS = """
[instance]
id = '10.1.0.9'
failure_domain = 'north'
role = 'entry'
[listen]
caller_address = '127.0.0.1:1'
readiness_address = '127.0.0.1:2'
peer_address = '127.0.0.1:3'
[fleet]
seeds = ['10.1.0.1:8000']
control_peer_port = 4
"""
SEED = '10.1.0.1'


def unused(*_: Any) -> Any:
    raise AssertionError('not called')


def make_instance(folder: Path) -> tuple[EntryInstance, list[FeedPoll]]:
    """Build an instance without sockets and return it with the list of messages it sends."""
    file = folder / 'settings.toml'
    file.write_text(SETTINGS)
    sent: list[FeedPoll] = []
    instance = EntryInstance(
        load_fleet_settings(file),
        WireFormat(unused, unused, unused, unused, unused, unused, unused, unused),
        ControlWire(unused, unused),
        lambda _document: RouteSet(7, (), ()),
    )
    instance.peers.connect = lambda _peer, _address: None  # type: ignore[method-assign]

    def send(_peer: str, message: Any) -> bool:
        sent.append(message)
        return True

    instance.peers.send = send  # type: ignore[method-assign]
    return instance, sent


def run(scenario: Callable[[], None]) -> None:
    async def main() -> None:
        scenario()

    asyncio.run(main())


def reply(poll: FeedPoll, confirmed: bool, document: bytes) -> FeedReply:
    return FeedReply(
        poll.poll_id,
        1,
        confirmed,
        confirmed,
        True,
        0,
        1,
        (),
        7 if document else 0,
        document,
        (),
        (),
    )


def test_confirmed_routes_are_used_and_announced_at_once(tmp_path: Path) -> None:
    """Guard against restarted instances that are advertised only after another poll and share."""

    def scenario() -> None:
        instance, sent = make_instance(tmp_path)
        instance._tick(monotonic_ms())
        assert not sent[-1].entry.ready
        instance._on_message(SEED, reply(sent[-1], True, pack_document(b'{}')))
        assert not instance.requests.fenced
        assert sent[-1].entry.ready

    run(scenario)


def test_unconfirmed_routes_are_not_used(tmp_path: Path) -> None:
    """Guard against an instance that serves routes from a control instance without a quorum."""

    def scenario() -> None:
        instance, sent = make_instance(tmp_path)
        instance._tick(monotonic_ms())
        instance._on_message(SEED, reply(sent[-1], False, pack_document(b'{}')))
        assert instance.requests.fenced
        assert not any(poll.entry.ready for poll in sent)

    run(scenario)


def test_instance_is_fenced_after_a_long_pause(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against requests that are accepted after a pause before the timers have run."""

    def scenario() -> None:
        instance, sent = make_instance(tmp_path)
        instance._tick(monotonic_ms())
        instance._on_message(SEED, reply(sent[-1], True, pack_document(b'{}')))
        assert not isinstance(instance.requests.usable_routes(), Refuse)
        resumed_ms = monotonic_ms() + 60_000.0
        monkeypatch.setattr(entry_instance, 'monotonic_ms', lambda: resumed_ms)
        refusal = instance.requests.usable_routes()
        assert isinstance(refusal, Refuse)
        assert refusal.code is ResultCode.FENCED

    run(scenario)


def test_helpers_are_kept_while_their_digest_is_confirmed(tmp_path: Path) -> None:
    """Guard against an instance without helpers, or with old ones, after a short update."""
    advertised = (InstanceLocation('10.0.0.2', 'a'),)
    helpers = (*advertised, InstanceLocation('10.0.0.3', 'a'))

    def scenario() -> None:
        instance, sent = make_instance(tmp_path)

        def update(named: tuple[InstanceLocation, ...], digest: int) -> set[str]:
            feed.request_poll(instance.feed, monotonic_ms())
            instance._tick(monotonic_ms())
            message = replace(
                reply(sent[-1], True, b''),
                advertised=advertised,
                helpers=named,
                helpers_digest=digest,
            )
            instance._on_message(SEED, message)
            return set(instance.requests.helpers.helpers)

        assert update(helpers, 7) == {'10.0.0.2', '10.0.0.3'}
        assert update((), 7) == {'10.0.0.2', '10.0.0.3'}
        assert sent[-1].helpers_digest == 7
        assert update((), 8) == {'10.0.0.2'}
        assert update(helpers, 8) == {'10.0.0.2', '10.0.0.3'}
        assert sent[-1].helpers_digest == 0
        assert update((), 0) == {'10.0.0.2'}

    run(scenario)
