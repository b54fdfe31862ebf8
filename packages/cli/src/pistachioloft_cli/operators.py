"""Read from and write to instances as an operator does."""

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
# An accepted change is due within 2 s on 7 instances; five polls show its progress.
WAIT_POLL_INTERVAL_MS = 400


@dataclass(frozen=True, slots=True)
class AddressStatus:
    """Hold the status that one address gave."""

    address: str
    reply: StatusReply


@dataclass(frozen=True, slots=True)
class StatusView:
    """Hold what all given addresses say of the system."""

    replies: tuple[AddressStatus, ...]
    unreachable: tuple[str, ...]

    @property
    def leader_reply(self) -> StatusReply | None:
        """Give the reply with the report of the newest term."""
        replies = [each.reply for each in self.replies if each.reply.in_force is not None]
        return max(replies, key=_report_recency, default=None)


def _report_recency(reply: StatusReply) -> tuple[int, int]:
    # A former leader behind a partition still gives its old report, of an older term.
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
    """Read the configuration from which a change is made; a new cluster has an empty one."""
    leader = read_status(instance_addresses).leader_reply
    if leader is not None and leader.in_force is not None and leader.in_force.index == 0:
        # Instances take no work and show no configuration until the first one is accepted.
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
    message: SubmitConfiguration | DrainInstance,
    path: str,
    instance_addresses: tuple[str, ...],
    output: Output,
) -> Answer[OperatorReply]:
    """Send a change; its command id makes it safe to send it again."""
    call = Call(
        'POST',
        path,
        OperatorReply,
        body=encode_json(message),
        answer_ms=CHANGE_ANSWER_TIMEOUT_MS,
        changes=True,
    )
    return exchange(call, instance_addresses, output.progress)


def exit_code_of_change(answer: Answer[OperatorReply]) -> ExitCode:
    """Give the exit code; a refusal after a lost answer leaves the outcome unknown."""
    return ExitCode.UNKNOWN if answer.may_have_run else exit_code_of(answer.reply.result_code)


def read_status(instance_addresses: Iterable[str], with_endpoints: bool = False) -> StatusView:
    """Ask every given address for the status, once each."""
    path = '/v1/status?endpoints=true' if with_endpoints else '/v1/status'
    call = Call('GET', path, StatusReply, answer_ms=STATUS_ANSWER_TIMEOUT_MS, round_count=1)
    replies, unreachable = exchange_each(call, instance_addresses)
    views = tuple(AddressStatus(address, reply) for address, reply in replies.items())
    return StatusView(views, unreachable)


def require_status(instance_addresses: Iterable[str], with_endpoints: bool = False) -> StatusView:
    """Ask every given address for the status; fail if none answers."""
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
    """Wait until an accepted index is in force everywhere; give the last report on it."""
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
            line = 'No given address has a report of the leader on this change yet.'
        if line != last_line:
            output.progress(line)
            last_line = line
        if time.monotonic() > deadline_s:
            return last_report
        time.sleep(WAIT_POLL_INTERVAL_MS / 1000)


def is_in_force_on_every_instance(report: InForceReport) -> bool:
    """Tell whether no instance is left out, not even a fenced one that takes no work."""
    return report.everywhere and all(each.state == STATE_IN_FORCE for each in report.instances)


def describe_in_force(report: InForceReport) -> str:
    """Say where a configuration is in force and where it is not."""
    others = [each for each in report.instances if each.state != STATE_IN_FORCE]
    done_count = len(report.instances) - len(others)
    line = f'Index {report.index} is in force on {done_count} of {len(report.instances)} instances'
    if others:
        names = ', '.join(f'{each.instance} ({each.state}, index {each.index})' for each in others)
        line = f'{line}; not on {names}'
    if others and report.everywhere:
        line = f'{line}. Every instance that takes work has it'
    return f'{line}.'
