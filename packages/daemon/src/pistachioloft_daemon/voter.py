"""Run a voter: feed events to consensus and carry out its actions in order."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pistachioloft_core.errors import CodedError
from pistachioloft_core.messages.accepted import (
    AcceptedConfiguration,
    AcceptedRoutes,
    CommandOutcome,
)
from pistachioloft_core.messages.agreement import (
    ENTRY_COMMAND,
    LogEntry,
    SnapshotChunk,
    SnapshotMeta,
)
from pistachioloft_core.process import agreement
from pistachioloft_core.version import accepted

from .loop_timers import monotonic_ms, wall_clock_ms
from .snapshot_transfer import SnapshotReceiver, snapshot_chunks
from .storage import StorageError

if TYPE_CHECKING:
    from pistachioloft_core.messages.accepted import AcceptedCommand

    from .voter_storage import VoterStorage

logger = logging.getLogger(__name__)

PREFIX = '[agreement]'
TICK_MS = 20.0
SNAPSHOT_INTERVAL_ENTRIES = 1000
EVENT_LIMIT = 4096
PROPOSAL_TIMEOUT_MS = 5000.0

OutcomeCallback = Callable[[CommandOutcome | None], None]
# Gets the log index that the read must reach, or none if this member does not lead.
ReadCallback = Callable[[int | None], None]


@dataclass(frozen=True, slots=True)
class PendingProposal:
    """Hold a proposal until its entry is applied."""

    proposal_id: str
    callback: OutcomeCallback
    expires_ms: float


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Install a whole snapshot of the leader."""

    meta: SnapshotMeta
    data: bytes


class VoterFailedError(Exception):
    """Report that the data folder no longer takes writes."""


@dataclass(frozen=True, slots=True)
class VoterHooks:
    """Name the callbacks that a voter calls on the loop's thread."""

    send: Callable[[str, Any], bool]
    configuration_applied: Callable[[AcceptedConfiguration], None]
    role_changed: Callable[[bool], None]
    failed: Callable[[str], None]
    routes_applied: Callable[[AcceptedRoutes], None] = lambda _routes: None


@dataclass(frozen=True, slots=True)
class PendingRead:
    """Hold a read until a quorum confirms that this member led after it came."""

    asked_ms: float
    callback: ReadCallback


class Voter:
    """Hold consensus, the replicated state and the proposals that wait."""

    def __init__(self, storage: VoterStorage, hooks: VoterHooks) -> None:
        stored = storage.stored
        now_ms = monotonic_ms()
        self.storage = storage
        self.hooks = hooks
        self.member_id = stored.member_id
        self.state = agreement.create_state(
            stored.member_id,
            stored.hard_state,
            stored.snapshot,
            stored.entries,
            random.Random(f'{stored.member_id}-{now_ms}'),
            now_ms,
        )
        self.accepted = accepted.decode_snapshot(stored.snapshot_data)
        self.snapshot_data = stored.snapshot_data
        self.snapshot_index = stored.snapshot.index if stored.snapshot else 0
        self.applied_index = self.snapshot_index
        self.applied_term = stored.snapshot.term if stored.snapshot else 0
        self.events: deque[agreement.Event | InstallSnapshot] = deque()
        self.wake = asyncio.Event()
        self.pending: dict[str, PendingProposal] = {}
        self.by_position: dict[tuple[int, int], str] = {}
        self.receiver = SnapshotReceiver()
        self.sending: dict[str, tuple[int, float]] = {}
        self.reads: list[PendingRead] = []
        self.failed = False
        # One thread: a write that outlives a cancelled task still ends before the close.
        self.writer = ThreadPoolExecutor(1, 'storage')
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to work on events."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop working; what was promised is on the disk."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await asyncio.get_running_loop().run_in_executor(self.writer, self.storage.close)
        self.writer.shutdown()

    def tick(self, now_ms: float) -> None:
        """Pass on that time has passed and forget proposals nobody waits for."""
        self._feed(agreement.Tick())
        for pending in [each for each in self.pending.values() if each.expires_ms <= now_ms]:
            del self.pending[pending.proposal_id]
            pending.callback(None)
        self._answer_reads(now_ms)

    def receive(self, message: Any) -> None:
        """Take a message of another member."""
        if isinstance(message, SnapshotChunk):
            self._receive_chunk(message)
        else:
            self._feed(agreement.Received(_sender_of(message), message))

    def propose(
        self, proposal_id: str, command: AcceptedCommand, callback: OutcomeCallback
    ) -> None:
        """Propose a command; the callback gets its outcome, or nothing if none is known."""
        if self.failed or proposal_id in self.pending or len(self.events) >= EVENT_LIMIT:
            callback(None)
            return
        expires_ms = monotonic_ms() + PROPOSAL_TIMEOUT_MS
        self.pending[proposal_id] = PendingProposal(proposal_id, callback, expires_ms)
        try:
            payload = accepted.encode_command(command)
        except CodedError as error:
            self._resolve(proposal_id, CommandOutcome(error.code, error.detail))
            return
        self._feed(agreement.Propose(proposal_id, payload, wall_clock_ms()))

    def read(self, callback: ReadCallback) -> None:
        """Confirm with a quorum which index a read that came now must reach."""
        if not self.is_leader():
            callback(None)
        else:
            self.reads.append(PendingRead(monotonic_ms(), callback))

    def change_membership(self, change: agreement.MembershipChange) -> None:
        """Propose a membership change."""
        logger.info('%s membership change proposed: %s %s', PREFIX, change.kind, change.member)
        proposal_id = f'membership-{change.kind}-{change.member}'
        self._feed(agreement.ChangeMembership(proposal_id, change, wall_clock_ms()))

    def transfer_leadership(self) -> None:
        """Hand leadership to the most up-to-date voter before a planned stop."""
        self._feed(agreement.TransferLeadership())

    def is_leader(self) -> bool:
        """Say whether this member may confirm the accepted configuration now."""
        started = self.applied_index >= self.state.term_start_index > 0
        return not self.failed and started and agreement.has_lease(self.state, monotonic_ms())

    def leader_instance(self) -> str | None:
        """Name the instance that this member takes for the leader."""
        leader = agreement.leader_of(self.state)
        return None if leader is None else agreement.instance_of(leader)

    def _answer_reads(self, now_ms: float) -> None:
        if not self.reads:
            return
        is_leader = self.is_leader()
        confirmed_ms = agreement.quorum_confirmed_ms(self.state, now_ms) if is_leader else 0.0
        waiting, self.reads = self.reads, []
        for read in waiting:
            if not is_leader:
                read.callback(None)
            elif confirmed_ms > read.asked_ms:
                read.callback(agreement.commit_index(self.state))
            else:
                self.reads.append(read)

    def _feed(self, event: agreement.Event | InstallSnapshot) -> None:
        if len(self.events) < EVENT_LIMIT:
            self.events.append(event)
            self.wake.set()

    async def _run(self) -> None:
        while not self.failed:
            await self.wake.wait()
            self.wake.clear()
            try:
                while self.events:
                    await self._work(self._next_event())
                self._answer_reads(monotonic_ms())
            except (VoterFailedError, agreement.AgreementError) as error:
                self._fail(str(error))
            except Exception as error:
                logger.exception('%s unexpected error', PREFIX)
                self._fail(f'unexpected error: {error}')

    async def _work(self, event: agreement.Event | InstallSnapshot) -> None:
        if isinstance(event, InstallSnapshot):
            await self._install(event.meta, event.data)
            return
        for action in agreement.step(self.state, monotonic_ms(), event):
            await self._carry_out(action)

    def _next_event(self) -> agreement.Event | InstallSnapshot:
        event = self.events.popleft()
        if not isinstance(event, agreement.Propose):
            return event
        # Proposals that arrived during a sync are persisted together by the next one.
        batch = [event]
        while self.events and isinstance(self.events[0], agreement.Propose):
            batch.append(self.events.popleft())  # type: ignore[arg-type]
        return agreement.ProposeBatch(tuple(batch))

    async def _carry_out(self, action: agreement.Action) -> None:
        match action:
            case agreement.Persist():
                await self._persist(action)
            case agreement.Send():
                self.hooks.send(agreement.instance_of(action.to), action.message)
            case agreement.Apply():
                for entry in action.entries:
                    self._apply(entry)
                await self._compact_if_due()
            case agreement.Proposed():
                self.by_position[(action.term, action.index)] = action.proposal_id
            case agreement.Rejected():
                self._resolve(action.proposal_id, None)
            case agreement.SendSnapshot():
                self._send_snapshot(action.to)
            case agreement.RoleChanged():
                self._role_changed(action)

    async def _persist(self, action: agreement.Persist) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(
                self.writer,
                self.storage.append,
                action.hard_state,
                action.truncate_from,
                action.entries,
            )
        except StorageError as error:
            raise VoterFailedError(f'the data folder cannot be written: {error}') from error

    def _fail(self, reason: str) -> None:
        """Step back: nothing that needs the disk is promised any more."""
        self.failed = True
        logger.error('%s voter steps back: %s', PREFIX, reason)
        for proposal_id in list(self.pending):
            self._resolve(proposal_id, None)
        self._answer_reads(monotonic_ms())
        self.hooks.failed(reason)

    def _apply(self, entry: LogEntry) -> None:
        outcome: CommandOutcome | None = None
        if entry.kind == ENTRY_COMMAND:
            try:
                command = accepted.decode_command(entry.payload)
            except CodedError as error:
                logger.error('%s entry %d is unreadable: %s', PREFIX, entry.index, error.detail)
            else:
                outcome = accepted.apply_command(
                    self.accepted, entry.term, entry.index, entry.time_ms, command
                )
        self.applied_index = entry.index
        self.applied_term = entry.term
        proposal_id = self.by_position.pop((entry.term, entry.index), None)
        if proposal_id is not None:
            self._resolve(proposal_id, outcome)
        in_force = accepted.accepted_configuration(self.accepted)
        if in_force.index == entry.index:
            self.hooks.configuration_applied(in_force)
        routes = accepted.accepted_routes(self.accepted)
        if routes.index == entry.index:
            self.hooks.routes_applied(routes)

    def _resolve(self, proposal_id: str, outcome: CommandOutcome | None) -> None:
        pending = self.pending.pop(proposal_id, None)
        if pending is not None:
            pending.callback(outcome)

    async def _compact_if_due(self) -> None:
        if self.applied_index - self.snapshot_index < SNAPSHOT_INTERVAL_ENTRIES:
            return
        meta = agreement.snapshot_meta(self.state, self.applied_index)
        data = accepted.encode_snapshot(self.accepted)
        await self._save_snapshot(meta, data)
        agreement.step(self.state, monotonic_ms(), agreement.Compacted(meta))

    async def _save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self.writer, self.storage.save_snapshot, meta, data)
        except StorageError as error:
            raise VoterFailedError(f'the snapshot cannot be written: {error}') from error
        self.snapshot_data = data
        self.snapshot_index = meta.index
        logger.info('%s snapshot saved at index %d, %d bytes', PREFIX, meta.index, len(data))

    def _send_snapshot(self, member: str) -> None:
        meta = self.state.snapshot
        now_ms = monotonic_ms()
        previous = self.sending.get(member)
        if meta is None or (previous is not None and now_ms - previous[1] < PROPOSAL_TIMEOUT_MS):
            return
        self.sending[member] = (meta.index, now_ms)
        logger.info('%s snapshot at index %d is sent to %s', PREFIX, meta.index, member)
        instance = agreement.instance_of(member)
        chunks = snapshot_chunks(self.state.term, self.member_id, meta, self.snapshot_data)
        for chunk in chunks:
            self.hooks.send(instance, chunk)

    def _receive_chunk(self, chunk: SnapshotChunk) -> None:
        data = self.receiver.add(chunk)
        if data is not None and chunk.meta.index > self.applied_index:
            self._feed(InstallSnapshot(chunk.meta, data))

    async def _install(self, meta: SnapshotMeta, data: bytes) -> None:
        try:
            state = accepted.decode_snapshot(data)
        except CodedError as error:
            logger.error('%s snapshot of the leader is unreadable: %s', PREFIX, error.detail)
            return
        if meta.index <= self.applied_index:
            return
        await self._save_snapshot(meta, data)
        self.accepted = state
        self.applied_index = meta.index
        self.applied_term = meta.term
        logger.info('%s snapshot installed at index %d', PREFIX, meta.index)
        self.hooks.configuration_applied(accepted.accepted_configuration(state))
        self.hooks.routes_applied(accepted.accepted_routes(state))
        for action in agreement.step(self.state, monotonic_ms(), agreement.SnapshotInstalled(meta)):
            await self._carry_out(action)

    def _role_changed(self, action: agreement.RoleChanged) -> None:
        logger.info(
            '%s role is %s in term %d, leader %s',
            PREFIX,
            action.role,
            action.term,
            action.leader or 'unknown',
        )
        is_leader = action.role == agreement.ROLE_LEADER
        if not is_leader:
            self.by_position.clear()
            for proposal_id in list(self.pending):
                self._resolve(proposal_id, None)
        self.hooks.role_changed(is_leader)


def _sender_of(message: Any) -> str:
    for name in ('candidate', 'voter', 'leader', 'member'):
        sender = getattr(message, name, None)
        if sender is not None:
            return str(sender)
    return ''
