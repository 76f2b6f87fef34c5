"""Entries that have a lease and do not know that the homes have changed."""

import dataclasses
from typing import Any
import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import control
from eelgrassworks import effects
from eelgrassworks import ownership
from eelgrassworks import zones
from eelgrassworks.contracts import home
from eelgrassworks.contracts import homeplacement
from eelgrassworks.contracts import jobs
from eelgrassworks.links import homeleases
from eelgrassworks.links import messages
from eelgrassworks.links import session
from eelgrassworks.trials import virtual
from tests import test_homes
from tests import test_transient
from tests import worlds

ENTRIES = tuple(f'entry-{n + 1}' for n in range(5))
RETURNING, JOINED = 'entry-1', 'entry-6'
LEASE_TTL_S = 5.0
# The homes that a submission does not reach, for each of the two entries:
# three of the five homes that each of them knows are left to it.
UNREACHED = {
    RETURNING: ('entry-2', 'entry-3', JOINED),
    JOINED: ('entry-4', 'entry-5'),
}
# For how long no roster reaches the entry that returns, in seconds.
ROSTER_DELAYS_S = (0.3, 0.9, 4.0)
# A request for the roster is sent at the next tick, and answered at once.
ROSTER_WAIT_S = homeleases.REQUEST_INTERVAL_S + 2 * virtual.TICK_S

# The leases of an entry by the time of the renewal, in seconds, and by the
# version of the homes, the version of the homes that it knows, the time, and
# whether it may act on these homes.  A lease lasts for 2 s.
LEASES: tuple[
    tuple[str, tuple[tuple[float, int], ...], int, float, bool], ...
] = (
    ('no lease', (), 3, 10.5, False),
    ('lease of the known homes', ((10.0, 3),), 3, 11.0, True),
    ('lease that has ended', ((10.0, 3),), 3, 12.0, False),
    ('lease before its roster', ((10.0, 4),), 3, 10.5, False),
    ('roster before its lease', ((10.0, 3),), 4, 10.5, True),
    ('no homes formed', ((10.0, 0),), 0, 10.5, True),
    ('change during a lease', ((10.0, 3), (11.0, 4)), 3, 11.9, True),
    ('change before the lease', ((10.0, 3), (11.0, 4)), 3, 12.1, False),
    ('roster after the change', ((10.0, 3), (11.0, 4)), 4, 12.1, True),
    ('earlier release', ((10.0, 0),), 3, 10.5, True),
    ('earlier release leads again', ((10.0, 4), (10.4, 0)), 3, 11.0, True),
)

# The homes after a change, the lowest version of homes that a running lease
# names, how long the job is owned, in seconds, and whether it lapses then.
# Its grants are from three of five former homes, which include entry-5.
CHANGES: tuple[tuple[str, tuple[str, ...], int, float, bool], ...] = (
    ('home replaced', (*ENTRIES[:4], JOINED), 1, 0.05, False),
    ('home replaced, no answer', (*ENTRIES[:4], JOINED), 1, 1.05, True),
    ('home replaced, lease ended', (*ENTRIES[:4], JOINED), 2, 0.05, True),
    ('home replaced, earlier release', (*ENTRIES[:4], JOINED), 0, 0.05, True),
    ('home added', (*ENTRIES, JOINED), 1, 0.05, False),
    ('home added, lease ended', (*ENTRIES, JOINED), 2, 0.05, True),
)


class ReturnWorld(virtual.World):
    """A world in which rosters to one entry can be lost."""

    loses_rosters = False

    def _deliver(
        self, sender: virtual.Node, peer: str, message: object, delay_s: float
    ) -> None:
        is_roster = isinstance(message, messages.RosterUpdate)
        if not (self.loses_rosters and is_roster and peer == RETURNING):
            super()._deliver(sender, peer, message, delay_s)


def make_world(seed: int) -> ReturnWorld:
    """Return a world with five entries, which are homes, and one target."""
    world = ReturnWorld(seed)
    world.claims_transient = True
    world.lease_ttl_s = LEASE_TTL_S
    world.run_model = lambda *_: (test_transient.TASK_S, True)
    world.add_control(worlds.CONTROLS, voters=len(worlds.CONTROLS))
    for name in ENTRIES:
        world.add_entry(name, worlds.CONTROLS)
    target = dataclasses.replace(
        worlds.make_target(0, 0),
        service='cover-check',
        room=test_transient.ROOM,
    )
    world.add_agent(target, (*ENTRIES, JOINED), 8, test_transient.ENTRY_TTL_S)
    proposed = contracts.ReplaceSheet(1, test_transient.SHEET, b'document')
    worlds.change(
        world, RETURNING, proposed, contracts.ANY_REVISION, 'sheet-1'
    )
    world.run(4.0)
    return world


def let_entry_be_away(world: ReturnWorld) -> None:
    """Cut an entry off until another one has taken its place as a home."""
    for other in world.nodes:
        test_transient.cut_link(world, RETURNING, other)
    world.run(control.ENTRY_TTL_S + 1.0)
    world.add_entry(JOINED, worlds.CONTROLS)
    test_transient.cut_link(world, RETURNING, JOINED)
    world.run(homeplacement.CHANGE_INTERVAL_S + home.JOIN_DELAY_S + 11.5)
    world.loses_rosters = True
    world.cut.clear()


def find_core(world: virtual.World, name: str) -> Any:
    """Return the decisions of a process."""
    return world.nodes[name].core


def find_owners(world: virtual.World) -> list[str]:
    """Return the entries that own the id of the job."""
    return [
        name
        for name in (*ENTRIES, JOINED)
        for job in find_core(world, name).table.list_open()
        if job.state == jobs.JobState.ACTIVE
    ]


@ddt.ddt
class ReturnTest(unittest.TestCase):
    # Guards against two owners of one id if an entry has a lease before it
    # knows that the homes have changed.
    @ddt.data(*ROSTER_DELAYS_S)
    def test_entry_that_returns_owns_nothing_by_former_homes(
        self, delay_s: float
    ) -> None:
        world = make_world(1)
        let_entry_be_away(world)
        returning = find_core(world, RETURNING)
        current = find_core(world, JOINED).ownership.homes
        self.assertNotIn(RETURNING, current.list_names())
        self.assertIn(JOINED, current.list_names())
        for name, others in UNREACHED.items():
            for other in others:
                test_transient.cut_link(world, name, other)
        world.run_until(
            lambda: returning.session.lease.is_valid(world.now_s), 4.0
        )
        self.assertIn(RETURNING, returning.ownership.homes.list_names())
        world.at(delay_s, lambda: setattr(world, 'loses_rosters', False))
        test_transient.submit(world, JOINED)
        test_transient.submit(world, RETURNING)
        owned: set[str] = set()
        for _ in range(round((delay_s + 2.0) / virtual.TICK_S)):
            world.run(virtual.TICK_S)
            owners = find_owners(world)
            self.assertLessEqual(len(owners), 1)
            owned.update(owners)
        self.assertEqual(owned, {JOINED})

    # Guards against an entry that is ready and owns nothing for seconds,
    # since the roster was lost and is not sent again soon.
    @ddt.data(*ROSTER_DELAYS_S)
    def test_entry_that_returns_gets_a_lost_roster_soon(
        self, delay_s: float
    ) -> None:
        world = make_world(1)
        let_entry_be_away(world)
        core = find_core(world, RETURNING)
        world.run_until(lambda: core.session.lease.is_valid(world.now_s), 4.0)
        world.run(delay_s)
        self.assertFalse(core.session.confirms_homes(world.now_s))
        world.loses_rosters = False
        world.run(ROSTER_WAIT_S)
        self.assertTrue(core.session.confirms_homes(world.now_s))
        request = test_transient.submit(world, RETURNING)
        answer = worlds.await_answer(world, request)
        self.assertIsInstance(answer, contracts.Complete)

    # Guards against an entry that acts on former homes, as an owner or as a
    # home, for longer than the delay of a joining home allows for.
    def test_former_homes_count_no_longer_than_their_bound(self) -> None:
        world = make_world(1)
        core = find_core(world, RETURNING)
        world.loses_rosters = True
        world.kill('entry-5')
        world.run(control.ENTRY_TTL_S + 1.0)
        world.add_entry(JOINED, worlds.CONTROLS)
        leader = find_core(world, worlds.find_leader(world))
        former = leader.ledger.homes.version
        world.run_until(lambda: leader.ledger.homes.version > former, 15.0)
        self.assertIn(JOINED, leader.ledger.homes.list_names())
        self.assertTrue(core.session.confirms_homes(world.now_s))
        world.run(home.HOME_SET_TTL_S)
        self.assertEqual(core.ownership.homes.version, former)
        self.assertTrue(core.session.has_confirmed_lease(world.now_s))
        self.assertFalse(core.session.confirms_homes(world.now_s))


@ddt.ddt
class HomeLeaseTest(unittest.TestCase):
    # Guards against a lease that counts for homes which had been replaced
    # before it was granted, and against a standstill while a roster is on its
    # way or the leader is of an earlier release.
    @ddt.data(*LEASES)
    @ddt.unpack
    def test_lease_counts_for_the_homes_that_it_names_or_later_ones(
        self,
        _: str,
        leases: tuple[tuple[float, int], ...],
        known: int,
        now_s: float,
        counts: bool,
    ) -> None:
        options = session.SessionOptions('entry-1', '', 1, ('control-1',))
        core = session.Session(options)
        core.tick(10.0)
        roster = messages.RosterUpdate(
            {}, {}, 'control-1', contracts.HomeSet(known, (ENTRIES,))
        )
        core.handle_roster(roster, 10.0, 'control-1')
        for sent_s, version in leases:
            lease = messages.EntryLease(
                int(sent_s * 1000),
                int(zones.LEASE_TTL_S * 1000),
                1,
                1,
                7,
                version,
            )
            core.handle_lease('control-1', lease, sent_s)
        self.assertEqual(core.confirms_homes(now_s), counts)
        requests = [
            each
            for each in core.tick(now_s)
            if isinstance(each, effects.Send)
            and isinstance(each.message, messages.RosterRequest)
        ]
        is_lacking = any(
            version > known and now_s < sent_s + zones.LEASE_TTL_S
            for sent_s, version in leases
        )
        self.assertEqual(len(requests), is_lacking)
        self.assertEqual(core.tick(now_s), [])

    # Guards against an owner by grants of a group that may be a former one,
    # and against a job that waits although its grants have come meanwhile.
    def test_owner_by_grants_alone_waits_for_authority(self) -> None:
        core = test_homes.make_entry(1)
        requests = test_homes.claim_job(core)
        core.set_authority(False)
        outcomes = [
            outcome
            for peer, request in requests.items()
            for outcome in core.handle_response(
                peer,
                messages.OwnershipResponse(request),
                test_homes.READY_S + 0.01,
            )
        ]
        outcomes += core.tick(test_homes.READY_S + 0.02)
        self.assertEqual(outcomes, [])
        core.set_authority(True)
        self.assertEqual(
            core.tick(test_homes.READY_S + 0.03),
            [ownership.JobGranted('job/1-1')],
        )

    # Guards against the end of a young job when a live home gives its place
    # to another one, before all homes have its renewals.
    @ddt.data(*CHANGES)
    @ddt.unpack
    def test_grants_of_former_homes_count_while_a_lease_names_them(
        self,
        _: str,
        changed: tuple[str, ...],
        oldest: int,
        elapsed_s: float,
        lapses: bool,
    ) -> None:
        now_s = test_homes.READY_S
        core = ownership.Ownership('entry-7', 1)
        core.begin(0.0)
        core.apply_homes(contracts.HomeSet(1, (ENTRIES,)), 0.0)
        core.set_authority(True, 1)
        for name in ENTRIES[:2]:
            core.choice.contacts[name].unanswered_s = 0.0
        requests = test_homes.claim_job(core)
        self.assertEqual(set(requests), set(ENTRIES[2:]))
        outcomes = [
            outcome
            for peer, request in requests.items()
            for outcome in core.handle_response(
                peer, messages.OwnershipResponse(request), now_s
            )
        ]
        self.assertEqual(outcomes, [ownership.JobGranted('job/1-1')])
        core.apply_homes(contracts.HomeSet(2, (changed,), JOINED), now_s)
        core.set_authority(True, oldest)
        lapsed = [ownership.OwnershipLapsed('job/1-1')] if lapses else []
        self.assertEqual(core.tick(now_s + elapsed_s), lapsed)


if __name__ == '__main__':
    unittest.main()
