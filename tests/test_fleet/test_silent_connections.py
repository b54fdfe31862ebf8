"""Guard against entry instances that lose their control instances when connections fall silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from pistachioloft_core.messages.fleet import FeedPoll, FeedReply, InstanceLocation
from pistachioloft_core.messages.routes import RouteSet
from pistachioloft_daemon import entry_instance
from pistachioloft_daemon.control_instance import RECONNECT_INTERVAL_MS
from pistachioloft_daemon.entry_instance import TICK_MS, EntryInstance
from pistachioloft_daemon.fleet_settings import load_fleet_settings
from pistachioloft_daemon.routes_document import pack_document
from pistachioloft_daemon.wire import ControlWire, WireFormat

if TYPE_CHECKING:
    from pathlib import Path

CONTROLS = ('10.1.0.1', '10.2.0.1', '10.3.0.1')
DOMAINS = ('north', 'east', 'west')
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
seeds = ['10.1.0.1:8000', '10.2.0.1:8000', '10.3.0.1:8000']
control_peer_port = 4
"""
# A configuration must be in force this long after its acknowledgement.
APPLY_BOUND_MS = 3_000.0
SILENCE_MS = 5_000.0


def unused(*_: Any) -> Any:
    raise AssertionError('not called')


class Network:
    """Connect an entry instance to control instances that accept a new version at the silence."""

    def __init__(self, folder: Path) -> None:
        file = folder / 'settings.toml'
        file.write_text(SETTINGS)
        self.now_ms = 0.0
        self.instance = EntryInstance(
            load_fleet_settings(file),
            WireFormat(unused, unused, unused, unused, unused, unused, unused, unused),
            ControlWire(unused, unused),
            lambda document: RouteSet(int(document), (), ()),
        )
        # Silent connections, by the control instance and whether they lead to it.
        self.silent: set[tuple[str, bool]] = set()
        peers: Any = self.instance.peers
        peers.connect = lambda _peer, _address: None
        peers.send = self.send
        peers.reconnect = lambda control: self.silent.discard((control, True))
        peers.senders = dict.fromkeys(CONTROLS)

    @property
    def accepted_version(self) -> int:
        return 1 if self.now_ms < SILENCE_MS else 2

    def send(self, control: str, poll: FeedPoll) -> bool:
        if (control, True) in self.silent:
            return True
        if poll.received_age_ms >= RECONNECT_INTERVAL_MS:
            self.silent.discard((control, False))
        if (control, False) not in self.silent:
            asyncio.get_running_loop().call_soon(self.reply, control, poll)
        return True

    def reply(self, control: str, poll: FeedPoll) -> None:
        version = self.accepted_version
        locations = (InstanceLocation(*pair) for pair in zip(CONTROLS, DOMAINS, strict=True))
        self.instance._on_message(
            control,
            FeedReply(
                poll.poll_id,
                1,
                True,
                True,
                True,
                0,
                1,
                (),
                version,
                pack_document(str(version).encode()) if version > poll.entry.route_version else b'',
                tuple(locations),
                (),
            ),
        )

    async def run(self, until_ms: float) -> None:
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            self.instance._tick(self.now_ms)
            await asyncio.sleep(0)

    def version_in_force(self) -> int:
        routes = self.instance.state.routes
        return 0 if routes is None else routes.version


@pytest.mark.parametrize(
    'directions', [(True,), (False,), (True, False)], ids=['polls', 'replies', 'both']
)
def test_configuration_is_in_force_in_time_after_connections_fell_silent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, directions: tuple[bool, ...]
) -> None:
    """Guard against a configuration that never comes, since polls go to silent connections."""

    async def scenario() -> None:
        network = Network(tmp_path)
        monkeypatch.setattr(entry_instance, 'monotonic_ms', lambda: network.now_ms)
        await network.run(SILENCE_MS - TICK_MS)
        assert network.version_in_force() == 1
        network.silent = {(control, to) for control in CONTROLS for to in directions}
        await network.run(SILENCE_MS + APPLY_BOUND_MS)
        assert network.version_in_force() == 2
        assert network.instance.confirmation_age_ms() < APPLY_BOUND_MS

    asyncio.run(scenario())
