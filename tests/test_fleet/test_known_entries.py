"""Guard what control instances tell each other of the entry instances that poll them."""

from __future__ import annotations

from msgspec.structs import replace

from pistachioloft_core.codec import encode_peer
from pistachioloft_core.messages.fleet import ControlStatus, EntryStatus, FeedPoll
from pistachioloft_core.process import fleet
from pistachioloft_core.process.known_entries import ENTRY_LIVE_MS, RELAYED_LIVE_MS

POLL_MS = 300
SHARE_MS = int(fleet.SHARE_INTERVAL_MS)
ENTRY = EntryStatus('10.1.1.1', 1, 'a', '10.1.1.1:80', '10.1.1.1:90', True, False, 3)


class Controls:
    """Play control instances that share every 200 ms, and entry instances that poll them."""

    def __init__(self, count: int) -> None:
        self.states = [
            fleet.FleetState(
                ControlStatus(f'10.0.0.{number}', 1, 'a', f'10.0.0.{number}-first'), 1_200.0, 0.0
            )
            for number in range(count)
        ]
        self.now_ms = 0
        # Which control instance each entry instance polls; None if it is silent.
        self.polled: dict[EntryStatus, int | None] = {}
        self.lost: set[int] = set()
        self.share_bytes = 0

    def play(self, until_ms: int, shares_arrive: bool = True) -> None:
        while self.now_ms < until_ms:
            self.now_ms += 100
            if self.now_ms % POLL_MS == 0:
                self._poll()
            if self.now_ms % SHARE_MS == 0:
                self._share(shares_arrive)

    def live(self, number: int) -> int:
        return len(fleet.live_entries(self.states[number], self.now_ms))

    def _poll(self) -> None:
        for status, number in self.polled.items():
            if number is not None and number not in self.lost:
                said = replace(status, sequence=self.now_ms)
                question = FeedPoll(1, said, 0, 0)
                fleet.on_feed_poll(self.states[number], self.now_ms, question, True, 3, b'')

    def _share(self, arrives: bool) -> None:
        present = [each for number, each in enumerate(self.states) if number not in self.lost]
        shares = [(each, fleet.incremental_share(each, self.now_ms)) for each in present]
        for sender, share in shares:
            self.share_bytes += len(encode_peer(sender.own.instance, [share])) * (len(present) - 1)
            for receiver in present:
                if receiver is not sender and arrives:
                    fleet.on_share(receiver, self.now_ms, share)


def fill(controls: Controls, count: int) -> None:
    for number in range(count):
        entry = replace(ENTRY, instance=f'10.1.{number // 200}.{number % 200}')
        controls.polled[entry] = number % len(controls.states)


def test_shares_take_few_bytes_while_nothing_changes() -> None:
    """Guard against control bytes that grow with entries times shares times instances."""
    controls = Controls(5)
    fill(controls, 195)
    controls.play(5_000)
    assert [controls.live(number) for number in range(5)] == [195] * 5
    controls.share_bytes = 0
    controls.play(15_000)
    # A daemon may send 9 KB/s for all of control; an entry instance has a part of these shares.
    assert controls.share_bytes / 10.0 / 200 < 400.0
    assert [controls.live(number) for number in range(5)] == [195] * 5


def test_silent_entry_is_known_everywhere_within_a_share() -> None:
    """Guard against callers that are sent to an entry instance that is gone."""
    controls = Controls(3)
    fill(controls, 3)
    controls.play(3_000)
    for entry in controls.polled:
        controls.polled[entry] = None
    controls.play(3_000 + int(ENTRY_LIVE_MS) + SHARE_MS)
    assert [controls.live(number) for number in range(3)] == [0, 0, 0]


def test_silence_that_is_not_told_ends_an_entry_all_the_same() -> None:
    """Guard against an entry instance that stays live because shares were lost."""
    controls = Controls(2)
    controls.polled[ENTRY] = 0
    controls.play(3_000)
    controls.polled[ENTRY] = None
    controls.play(3_000 + int(ENTRY_LIVE_MS) + 1_200, shares_arrive=False)
    controls.play(3_000 + int(RELAYED_LIVE_MS) + SHARE_MS)
    assert controls.live(1) == 0


def test_entries_of_a_lost_control_instance_end_with_it() -> None:
    """Guard against callers that are sent to a failure domain that is lost as a whole."""
    controls = Controls(3)
    fill(controls, 30)
    controls.play(3_000)
    controls.lost.add(0)
    controls.play(3_000 + int(ENTRY_LIVE_MS) + SHARE_MS)
    assert controls.live(1) == 20


def test_entry_that_polls_another_control_instance_stays_live() -> None:
    """Guard against an entry instance that is left out because its control instance changed."""
    controls = Controls(3)
    controls.polled[ENTRY] = 0
    controls.play(3_000)
    controls.polled[ENTRY] = 1
    for until_ms in range(3_300, 9_000, 100):
        controls.play(until_ms)
        assert [controls.live(number) for number in range(3)] == [1, 1, 1]
