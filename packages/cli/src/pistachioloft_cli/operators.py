"""Read the state of instances and send changes as an operator."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pistachioloft_core.codec import encode_json
from pistachioloft_core.messages.accepted import AcceptedConfiguration, Configuration
from pistachioloft_core.messages.operator import (
    STATE_IN_FORCE,
    ConfigReply,
    HistoryReply,
    InForceReport,
    OperatorReply,
    StatusReply,
)
from pistachioloft_core.messages.public import ErrorReply

from .callers import failure_from_reply
from .exits import CommandFailure, ExitCode, FailedAttempt, exit_code_of
from .transport import CHANGE_ANSWER_TIMEOUT_MS, Answer, Call, exchange, exchange_each

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioloft_core.messages.accepted import DrainInstance, SubmitConfiguration

    from .output import Output

STATUS_ANSWER_TIMEOUT_MS = 2_500
# An accepted change is due in force on 7 instances within 2 s; five polls in that time show its
# progress.
WAIT_POLL_INTERVAL_MS = 400


@dataclass(frozen=True, slots=True)
class AddressStatus:
    """Hold the status reply of one address."""

    address: str
    reply: StatusReply


@dataclass(frozen=True, slots=True)
class StatusView:
    """Hold the status replies of all given addresses."""

    replies: tuple[AddressStatus, ...]
    unreachable: tuple[str, ...]

    @property
    def leader_reply(self) -> StatusReply | None:
        """Return the reply with the leader's report of the newest term."""
        replies = [status.reply for status in self.replies if status.reply.in_force is not None]
        return max(replies, key=_report_recency, default=None)


def _report_recency(reply: StatusReply) -> tuple[int, int]:
    # A former leader behind a partition still sends its old report, of an older term.
    term = reply.voters.term if reply.voters is not None else 0
    return term, reply.in_force.index if reply.in_force is not None else 0


def read_config(instance_addresses: tuple[str, ...], output: Output) -> AcceptedConfiguration:
    """Read the configuration in force."""
    answer = exchange(Call('GET', '/v1/config', ConfigReply), instance_addresses, output.progress)
    if isinstance(answer.reply, ErrorReply):
        raise failure_from_reply(answer.reply, answer.tries)
    return answer.reply.accepted


def read_base_configuration(
    instance_addresses: tuple[str, ...], output: Output
) -> AcceptedConfiguration:
    """Read the configuration that a change is based on; it is empty in a new cluster."""
    leader = read_status(instance_addresses).leader_reply
    if leader is not None and leader.in_force is not None and leader.in_force.index == 0:
        # Instances accept no requests and return no configuration until one is accepted.
        output.progress('The voters have not accepted any configuration yet.')
        return AcceptedConfiguration(0, 0, '', Configuration())
    return read_config(instance_addresses, output)


def read_history(instance_addresses: tuple[str, ...], output: Output) -> HistoryReply:
    """Read the accepted submissions."""
    answer = exchange(
        Call('GET', '/v1/config/history', HistoryReply), instance_addresses, output.progress
    )
    if isinstance(answer.reply, ErrorReply):
        raise failure_from_reply(answer.reply, answer.tries)
    return answer.reply


def send_change(
    change: SubmitConfiguration | DrainInstance,
    path: str,
    instance_addresses: tuple[str, ...],
    output: Output,
) -> Answer[OperatorReply]:
    """Send a change; its command id makes it safe to resend."""
    call = Call(
        'POST',
        path,
        OperatorReply,
        body=encode_json(change),
        answer_ms=CHANGE_ANSWER_TIMEOUT_MS,
        changes=True,
    )
    return exchange(call, instance_addresses, output.progress)


def exit_code_of_change(answer: Answer[OperatorReply]) -> ExitCode:
    """Return the exit code; the outcome of a change refused after a lost reply is unknown."""
    return ExitCode.UNKNOWN if answer.may_have_run else exit_code_of(answer.reply.result_code)


def read_status(instance_addresses: Iterable[str], with_endpoints: bool = False) -> StatusView:
    """Request the status once from every given address."""
    path = '/v1/status?endpoints=true' if with_endpoints else '/v1/status'
    call = Call('GET', path, StatusReply, answer_ms=STATUS_ANSWER_TIMEOUT_MS, round_count=1)
    replies, unreachable = exchange_each(call, instance_addresses)
    views = tuple(AddressStatus(address, reply) for address, reply in replies.items())
    return StatusView(views, unreachable)


def require_status(instance_addresses: Iterable[str], with_endpoints: bool = False) -> StatusView:
    """Request the status from every given address; raise a failure if none replies."""
    view = read_status(instance_addresses, with_endpoints)
    if not view.replies:
        tries = tuple(
            FailedAttempt(address, False, 'gave no status') for address in view.unreachable
        )
        detail = f'No status from {", ".join(view.unreachable)}.'
        raise CommandFailure(ExitCode.NOT_REACHABLE, detail, tries)
    return view


def wait_in_force(
    instance_addresses: tuple[str, ...], index: int, timeout_s: float, output: Output
) -> InForceReport | None:
    """Wait until an accepted index is in force everywhere; return the last report on it."""
    deadline_s = time.monotonic() + timeout_s
    last_report: InForceReport | None = None
    last_line = ''
    while True:
        leader = read_status(instance_addresses).leader_reply
        report = leader.in_force if leader is not None else None
        if report is not None and report.index >= index:
            last_report = report
            line = describe_in_force(report)
            if is_in_force_on_every_instance(report):
                output.progress(line)
                return report
        else:
            line = "No given address has the leader's report on this change yet."
        if line != last_line:
            output.progress(line)
            last_line = line
        if time.monotonic() > deadline_s:
            return last_report
        time.sleep(WAIT_POLL_INTERVAL_MS / 1000)


def is_in_force_on_every_instance(report: InForceReport) -> bool:
    """Return whether all instances have it, including fenced ones that accept no requests."""
    return report.everywhere and all(
        instance_force.state == STATE_IN_FORCE for instance_force in report.instances
    )


def describe_in_force(report: InForceReport) -> str:
    """Return a line on where a configuration is in force and where it is not."""
    others = [
        instance_force
        for instance_force in report.instances
        if instance_force.state != STATE_IN_FORCE
    ]
    done_count = len(report.instances) - len(others)
    line = f'Index {report.index} is in force on {done_count} of {len(report.instances)} instances'
    if others:
        names = ', '.join(
            f'{other.instance} ({other.state}, index {other.index})' for other in others
        )
        line = f'{line}; not on {names}'
    if others and report.everywhere:
        line = f'{line}. Every instance that takes work has it'
    return f'{line}.'
