"""Tracks the writes of a replica and the effects that wait for their sync."""

import collections

from eelgrassworks import effects


class Durability:
    """Numbers the writes and defers effects until they are durable."""

    def __init__(self, last_index: int) -> None:
        self.sequence = 0
        self.index = last_index
        self._synced = 0
        self._writes: collections.deque[tuple[int, int]] = collections.deque()
        self._deferred: collections.deque[tuple[int, int, effects.Effects]] = (
            collections.deque()
        )

    @property
    def is_complete(self) -> bool:
        """Return whether every write is durable."""
        return self._synced >= self.sequence

    def record_write(self, last_index: int) -> int:
        """Record a write up to a log index; return its sequence number."""
        self.sequence += 1
        self._writes.append((self.sequence, last_index))
        return self.sequence

    def record_truncation(self, keep: int) -> None:
        """Record that the entries after ``keep`` were truncated."""
        self.index = min(self.index, keep)
        self._writes = collections.deque(
            (sequence, min(last, keep)) for sequence, last in self._writes
        )

    def defer(self, term: int, deferred: effects.Effects) -> None:
        """Defer effects until the last write is durable."""
        self._deferred.append((self.sequence, term, deferred))

    def record_synced(self, sequence: int, term: int) -> effects.Effects:
        """Record a sync; return the deferred effects that it releases.

        Effects deferred in an earlier term are dropped: a promise made in
        that term must not be sent in a later one.
        """
        self._synced = max(self._synced, sequence)
        while self._writes and self._writes[0][0] <= self._synced:
            self.index = self._writes.popleft()[1]
        released: effects.Effects = []
        while self._deferred and self._deferred[0][0] <= self._synced:
            _, deferred_term, deferred = self._deferred.popleft()
            if deferred_term == term:
                released += deferred
        return released
