"""Members of the replicated log over its entries.

A change of the members counts from the moment it is in the log, committed or
not, and ends to count when its entry is truncated.
"""

from collections.abc import Iterable

from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.replication import commands


class Membership:
    """The members after each change that the log still holds."""

    def __init__(self, index: int, members: commands.SetMembers) -> None:
        self._history = [(index, members)]

    @property
    def current(self) -> commands.SetMembers:
        """Return the latest members in the log."""
        return self._history[-1][1]

    @property
    def changed_at(self) -> int:
        """Return the index of the latest change."""
        return self._history[-1][0]

    @property
    def majority(self) -> int:
        """Return how many voters make a majority."""
        return len(self.current.voters) // 2 + 1

    def find(self, index: int) -> commands.SetMembers:
        """Return the members as of an index."""
        return [members for at, members in self._history if at <= index][-1]

    def collect(self, entries: Iterable[messages.LogEntry]) -> None:
        """Take the changes among appended entries."""
        for entry in entries:
            if entry.command[0] == codec.find_tag(commands.SetMembers):
                change = codec.unpack(entry.command)
                self._history.append((entry.index, change))

    def truncate(self, keep: int) -> None:
        """Forget the changes after an index."""
        while len(self._history) > 1 and self._history[-1][0] > keep:
            self._history.pop()

    def trim(self, index: int) -> None:
        """Forget what a snapshot up to an index covers."""
        while len(self._history) > 1 and self._history[1][0] <= index:
            self._history.pop(0)

    def holds_disk(self, name: str, disk: str) -> bool:
        """Tell whether a member has this disk."""
        members = self.current
        known = members.voters.get(name) or members.learners.get(name)
        return known == disk
