"""Write log lines to standard output without blocking the thread that logs."""

from __future__ import annotations

import contextlib
import logging
import os
import threading
import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import TextIO

STDOUT_FD = 1
PARTS = (
    'routing',
    'placement',
    'agreement',
    'lease',
    'membership',
    'admission',
    'endpoint',
    'caller',
    'operator',
    'storage',
    'process',
)
DEFAULT_PART = 'process'
# Lines queued while the output is blocked; a longer queue would take memory that requests need.
QUEUE_LINE_COUNT = 4096
# Delay before each write, so that one write takes many lines.
BATCH_DELAY_S = 0.05
STOP_TIMEOUT_S = 0.3
# Rate and burst limits of each part's lines below the warning level. An entry instance logs about
# two lines for each request and one for each extra attempt.
LINES_PER_S = 150.0
# Characters of a message and of a traceback: both can contain what clients have sent.
MESSAGE_LIMIT_COUNT = 1_000
TRACE_LIMIT_COUNT = 8_000
BURST_LINE_COUNT = 600.0

# Parts of the modules that are not named after their part.
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
# Unescaped line breaks in a message would let external input forge log lines.
_ESCAPES = {code: f'\\x{code:02x}' for code in (*range(32), *range(127, 160), 0x2028, 0x2029)}
_ESCAPES[ord('\n')] = ' | '


class LogHandle:
    """Hold the handler and the writer of the configured logs."""

    def __init__(self, handler: _Handler, writer: _Writer) -> None:
        self._handler = handler
        self._writer = writer

    @property
    def dropped_count(self) -> int:
        """Return the number of lines that did not fit the queue."""
        return self._writer.dropped_count

    def stop(self) -> None:
        """Write the queued lines and stop; give up on a blocked output after STOP_TIMEOUT_S."""
        logging.getLogger().removeHandler(self._handler)
        self._handler.report_suppressed()
        self._writer.stop()


class _TokenBucket:
    """Limit the rate of one part's lines below the warning level."""

    __slots__ = ('suppressed_count', 'token_count', 'updated_s')

    def __init__(self) -> None:
        self.token_count = BURST_LINE_COUNT
        self.updated_s = time.monotonic()
        self.suppressed_count = 0

    def take_token(self) -> bool:
        """Take a token for one line; return False and count the line if there is none."""
        now_s = time.monotonic()
        self.token_count = min(
            BURST_LINE_COUNT, self.token_count + LINES_PER_S * (now_s - self.updated_s)
        )
        self.updated_s = now_s
        if self.token_count < 1.0:
            self.suppressed_count += 1
            return False
        self.token_count -= 1.0
        return True


class _Handler(logging.Handler):
    """Format records and queue their lines, within the rate limit of each part."""

    def __init__(self, writer: _Writer) -> None:
        super().__init__()
        self._writer = writer
        self._buckets: dict[str, _TokenBucket] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of a record without blocking."""
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        if record.levelno < logging.WARNING:
            part = line.split('[', 1)[-1].split(']', 1)[0]
            bucket = self._buckets.setdefault(part, _TokenBucket())
            if not bucket.take_token():
                return
            self._queue_report(part, bucket)
        self._writer.put(line)

    def report_suppressed(self) -> None:
        """Queue the number of each part's lines that were suppressed since the last report."""
        for part, bucket in self._buckets.items():
            self._queue_report(part, bucket)

    def _queue_report(self, part: str, bucket: _TokenBucket) -> None:
        if bucket.suppressed_count:
            count, bucket.suppressed_count = bucket.suppressed_count, 0
            self._writer.put(_format_own_line(f'{count} log lines of [{part}] were left out.'))


class _Writer:
    """Write queued lines on a thread of its own."""

    def __init__(self, stream: TextIO | None, queue_line_count: int) -> None:
        self.dropped_count = 0
        self._stream = stream
        self._line_limit = queue_line_count
        self._lines: deque[str] = deque()
        self._wake = threading.Event()
        self._stopping = False
        self._reported_drop_count = 0
        self._thread = threading.Thread(target=self._run, name='logs', daemon=True)
        self._thread.start()

    def put(self, line: str) -> None:
        """Queue a line, or count it as dropped if the queue is full."""
        if len(self._lines) >= self._line_limit:
            self.dropped_count += 1
            return
        self._lines.append(line)
        if not self._wake.is_set():
            self._wake.set()

    def stop(self) -> None:
        """Write the queued lines, or leave a blocked writer thread behind."""
        self._stopping = True
        self._wake.set()
        self._thread.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping:
            self._wake.wait()
            if not self._stopping:
                time.sleep(BATCH_DELAY_S)
            self._wake.clear()
            self._write_queued()

    def _write_queued(self) -> None:
        lines: list[str] = []
        while self._lines:
            lines.append(self._lines.popleft())
        new_drop_count = self.dropped_count - self._reported_drop_count
        if new_drop_count:
            self._reported_drop_count += new_drop_count
            text = f'{new_drop_count} log records did not fit the queue and were dropped.'
            lines.append(_format_own_line(text))
        # A line that cannot be written is lost.
        with contextlib.suppress(OSError, ValueError):
            self._write(''.join(f'{line}\n' for line in lines))

    def _write(self, text: str) -> None:
        if self._stream is not None:
            self._stream.write(text)
            return
        data = text.encode('utf-8', 'backslashreplace')
        while data:
            data = data[os.write(STDOUT_FD, data) :]


def _format_own_line(text: str) -> str:
    """Build a line of this module."""
    fields = {'name': __name__, 'levelno': logging.WARNING, 'msg': text}
    return LineFormatter().format(logging.makeLogRecord(fields))


class LineFormatter(logging.Formatter):
    """Format a record as one line: time in UTC, level, prefix of the part, message."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as one line."""
        timestamp = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(record.created))
        message = _cut(record.getMessage(), MESSAGE_LIMIT_COUNT)
        if record.exc_info and record.exc_info[0] is not None:
            trace = _cut(self.formatException(record.exc_info), TRACE_LIMIT_COUNT)
            message = f'{message}\n{trace}'
        if not message.startswith(_PREFIXES):
            message = f'[{part_of(record.name)}] {message}'
        level = logging.getLevelName(record.levelno).lower()
        return f'{timestamp}.{int(record.msecs):03d}Z {level} {message.translate(_ESCAPES)}'


def _cut(text: str, limit_count: int) -> str:
    """Return a text, or its beginning and how much of it is left out."""
    if len(text) <= limit_count:
        return text
    return f'{text[:limit_count]}... ({len(text) - limit_count} characters left out)'


def part_of(logger_name: str) -> str:
    """Return the part that a logger's name belongs to."""
    for segment in reversed(logger_name.split('.')):
        part = _PART_OF_MODULE.get(segment, segment)
        if part in PARTS and segment != DEFAULT_PART:
            return part
    return DEFAULT_PART


def part_logger(part: str) -> logging.Logger:
    """Return the logger of a part, for modules that belong to several parts."""
    if part not in PARTS:
        raise ValueError(f'unknown part {part!r}')
    return logging.getLogger(f'pistachioloft.{part}')


def _should_log(record: logging.LogRecord) -> bool:
    # Libraries log every HTTP request: the announcements of 106 endpoints to 6 instances alone
    # caused 6,799 lines in under a minute.
    return record.levelno >= logging.WARNING or record.name.startswith('pistachioloft')


def configure_logs(
    level: str, stream: TextIO | None = None, queue_line_count: int = QUEUE_LINE_COUNT
) -> LogHandle:
    """Send all log records to standard output through a bounded queue."""
    writer = _Writer(stream, queue_line_count)
    handler = _Handler(writer)
    handler.setFormatter(LineFormatter())
    handler.addFilter(_should_log)
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(level.upper())
    return LogHandle(handler, writer)
