"""Where homes are, and how many of them one declared failure takes at once.

A service declares that it bears the loss of one failure domain, and that all
machines with a disk may be without power for some seconds.  Neither may take
a majority of a group of homes, since no job of the group could be claimed.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """What a process may be lost with.

    ``failure_domain`` is empty if it isn't known.  ``has_disk`` is set on a
    machine that holds a replica of the log.
    """

    failure_domain: str = ''
    has_disk: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DiskLoss:
    """All machines with a disk lose their power at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class DomainLoss:
    """All machines of a failure domain are lost."""

    failure_domain: str


Failure = DiskLoss | DomainLoss
UNKNOWN: Final = Site()


def describe_failure(failure: Failure) -> str:
    """Return how a log line names a failure."""
    match failure:
        case DiskLoss():
            return 'disks'
        case DomainLoss(failure_domain):
            return f'domain:{failure_domain}'


def count_minority(size: int) -> int:
    """Return how many homes of a group may be lost at once."""
    return (size - 1) // 2


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredEntry:
    """Address and failure domain of an entry, as it has registered them."""

    address: str
    failure_domain: str = ''


class Sites:
    """The sites of processes by name; a process without one is unknown."""

    def __init__(self, sites: Mapping[str, Site]) -> None:
        self._sites = dict(sites)

    def find(self, name: str) -> Site:
        """Return the site of a process."""
        return self._sites.get(name, UNKNOWN)

    def count_excess(self, group: Sequence[str], size: int = 0) -> int:
        """Return how many homes above a minority the failures take.

        It is summed over the failures; 0 if each of them leaves a majority.
        ``size`` is that of the whole group, if only some homes are chosen.
        """
        allowed = count_minority(max(size, len(group)))
        taken = self._count_taken(group)
        return sum(max(0, count - allowed) for count in taken.values())

    def find_exposures(
        self, groups: Iterable[Sequence[str]]
    ) -> dict[str, int]:
        """Return by failure how many groups lose their majority to it."""
        exposures: dict[str, int] = {}
        for group in groups:
            allowed = count_minority(len(group))
            for failure, count in self._count_taken(group).items():
                if count > allowed:
                    text = describe_failure(failure)
                    exposures[text] = exposures.get(text, 0) + 1
        return exposures

    def choose(
        self, names: Sequence[str], group: Sequence[str], size: int
    ) -> str:
        """Return the next home of a group, which is to have a given size.

        Homes without a disk come first, up to a majority; the others leave
        them the work.  Among those the domain with the fewest homes of the
        group, then the one with the most names left.  Names of the same site
        are taken far apart, since neighbours in their order often fail
        together where the domains aren't known.
        """
        by_site: dict[Site, list[str]] = {}
        for name in names:
            by_site.setdefault(self.find(name), []).append(name)
        sites = [self.find(name) for name in group]
        without_disk = sum(not site.has_disk for site in sites)
        has_disk = without_disk > count_minority(size)

        def find_rank(site: Site) -> tuple[int, bool, int, int, str]:
            domain = site.failure_domain
            shared = sum(domain == each.failure_domain for each in sites)
            return (
                self.count_excess((*group, by_site[site][0]), size),
                site.has_disk != has_disk,
                shared if domain else 0,
                -len(by_site[site]),
                domain,
            )

        candidates = by_site[min(by_site, key=find_rank)]
        return candidates[len(group) * len(candidates) // size]

    def list_distinct(self, names: Iterable[str]) -> list[str]:
        """Return the first of the names at each site."""
        firsts: dict[Site, str] = {}
        for name in names:
            firsts.setdefault(self.find(name), name)
        return list(firsts.values())

    def _count_taken(self, group: Sequence[str]) -> dict[Failure, int]:
        """Return by failure how many homes of a group it takes."""
        taken: dict[Failure, int] = {}
        for name in group:
            site = self.find(name)
            if site.has_disk:
                taken[DiskLoss()] = taken.get(DiskLoss(), 0) + 1
            if site.failure_domain:
                loss = DomainLoss(site.failure_domain)
                taken[loss] = taken.get(loss, 0) + 1
        return taken


NO_SITES: Final = Sites({})


def find_host(address: str) -> str:
    """Return the host of an address, with or without a port."""
    location = address.partition('://')[2] or address
    return location.rpartition(':')[0] or location


def make_sites(
    entries: Mapping[str, RegisteredEntry], replicas: Mapping[str, str]
) -> Sites:
    """Return the sites of entries and replicas, by their addresses.

    Entries on the host of a replica are on a machine with a disk; a replica
    is in the failure domain of the entries on its host.
    """
    replica_hosts = {find_host(address) for address in replicas.values()}
    domains = {
        find_host(entry.address): entry.failure_domain
        for entry in entries.values()
    }
    sites = {
        name: Site(domains.get(find_host(address), ''), True)
        for name, address in replicas.items()
    }
    for name, entry in entries.items():
        has_disk = find_host(entry.address) in replica_hosts
        sites[name] = Site(entry.failure_domain, has_disk)
    return Sites(sites)
