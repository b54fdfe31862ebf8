"""Play instances that share allotments, with messages that are late, lost or repeated."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.messages.allotments import AllotmentGrant, AllotmentRequest
from pistachioloft_core.process.allotment_grants import GrantTable, forget_buckets, grant_permits
from pistachioloft_core.process.allotments import (
    AllotmentBounds,
    InstanceRanks,
    on_confirmed,
    set_instances,
)
from pistachioloft_core.request.allotment_purses import (
    Admission,
    Outcome,
    PurseTable,
    admit,
    check_waiting,
    forget_purses,
    next_request,
    on_grant,
    withdraw,
)

if TYPE_CHECKING:
    from pistachioloft_core.messages.routes import Organisation
    from pistachioloft_core.request.attempts import Refuse

STEP_MS = 100.0
# Instances in touch hear of another view within this time.
VIEW_DELAY_MAX_MS = 400


@dataclass(frozen=True)
class Admitted:
    """Hold when a request was sent and when it was admitted."""

    sent_ms: float
    admitted_ms: float


class Instance:
    """Hold one instance; its clock differs from the fleet's by a constant."""

    def __init__(self, name: str, bounds: AllotmentBounds, offset_ms: float, delay_ms: int) -> None:
        self.name = name
        self.offset_ms = offset_ms
        self.view_delay_ms = delay_ms
        self.ranks = InstanceRanks(name)
        self.purses = PurseTable(self.ranks, bounds, int(offset_ms) + 1)
        self.grants = GrantTable(self.ranks, bounds)
        self.confirmed_ms = float('-inf')
        self.organisation: Organisation | None = None
        self.is_cut_off = self.is_frozen = False


class AllotmentFleet:
    """Hold the instances, the messages on their way, and what was admitted and refused."""

    def __init__(
        self,
        instance_count: int,
        organisation: Organisation,
        bounds: AllotmentBounds,
        seed: int = 1,
    ) -> None:
        self.bounds = bounds
        self.organisation = organisation
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.names = [f'instance-{number}' for number in range(instance_count)]
        self.instances = {name: self._instance(name) for name in self.names}
        # The views with the times from which they hold.
        self.views: list[tuple[float, tuple[str, ...]]] = [(float('-inf'), tuple(self.names))]
        self.messages: list[tuple[float, str, str, object]] = []
        self.message_delay_ms = 2.0
        self.sent_ms_by_ticket: dict[int, float] = {}
        self.admitted: list[Admitted] = []
        self.refusals: list[Refuse] = []
        self.message_count = 0

    def restart(self, name: str) -> None:
        """Replace an instance by one without any state."""
        before = self.instances[name]
        after = self._instance(name)
        after.is_cut_off = before.is_cut_off
        after.purses.number += int(self.now_ms) * 1_000
        self.instances[name] = after

    def set_view(self, names: tuple[str, ...]) -> None:
        """Advertise other instances."""
        self.views.append((self.now_ms, names))

    def send_request(self, name: str) -> None:
        """Let a caller send a request to an instance."""
        instance = self.instances[name]
        if instance.is_frozen or instance.organisation is None:
            return
        ticket = len(self.sent_ms_by_ticket)
        self.sent_ms_by_ticket[ticket] = self.now_ms
        now_ms, age_ms = self._clock_of(instance)
        decision = admit(instance.purses, now_ms, instance.organisation, age_ms, ticket)
        if decision is Admission.ADMITTED:
            self.admitted.append(Admitted(self.now_ms, self.now_ms))
        elif decision is not Admission.WAITING:
            self.refusals.append(decision)
        self._ask(instance)

    def leave(self, name: str) -> None:
        """Let the callers leave whose requests wait at an instance."""
        purses = self.instances[name].purses
        for organisation, purse in purses.purses.items():
            sent_tickets = purse.sent.tickets if purse.sent is not None else ()
            for ticket in (*purse.queue, *sent_tickets):
                withdraw(purses, organisation, ticket)

    def advance(self, time_ms: float) -> None:
        """Let time pass."""
        end_ms = self.now_ms + time_ms
        while self.now_ms < end_ms:
            self._deliver(min(end_ms, self.now_ms + STEP_MS))
            for instance in self.instances.values():
                self._poll(instance)

    def _instance(self, name: str) -> Instance:
        offset_ms = self.random.uniform(1e5, 1e9)
        return Instance(name, self.bounds, offset_ms, self.random.randrange(VIEW_DELAY_MAX_MS))

    def _clock_of(self, instance: Instance) -> tuple[float, float]:
        return self.now_ms + instance.offset_ms, self.now_ms - instance.confirmed_ms

    def _poll(self, instance: Instance) -> None:
        if instance.is_frozen:
            return
        if not instance.is_cut_off:
            now_ms, before_age_ms = self._clock_of(instance)
            on_confirmed(instance.ranks, now_ms, before_age_ms)
            instance.confirmed_ms = self.now_ms
            instance.organisation = self.organisation
            seen_ms = self.now_ms - instance.view_delay_ms
            view = next(names for since_ms, names in reversed(self.views) if since_ms <= seen_ms)
            set_instances(instance.ranks, self._clock_of(instance)[0], view)
        now_ms = self._clock_of(instance)[0]
        self._apply(check_waiting(instance.purses, now_ms))
        forget_purses(instance.purses, now_ms)
        forget_buckets(instance.grants, now_ms)
        self._ask(instance)

    def _ask(self, instance: Instance) -> None:
        now_ms, age_ms = self._clock_of(instance)
        for name in list(instance.purses.purses):
            due = next_request(instance.purses, now_ms, name, age_ms)
            if due is not None:
                self._send(instance.name, *due)

    def _send(self, sender: str, receiver: str, message: object) -> None:
        delay_ms = 0.0 if sender == receiver else self.message_delay_ms * self.random.random()
        self.message_count += sender != receiver
        self.messages.append((self.now_ms + delay_ms, sender, receiver, message))

    def _deliver(self, until_ms: float) -> None:
        """Deliver in the order of arrival; what frozen instances get waits there."""
        while True:
            arrived = [
                message
                for message in self.messages
                if message[0] <= until_ms and not self.instances[message[2]].is_frozen
            ]
            if not arrived:
                break
            message = min(arrived, key=lambda each: each[0])
            self.messages.remove(message)
            self.now_ms = max(self.now_ms, message[0])
            self._receive(self.instances[message[2]], message[1], message[3])
        self.now_ms = until_ms

    def _receive(self, instance: Instance, sender: str, message: object) -> None:
        now_ms, age_ms = self._clock_of(instance)
        if isinstance(message, AllotmentRequest):
            grant = grant_permits(instance.grants, now_ms, instance.organisation, age_ms, message)
            self._send(instance.name, sender, grant)
            return
        assert isinstance(message, AllotmentGrant)
        self._apply(on_grant(instance.purses, now_ms, message, age_ms))
        self._ask(instance)

    def _apply(self, outcomes: list[Outcome]) -> None:
        for outcome in outcomes:
            if outcome.refusal is not None:
                self.refusals.append(outcome.refusal)
            else:
                sent_ms = self.sent_ms_by_ticket[outcome.ticket]
                self.admitted.append(Admitted(sent_ms, self.now_ms))


def allowed_count(organisation: Organisation, bounds: AllotmentBounds) -> float:
    """Return how many requests may run in any window."""
    allotted = organisation.rate_per_s * bounds.window_ms / 1_000.0 + organisation.burst_count
    return allotted * (1.0 + bounds.overage) + bounds.slack_count


def greatest_count(admitted: list[Admitted], window_ms: float, from_ms: float = 0.0) -> int:
    """Return the greatest number of requests that were sent and admitted within one window."""
    ordered = sorted(
        (each for each in admitted if each.sent_ms >= from_ms), key=lambda each: each.sent_ms
    )
    greatest = 0
    for position, first in enumerate(ordered):
        end_ms, count = first.sent_ms + window_ms, 0
        for each in ordered[position:]:
            if each.sent_ms >= end_ms:
                break
            count += each.admitted_ms < end_ms
        greatest = max(greatest, count)
    return greatest
