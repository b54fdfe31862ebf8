"""Measure lease polls and configuration changes at several numbers of instances and shards."""

from __future__ import annotations

import random
import sys
from functools import partial
from typing import Any

from pistachioloft_core.codec import decode_peer, encode_peer
from pistachioloft_core.messages.accepted import SubmitConfiguration
from pistachioloft_core.messages.peer import Poll, PollReply
from pistachioloft_core.process import in_force, lease
from pistachioloft_core.version import accepted as accepted_module
from pistachioloft_core.version.configuration import check_configuration

from .builders import accepted, configuration
from .report import allocated_bytes, print_table, processor_time_us, slope

SHARD_COUNTS = (50, 500, 5_000)
INSTANCE_COUNTS = (7, 700, 6_300)


def measure_poll() -> None:
    """Print the cost of a poll without a newer configuration at both sides, by instances."""
    rows = []
    for instance_count in INSTANCE_COUNTS:
        content = accepted(instance_count, 50)
        leader = in_force.InForceState('e1', 1, 0.0, content)
        for number in range(instance_count):
            poll = Poll(number, f'e{number + 1}', 1, content.index, content.digest, True)
            in_force.on_poll(leader, 1.0, poll, True)
        poll = Poll(1 << 61, 'e2', 1, content.index, content.digest, True)
        request = encode_peer('e2', [poll])
        reply = encode_peer('e1', [in_force.on_poll(leader, 1.0, poll, True)])

        def answer_poll(leader: Any = leader, request: bytes = request) -> None:
            message = decode_peer(request)[1][0]
            encode_peer('e1', [in_force.on_poll(leader, 2.0, message, True)])

        client = lease.LeaseState('e2', 1, ('e1',), random.Random(1))
        client.accepted = content

        def poll_once(client: Any = client, content: Any = content) -> None:
            client.due_ms = None
            sent = lease.next_poll(client, 2.0)
            assert sent is not None
            encode_peer('e2', [sent.poll])
            reply_message = PollReply(sent.poll.poll_id, True, 1, content.index, 2000)
            lease.on_reply(client, 2.0, decode_peer(encode_peer('e1', [reply_message]))[1][0])

        report_us = processor_time_us(partial(in_force.report, leader, 2.0, content.index))
        rows.append(
            (instance_count, len(request), len(reply), processor_time_us(answer_poll),
             processor_time_us(poll_once), report_us)
        )  # fmt: skip
    names = ('instances', 'poll bytes', 'reply bytes', 'leader µs', 'instance µs', 'report µs')
    print_table('One lease poll without news, with encoding; one report of the leader', names, rows)


def _measure_change(instance_count: int, shard_count: int) -> tuple[Any, ...]:
    content, used_bytes = allocated_bytes(partial(configuration, instance_count, shard_count))
    submit = SubmitConfiguration('change-1', 0, content, 'operator')
    payload = accepted_module.encode_command(submit)
    held_configuration = accepted(instance_count, shard_count)
    reply = PollReply(1, True, 1, 1, 2000, held_configuration)
    data = encode_peer('e1', [reply])

    def apply() -> None:
        state = accepted_module.AcceptedState()
        command = accepted_module.decode_command(payload)
        accepted_module.apply_command(state, 1, 1, 1, command)

    return (
        instance_count,
        shard_count,
        len(payload),
        used_bytes / 1024,
        processor_time_us(partial(check_configuration, content)) / 1000,
        processor_time_us(partial(accepted_module.encode_command, submit)) / 1000,
        processor_time_us(apply) / 1000,
        processor_time_us(partial(encode_peer, 'e1', [reply])) / 1000,
        processor_time_us(partial(decode_peer, data)) / 1000,
    )


def measure_change() -> None:
    """Print the cost of a configuration change by its numbers of shards and instances."""
    rows = [_measure_change(7, shard_count) for shard_count in SHARD_COUNTS]
    rows += [_measure_change(instance_count, 50) for instance_count in INSTANCE_COUNTS[1:]]
    rows.append(_measure_change(6_300, 21_500))
    names = (
        'instances', 'shards', 'bytes', 'KB in memory', 'check ms', 'encode ms', 'apply ms',
        'reply encode ms', 'reply decode ms',
    )  # fmt: skip
    print_table('One configuration change', names, rows)
    size = slope(SHARD_COUNTS, [row[2] for row in rows[:3]])
    entry = slope((7, 700, 6_300), [rows[0][2], rows[3][2], rows[4][2]])
    print(f'\nSlopes: {size:.0f} bytes a shard with its service, {entry:.0f} bytes an instance.')


def main() -> int:
    """Print the tables."""
    measure_poll()
    measure_change()
    return 0


if __name__ == '__main__':
    sys.exit(main())
