"""Simulation of several instances that pull soft state from each other in virtual time."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import TYPE_CHECKING, Any

from pistachioloft_core.messages.endpoint import Announcement
from pistachioloft_core.messages.peer import InstanceRecord
from pistachioloft_core.process import membership, ownership
from pistachioloft_core.process.membership_actions import (
    PullAgain,
    ReplyAnnouncement,
    SendRelay,
)
from pistachioloft_core.process.soft_state import MembershipState

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioloft_core.messages.endpoint import AnnounceReply


def make_instance(name: str, incarnation: int = 1, domain: str = 'f1') -> InstanceRecord:
    """Build the record of an instance at its start."""
    return InstanceRecord(
        name, incarnation, 0, domain, f'{name}:1', f'{name}:2', True, False, True, 0.0
    )


def make_announcement(endpoint: str, sequence: int, **fields: Any) -> Announcement:
    """Build an announcement; every endpoint has its own service by default."""
    values = {'incarnation': 1, 'service': f'svc-{endpoint}', **fields}
    return Announcement(
        endpoint=endpoint,
        sequence=sequence,
        address='127.0.0.1:1',
        failure_domain='f1',
        holdings=(),
        slot_count=2,
        connection_limit=25,
        **values,
    )


class Network:
    """Run instances that pull from each other, with a delay for each message."""

    def __init__(
        self, names: list[str], delay_ms: Callable[[str, str], float | None] | None = None
    ) -> None:
        self.now_ms = 1000.0
        self.states = {name: MembershipState(make_instance(name), 1000.0) for name in names}
        self.delay_ms = delay_ms or (lambda source, target: 0.5)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.next_event_id = 0
        self.replies: list[AnnounceReply] = []
        self.actions: list[tuple[str, Any]] = []
        self.duplicate = False
        self.traffic: Counter[str] = Counter()
        for position, name in enumerate(names):
            self.schedule(self.now_ms + 7.0 * position, lambda name=name: self._pull_all(name))

    def schedule(self, time_ms: float, callback: Callable[[], None]) -> None:
        self.next_event_id += 1
        heapq.heappush(self.events, (time_ms, self.next_event_id, callback))

    def run(self, milliseconds: float) -> None:
        """Advance the virtual time."""
        end_ms = self.now_ms + milliseconds
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self.events)
            callback()
        self.now_ms = end_ms

    def announce(self, target: str, announcement: Announcement) -> None:
        """Deliver an announcement to one instance now."""
        state = self.states[target]
        self.apply_actions(target, ownership.on_announcement(state, self.now_ms, announcement))

    def keep_announcing(self, endpoint: str, targets: list[str], **fields: Any) -> dict[str, Any]:
        """Announce to the targets in rotation; changes of the returned settings take effect."""
        control: dict[str, Any] = {'sequence': 0, 'stopped': False, 'fields': fields}

        def announce() -> None:
            if control['stopped']:
                return
            control['sequence'] += 1
            target = targets[control['sequence'] % len(targets)]
            if target in self.states:
                sequence = control['sequence']
                self.announce(target, make_announcement(endpoint, sequence, **control['fields']))
            self.schedule(self.now_ms + ownership.RENEWAL_INTERVAL_MS, announce)

        self.schedule(self.now_ms, announce)
        return control

    def usable(self, instance: str) -> set[str]:
        views = membership.usable_endpoints(self.states[instance], self.now_ms)
        return {view.endpoint for view in views}

    def owned(self, instance: str) -> set[str]:
        records = ownership.owned_endpoints(self.states[instance], self.now_ms)
        return {record.announcement.endpoint for record in records}

    def apply_actions(self, instance: str, actions: list[Any]) -> None:
        for action in actions:
            self.actions.append((instance, action))
            if isinstance(action, ReplyAnnouncement):
                self.replies.append(action.reply)
            elif isinstance(action, PullAgain):
                self._pull(instance, action.instance)
            elif isinstance(action, SendRelay):
                self._relay(instance, action)

    def _relay(self, instance: str, send: SendRelay) -> None:
        def receive() -> None:
            state = self.states[send.instance]
            self.apply_actions(send.instance, ownership.on_relay(state, self.now_ms, send.relay))

        self._send(instance, send.instance, receive)

    def _pull_all(self, name: str) -> None:
        if name not in self.states:
            return
        for peer in self.states:
            if peer != name:
                self._pull(name, peer)
        self.schedule(self.now_ms + membership.PULL_INTERVAL_MS, lambda: self._pull_all(name))

    def _pull(self, name: str, peer: str) -> None:
        pull = membership.make_pull(self.states[name], self.now_ms, peer)

        def handle_pull() -> None:
            reply = membership.on_pull(self.states[peer], self.now_ms, name, pull)
            self.traffic['replies'] += 1
            self.traffic['endpoint records'] += len(reply.endpoints)
            self._send(peer, name, lambda: receive(reply))

        def receive(reply: Any) -> None:
            state = self.states[name]
            self.apply_actions(name, membership.on_pull_reply(state, self.now_ms, peer, reply))

        self._send(name, peer, handle_pull)

    def _send(self, source: str, target: str, callback: Callable[[], None]) -> None:
        for _ in range(2 if self.duplicate else 1):
            delay_ms = self.delay_ms(source, target)
            if delay_ms is not None:
                self.schedule(
                    self.now_ms + delay_ms,
                    lambda: callback() if target in self.states else None,
                )
