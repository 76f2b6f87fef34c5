"""Fair queue, circuit breakers, ramps and cancellations at an entry."""

import collections
import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import dispatcher
from eelgrassworks import entry
from eelgrassworks import joblog
from eelgrassworks import machines
from eelgrassworks.contracts import jobs
from eelgrassworks.contracts import queues
from eelgrassworks.machines import health
from eelgrassworks.machines import placement
from eelgrassworks.replication import pendingrequests
from tests import worlds

# Outcomes as letters (s succeeded, f failed), seconds after the last outcome,
# and whether a task may then be sent.
BREAKERS: tuple[tuple[str, float, bool], ...] = (
    ('', 0.0, True),
    ('ff', 0.0, True),
    ('fff', 0.0, False),
    ('ffsff', 0.0, True),
    ('fs' * 9 + 'f', 0.0, False),
    ('sss' + 'fss' * 6, 0.0, True),
    ('fff', 1.1, True),
)

# Shares of two teams, and the first team's tasks among the first 30.
SHARES: tuple[tuple[float, float, int], ...] = (
    (1.0, 1.0, 15),
    (2.0, 1.0, 20),
    (1.0, 5.0, 5),
)

# Free slots and slowness of three targets, and the index of the chosen one.
CHOICES: tuple[
    tuple[tuple[int, int, int], tuple[float, float, float], int | None], ...
] = (
    ((1, 1, 1), (1.0, 0.5, 2.0), 1),
    ((0, 0, 1), (0.5, 0.5, 2.0), 2),
    ((0, -1, -2), (1.0, 1.0, 1.0), 0),
    ((-1, -1, 0), (0.2, 1.0, 2.0), 0),
    ((-3, -3, -3), (1.0, 1.0, 1.0), None),
)

# State of the only target of a kind, and the reason shown for it.
REASONS: tuple[tuple[dict[str, object], frozenset[str], str], ...] = (
    ({'accepting': True}, frozenset(), ''),
    ({'accepting': False}, frozenset(), 'unhealthy-or-stopping'),
    (
        {'accepting': False, 'decline_reason': 'no-lease'},
        frozenset(),
        'no-lease',
    ),
    ({'accepting': True, 'suspect': True}, frozenset(), 'no-contact'),
    ({'accepting': True}, worlds.ALL, 'closed'),
)

# Claims of waiting requests, and how many of these the next batch contains.
BATCHES: tuple[tuple[tuple[int, ...], int], ...] = (
    ((), 1),
    ((1, 1, 1), 3),
    ((4000, 96, 1), 2),
    ((4000, 97, 1), 1),
    ((5000, 1), 1),
)


def make_view(free: int, slowness: float) -> machines.TargetView:
    """Return a view with given free slots and slowness."""
    view = machines.TargetView(worlds.make_target(0), 1)
    view.report(free, 0)
    view.speed.ratio, view.speed.samples = slowness, 100
    return view


def make_queued(submission: str, tasks: int) -> queues.QueuedJob:
    """Return a waiting job of equal tasks."""
    return queues.QueuedJob(
        submission, 'kind', collections.deque(range(tasks))
    )


@ddt.ddt
class DispatchTest(unittest.TestCase):
    @ddt.data(*BREAKERS)
    @ddt.unpack
    def test_breaker(self, outcomes: str, after_s: float, sends: bool) -> None:
        breaker = health.Breaker()
        for outcome in outcomes:
            breaker.record_outcome(outcome == 's', 100.0)
        self.assertEqual(breaker.allows(100.0 + after_s), sends)

    def test_single_probe_whose_pause_doubles(self) -> None:
        breaker = health.Breaker()
        for _ in range(3):
            breaker.record_outcome(False, 100.0)
        breaker.record_sent(101.5)
        self.assertFalse(breaker.allows(101.5))
        breaker.record_outcome(False, 102.0)
        self.assertFalse(breaker.allows(103.9))
        self.assertTrue(breaker.allows(104.1))
        breaker.record_sent(104.1)
        breaker.record_outcome(True, 104.2)
        self.assertTrue(breaker.allows(104.2))

    @ddt.data(*REASONS)
    @ddt.unpack
    def test_reason_for_no_tasks(
        self, state: dict[str, object], closed: frozenset[str], shown: str
    ) -> None:
        decisions = dispatcher.Dispatcher(
            placement.LateBinding(), jobs.JobTable()
        )
        decisions.configure(
            contracts.Configuration(1, worlds.SHEET, closed, frozenset())
        )
        view = make_view(1, 1.0)
        for name, value in state.items():
            setattr(view, name, value)
        decisions.views['runner-1'] = view
        self.assertEqual(decisions.explain(view), shown)
        self.assertEqual(
            decisions.explain_kind('crack-flag'), f'1 {shown or "too-small"}'
        )

    @ddt.data(*BATCHES)
    @ddt.unpack
    def test_claims_of_a_batch(
        self, sizes: tuple[int, ...], expected: int
    ) -> None:
        claim = contracts.Claim('id', 'digest', 'entry-1', 1)
        waiting = [
            pendingrequests.PendingClaims('entry-1', number, (claim,) * size)
            for number, size in enumerate(sizes)
        ]
        self.assertEqual(pendingrequests.count_batch(waiting), expected)

    @ddt.data(('transient', True), ('claimed', False))
    @ddt.unpack
    def test_due_time_is_logged_for_transient_jobs(
        self, name: str, transient: bool
    ) -> None:
        submission = contracts.Submission(
            name, '', 'team', 'kind', (b'',), 1.0, True, transient=transient
        )
        job = jobs.Job(submission, 50.0, 51.0, due_s=50.5 * transient)
        entry_line = joblog.log_end(job, contracts.Complete(()), 50.2, {})
        self.assertEqual(
            entry_line.fields.get('due_s'), 0.5 if transient else None
        )

    @ddt.data(*SHARES)
    @ddt.unpack
    def test_share(self, one: float, two: float, expected: int) -> None:
        queue = queues.FairQueue()
        for name, share in (('one', one), ('two', two)):
            queue.set_quota(contracts.Quota(name, share, 1000, 0))
            queue.add(name, make_queued(f'job-{name}', 100))
        teams = []
        for _ in range(30):
            peeked = queue.peek(set())
            if peeked is None:
                self.fail('the queue is empty')
            queue.pop(*peeked)
            teams.append(peeked[0])
        self.assertAlmostEqual(teams.count('one'), expected, delta=1)

    def test_running_limit(self) -> None:
        queue = queues.FairQueue()
        queue.set_quota(contracts.Quota('one', 1.0, 1000, 2))
        queue.add('one', make_queued('job', 5))
        for _ in range(2):
            peeked = queue.peek(set())
            if peeked is None:
                self.fail('the queue is empty')
            queue.pop(*peeked)
        self.assertIsNone(queue.peek(set()))
        queue.record_end('one')
        self.assertIsNotNone(queue.peek(set()))

    @ddt.data(*CHOICES)
    @ddt.unpack
    def test_choice(
        self,
        free: tuple[int, int, int],
        slownesses: tuple[float, float, float],
        chosen: int | None,
    ) -> None:
        views = [
            make_view(*each) for each in zip(free, slownesses, strict=True)
        ]
        key = contracts.TaskKey('job', 0)
        found = placement.choose(placement.LateBinding(), views, key)
        expected = None if chosen is None else views[chosen]
        self.assertIs(found, expected)

    def test_ramp(self) -> None:
        view = make_view(8, 1.0)
        allowances = [view.allowance]
        for _ in range(6):
            view.ramp()
            allowances.append(view.allowance)
        self.assertEqual(allowances, [2, 4, 8, 16, 32, 32, 32])

    def test_ramp_by_time(self) -> None:
        view = make_view(8, 1.0)
        allowances = []
        for step in range(7):
            view.ramp_by_time(100.0 + step * 0.125)
            allowances.append(view.allowance)
        self.assertEqual(allowances, [2, 2, 4, 4, 8, 8, 16])

    def test_long_tasks_fill_every_slot(self) -> None:
        world = worlds.make_world()
        world.run_model = lambda *_: (5.0, True)
        submission = worlds.make_submission(worlds.make_id(world), 24)
        worlds.submit(world, 'entry-1', submission)
        world.run(1.5)
        self.assertEqual(len(world.tally.starts), 24)

    def test_cancellations_do_not_open_breakers(self) -> None:
        world = worlds.make_world()
        world.run_model = lambda *_: (5.0, True)
        submissions = [
            worlds.make_submission(worlds.make_id(world), 8) for _ in range(4)
        ]
        for submission in submissions:
            worlds.submit(world, 'entry-1', submission)
        world.run(1.0)
        for submission in submissions:
            world.ask(
                'entry-1',
                lambda n, s=submission: entry.CancelRequested(n, s.id, s.team),
            )
        before = world.tally.messages['JobCancel']
        world.run(1.0)
        core = world.nodes['entry-1'].core
        self.assertEqual(core.dispatcher.counters['breakers_opened'], 0)
        self.assertEqual(world.tally.messages['JobCancel'] - before, 3)
