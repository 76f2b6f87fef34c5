"""Replicas of the log: catching up, replacement, transfer, bounds."""

import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import control
from eelgrassworks import links
from eelgrassworks.contracts import ids
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import ledger
from eelgrassworks.trials import virtual
from tests import scenarios
from tests import worlds


def close_and_open(world: virtual.World, count: int) -> None:
    """Make changes one after the other, without waiting until in force."""
    for number in range(count):
        leader = worlds.await_leader(world)
        core = world.nodes[leader].core
        revision = core.ledger.configuration.revision
        change = (
            contracts.OpenDomain(worlds.DOMAINS[0])
            if number % 2
            else contracts.CloseDomain(worlds.DOMAINS[0])
        )
        worlds.ask_change(
            world, 'entry-1', change, revision, f'change-{number}'
        )
        world.run_until(
            lambda core=core, revision=revision: (
                core.ledger.configuration.revision > revision
            ),
            5.0,
        )


# When each of three replicas returns after a loss of all, in seconds, and the
# time after the return of the second within which an entry has a lease: the
# first election time, one write each for vote, opening and registration, and
# a few messages.
RETURNS: tuple[tuple[tuple[float, float, float], float], ...] = (
    ((0.0, 0.3, 5.0), 0.2),
    ((0.0, 0.7, 5.0), 0.2),
    ((0.0, 1.9, 5.0), 0.2),
    ((0.0, 0.0, 5.0), 0.7),
)


def lose_all(world: virtual.World) -> None:
    """Kill every replica and every entry."""
    for name in (*worlds.CONTROLS, *worlds.ENTRIES):
        world.kill(name)
    world.run(0.5)


@ddt.ddt
class ReplicaTest(unittest.TestCase):
    @ddt.data('kept', 'lost')
    def test_restart_hundreds_of_changes_behind(self, disk: str) -> None:
        world = worlds.make_world(agents=1)
        leader = worlds.find_leader(world)
        behind = next(n for n in worlds.CONTROLS if n != leader)
        world.kill(behind)
        close_and_open(world, 300)
        if disk == 'lost':
            world.lose_disk(behind)
        world.start(behind)
        core = world.nodes[behind].core
        world.run_until(lambda: core.ledger.configuration.revision == 301, 5)
        self.assertEqual(core.ledger.configuration.revision, 301)
        self.assertEqual(core.replica.counters['snapshots_installed'], 1)
        world.run(2.0)
        self.assertTrue(core.replica.is_voter)

    @ddt.data(*RETURNS)
    @ddt.unpack
    def test_lease_after_a_loss_of_all(
        self, returns_s: tuple[float, float, float], limit_s: float
    ) -> None:
        world = worlds.make_world(agents=1)
        lose_all(world)
        began_s = world.now_s
        for name in worlds.ENTRIES:
            world.start(name)
        for name, return_s in zip(worlds.CONTROLS, returns_s, strict=True):
            if return_s > 2.0:
                break
            world.run(began_s + return_s - world.now_s)
            world.start(name)
        majority_s = world.now_s
        session = world.nodes['entry-1'].core.session
        self.assertTrue(
            world.run_until(lambda: session.may_work(world.now_s), 5.0)
        )
        self.assertLessEqual(world.now_s - majority_s, limit_s)

    def test_registered_entry_need_not_ask_again(self) -> None:
        world = worlds.make_world(agents=1)
        world.kill('entry-1')
        world.run(0.5)
        before = world.tally.messages['EntryTerms']
        world.start('entry-1')
        session = world.nodes['entry-1'].core.session
        session.leader = worlds.find_leader(world)
        asked = world.tally.messages['EntryRenewal']
        world.run_until(lambda: session.may_work(world.now_s), 5.0)
        others = len(worlds.ENTRIES) - 1
        told = world.tally.messages['EntryTerms'] - before
        renewals = world.tally.messages['EntryRenewal'] - asked
        self.assertLessEqual(told, 1 + others)
        self.assertLessEqual(renewals, 2 + others)

    def test_second_loss_right_after_repair(self) -> None:
        world = worlds.make_world(agents=1)
        submission = worlds.make_submission(worlds.make_id(world), 4)
        worlds.await_answer(world, worlds.submit(world, 'entry-1', submission))
        for name in worlds.CONTROLS:
            world.kill(name)
            world.lose_disk(name)
            world.run(1.0)
            world.start(name)
            core = world.nodes[name].core
            repaired = world.run_until(lambda c=core: c.replica.is_voter, 10)
            self.assertTrue(repaired, name)
        again = worlds.submit(world, 'entry-2', submission)
        worlds.await_answer(world, again)
        world.run(60.0)
        self.assertEqual(scenarios.find_repeated(world), [])
        self.assertEqual(
            scenarios.find_untruths(world, {again: submission}), []
        )

    def test_planned_stop_hands_leadership_over(self) -> None:
        world = worlds.make_world()
        leader = worlds.find_leader(world)
        began_s = world.now_s
        world.give(leader, control.StopAsked())
        world.run_until(lambda: leader in world.left, 5.0)
        world.kill(leader)
        found = worlds.await_leader(world)
        self.assertNotIn(found, ('', leader))
        self.assertLess(world.now_s - began_s, 0.2)

    @ddt.data(*range(1, 9))
    def test_new_leader_after_kill(self, seed: int) -> None:
        world = worlds.make_world(seed=seed)
        began_s = world.now_s
        world.kill(worlds.find_leader(world))
        self.assertTrue(worlds.await_leader(world))
        self.assertLess(world.now_s - began_s, 2.0)

    @ddt.data(1, 3, 5)
    def test_minority_of_replicas_may_fail(self, count: int) -> None:
        names = tuple(f'control-{number + 1}' for number in range(count))
        world = worlds.make_world(controls=names)
        asked = {}
        for _ in range(count // 2 + 1):
            submission = worlds.make_submission(worlds.make_id(world), 5)
            request = worlds.submit(world, 'entry-1', submission)
            asked[request] = submission
            answer = worlds.await_answer(world, request)
            self.assertIsInstance(answer, contracts.Complete)
            if len(asked) <= count // 2:
                world.kill(worlds.find_leader(world))
                self.assertTrue(worlds.await_leader(world))
                world.run(1.0)
        self.assertEqual(scenarios.find_repeated(world), [])

    def test_majority_lost_is_told_truthfully(self) -> None:
        world = worlds.make_world()
        for name in worlds.CONTROLS[:2]:
            world.kill(name)
        world.run(3.0)
        submission = worlds.make_submission(worlds.make_id(world), 5)
        request = worlds.submit(world, 'entry-1', submission)
        answer = worlds.await_answer(world, request)
        self.assertIsInstance(answer, contracts.Failed)
        self.assertEqual(world.tally.starts, {})

    @ddt.data(0.0, 0.3, 1.0, 3.0)
    def test_killed_leader_comes_back(self, away_s: float) -> None:
        world = worlds.make_world()
        leader = worlds.find_leader(world)
        world.kill(leader)
        world.run(away_s)
        close_and_open(world, 2)
        world.start(leader)
        world.run(5.0)
        self.assertEqual(world.halted, {})
        self.assertTrue(world.nodes[leader].core.replica.has_standing)

    def test_older_folder_is_refused(self) -> None:
        world = worlds.make_world()
        leader = worlds.find_leader(world)
        behind = next(n for n in worlds.CONTROLS if n != leader)
        disk = world.nodes[behind].disk
        kept = list(disk.records)
        close_and_open(world, 3)
        world.kill(behind)
        disk.records = kept
        scenarios.delay_some(
            world,
            lambda _, receiver, m: (
                receiver == behind and isinstance(m, messages.AppendAsked)
            ),
            [0.5],
        )
        world.start(behind)
        world.run(1.0)
        refusal = world.halted[behind].refusal
        self.assertIn('older', refusal.values['reason'])
        self.assertIn('empty the folder', refusal.values['remedy'])

    def test_one_sync_serves_all_that_waited(self) -> None:
        world = worlds.make_world(agents=1)
        core = world.nodes[worlds.find_leader(world)].core
        before = core.counters['claim_batches']
        asked = [
            worlds.submit(
                world,
                'entry-1',
                worlds.make_submission(worlds.make_id(world), 1),
            )
            for _ in range(200)
        ]
        for request in asked:
            worlds.await_answer(world, request, 60.0)
        self.assertEqual(core.counters['claims'], 200)
        self.assertLessEqual(core.counters['claim_batches'] - before, 5)


class LedgerTest(unittest.TestCase):
    def test_claims_are_forgotten_truthfully(self) -> None:
        held = ledger.Ledger()

        held.apply(1, commands.RegisterEntry('entry-1', 'a', 5))
        old, new = ids.make_id(1_000_000), ids.make_id(3_000_000)

        def claim(submission: str, wall_ms: int) -> object:
            asked = contracts.Claim(submission, 'd', 'entry-1', 1)
            command = commands.CommitClaims((asked,), wall_ms)
            return held.apply(2, command)[0]

        granted = contracts.ClaimGranted(old)
        self.assertEqual(claim(old, 1_000_500), granted)
        self.assertEqual(claim(new, 1_000_500), contracts.ClaimFuture(new))
        self.assertEqual(claim(new, 3_000_000), contracts.ClaimGranted(new))
        # A clock that was set back must not open the window again.
        self.assertEqual(claim(old, 1_000_500), contracts.ClaimExpired(old))
        self.assertEqual(held.look_up(old), contracts.ClaimExpired(old))
        self.assertEqual(set(held.claims), {new})

    def test_replaced_run_cannot_register_again(self) -> None:
        held = ledger.Ledger()
        for index, nonce in enumerate((5, 6, 5, 6, 5), start=1):
            held.apply(index, commands.RegisterEntry('entry-1', 'a', nonce))
        record = held.entries['entry-1']
        self.assertEqual((record.nonce, record.incarnation), (6, 2))

    def test_snapshot_keeps_everything(self) -> None:
        held = ledger.Ledger()

        held.apply(1, commands.RegisterEntry('entry-1', 'a', 5))
        held.apply(
            2,
            commands.CommitChange(
                'c',
                'ama',
                0,
                links.pack(contracts.ApplySheet(worlds.SHEET)),
            ),
        )
        members = commands.SetMembers({'control-1': 'disk'}, {})
        copy = ledger.Ledger()
        self.assertEqual(copy.load(held.dump(members)), members)
        self.assertEqual(copy.dump(members), held.dump(members))
