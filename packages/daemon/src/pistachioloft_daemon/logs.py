"""Write log records to standard error without blocking the thread that logs."""

from __future__ import annotations

import contextlib
import logging
import os
import queue
import time
from logging.handlers import QueueHandler, QueueListener
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import TextIO

STDERR_FD = 2
PARTS = (
    'routing',
    'placement',
    'agreement',
    'lease',
    'membership',
    'endpoint',
    'caller',
    'operator',
    'storage',
    'process',
)
DEFAULT_PART = 'process'
QUEUE_RECORD_COUNT = 8192
STOP_TIMEOUT_S = 2.0

# Modules whose name does not contain the name of their part.
_PART_OF_MODULE = {
    'request': 'routing',
    'connection': 'endpoint',
    'version': 'agreement',
    'in_force': 'lease',
    'ownership': 'placement',
    'addresses': 'placement',
    'suspects': 'routing',
    'budget': 'routing',
    'latency': 'routing',
}
_PREFIXES = tuple(f'[{part}] ' for part in PARTS)
# Ends of lines in a message would let outside input forge log lines.
_ESCAPES = {code: f'\\x{code:02x}' for code in (*range(32), *range(127, 160), 0x2028, 0x2029)}
_ESCAPES[ord('\n')] = ' | '


class LogHandle:
    """Hold the queue, listener and drop count of the configured logs."""

    def __init__(self, handler: _BoundedHandler, listener: _Listener) -> None:
        self._handler = handler
        self._listener = listener

    @property
    def dropped_count(self) -> int:
        """Count the records that did not fit the queue."""
        return self._handler.dropped_count

    def stop(self) -> None:
        """Write what is queued and stop, waiting no longer than STOP_TIMEOUT_S."""
        logging.getLogger().removeHandler(self._handler)
        self._listener.stop()


class _BoundedHandler(QueueHandler):
    """Queue records and count those that do not fit."""

    def __init__(self, records: queue.Queue[logging.LogRecord]) -> None:
        super().__init__(records)
        self.dropped_count = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            # The handler's lock is held here, so the count loses no update.
            self.dropped_count += 1


class _LineWriter(logging.Handler):
    """Write lines to standard error or to a stream."""

    def __init__(self, stream: TextIO | None) -> None:
        super().__init__()
        self._stream = stream

    def createLock(self) -> None:  # noqa: N802
        """Do without a lock, as only the listener's thread writes."""
        # A lock that a blocked write holds would also block logging.shutdown, and with it the
        # end of the process.
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; a line that cannot be written is lost."""
        with contextlib.suppress(OSError, ValueError):
            line = f'{self.format(record)}\n'
            if self._stream is not None:
                self._stream.write(line)
                return
            data = line.encode('utf-8', 'backslashreplace')
            while data:
                data = data[os.write(STDERR_FD, data) :]


class _Listener(QueueListener):
    """Write queued records and report the dropped ones."""

    queue: queue.Queue[logging.LogRecord | None]

    def __init__(self, source: _BoundedHandler, target: logging.Handler) -> None:
        super().__init__(source.queue, target)
        self._source = source
        self._reported_count = 0

    def handle(self, record: logging.LogRecord) -> None:
        """Write a record, preceded by the number of dropped ones if it changed."""
        self._report_drops()
        super().handle(record)

    def stop(self) -> None:
        """Stop after the queued records, or leave a blocked writer behind."""
        thread, self._thread = self._thread, None
        if thread is None:
            return
        try:
            # The base class takes None as the end of the queue.
            self.queue.put(None, timeout=STOP_TIMEOUT_S)
        except queue.Full:
            return
        thread.join(STOP_TIMEOUT_S)
        if not thread.is_alive():
            self._report_drops()

    def _report_drops(self) -> None:
        dropped = self._source.dropped_count - self._reported_count
        if dropped:
            self._reported_count += dropped
            text = f'{dropped} log records did not fit the queue and were dropped.'
            fields = {'name': __name__, 'levelno': logging.WARNING, 'msg': text}
            super().handle(logging.makeLogRecord(fields))


class LineFormatter(logging.Formatter):
    """Format a record as one line: time in UTC, level, prefix of the part, message."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as one line."""
        seconds = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(record.created))
        message = record.getMessage()
        if record.exc_info and record.exc_info[0] is not None:
            message = f'{message}\n{self.formatException(record.exc_info)}'
        if not message.startswith(_PREFIXES):
            message = f'[{part_of(record.name)}] {message}'
        level = logging.getLevelName(record.levelno).lower()
        return f'{seconds}.{int(record.msecs):03d}Z {level} {message.translate(_ESCAPES)}'


class _MessageFormatter(logging.Formatter):
    """Merge arguments and traceback of a record in the thread that logs."""

    def format(self, record: logging.LogRecord) -> str:
        """Give the message with its traceback."""
        message = record.getMessage()
        if record.exc_info and record.exc_info[0] is not None:
            message = f'{message}\n{self.formatException(record.exc_info)}'
        return message


def part_of(logger_name: str) -> str:
    """Give the part that a logger's name stands for."""
    for segment in reversed(logger_name.split('.')):
        part = _PART_OF_MODULE.get(segment, segment)
        if part in PARTS and segment != DEFAULT_PART:
            return part
    return DEFAULT_PART


def part_logger(part: str) -> logging.Logger:
    """Give the logger of a part, for modules that belong to several parts."""
    if part not in PARTS:
        raise ValueError(f'unknown part {part!r}')
    return logging.getLogger(f'pistachioloft.{part}')


def _is_wanted(record: logging.LogRecord) -> bool:
    # Libraries log every HTTP request: a trial of under a minute with 6 instances and 106 endpoints
    # wrote 6,799 such lines for announcements.
    return record.levelno >= logging.WARNING or record.name.startswith('pistachioloft')


def configure_logs(
    level: str, stream: TextIO | None = None, queue_record_count: int = QUEUE_RECORD_COUNT
) -> LogHandle:
    """Send all log records to standard error through a bounded queue."""
    handler = _BoundedHandler(queue.Queue(queue_record_count))
    handler.setFormatter(_MessageFormatter())
    handler.addFilter(_is_wanted)
    target = _LineWriter(stream)
    target.setFormatter(LineFormatter())
    listener = _Listener(handler, target)
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(level.upper())
    listener.start()
    return LogHandle(handler, listener)
