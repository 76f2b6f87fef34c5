"""Logs: one line of key=value pairs for each event.

The number of lines per second is limited, and writing never blocks.  Lines
beyond the limit, or that the stream cannot accept at once, are omitted; the
next line that is written contains their number.

Values with spaces, quotes, line breaks or control characters are written as
JSON strings, so that a value can neither forge a pair nor start a line.
"""

import datetime
import json
import logging
import os
import re
import sys
import time
from typing import Any
from typing import Final
from typing import TextIO

import eliot

PLAIN_VALUE: Final = re.compile(r'[A-Za-z0-9_.:/+@,\-]+')
KEY_UNSAFE: Final = re.compile(r'[^A-Za-z0-9_.\-]')
# A busy process handles tens of requests per second.
LINES_PER_S: Final = 200
# Several seconds of lines, so that those around a fault are complete.
BURST_LINES: Final = 1000
HIDDEN_FIELDS: Final = frozenset(
    {'task_uuid', 'task_level', 'timestamp', 'message_type'}
)


def format_value(value: object) -> str:
    """Return the text of a value in a log line, quoted if necessary."""
    text = value if isinstance(value, str) else str(value)
    if PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def format_line(message: dict[str, Any]) -> str:
    """Return the line of one eliot message."""
    timestamp = datetime.datetime.fromtimestamp(
        message.get('timestamp', 0.0), datetime.UTC
    )
    pairs = [
        ('time', timestamp.isoformat(timespec='milliseconds')),
        ('event', message.get('message_type', 'unknown')),
    ]
    pairs += [
        (KEY_UNSAFE.sub('_', key), value)
        for key, value in message.items()
        if key not in HIDDEN_FIELDS
    ]
    return ' '.join(f'{key}={format_value(value)}' for key, value in pairs)


class RateLimiter:
    """Token bucket that limits the log lines of a process."""

    def __init__(self, now_s: float) -> None:
        self._tokens = float(BURST_LINES)
        self._last_refill_s = now_s

    def try_acquire(self, now_s: float) -> bool:
        """Remove a token and return True, or return False without one."""
        self._tokens = min(
            float(BURST_LINES),
            self._tokens + (now_s - self._last_refill_s) * LINES_PER_S,
        )
        self._last_refill_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Writer:
    """Writes lines to a stream without blocking."""

    def __init__(self, stream: TextIO, now_s: float) -> None:
        self.omitted = 0
        self._stream = stream
        self._rate_limiter = RateLimiter(now_s)

    def write(self, message: dict[str, Any], now_s: float) -> None:
        """Write a line, or count it as omitted."""
        if not self._rate_limiter.try_acquire(now_s):
            self.omitted += 1
            return
        omitted, self.omitted = self.omitted, 0
        if omitted:
            message = {**message, 'omitted_before': omitted}
        try:
            self._stream.write(format_line(message) + '\n')
            self._stream.flush()
        except BlockingIOError:
            self.omitted = omitted + 1


def start_logging(stream: TextIO = sys.stderr, **common: object) -> None:
    """Write all events to a stream, with ``common`` pairs in each line."""
    writer = Writer(stream, time.monotonic())
    _set_nonblocking(stream)

    def write(message: dict[str, Any]) -> None:
        writer.write(message, time.monotonic())

    eliot.add_global_fields(**common)
    eliot.add_destinations(write)
    logging.basicConfig(
        level=logging.WARNING, handlers=[LibraryHandler()], force=True
    )


def _set_nonblocking(stream: TextIO) -> None:
    """Make writes to a full pipe fail instead of blocking."""
    try:
        os.set_blocking(stream.fileno(), False)
    except (OSError, ValueError):
        # In-memory streams of tests have no file descriptor and never block.
        return


class LibraryHandler(logging.Handler):
    """Writes log records of libraries as events of one line."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        log(
            'library',
            logger=record.name,
            level=record.levelname,
            text=record.getMessage(),
            error=repr(record.exc_info[1]) if record.exc_info else '',
        )


def log(event: str, **fields: object) -> None:
    """Write one event."""
    eliot.log_message(message_type=event, **fields)
