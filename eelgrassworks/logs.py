"""Logs: one line of key=value pairs for each event.

Values with spaces, quotes, line breaks or control characters are written as
JSON strings, so that a value can neither forge a pair nor start a line.
"""

import datetime
import json
import logging
import re
import sys
from typing import Any
from typing import Final
from typing import TextIO

import eliot

PLAIN_VALUE: Final = re.compile(r'[A-Za-z0-9_.:/+@,\-]+')
KEY_UNSAFE: Final = re.compile(r'[^A-Za-z0-9_.\-]')
HIDDEN_FIELDS: Final = frozenset(
    {'task_uuid', 'task_level', 'timestamp', 'message_type'}
)


def format_value(value: object) -> str:
    """Return a value as it stands in a log line."""
    text = value if isinstance(value, str) else str(value)
    if PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def format_line(message: dict[str, Any]) -> str:
    """Return the line of one eliot message."""
    time = datetime.datetime.fromtimestamp(
        message.get('timestamp', 0.0), datetime.UTC
    )
    pairs = [
        ('time', time.isoformat(timespec='milliseconds')),
        ('event', message.get('message_type', 'unknown')),
    ]
    pairs += [
        (KEY_UNSAFE.sub('_', key), value)
        for key, value in message.items()
        if key not in HIDDEN_FIELDS
    ]
    return ' '.join(f'{key}={format_value(value)}' for key, value in pairs)


def start_logging(stream: TextIO = sys.stderr, **common: object) -> None:
    """Send every event to a stream, with ``common`` pairs in each line."""

    def write(message: dict[str, Any]) -> None:
        stream.write(format_line(message) + '\n')
        stream.flush()

    eliot.add_global_fields(**common)
    eliot.add_destinations(write)
    logging.basicConfig(
        level=logging.WARNING, handlers=[LibraryHandler()], force=True
    )


class LibraryHandler(logging.Handler):
    """Writes what libraries report as events of one line."""

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
