"""The homes of transient jobs: which processes know the owner of a job.

A home is a process that keeps in memory which entry owns a job.  An entry
owns a job once a majority of the homes of its id has granted it.  Homes are
divided into groups, and the hash of an id chooses its group, so that the work
of a home does not grow with the number of homes.

A change of the set replaces or adds one home.  The new home grants nothing
until all that was granted without it has ended, so any two majorities that
count at the same time have a home in common.  Homes never become fewer.
"""

from collections.abc import Sequence
import dataclasses
from typing import Final

import xxhash

# Homes of one id: bears three losses.
GROUP_SIZE: Final = 7
# With fewer entries, replicas are homes too.
MIN_ENTRIES: Final = 5


@dataclasses.dataclass(frozen=True, slots=True)
class HomeSet:
    """The homes by group, at a version.

    ``joining`` is the home that the latest change has added; it is empty in
    the first version.
    """

    version: int = 0
    groups: tuple[tuple[str, ...], ...] = ()
    joining: str = ''

    def find_group(self, submission: str) -> tuple[str, ...]:
        """Return the homes of a job by the id that its caller chose."""
        if not self.groups:
            return ()
        digest = xxhash.xxh3_64_intdigest(submission.encode())
        return self.groups[digest % len(self.groups)]

    def list_names(self) -> tuple[str, ...]:
        """Return the names of all homes."""
        return tuple(name for group in self.groups for name in group)


NO_HOMES: Final = HomeSet()


def find_share(text: str) -> float:
    """Return a number from 0 to 1 that depends on a text alone."""
    return xxhash.xxh32_intdigest(text.encode()) / 0xFFFFFFFF


def count_majority(group: Sequence[str]) -> int:
    """Return how many homes of a group must grant a job."""
    return len(group) // 2 + 1


def form(entries: Sequence[str], replicas: Sequence[str]) -> HomeSet:
    """Return the first set of homes, for the given live processes.

    Replicas are homes only where there are too few entries to bear the loss
    of one of them.  Neighbours in the order of names often share a failure
    domain, so the homes of a group are far apart in this order.
    """
    names = sorted(entries)
    if len(names) < MIN_ENTRIES:
        names += sorted(replicas)[: MIN_ENTRIES - len(names)]
    count = max(1, len(names) // GROUP_SIZE)
    size = min(len(names), GROUP_SIZE)
    total = count * (size - (size + 1) % 2)
    chosen = [names[n * len(names) // total] for n in range(total)]
    return HomeSet(1, tuple(tuple(chosen[n::count]) for n in range(count)))


def revise(
    current: HomeSet, entries: Sequence[str], replicas: Sequence[str]
) -> HomeSet | None:
    """Return the set with one home replaced or added; None to keep it.

    A home that has ended gives its place to an entry that is no home yet,
    then a replica does.  A single group grows to its largest size.
    """
    homes = current.list_names()
    spare = [name for name in sorted(entries) if name not in homes]
    if not spare:
        return None
    joining = spare[0]
    leaving = _find_replaced(homes, entries, replicas)
    if leaving:
        groups = tuple(
            tuple(joining if name == leaving else name for name in group)
            for group in current.groups
        )
    elif len(homes) < GROUP_SIZE:
        groups = ((*homes, joining),)
    else:
        return None
    return HomeSet(current.version + 1, groups, joining)


def _find_replaced(
    homes: Sequence[str], entries: Sequence[str], replicas: Sequence[str]
) -> str:
    """Return the home that gives its place to an entry, or nothing."""
    ended = [name for name in homes if name not in {*entries, *replicas}]
    others = [name for name in homes if name not in entries]
    return next(iter([*ended, *others]), '')
