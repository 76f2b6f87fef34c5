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

from eelgrassworks.contracts import homesites

# Homes of one id: bears three losses.
GROUP_SIZE: Final = 7
# With fewer entries, replicas are homes too.
MIN_ENTRIES: Final = 5


@dataclasses.dataclass(frozen=True, slots=True)
class HomeSet:
    """The homes by group, at a version.

    ``joining`` is the home that the latest change has added; it is empty in
    the first version, and once the home has joined.
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


def form(
    entries: Sequence[str],
    replicas: Sequence[str],
    sites: homesites.Sites = homesites.NO_SITES,
) -> HomeSet:
    """Return the first set of homes, for the given live processes.

    Replicas are homes only where there are too few entries to bear the loss
    of one of them.
    """
    names = sorted(entries)
    if len(names) < MIN_ENTRIES:
        names += sorted(replicas)[: MIN_ENTRIES - len(names)]
    count = max(1, len(names) // GROUP_SIZE)
    size = min(len(names), GROUP_SIZE)
    size -= (size + 1) % 2
    groups: list[tuple[str, ...]] = []
    for _ in range(count):
        group: tuple[str, ...] = ()
        while len(group) < size:
            chosen = sites.choose(names, group, size)
            names.remove(chosen)
            group = (*group, chosen)
        groups.append(group)
    return HomeSet(1, tuple(groups))


def revise(
    current: HomeSet,
    entries: Sequence[str],
    replicas: Sequence[str],
    sites: homesites.Sites = homesites.NO_SITES,
) -> HomeSet | None:
    """Return the set with one home replaced or added; None to keep it.

    A home that has ended gives its place to an entry that is no home yet,
    then a replica does.  A single group grows to its largest size.  At last a
    live home is replaced, if fewer homes are then lost to one failure.  Each
    such change lowers a whole number, so these changes come to an end.  After
    the last change the set is the same without a joining home.
    """
    homes = current.list_names()
    spare = [name for name in sorted(entries) if name not in homes]
    if not spare:
        return _settle(current)
    joining = sites.list_distinct(spare)
    live = {*entries, *replicas}
    leaving = [name for name in homes if name not in live]
    leaving = leaving or [name for name in homes if name not in entries]
    if leaving:
        changes = _list_replacements(current, leaving, joining)
    elif len(homes) < GROUP_SIZE:
        changes = [Change((*homes, name), name, homes) for name in joining]
        if len(spare) == 1:
            # A group of an even size bears no more losses than before.
            changes = [each for each in changes if each.count_gain(sites) >= 0]
    else:
        changes = [
            each
            for each in _list_replacements(current, homes, joining)
            if each.count_gain(sites) > 0
        ]
    if not changes:
        return _settle(current)
    best = max(changes, key=lambda each: each.count_gain(sites))
    groups = tuple(
        best.group if group == best.previous else group
        for group in current.groups
    )
    return HomeSet(current.version + 1, groups, best.joining)


def _settle(current: HomeSet) -> HomeSet | None:
    """Return the same homes without a joining one; None if there is none.

    The joining home has waited meanwhile, since changes are further apart than
    its delay.  If it is restarted later, it need not wait so long again.
    """
    if not current.joining:
        return None
    return HomeSet(current.version + 1, current.groups)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A group in which one home is replaced or added."""

    group: tuple[str, ...]
    joining: str
    previous: tuple[str, ...]

    def count_gain(self, sites: homesites.Sites) -> int:
        """Return how many homes less the failures take above a minority."""
        previous = sites.count_excess(self.previous)
        return previous - sites.count_excess(self.group)


def _list_replacements(
    current: HomeSet, leaving: Sequence[str], joining: Sequence[str]
) -> list[Change]:
    """Return the changes that replace one home, in order of the homes."""
    return [
        Change(
            tuple(new if name == old else name for name in group), new, group
        )
        for group in current.groups
        for old in group
        if old in leaving
        for new in joining
    ]
