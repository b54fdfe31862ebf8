"""Guard against logs that block the event loop or are malformed."""

from __future__ import annotations

import io
import logging
import re
import threading
import time
from typing import TYPE_CHECKING

import pytest

from pistachioloft_daemon.logs import (
    BURST_LINE_COUNT,
    LINES_PER_S,
    TRACE_LIMIT_COUNT,
    configure_logs,
    part_logger,
    part_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(autouse=True)
def _restore_root() -> Iterator[None]:
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


class BlockedStream(io.StringIO):
    """Block writers until released, like a full pipe."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait()
        return super().write(text)


def test_blocked_output_drops_and_counts() -> None:
    """Guard against a full pipe on standard output that blocks the event loop."""
    stream = BlockedStream()
    handle = configure_logs('info', stream, queue_line_count=4)
    for number in range(20):
        part_logger('routing').info('Chose endpoint %d.', number)
    dropped = handle.dropped_count
    assert 15 <= dropped <= 16
    stream.released.set()
    handle.stop()
    lines = stream.getvalue().splitlines()
    assert len([line for line in lines if 'Chose endpoint' in line]) == 20 - dropped
    assert any(f'[process] {dropped} log records did not fit' in line for line in lines)


def test_lines_above_the_rate_limit_are_suppressed_and_counted() -> None:
    """Guard against a busy part that floods the log, and against suppressed lines not counted."""
    stream = io.StringIO()
    handle = configure_logs('info', stream)
    sent_count = int(BURST_LINE_COUNT) + 500
    for number in range(sent_count):
        part_logger('routing').info('Chose endpoint %d.', number)
    part_logger('routing').warning('Endpoint lost.')
    part_logger('lease').info('Routes in force.')
    time.sleep(2.0 / LINES_PER_S)
    part_logger('routing').info('Chose the last endpoint.')
    handle.stop()
    lines = stream.getvalue().splitlines()
    written_count = sum('Chose endpoint' in line for line in lines)
    assert BURST_LINE_COUNT <= written_count < sent_count
    assert any('Endpoint lost' in line for line in lines)
    assert any('Routes in force' in line for line in lines)
    reports = [
        re.search(r'(\d+) log lines of \[routing\] were left out', written_line)
        for written_line in lines
    ]
    assert sum(int(match.group(1)) for match in reports if match) == sent_count - written_count


def test_record_is_one_line_with_time_level_and_prefix() -> None:
    """Guard against line breaks in input that forge a log line, and against a lost traceback."""
    stream = io.StringIO()
    handle = configure_logs('info', stream)
    logger = logging.getLogger('pistachioloft_daemon.storage.log')
    logger.debug('not shown')
    logger.info('[caller] Refused %s.', 'x\r\n2026 info [storage] forged')
    try:
        raise OSError('disk full')
    except OSError:
        logger.exception('Write failed.')
    handle.stop()
    first, second = stream.getvalue().splitlines()
    timestamp_pattern = r'\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z '
    assert re.match(timestamp_pattern + r'info \[caller\] Refused x\\x0d \| 2026', first)
    assert re.match(
        timestamp_pattern + r'error \[storage\] Write failed\. \| Traceback .*disk full', second
    )


def test_library_records_below_warning_are_not_logged() -> None:
    """Guard against a log that is flooded by libraries that log each HTTP request."""
    stream = io.StringIO()
    handle = configure_logs('debug', stream)
    access = logging.getLogger('cherrypy.access')
    access.setLevel(logging.INFO)
    access.info('POST /v1/announce')
    access.warning('slow')
    handle.stop()
    (line,) = stream.getvalue().splitlines()
    assert line.endswith('warning [process] slow')


def test_logger_names_map_to_parts() -> None:
    """Guard against a module whose records get the prefix of another part."""
    assert part_of('pistachioloft_core.process.agreement.raft') == 'agreement'
    assert part_of('pistachioloft_core.process.membership') == 'membership'
    assert part_of('pistachioloft_core.process.ownership') == 'placement'
    assert part_of('pistachioloft_core.request.query') == 'routing'
    assert part_of('pistachioloft_core.process.timers') == 'process'
    assert part_of('cherrypy.error') == 'process'
    with pytest.raises(ValueError, match='unknown part'):
        part_logger('kitchen')


def test_long_message_is_cut() -> None:
    """Guard against queued lines as long as what a client has sent."""
    stream = io.StringIO()
    handle = configure_logs('info', stream)
    part_logger('routing').info('Refused %s.', '\x85' * 60_000)
    try:
        raise ValueError('x' * 60_000)
    except ValueError:
        part_logger('routing').exception('Failed.')
    handle.stop()
    cut, failed = stream.getvalue().splitlines()
    assert len(cut) < 4_096
    assert '59009 characters left out' in cut
    assert len(failed) < 2 * TRACE_LIMIT_COUNT
