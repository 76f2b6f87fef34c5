"""Replicas of the log: catch-up, disk loss, leadership and the ledger."""

import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import control
from eelgrassworks import effects
from eelgrassworks import links
from eelgrassworks.contracts import ids
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import ledger
from eelgrassworks.trials import virtual
from tests import scenarios
from tests import worlds


def commit_changes(world: virtual.World, count: int) -> None:
    """Commit changes in sequence, without waiting until they take effect."""
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


# When each of three replicas restarts after all were killed, in seconds, and
# how long after the restart of the second an entry may wait for its lease.
# The limit covers the first election timeout, one write each for the vote, the
# leader's no-op entry and the registration, and a few messages.
RESTART_CASES: tuple[tuple[tuple[float, float, float], float], ...] = (
    ((0.0, 0.3, 5.0), 0.2),
    ((0.0, 0.7, 5.0), 0.2),
    ((0.0, 1.9, 5.0), 0.2),
    ((0.0, 0.0, 5.0), 0.7),
)


def kill_all(world: virtual.World) -> None:
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
        lagging = next(n for n in worlds.CONTROLS if n != leader)
        world.kill(lagging)
        commit_changes(world, 300)
        if disk == 'lost':
            world.lose_disk(lagging)
        world.start(lagging)
        core = world.nodes[lagging].core
        world.run_until(lambda: core.ledger.configuration.revision == 301, 5)
        self.assertEqual(core.ledger.configuration.revision, 301)
        self.assertEqual(core.replica.counters['snapshots_installed'], 1)
        world.run(2.0)
        self.assertTrue(core.replica.is_voter)

    @ddt.data(*RESTART_CASES)
    @ddt.unpack
    def test_lease_after_a_loss_of_all(
        self, restart_times_s: tuple[float, float, float], limit_s: float
    ) -> None:
        world = worlds.make_world(agents=1)
        kill_all(world)
        started_s = world.now_s
        for name in worlds.ENTRIES:
            world.start(name)
        for name, restart_s in zip(
            worlds.CONTROLS, restart_times_s, strict=True
        ):
            if restart_s > 2.0:
                break
            world.run(started_s + restart_s - world.now_s)
            world.start(name)
        majority_s = world.now_s
        session = world.nodes['entry-1'].core.session
        self.assertTrue(
            world.run_until(
                lambda: session.has_confirmed_lease(world.now_s), 5.0
            )
        )
        self.assertLessEqual(world.now_s - majority_s, limit_s)

    def test_registered_entry_gets_lease_from_one_response(self) -> None:
        world = worlds.make_world(agents=1)
        world.kill('entry-1')
        world.run(0.5)
        leases_before = world.tally.messages['EntryTerms']
        world.start('entry-1')
        session = world.nodes['entry-1'].core.session
        session.leader = worlds.find_leader(world)
        renewals_before = world.tally.messages['EntryRenewal']
        world.run_until(lambda: session.has_confirmed_lease(world.now_s), 5.0)
        others = len(worlds.ENTRIES) - 1
        leases = world.tally.messages['EntryTerms'] - leases_before
        renewals = world.tally.messages['EntryRenewal'] - renewals_before
        self.assertLessEqual(leases, 1 + others)
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
        resubmitted = worlds.submit(world, 'entry-2', submission)
        worlds.await_answer(world, resubmitted)
        world.run(60.0)
        self.assertEqual(scenarios.find_repeated(world), [])
        self.assertEqual(
            scenarios.find_untruths(world, {resubmitted: submission}), []
        )

    def test_planned_stop_transfers_leadership(self) -> None:
        world = worlds.make_world()
        leader = worlds.find_leader(world)
        started_s = world.now_s
        world.give(leader, control.StopRequested())
        world.run_until(lambda: leader in world.exited, 5.0)
        world.kill(leader)
        new_leader = worlds.await_leader(world)
        self.assertNotIn(new_leader, ('', leader))
        self.assertLess(world.now_s - started_s, 0.2)

    @ddt.data(*range(1, 9))
    def test_new_leader_after_kill(self, seed: int) -> None:
        world = worlds.make_world(seed=seed)
        started_s = world.now_s
        world.kill(worlds.find_leader(world))
        self.assertTrue(worlds.await_leader(world))
        self.assertLess(world.now_s - started_s, 2.0)

    @ddt.data(1, 3, 5)
    def test_minority_of_replicas_may_fail(self, count: int) -> None:
        names = tuple(f'control-{number + 1}' for number in range(count))
        world = worlds.make_world(controls=names)
        submissions = {}
        for _ in range(count // 2 + 1):
            submission = worlds.make_submission(worlds.make_id(world), 5)
            request = worlds.submit(world, 'entry-1', submission)
            submissions[request] = submission
            answer = worlds.await_answer(world, request)
            self.assertIsInstance(answer, contracts.Complete)
            if len(submissions) <= count // 2:
                world.kill(worlds.find_leader(world))
                self.assertTrue(worlds.await_leader(world))
                world.run(1.0)
        self.assertEqual(scenarios.find_repeated(world), [])

    def test_majority_lost_fails_job(self) -> None:
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
    def test_killed_leader_restarts(self, downtime_s: float) -> None:
        world = worlds.make_world()
        leader = worlds.find_leader(world)
        world.kill(leader)
        world.run(downtime_s)
        commit_changes(world, 2)
        world.start(leader)
        world.run(5.0)
        self.assertEqual(world.halted, {})
        self.assertTrue(world.nodes[leader].core.replica.is_verified)

    def test_older_folder_is_refused(self) -> None:
        world = worlds.make_world()
        leader = worlds.find_leader(world)
        restarted = next(n for n in worlds.CONTROLS if n != leader)
        disk = world.nodes[restarted].disk
        old_records = list(disk.records)
        commit_changes(world, 3)
        world.kill(restarted)
        disk.records = old_records
        scenarios.delay_some(
            world,
            lambda _, receiver, m: (
                receiver == restarted and isinstance(m, messages.AppendRequest)
            ),
            [0.5],
        )
        world.start(restarted)
        world.run(1.0)
        refusal = world.halted[restarted].refusal
        self.assertIn('older', refusal.values['reason'])
        self.assertIn('empty the folder', refusal.values['remedy'])

    def test_waiting_claims_share_one_sync(self) -> None:
        world = worlds.make_world(agents=1)
        core = world.nodes[worlds.find_leader(world)].core
        before = core.counters['claim_batches']
        requests = [
            worlds.submit(
                world,
                'entry-1',
                worlds.make_submission(worlds.make_id(world), 1),
            )
            for _ in range(200)
        ]
        for request in requests:
            worlds.await_answer(world, request, 60.0)
        self.assertEqual(core.counters['claims'], 200)
        self.assertLessEqual(core.counters['claim_batches'] - before, 5)


class VirtualDiskTest(unittest.TestCase):
    def test_snapshot_replaces_a_write_under_way(self) -> None:
        """An earlier write must not truncate what a snapshot has saved."""
        world = worlds.make_world(agents=1)
        world.kill(worlds.CONTROLS[0])
        node = world.nodes[worlds.CONTROLS[0]]
        disk = node.disk = virtual.FakeDisk('disk', {})
        no_op = links.pack(commands.NoOp())
        entries = tuple(
            messages.LogEntry(index, 1, no_op) for index in (1, 2, 3)
        )
        data = ledger.Ledger().dump(commands.SetMembers({}, {}))
        world._write(node, effects.Write(1, 1, '', 0, entries[:2]))
        world.run(world.sync_s / 2)
        world._write(node, effects.Write(2, 1, '', 2, entries[2:]))
        save = effects.SaveSnapshot(3, 1, 1, data, 1, '', entries[1:])
        world._write(node, save)
        world.run(4 * world.sync_s)
        self.assertEqual(disk.read().entries, entries[1:])


class LedgerTest(unittest.TestCase):
    def test_expired_claims_are_reported_as_expired(self) -> None:
        state = ledger.Ledger()

        state.apply(1, commands.RegisterEntry('entry-1', 'a', 5))
        old, new = ids.make_id(1_000_000), ids.make_id(3_000_000)

        def claim(submission: str, wall_ms: int) -> object:
            request = contracts.Claim(submission, 'd', 'entry-1', 1)
            command = commands.CommitClaims((request,), wall_ms)
            return state.apply(2, command)[0]

        granted = contracts.ClaimGranted(old)
        self.assertEqual(claim(old, 1_000_500), granted)
        self.assertEqual(claim(new, 1_000_500), contracts.ClaimFuture(new))
        self.assertEqual(claim(new, 3_000_000), contracts.ClaimGranted(new))
        # A clock that is set back must not make an expired id valid again.
        self.assertEqual(claim(old, 1_000_500), contracts.ClaimExpired(old))
        self.assertEqual(state.look_up(old), contracts.ClaimExpired(old))
        self.assertEqual(set(state.claims), {new})

    def test_replaced_run_cannot_register_again(self) -> None:
        state = ledger.Ledger()
        for index, nonce in enumerate((5, 6, 5, 6, 5), start=1):
            state.apply(index, commands.RegisterEntry('entry-1', 'a', nonce))
        record = state.entries['entry-1']
        self.assertEqual((record.nonce, record.incarnation), (6, 2))

    def test_snapshot_keeps_everything(self) -> None:
        state = ledger.Ledger()

        state.apply(1, commands.RegisterEntry('entry-1', 'a', 5))
        state.apply(
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
        self.assertEqual(copy.load(state.dump(members)), members)
        self.assertEqual(copy.dump(members), state.dump(members))
