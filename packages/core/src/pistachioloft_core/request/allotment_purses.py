"""Admit the requests of organisations with permits, and ask their grantors for more."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from ..errors import ResultCode
from ..messages.allotments import GRANTED, AllotmentRequest
from ..process.allotments import AllotmentBounds, InstanceRanks, standing_of
from .attempts import Refuse

if TYPE_CHECKING:
    from ..messages.allotments import AllotmentGrant
    from ..messages.routes import Organisation
    from ..process.allotments import Standing

# A grantor that has not replied for this long is silent, and requests do not wait for it.
REPLY_LIMIT_MS = 250.0
# A silent grantor, and one that is not ready, is asked again after this time at the latest.
ASK_AGAIN_MS = 250.0
# A denial is remembered for the time until there is room, within these limits: a shorter one would
# cost a message for nearly every request, a longer one would miss what others do not use.
DENIAL_MIN_MS, DENIAL_MAX_MS = 50.0, 1_000.0
FORGET_AFTER_MS = 60_000.0


class Admission(Enum):
    """State what happens to a request that is not refused at once."""

    ADMITTED = 'admitted'
    WAITING = 'waiting'


@dataclass(frozen=True, slots=True)
class SentRequest:
    """Hold a request for permits that has no reply yet, and the tickets that wait for it."""

    number: int
    grantor: str
    sent_ms: float
    tickets: tuple[int, ...]
    holder_since_ms: float | None


@dataclass(frozen=True, slots=True)
class Outcome:
    """Decide on a ticket that waited; without a refusal it is admitted."""

    ticket: int
    refusal: Refuse | None


class Purse:
    """Hold the permits of one organisation at this instance."""

    __slots__ = (
        'denied_until_ms',
        'has_spare',
        'holder_since_ms',
        'organisation',
        'overdue_grantor',
        'queue',
        'retry_at_ms',
        'room_ms',
        'sent',
        'spent_ms',
        'unready_until_ms',
        'used_ms',
    )

    def __init__(self, organisation: Organisation) -> None:
        self.organisation = organisation
        self.has_spare = False
        # The spare permit was kept as one of the holders since this time.
        self.holder_since_ms: float | None = None
        self.spent_ms = 0.0
        # The tickets that wait for the next request to the grantor, and the one without a reply.
        self.queue: list[int] = []
        self.sent: SentRequest | None = None
        self.denied_until_ms = 0.0
        # The time until there was room at the last denial, which grows with the instances that
        # were denied, and when the next caller that is refused should come back.
        self.room_ms = 0.0
        self.retry_at_ms = 0.0
        self.unready_until_ms = 0.0
        self.overdue_grantor = ''
        self.used_ms = 0.0


class PurseTable:
    """Hold the purses of all organisations that have sent requests to this instance."""

    __slots__ = ('bounds', 'number', 'purses', 'ranks', 'waiting')

    def __init__(self, ranks: InstanceRanks, bounds: AllotmentBounds, first_number: int) -> None:
        self.ranks = ranks
        self.bounds = bounds
        # Numbers differ from those of an earlier process, whose grants may still arrive.
        self.number = first_number
        self.purses: dict[str, Purse] = {}
        # The organisations whose purses wait for a reply.
        self.waiting: set[str] = set()


def admit(
    table: PurseTable,
    now_ms: float,
    organisation: Organisation,
    confirmed_age_ms: float,
    ticket: int,
) -> Admission | Refuse:
    """Admit a request with a spare permit, refuse it, or let it wait for a permit."""
    purse = _purse_of(table, organisation)
    purse.used_ms = now_ms
    standing = standing_of(table.ranks, table.bounds, organisation)
    _update_spare(table, now_ms, purse, standing)
    if purse.has_spare and confirmed_age_ms < table.bounds.spare_confirmed_ms:
        _spend(purse, now_ms)
        return Admission.ADMITTED
    if now_ms < purse.denied_until_ms:
        return _refuse_denied(table, now_ms, purse)
    if now_ms < purse.unready_until_ms or not standing.grantor:
        return _refuse_unready(now_ms, purse)
    purse.queue.append(ticket)
    table.waiting.add(organisation.name)
    return Admission.WAITING


def next_request(
    table: PurseTable, now_ms: float, organisation: str, confirmed_age_ms: float
) -> tuple[str, AllotmentRequest] | None:
    """Return the grantor to ask now and the request, None if none is needed or possible."""
    purse = table.purses[organisation]
    if purse.sent is not None or now_ms < max(purse.denied_until_ms, purse.unready_until_ms):
        return None
    standing = standing_of(table.ranks, table.bounds, purse.organisation)
    _update_spare(table, now_ms, purse, standing)
    with_spare = not purse.has_spare and _may_keep_spare(table, now_ms, purse, confirmed_age_ms)
    if not standing.grantor or not (purse.queue or with_spare):
        return None
    table.number += 1
    tickets, purse.queue = tuple(purse.queue), []
    purse.sent = SentRequest(table.number, standing.grantor, now_ms, tickets, purse.holder_since_ms)
    table.waiting.add(organisation)
    reply_overdue = purse.overdue_grantor == standing.grantor
    purse.overdue_grantor = ''
    return standing.grantor, AllotmentRequest(
        organisation, table.number, len(tickets), with_spare, reply_overdue
    )


def preview_admission(
    table: PurseTable, now_ms: float, organisation: Organisation, confirmed_age_ms: float
) -> Admission | Refuse:
    """Return what `admit` would do with a request now, without changing or spending anything."""
    ranks = InstanceRanks(table.ranks.instance)
    ranks.names, ranks.changed_ms = table.ranks.names, table.ranks.changed_ms
    standing = table.ranks.standings.get(organisation.name)
    if standing is not None:
        ranks.standings[organisation.name] = deepcopy(standing)
    preview = PurseTable(ranks, table.bounds, table.number)
    purse = table.purses.get(organisation.name)
    if purse is not None:
        preview.purses[organisation.name] = deepcopy(purse)
    return admit(preview, now_ms, organisation, confirmed_age_ms, 0)


def on_grant(
    table: PurseTable, now_ms: float, grant: AllotmentGrant, confirmed_age_ms: float
) -> list[Outcome]:
    """Use the granted permits for the requests that waited for them, and keep one at most."""
    purse = table.purses.get(grant.organisation)
    if purse is None or purse.sent is None or purse.sent.number != grant.number:
        # Permits that come too late are lost: what they admitted would not count in their window.
        return []
    if now_ms - purse.sent.sent_ms >= REPLY_LIMIT_MS:
        # This instance was paused; the permits are of an earlier window.
        return check_waiting(table, now_ms)
    sent, purse.sent = purse.sent, None
    admitted, others = sent.tickets[: grant.count], sent.tickets[grant.count :]
    outcomes = [Outcome(ticket, None) for ticket in admitted]
    standing = standing_of(table.ranks, table.bounds, purse.organisation)
    _update_spare(table, now_ms, purse, standing)
    if (
        grant.count > len(sent.tickets)
        and sent.holder_since_ms == purse.holder_since_ms
        and _may_keep_spare(table, now_ms, purse, confirmed_age_ms)
    ):
        purse.has_spare = True
        if purse.queue:
            outcomes.append(Outcome(purse.queue.pop(0), None))
            _spend(purse, now_ms)
    if grant.outcome != GRANTED:
        purse.unready_until_ms = now_ms + min(ASK_AGAIN_MS, grant.room_ms)
        purse.retry_at_ms = now_ms + grant.room_ms
    elif grant.room_ms > 0:
        purse.denied_until_ms = now_ms + min(DENIAL_MAX_MS, max(DENIAL_MIN_MS, grant.room_ms))
        purse.room_ms = grant.room_ms
        purse.retry_at_ms = now_ms + grant.room_ms
    outcomes += _refuse_waiting(table, now_ms, purse, others)
    if purse.sent is None and not purse.queue:
        table.waiting.discard(grant.organisation)
    return outcomes


def check_waiting(table: PurseTable, now_ms: float) -> list[Outcome]:
    """Give up requests to grantors that are silent, with what waits for them, or replaced."""
    outcomes: list[Outcome] = []
    for name in list(table.waiting):
        purse = table.purses[name]
        sent = purse.sent
        if sent is not None:
            standing = standing_of(table.ranks, table.bounds, purse.organisation)
            if now_ms - sent.sent_ms >= REPLY_LIMIT_MS:
                purse.sent, purse.overdue_grantor = None, sent.grantor
                purse.unready_until_ms = purse.retry_at_ms = now_ms + ASK_AGAIN_MS
                outcomes += _refuse_waiting(table, now_ms, purse, sent.tickets)
            elif sent.grantor != standing.grantor:
                purse.sent = None
                purse.queue[:0] = sent.tickets
        if purse.sent is None and not purse.queue:
            table.waiting.discard(name)
    return outcomes


def withdraw(table: PurseTable, organisation: str, ticket: int) -> None:
    """Forget a request that no longer waits; a permit that comes for it may be kept."""
    purse = table.purses[organisation]
    if ticket in purse.queue:
        purse.queue.remove(ticket)
    elif purse.sent is not None and ticket in purse.sent.tickets:
        tickets = tuple(each for each in purse.sent.tickets if each != ticket)
        purse.sent = replace(purse.sent, tickets=tickets)


def refuse_late(table: PurseTable, now_ms: float, organisation: str) -> Refuse:
    """Return the refusal of a request that has waited too long for its permit."""
    return _refuse_unready(now_ms, table.purses[organisation])


def forget_purses(table: PurseTable, now_ms: float) -> None:
    """Forget the purses that have not been used for a while."""
    after_ms = max(FORGET_AFTER_MS, 2.0 * table.bounds.window_ms)
    table.purses = {
        name: purse
        for name, purse in table.purses.items()
        if name in table.waiting or now_ms - purse.used_ms < after_ms
    }


def _purse_of(table: PurseTable, organisation: Organisation) -> Purse:
    purse = table.purses.get(organisation.name)
    if purse is None:
        purse = table.purses[organisation.name] = Purse(organisation)
    purse.organisation = organisation
    return purse


def _update_spare(table: PurseTable, now_ms: float, purse: Purse, standing: Standing) -> None:
    """Drop the spare permit of a former holder; let one come back a window after its use."""
    if purse.holder_since_ms != standing.holder_since_ms:
        purse.holder_since_ms = standing.holder_since_ms
        purse.has_spare = False
    if standing.holder_since_ms is None:
        return
    held_from_ms = standing.holder_since_ms + table.bounds.settling_ms
    used_ms = max(purse.spent_ms, held_from_ms)
    if purse.sent is None and now_ms - used_ms >= table.bounds.window_ms:
        purse.has_spare = True


def _may_keep_spare(
    table: PurseTable, now_ms: float, purse: Purse, confirmed_age_ms: float
) -> bool:
    since_ms = purse.holder_since_ms
    return (
        since_ms is not None
        and now_ms >= since_ms + table.bounds.settling_ms
        and confirmed_age_ms < table.bounds.spare_confirmed_ms
    )


def _spend(purse: Purse, now_ms: float) -> None:
    purse.has_spare = False
    purse.spent_ms = now_ms


def _refuse_waiting(
    table: PurseTable, now_ms: float, purse: Purse, tickets: tuple[int, ...]
) -> list[Outcome]:
    """Refuse tickets without a permit, and those behind them that would wait in vain."""
    is_denied = now_ms < purse.denied_until_ms
    if is_denied or now_ms < purse.unready_until_ms:
        tickets = (*tickets, *purse.queue)
        purse.queue = []
    return [
        Outcome(
            ticket,
            _refuse_denied(table, now_ms, purse) if is_denied else _refuse_unready(now_ms, purse),
        )
        for ticket in tickets
    ]


def _refuse_denied(table: PurseTable, now_ms: float, purse: Purse) -> Refuse:
    """Refuse a request beyond the allotment; callers come back one after the other."""
    organisation = purse.organisation
    retry_after_ms = min(table.bounds.window_ms, max(1.0, purse.retry_at_ms - now_ms))
    if organisation.rate_per_s > 0:
        interval_ms = max(purse.room_ms, 1_000.0 / organisation.rate_per_s)
        purse.retry_at_ms = now_ms + retry_after_ms + interval_ms
    detail = f'{organisation.name} has used up its allotment'
    return Refuse(ResultCode.ALLOTMENT_USED, detail, retry_after_ms)


def _refuse_unready(now_ms: float, purse: Purse) -> Refuse:
    retry_after_ms = max(ASK_AGAIN_MS, purse.retry_at_ms - now_ms)
    detail = f'no permit came for a request of {purse.organisation.name}'
    return Refuse(ResultCode.FENCED, detail, retry_after_ms)
