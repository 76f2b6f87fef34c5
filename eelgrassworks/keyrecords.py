"""Records of task keys at an agent, and their expiry.

A start carries a timestamp of the agent's clock and is rejected once that
timestamp is START_WINDOW_S old.  A record therefore expires that long after
its last change; every later frame about its key is stale.
"""

import collections
import dataclasses
from typing import Final

from eelgrassworks import contracts
from eelgrassworks.links import messages

START_WINDOW_S: Final = 30.0
MAX_BODIES_BYTES: Final = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class KeyQueued:
    """The start waits for a slot."""

    entry: str
    start: messages.TaskStart


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRunning:
    """The task runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyEnded:
    """The task ended; ``finished`` is sent again on a repeated request.

    ``attempt`` is the attempt that ended, for tasks that may start again.
    """

    finished: messages.TaskFinished

    @property
    def attempt(self) -> int:
        """Return the number of the attempt that ended."""
        return self.finished.attempt


@dataclasses.dataclass(frozen=True, slots=True)
class KeyForgotten:
    """The task ended; its result was dropped to limit memory."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyFenced:
    """No attempt up to ``attempt`` was started or will be started."""

    attempt: int
    reason: str


KeyRecord = KeyQueued | KeyRunning | KeyEnded | KeyForgotten | KeyFenced


class KeyRecords:
    """Records of the keys for which frames may still arrive."""

    def __init__(self) -> None:
        self._records: dict[contracts.TaskKey, KeyRecord] = {}
        self._expires: dict[contracts.TaskKey, float] = {}
        self._expiry_queue: collections.deque[
            tuple[float, contracts.TaskKey]
        ] = collections.deque()
        self._ended_keys: collections.deque[contracts.TaskKey] = (
            collections.deque()
        )
        self._bodies_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: contracts.TaskKey) -> KeyRecord | None:
        """Return the record of a key."""
        return self._records.get(key)

    def track(
        self, key: contracts.TaskKey, record: KeyQueued | KeyRunning
    ) -> None:
        """Record a queued or running task; the record does not expire."""
        self._records[key] = record
        self._expires.pop(key, None)

    def fence(
        self, key: contracts.TaskKey, attempt: int, reason: str, now_s: float
    ) -> None:
        """Record that no attempt up to this one was or will be started."""
        self._settle(key, KeyFenced(attempt, reason), now_s)

    def end(
        self,
        key: contracts.TaskKey,
        finished: messages.TaskFinished,
        now_s: float,
    ) -> None:
        """Record the result of a task; drop old results beyond the limit."""
        self._settle(key, KeyEnded(finished), now_s)
        self._ended_keys.append(key)
        self._bodies_bytes += len(finished.body)
        while self._bodies_bytes > MAX_BODIES_BYTES:
            oldest = self._ended_keys.popleft()
            if self._release_body(oldest):
                self._records[oldest] = KeyForgotten()

    def expire(self, now_s: float) -> None:
        """Remove the expired records."""
        while self._expiry_queue and self._expiry_queue[0][0] <= now_s:
            expires_s, key = self._expiry_queue.popleft()
            if self._expires.get(key) != expires_s:
                continue
            del self._expires[key]
            self._release_body(key)
            del self._records[key]
        while self._ended_keys and self._ended_keys[0] not in self._records:
            self._ended_keys.popleft()

    def _settle(
        self, key: contracts.TaskKey, record: KeyRecord, now_s: float
    ) -> None:
        expires_s = now_s + START_WINDOW_S
        self._records[key] = record
        self._expires[key] = expires_s
        self._expiry_queue.append((expires_s, key))

    def _release_body(self, key: contracts.TaskKey) -> bool:
        """Subtract the size of a key's body; False if it has no body."""
        record = self._records.get(key)
        if not isinstance(record, KeyEnded):
            return False
        self._bodies_bytes -= len(record.finished.body)
        return True
