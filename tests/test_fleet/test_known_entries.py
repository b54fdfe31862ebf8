"""Guard the shares between control instances about the entry instances that poll them."""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

from pistachioloft_core.codec import encode_peer
from pistachioloft_core.messages.fleet import ControlStatus, EntryStatus, FeedPoll
from pistachioloft_core.process import fleet
from pistachioloft_core.process.known_entries import ENTRY_LIVE_MS, RELAYED_LIVE_MS

POLL_MS = 300
SHARE_MS = int(fleet.SHARE_INTERVAL_MS)
ENTRY = EntryStatus('10.1.1.1', 1, 'a', '10.1.1.1:80', '10.1.1.1:90', True, False, 3)


class Controls:
    """Simulate control instances that share every 200 ms and entry instances that poll them."""

    def __init__(self, count: int) -> None:
        self.states = [
            fleet.FleetState(
                ControlStatus(f'10.0.0.{number}', 1, 'a', f'10.0.0.{number}-first'), 1_200.0, 0.0
            )
            for number in range(count)
        ]
        self.now_ms = 0
        # The number of the control instance that each entry instance polls; None if silent.
        self.polled_control: dict[EntryStatus, int | None] = {}
        self.lost_controls: set[int] = set()
        self.share_bytes = 0

    def run(self, until_ms: int, shares_delivered: bool = True) -> None:
        while self.now_ms < until_ms:
            self.now_ms += 100
            if self.now_ms % POLL_MS == 0:
                self._poll()
            if self.now_ms % SHARE_MS == 0:
                self._share(shares_delivered)

    def live(self, number: int) -> int:
        return len(fleet.live_entries(self.states[number], self.now_ms))

    def _poll(self) -> None:
        for status, number in self.polled_control.items():
            if number is not None and number not in self.lost_controls:
                polled_status = replace(status, sequence=self.now_ms)
                question = FeedPoll(1, polled_status, 0, 0)
                fleet.on_feed_poll(self.states[number], self.now_ms, question, True, 3, b'')

    def _share(self, are_delivered: bool) -> None:
        running = [
            state for number, state in enumerate(self.states) if number not in self.lost_controls
        ]
        shares = [(state, fleet.incremental_share(state, self.now_ms)) for state in running]
        for sender, share in shares:
            self.share_bytes += len(encode_peer(sender.own_status.instance, [share])) * (
                len(running) - 1
            )
            for receiver in running:
                if receiver is not sender and are_delivered:
                    fleet.on_share(receiver, self.now_ms, share)


def add_entries(controls: Controls, count: int) -> None:
    for number in range(count):
        entry = replace(ENTRY, instance=f'10.1.{number // 200}.{number % 200}')
        controls.polled_control[entry] = number % len(controls.states)


def test_unchanged_entries_need_few_share_bytes() -> None:
    """Guard against traffic that grows with the product of entries, shares and instances."""
    controls = Controls(5)
    add_entries(controls, 195)
    controls.run(5_000)
    assert [controls.live(number) for number in range(5)] == [195] * 5
    controls.share_bytes = 0
    controls.run(15_000)
    # A daemon may send 9 KB/s of control traffic; shares are a part of it, over 200 instances.
    assert controls.share_bytes / 10.0 / 200 < 400.0
    assert [controls.live(number) for number in range(5)] == [195] * 5


def test_silent_entry_is_dropped_everywhere_within_one_share() -> None:
    """Guard against callers that are sent to an entry instance that no longer runs."""
    controls = Controls(3)
    add_entries(controls, 3)
    controls.run(3_000)
    for entry in controls.polled_control:
        controls.polled_control[entry] = None
    controls.run(3_000 + int(ENTRY_LIVE_MS) + SHARE_MS)
    assert [controls.live(number) for number in range(3)] == [0, 0, 0]


def test_silent_entry_expires_even_if_shares_are_lost() -> None:
    """Guard against an entry instance that stays live because shares were lost."""
    controls = Controls(2)
    controls.polled_control[ENTRY] = 0
    controls.run(3_000)
    controls.polled_control[ENTRY] = None
    controls.run(3_000 + int(ENTRY_LIVE_MS) + 1_200, shares_delivered=False)
    controls.run(3_000 + int(RELAYED_LIVE_MS) + SHARE_MS)
    assert controls.live(1) == 0


def test_entries_of_a_lost_control_instance_expire_with_it() -> None:
    """Guard against callers that are sent to a failure domain that is lost completely."""
    controls = Controls(3)
    add_entries(controls, 30)
    controls.run(3_000)
    controls.lost_controls.add(0)
    controls.run(3_000 + int(ENTRY_LIVE_MS) + SHARE_MS)
    assert controls.live(1) == 20


def test_entry_that_polls_another_control_instance_stays_live() -> None:
    """Guard against an entry instance that is dropped because it polls another control instance."""
    controls = Controls(3)
    controls.polled_control[ENTRY] = 0
    controls.run(3_000)
    controls.polled_control[ENTRY] = 1
    for until_ms in range(3_300, 9_000, 100):
        controls.run(until_ms)
        assert [controls.live(number) for number in range(3)] == [1, 1, 1]


def test_cut_off_instance_is_known_everywhere_within_a_second() -> None:
    """Guard against instances that are advertised by the control instances they do not poll."""
    controls = Controls(5)
    add_entries(controls, 20)
    controls.run(5_000)
    entry = next(iter(controls.polled_control))

    def known() -> list[bool]:
        return [state.entries.by_name[entry.instance].status.cut_off for state in controls.states]

    for cut_off in (True, False):
        polled = controls.polled_control.pop(entry)
        entry = replace(entry, cut_off=cut_off)
        controls.polled_control[entry] = polled
        # The first share after the change is lost.
        controls.run(controls.now_ms + 400, shares_delivered=False)
        controls.run(controls.now_ms + 400)
        assert known() == [cut_off] * 5
        controls.run(controls.now_ms + 3_000)
        assert known() == [cut_off] * 5


def test_status_of_a_build_without_the_field_is_read() -> None:
    """Guard against polls that one of two builds side by side refuses."""
    old_fields = msgspec.msgpack.decode(msgspec.msgpack.encode(ENTRY))[:-1]
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(old_fields), type=EntryStatus)
    assert decoded == ENTRY
