"""History of the members of the replicated log.

A membership change takes effect as soon as its entry is in the log, committed
or not, and is undone when the entry is truncated.
"""

from collections.abc import Iterable

from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.replication import commands


class Membership:
    """Members after each change that is still in the log."""

    def __init__(self, index: int, members: commands.SetMembers) -> None:
        self._history = [(index, members)]

    @property
    def current(self) -> commands.SetMembers:
        """Return the latest members in the log."""
        return self._history[-1][1]

    @property
    def changed_index(self) -> int:
        """Return the index of the latest change."""
        return self._history[-1][0]

    @property
    def majority(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.current.voters) // 2 + 1

    def find(self, index: int) -> commands.SetMembers:
        """Return the members as of an index."""
        return [members for at, members in self._history if at <= index][-1]

    def apply_entries(self, entries: Iterable[messages.LogEntry]) -> None:
        """Apply the membership changes among appended entries."""
        for entry in entries:
            if entry.command[0] == codec.find_tag(commands.SetMembers):
                change = codec.unpack(entry.command)
                self._history.append((entry.index, change))

    def truncate(self, keep: int) -> None:
        """Undo the changes after an index."""
        while len(self._history) > 1 and self._history[-1][0] > keep:
            self._history.pop()

    def trim(self, index: int) -> None:
        """Drop the history that a snapshot up to an index covers."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            self._history.pop(0)

    def holds_disk(self, name: str, disk: str) -> bool:
        """Return whether a member is registered with this disk."""
        return self._find_disk(name) == disk

    def may_hold_disk(self, name: str, disk: str) -> bool:
        """Return whether no other disk is registered for this name."""
        return self._find_disk(name) in (None, disk)

    def _find_disk(self, name: str) -> str | None:
        members = self.current
        return members.voters.get(name) or members.learners.get(name)
