"""Submission ids: UUIDs of version 7 (RFC 9562).

Such an id contains its creation time.  A resubmission therefore always has
the time of the first submission, which bounds how long a claim is kept.
"""

import re
import secrets
from typing import Final
import uuid

UUID_VERSION: Final = 7
RANDOM_BITS: Final = 62
CANONICAL: Final = re.compile(
    '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}'
)
_VERSION_BITS: Final = UUID_VERSION << 76
_VARIANT_BITS: Final = 0b10 << 62


def read_time_ms(text: str) -> int | None:
    """Return the Unix time in milliseconds from an id.

    Returns None if the text is not a version 7 UUID in canonical form.
    """
    if not CANONICAL.fullmatch(text):
        return None
    return int(text[:8] + text[9:13], 16)


def compose_id(time_ms: int, bits: int) -> str:
    """Return the id with the given time and 62 further bits."""
    head = (time_ms << 80) | _VERSION_BITS
    return str(uuid.UUID(int=head | _VARIANT_BITS | bits))


def make_id(time_ms: int) -> str:
    """Return a new id with the given time."""
    return compose_id(time_ms, secrets.randbits(RANDOM_BITS))
