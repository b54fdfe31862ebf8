"""Run a voter: pass events to the consensus module and execute its actions in order."""

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
    AcceptedEvacuations,
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
EVENT_LIMIT_COUNT = 4096
PROPOSAL_TIMEOUT_MS = 5000.0

OutcomeCallback = Callable[[CommandOutcome | None], None]
# Receives the log index that the read must reach, or None if this member is not the leader.
ReadCallback = Callable[[int | None], None]


@dataclass(frozen=True, slots=True)
class PendingProposal:
    """Hold a proposal until its entry is applied or the proposal expires."""

    proposal_id: str
    callback: OutcomeCallback
    expires_ms: float


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Request the installation of a snapshot that was received from the leader."""

    meta: SnapshotMeta
    data: bytes


class VoterFailedError(Exception):
    """Report that the data folder cannot be written any more."""


@dataclass(frozen=True, slots=True)
class VoterHooks:
    """Hold the callbacks that a voter calls on the thread of the event loop."""

    send: Callable[[str, Any], bool]
    configuration_applied: Callable[[AcceptedConfiguration], None]
    role_changed: Callable[[bool], None]
    failed: Callable[[str], None]
    routes_applied: Callable[[AcceptedRoutes], None] = lambda _routes: None
    evacuations_applied: Callable[[AcceptedEvacuations], None] = lambda _evacuations: None


@dataclass(frozen=True, slots=True)
class PendingRead:
    """Hold a read until a quorum confirms that this member led after the request."""

    requested_ms: float
    callback: ReadCallback


class Voter:
    """Hold the consensus state, the replicated state and the pending proposals and reads."""

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
        self.event_added = asyncio.Event()
        self.pending_proposals: dict[str, PendingProposal] = {}
        self.proposal_id_by_position: dict[tuple[int, int], str] = {}
        self.snapshot_receiver = SnapshotReceiver()
        self.snapshot_sends: dict[str, tuple[int, float]] = {}
        self.pending_reads: list[PendingRead] = []
        self.failed = False
        # One thread: a write that continues after its task was cancelled ends before the close.
        self.storage_executor = ThreadPoolExecutor(1, 'storage')
        self.event_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start processing events."""
        self.event_task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop processing events and close the storage; confirmed writes are already durable."""
        if self.event_task is not None:
            self.event_task.cancel()
            await asyncio.gather(self.event_task, return_exceptions=True)
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self.storage_executor, self.storage.close)
        finally:
            self.storage_executor.shutdown(wait=False)

    def tick(self, now_ms: float) -> None:
        """Send a tick to the consensus module and expire proposals."""
        self._enqueue(agreement.Tick())
        for expired in [
            proposal
            for proposal in self.pending_proposals.values()
            if proposal.expires_ms <= now_ms
        ]:
            del self.pending_proposals[expired.proposal_id]
            expired.callback(None)
        self._complete_reads(now_ms)

    def receive(self, message: Any) -> None:
        """Handle a message from another member."""
        if isinstance(message, SnapshotChunk):
            self._receive_chunk(message)
        else:
            self._enqueue(agreement.Received(_sender_of(message), message))

    def propose(
        self, proposal_id: str, command: AcceptedCommand, callback: OutcomeCallback
    ) -> None:
        """Propose a command; the callback receives its outcome, or None if it is not known."""
        if (
            self.failed
            or proposal_id in self.pending_proposals
            or len(self.events) >= EVENT_LIMIT_COUNT
        ):
            callback(None)
            return
        expires_ms = monotonic_ms() + PROPOSAL_TIMEOUT_MS
        self.pending_proposals[proposal_id] = PendingProposal(proposal_id, callback, expires_ms)
        try:
            payload = accepted.encode_command(command)
        except CodedError as error:
            self._complete_proposal(proposal_id, CommandOutcome(error.code, error.detail))
            return
        self._enqueue(agreement.Propose(proposal_id, payload, wall_clock_ms()))

    def read(self, callback: ReadCallback) -> None:
        """Confirm leadership with a quorum; the callback receives the index to read at."""
        if not self.is_leader():
            callback(None)
        else:
            self.pending_reads.append(PendingRead(monotonic_ms(), callback))

    def change_membership(self, change: agreement.MembershipChange) -> None:
        """Propose a membership change."""
        logger.info('%s membership change proposed: %s %s', PREFIX, change.kind, change.member)
        proposal_id = f'membership-{change.kind}-{change.member}'
        self._enqueue(agreement.ChangeMembership(proposal_id, change, wall_clock_ms()))

    def transfer_leadership(self) -> None:
        """Transfer leadership to the most up-to-date voter before a planned stop."""
        self._enqueue(agreement.TransferLeadership())

    def is_leader(self) -> bool:
        """Return whether this member leads, holds a lease and has applied the start of its term."""
        term_applied = self.applied_index >= self.state.term_start_index > 0
        return not self.failed and term_applied and agreement.has_lease(self.state, monotonic_ms())

    def leader_instance(self) -> str | None:
        """Return the instance of the leader that this member knows, None if it knows none."""
        leader = agreement.leader_of(self.state)
        return None if leader is None else agreement.instance_of(leader)

    def _complete_reads(self, now_ms: float) -> None:
        if not self.pending_reads:
            return
        is_leader = self.is_leader()
        confirmed_ms = agreement.quorum_confirmed_ms(self.state, now_ms) if is_leader else 0.0
        reads, self.pending_reads = self.pending_reads, []
        for read in reads:
            if not is_leader:
                read.callback(None)
            elif confirmed_ms > read.requested_ms:
                read.callback(agreement.commit_index(self.state))
            else:
                self.pending_reads.append(read)

    def _enqueue(self, event: agreement.Event | InstallSnapshot) -> None:
        if len(self.events) < EVENT_LIMIT_COUNT:
            self.events.append(event)
            self.event_added.set()

    async def _run(self) -> None:
        while not self.failed:
            await self.event_added.wait()
            self.event_added.clear()
            try:
                while self.events:
                    await self._process_event(self._next_event())
                self._complete_reads(monotonic_ms())
            except (VoterFailedError, agreement.AgreementError) as error:
                self._stop_after_failure(str(error))
            except Exception as error:
                logger.exception('%s unexpected error', PREFIX)
                self._stop_after_failure(f'unexpected error: {error}')

    async def _process_event(self, event: agreement.Event | InstallSnapshot) -> None:
        if isinstance(event, InstallSnapshot):
            await self._install_snapshot(event.meta, event.data)
            return
        for action in agreement.step(self.state, monotonic_ms(), event):
            await self._execute_action(action)

    def _next_event(self) -> agreement.Event | InstallSnapshot:
        event = self.events.popleft()
        if not isinstance(event, agreement.Propose):
            return event
        # Proposals that arrived during a sync are persisted together by the next sync.
        batch = [event]
        while self.events and isinstance(self.events[0], agreement.Propose):
            batch.append(self.events.popleft())  # type: ignore[arg-type]
        return agreement.ProposeBatch(tuple(batch))

    async def _execute_action(self, action: agreement.Action) -> None:
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
                self.proposal_id_by_position[(action.term, action.index)] = action.proposal_id
            case agreement.Rejected():
                self._complete_proposal(action.proposal_id, None)
            case agreement.SendSnapshot():
                self._send_snapshot(action.to)
            case agreement.RoleChanged():
                self._role_changed(action)

    async def _persist(self, action: agreement.Persist) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(
                self.storage_executor,
                self.storage.append,
                action.hard_state,
                action.truncate_from,
                action.entries,
            )
        except StorageError as error:
            raise VoterFailedError(f'the data folder cannot be written: {error}') from error

    def _stop_after_failure(self, reason: str) -> None:
        """Stop voting, appending and confirming, since all of these need the disk."""
        self.failed = True
        logger.error('%s voter steps back: %s', PREFIX, reason)
        for proposal_id in list(self.pending_proposals):
            self._complete_proposal(proposal_id, None)
        self._complete_reads(monotonic_ms())
        self.hooks.failed(reason)

    def _apply(self, entry: LogEntry) -> None:
        outcome: CommandOutcome | None = None
        if entry.kind == ENTRY_COMMAND:
            try:
                command = accepted.decode_command(entry.payload)
            except CodedError as error:
                logger.error('%s entry %d cannot be decoded: %s', PREFIX, entry.index, error.detail)
            else:
                outcome = accepted.apply_command(
                    self.accepted, entry.term, entry.index, entry.time_ms, command
                )
        self.applied_index = entry.index
        self.applied_term = entry.term
        proposal_id = self.proposal_id_by_position.pop((entry.term, entry.index), None)
        if proposal_id is not None:
            self._complete_proposal(proposal_id, outcome)
        in_force = accepted.accepted_configuration(self.accepted)
        if in_force.index == entry.index:
            self.hooks.configuration_applied(in_force)
        routes = accepted.accepted_routes(self.accepted)
        if routes.index == entry.index:
            self.hooks.routes_applied(routes)
        evacuations = accepted.accepted_evacuations(self.accepted)
        if evacuations.index == entry.index:
            self.hooks.evacuations_applied(evacuations)

    def _complete_proposal(self, proposal_id: str, outcome: CommandOutcome | None) -> None:
        proposal = self.pending_proposals.pop(proposal_id, None)
        if proposal is not None:
            proposal.callback(outcome)

    async def _compact_if_due(self) -> None:
        entry_count = self.applied_index - self.snapshot_index
        is_due = entry_count >= SNAPSHOT_INTERVAL_ENTRIES or self.storage.is_log_long
        if not is_due or entry_count == 0:
            return
        meta = agreement.snapshot_meta(self.state, self.applied_index)
        data = accepted.encode_snapshot(self.accepted)
        await self._save_snapshot(meta, data)
        agreement.step(self.state, monotonic_ms(), agreement.Compacted(meta))

    async def _save_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(
                self.storage_executor, self.storage.save_snapshot, meta, data
            )
        except StorageError as error:
            raise VoterFailedError(f'the snapshot cannot be written: {error}') from error
        self.snapshot_data = data
        self.snapshot_index = meta.index
        logger.info('%s snapshot saved at index %d, %d bytes', PREFIX, meta.index, len(data))

    def _send_snapshot(self, member: str) -> None:
        meta = self.state.snapshot
        now_ms = monotonic_ms()
        previous = self.snapshot_sends.get(member)
        if meta is None or (previous is not None and now_ms - previous[1] < PROPOSAL_TIMEOUT_MS):
            return
        self.snapshot_sends[member] = (meta.index, now_ms)
        logger.info('%s sending snapshot at index %d to %s', PREFIX, meta.index, member)
        instance = agreement.instance_of(member)
        chunks = snapshot_chunks(self.state.term, self.member_id, meta, self.snapshot_data)
        for chunk in chunks:
            self.hooks.send(instance, chunk)

    def _receive_chunk(self, chunk: SnapshotChunk) -> None:
        data = self.snapshot_receiver.add(chunk)
        if data is not None and chunk.meta.index > self.applied_index:
            self._enqueue(InstallSnapshot(chunk.meta, data))

    async def _install_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        try:
            state = accepted.decode_snapshot(data)
        except CodedError as error:
            logger.error('%s snapshot from the leader cannot be decoded: %s', PREFIX, error.detail)
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
        self.hooks.evacuations_applied(accepted.accepted_evacuations(state))
        for action in agreement.step(self.state, monotonic_ms(), agreement.SnapshotInstalled(meta)):
            await self._execute_action(action)

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
            self.proposal_id_by_position.clear()
            for proposal_id in list(self.pending_proposals):
                self._complete_proposal(proposal_id, None)
        self.hooks.role_changed(is_leader)


def _sender_of(message: Any) -> str:
    for name in ('candidate', 'voter', 'leader', 'member'):
        sender = getattr(message, name, None)
        if sender is not None:
            return str(sender)
    return ''
