"""Service while the replicas are away, and after the loss of all power."""

import unittest

import ddt
import minicheck

from eelgrassworks import contracts
from eelgrassworks import zones
from eelgrassworks.links import messages
from eelgrassworks.links import session
from models import revisions

# Revision of the lease and of the configuration, the time since the renewal,
# and whether work may start: new revisions arrive while a lease runs.
REVISIONS: tuple[tuple[str, int, int, float, bool], ...] = (
    ('same revision', 2, 2, 1.0, True),
    ('push of a new leader before its lease', 2, 3, 1.0, True),
    ('two pushes', 2, 4, 1.0, True),
    ('lease ended', 2, 3, zones.LEASE_TTL_S, False),
    ('lease before its configuration', 3, 2, 1.0, False),
)


@ddt.ddt
class RevisionTest(unittest.TestCase):
    @ddt.data(*REVISIONS)
    @ddt.unpack
    def test_lease_of_an_earlier_revision_counts_until_its_end(
        self,
        _: str,
        leased: int,
        configured: int,
        elapsed_s: float,
        may_start: bool,
    ) -> None:
        """Guards against a standstill at each push of a configuration."""
        options = session.SessionOptions('entry-1', '', 1, ('control-1',))
        core = session.Session(options)
        core.tick(10.0)
        lease = messages.EntryLease(
            10_000, int(zones.LEASE_TTL_S * 1000), leased, 0, 7
        )
        core.handle_lease('control-1', lease, 10.0)
        core.apply_configuration(
            'control-1',
            contracts.Configuration(
                configured,
                contracts.Sheet({}, {}),
                frozenset(),
                frozenset(),
            ),
        )
        self.assertEqual(core.has_confirmed_lease(10.0 + elapsed_s), may_start)

    @ddt.data('', *revisions.FENCES)
    def test_no_start_after_a_close_is_in_force(self, fence: str) -> None:
        """Guards against a lease that outlives a close in force."""
        result = minicheck.check_safety(
            revisions.make(fence), max_states=revisions.MAX_STATES
        )
        self.assertTrue(result['exhaustive'])
        holds = result['properties']['no_late_start']['holds']
        self.assertEqual(holds, not fence)
