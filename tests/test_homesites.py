"""Homes are placed so that no declared failure takes a majority of a group."""

import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks.contracts import homeset
from eelgrassworks.contracts import homesites

# Entries with a disk and without one in each failure domain, by row: the
# twin and the full size of two deployments with four and three domains, and
# layouts in which not every failure can be borne.  Then the failures that
# take a majority of some group.
LAYOUTS: tuple[
    tuple[str, tuple[tuple[int, int], ...], tuple[str, ...]], ...
] = (
    ('small, four domains', ((2, 1),) * 4, ()),
    ('four domains', ((2, 3), (2, 2), (2, 2), (2, 2)), ()),
    ('three domains', ((2, 3),) * 3, ()),
    ('small, three domains', ((1, 2),) * 3, ()),
    ('no disks', ((0, 3),) * 3, ()),
    ('sixty entries', ((4, 11),) * 4, ()),
    ('three without a disk', ((2, 1),) * 3, ('disks',)),
    ('disks only', ((2, 0),) * 4, ('disks',)),
    ('two domains', ((2, 2),) * 2, ('domain:zone-1',)),
    ('one domain', ((3, 4),), ('domain:zone-1',)),
)


def make_entries(
    layout: tuple[tuple[int, int], ...],
) -> dict[str, homesites.RegisteredEntry]:
    """Return the entries of a layout, those with a disk on hosts ``disk``."""
    return {
        f'entry-{zone}-{kind}-{n}': homesites.RegisteredEntry(
            f'tcp://{kind}-{zone}-{n}:7001', f'zone-{zone}'
        )
        for zone, counts in enumerate(layout, 1)
        for kind, count in zip(('disk', 'bare'), counts, strict=True)
        for n in range(count)
    }


def make_sites(
    entries: dict[str, homesites.RegisteredEntry],
) -> homesites.Sites:
    """Return the sites of entries, with a replica on each host with a disk."""
    replicas = {
        f'control-{name}': f'tcp://{homesites.find_host(each.address)}:7002'
        for name, each in entries.items()
        if '//disk' in each.address
    }
    return homesites.make_sites(entries, replicas)


def count_left(
    formed: contracts.HomeSet,
    sites: homesites.Sites,
    lost: homesites.Failure,
) -> int:
    """Return how many groups keep a majority after a failure."""
    kept = 0
    for group in formed.groups:
        match lost:
            case homesites.DiskLoss():
                live = [n for n in group if not sites.find(n).has_disk]
            case homesites.DomainLoss(zone):
                live = [
                    n for n in group if sites.find(n).failure_domain != zone
                ]
        kept += len(live) >= homeset.count_majority(group)
    return kept


@ddt.ddt
class HomeSitesTest(unittest.TestCase):
    @ddt.data(*LAYOUTS)
    @ddt.unpack
    def test_first_homes_bear_the_declared_failures(
        self,
        _: str,
        layout: tuple[tuple[int, int], ...],
        exposed: tuple[str, ...],
    ) -> None:
        """Guards against groups that grant nothing while the core is off."""
        entries = make_entries(layout)
        sites = make_sites(entries)
        formed = homeset.form(tuple(entries), (), sites)
        self.assertEqual(
            tuple(sorted(sites.find_exposures(formed.groups))), exposed
        )
        failures: list[homesites.Failure] = [homesites.DiskLoss()]
        failures += [
            homesites.DomainLoss(f'zone-{n + 1}') for n in range(len(layout))
        ]
        for failure in failures:
            if homesites.describe_failure(failure) not in exposed:
                self.assertEqual(
                    count_left(formed, sites, failure), len(formed.groups)
                )

    @ddt.data(*LAYOUTS)
    @ddt.unpack
    def test_revision_bears_the_declared_failures_and_comes_to_an_end(
        self,
        _: str,
        layout: tuple[tuple[int, int], ...],
        __: tuple[str, ...],
    ) -> None:
        """Guards against homes that move for ever, or stay where they fail.

        The first homes are chosen without knowledge of their sites, as by an
        earlier version.
        """
        entries = make_entries(layout)
        sites = make_sites(entries)
        current = homeset.form(tuple(entries), ())
        while True:
            revised = homeset.revise(current, tuple(entries), (), sites)
            if revised is None:
                break
            self.assertEqual(revised.version, current.version + 1)
            names = set(revised.list_names())
            self.assertEqual(
                names - {revised.joining}, names & set(current.list_names())
            )
            current = revised
        best = homeset.form(tuple(entries), (), sites)
        self.assertLessEqual(
            sum(sites.find_exposures(current.groups).values()),
            sum(sites.find_exposures(best.groups).values()),
        )
        self.assertEqual(current.joining, '')
        self.assertLessEqual(current.version, 2 + 7 * len(current.groups))

    def test_entries_of_an_earlier_version_stay_homes(self) -> None:
        """Guards against moves for domains that are not known."""
        names = tuple(f'entry-{n:02}' for n in range(17))
        formed = homeset.form(names, ())
        entries = {
            name: homesites.RegisteredEntry(f'tcp://{name}:1')
            for name in names
        }
        sites = homesites.make_sites(entries, {})
        self.assertIsNone(homeset.revise(formed, names, (), sites))

    @ddt.data(
        ('tcp://10.1.0.2:7001', '10.1.0.2'),
        ('tcp://[::1]:7001', '[::1]'),
        ('tcp://entry-1', 'entry-1'),
        ('10.1.0.2:7001', '10.1.0.2'),
        ('', ''),
    )
    @ddt.unpack
    def test_host_of_an_address(self, address: str, host: str) -> None:
        self.assertEqual(homesites.find_host(address), host)
