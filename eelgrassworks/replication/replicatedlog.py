"""The part of the replicated log that a replica holds in memory.

Entries up to ``base_index`` are covered by the snapshot and removed.
"""

from typing import Final

from eelgrassworks.links import messages

MAX_APPEND_ENTRIES: Final = 256
# Far below the size of a frame, so that a member answers soon and other
# messages fit into the same frame.
MAX_APPEND_BYTES: Final = 1024 * 1024


def measure_entry(entry: messages.LogEntry) -> int:
    """Return the size of an entry's command in bytes."""
    return len(entry.command[1])


class ReplicatedLog:
    """Entries after a snapshot at ``base_index``."""

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[messages.LogEntry] = []

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def find_term(self, index: int) -> int | None:
        """Return the term at an index; None when it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def get(self, index: int) -> messages.LogEntry:
        """Return the entry at an index above the base."""
        return self.entries[index - self.base_index - 1]

    def list_range(
        self, index: int, last_index: int
    ) -> tuple[messages.LogEntry, ...]:
        """Return the entries after ``index`` up to ``last_index``."""
        start = index - self.base_index
        return tuple(self.entries[start : last_index - self.base_index])

    def list_after(
        self, index: int, pending_bytes: int = 0
    ) -> tuple[messages.LogEntry, ...]:
        """Return the entries after an index that one append may contain.

        Their size and ``pending_bytes`` together stay below
        ``MAX_APPEND_BYTES``.  An entry that exceeds it is sent by itself when
        nothing else is pending.
        """
        first = index - self.base_index
        total_bytes = pending_bytes
        end = first
        for entry in self.entries[first : first + MAX_APPEND_ENTRIES]:
            total_bytes += measure_entry(entry)
            is_only = not pending_bytes and end == first
            if total_bytes > MAX_APPEND_BYTES and not is_only:
                break
            end += 1
        return tuple(self.entries[first:end])

    def append(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Add entries that follow the last one."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(
                    f'entry {entry.index} does not follow {self.last_index}'
                )
            self.entries.append(entry)

    def truncate(self, keep: int) -> None:
        """Drop the entries after ``keep``."""
        if keep < self.base_index:
            raise ValueError(
                f'cannot truncate after {keep}: it is before the snapshot'
            )
        del self.entries[keep - self.base_index :]

    def compact(self, index: int, term: int) -> None:
        """Drop the entries up to ``index``, which a snapshot covers.

        Drops all entries when the log does not contain ``index`` at ``term``.
        """
        held_term = self.find_term(index)
        if held_term == term:
            del self.entries[: index - self.base_index]
        else:
            self.entries = []
        self.base_index = index
        self.base_term = term
