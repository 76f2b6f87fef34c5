"""Processor and memory that a task requires or a target offers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Processor in thousandths of a core, memory in mebibytes."""

    cpu_millis: int = 0
    memory_mib: int = 0

    def covers(self, other: 'Room') -> bool:
        """Tell whether ``other`` fits within these amounts."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mib >= other.memory_mib
        )

    def measure_work(self, run_s: float) -> float:
        """Return the processor-seconds of a run of ``run_s`` seconds."""
        return self.cpu_millis / 1000 * run_s

    def add(self, other: 'Room') -> 'Room':
        """Return the sum."""
        return Room(
            self.cpu_millis + other.cpu_millis,
            self.memory_mib + other.memory_mib,
        )

    def subtract(self, other: 'Room') -> 'Room':
        """Return the difference; it may be negative."""
        return Room(
            self.cpu_millis - other.cpu_millis,
            self.memory_mib - other.memory_mib,
        )

    def scale(self, count: int) -> 'Room':
        """Return ``count`` times these amounts."""
        return Room(self.cpu_millis * count, self.memory_mib * count)

    def cover(self, other: 'Room') -> 'Room':
        """Return the least amounts that cover both."""
        return Room(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mib, other.memory_mib),
        )

    def clamp(self) -> 'Room':
        """Return these amounts with 0 for negative ones."""
        return Room(max(0, self.cpu_millis), max(0, self.memory_mib))

    def count(self, each: 'Room') -> int:
        """Return how many demands of ``each`` fit within these amounts.

        ``each`` has some processor or memory; otherwise the result is 0.
        """
        pairs = (
            (self.cpu_millis, each.cpu_millis),
            (self.memory_mib, each.memory_mib),
        )
        counts = [amount // need for amount, need in pairs if need > 0]
        return max(0, min(counts, default=0))


NO_ROOM = Room()
