"""Shares in an overload: who is limited, who goes first, who is refused."""

import dataclasses
import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import features
from eelgrassworks import settings
from eelgrassworks.contracts import queues
from eelgrassworks.contracts import shares
from eelgrassworks.machines import placement
from eelgrassworks.trials import objectives
from tests import test_shedding
from tests import test_transient
from tests import worlds

# What three kinds ask for of a capacity of 90, their weights, and their
# shares.  The rows are: less than the capacity, 1.5 times it, a burst of one
# kind, the same with a weight, and nothing.
DIVISIONS: tuple[
    tuple[tuple[float, ...], tuple[float, ...], tuple[float, ...]], ...
] = (
    ((20, 30, 20), (1, 1, 1), (20, 30, 20)),
    ((28, 69, 38), (1, 1, 1), (28, 31, 31)),
    ((20, 400, 30), (1, 1, 1), (20, 40, 30)),
    ((40, 400, 100), (2, 2, 1), (36, 36, 18)),
    ((0, 0, 0), (1, 1, 1), (0, 0, 0)),
)

# Work that kinds of priority 0 and 1 offer in a second, of a capacity of 10,
# what the first has started, and which kind goes next.  A burst of the urgent
# kind at 1.5 times the capacity goes first up to its share and one second's
# allowance; a share that the other does not use is lent.
NEXT: tuple[tuple[float, float, float, str], ...] = (
    (4.0, 4.0, 8.0, 'a'),
    (15.0, 0.0, 9.0, 'a'),
    (10.0, 10.0, 4.0, 'a'),
    (10.0, 10.0, 6.0, 'b'),
)

# Tasks of two jobs of a kind that are due at 5 and 5.5, and the first one:
# a wide job needs a second more for its starts at a rate of 10.
WIDTHS: tuple[tuple[int, int, str], ...] = (
    (1, 1, 'a'),
    (1, 12, 'b'),
    (12, 1, 'a'),
)

# Own and urgent work ahead of a job of the less urgent kind, and its wait:
# both kinds offer 10 of a capacity of 10, and each has a share of 5.
WAITS: tuple[tuple[float, float, float], ...] = (
    (0.0, 0.0, 0.0),
    (2.0, 0.0, 0.4),
    (2.0, 5.0, 0.9),
    (20.0, 0.0, 4.0),
)


def make_shares(urgent: float, other: float) -> shares.KindShares:
    """Return the shares of two kinds of a capacity of 10."""
    kinds = shares.KindShares({})
    kinds.record_offered('a', 0, urgent, 100.0)
    kinds.record_offered('b', 1, other, 100.0)
    kinds.refresh(10.0, 100.0)
    return kinds


@ddt.ddt
class SharesTest(unittest.TestCase):
    @ddt.data(*DIVISIONS)
    @ddt.unpack
    def test_capacity_is_divided_by_weight_and_need(
        self,
        offered: tuple[float, ...],
        weights: tuple[float, ...],
        expected: tuple[float, ...],
    ) -> None:
        divided = shares.divide(
            90,
            dict(zip('abc', offered, strict=True)),
            dict(zip('abc', weights, strict=True)),
        )
        self.assertEqual(tuple(divided[each] for each in 'abc'), expected)

    @ddt.data(*NEXT)
    @ddt.unpack
    def test_urgent_kind_goes_first_within_its_share(
        self, urgent: float, other: float, started: float, expected: str
    ) -> None:
        """Strict priority starves the less urgent kind."""
        kinds = make_shares(urgent, other)
        kinds.record_started('a', started, 100.0)
        queue = queues.FairQueue(queues.ByShare(kinds))
        for kind, priority in (('b', 1), ('a', 0)):
            job = test_shedding.make_queued(kind, 1, 200.0, priority=priority)
            queue.add('callers', dataclasses.replace(job, kind=kind))
        self.assertEqual(test_shedding.drain_queue(queue, 100.0)[0], expected)

    @ddt.data(0.5, 1.0)
    def test_lent_share_is_held_against_no_kind(self, after_s: float) -> None:
        """A kind that has used all room is not starved afterwards."""
        kinds = make_shares(10.0, 10.0)
        kinds.record_started('a', 1000.0, 100.0)
        self.assertTrue(kinds.is_beyond('a'))
        kinds.refresh(10.0, 100.0 + after_s)
        self.assertEqual(kinds.is_beyond('a'), after_s < 1.0)

    @ddt.data(*WIDTHS)
    @ddt.unpack
    def test_wide_job_begins_earlier(
        self, first: int, second: int, expected: str
    ) -> None:
        """The last task of a wide job starts later than that of others."""
        queue = queues.FairQueue(queues.ByShare(make_shares(10.0, 10.0)))
        for name, tasks, due_s in (('a', first, 105.0), ('b', second, 105.5)):
            job = test_shedding.make_queued(
                name, tasks, due_s, contracts.Room(1000, 0), 1.0
            )
            job = dataclasses.replace(job, kind='a', width=tasks)
            queue.add('callers', job)
        self.assertEqual(test_shedding.drain_queue(queue, 100.0)[0], expected)

    @ddt.data(*WAITS)
    @ddt.unpack
    def test_wait_follows_from_the_share(
        self, own: float, urgent: float, expected: float
    ) -> None:
        """Without a share the wait behind a more urgent kind is infinite."""
        kinds = make_shares(10.0, 10.0)
        wait_s = kinds.predict_wait('b', shares.Ahead(urgent, own))
        self.assertAlmostEqual(wait_s, expected)
        self.assertAlmostEqual(kinds.predict_free('b', wait_s), 2 * wait_s)

    def test_accounts_are_bounded(self) -> None:
        """Names of kinds without end must not fill the memory."""
        kinds = shares.KindShares({})
        for number in range(2 * shares.MAX_KINDS):
            kinds.record_offered(f'kind-{number}', 0, 1.0, 100.0)
        kinds.refresh(10.0, 100.0)
        changes = kinds.list_changes(100.0)
        self.assertLessEqual(len(changes), shares.MAX_KINDS + 1)

    def test_settings_give_weights(self) -> None:
        """A weight that is lost on the way has no effect."""
        weights = {'read': 2.0}
        parsed = settings.make_features(
            settings.FeaturesModel(weighted_shares=True, kind_weights=weights)
        )
        self.assertEqual(parsed.shares, features.WeightedShares(weights))

    def test_least_urgent_kind_is_served_in_an_overload(self) -> None:
        """At 1.5 times the capacity, strict priority serves a fifth of it."""
        served = {}
        for weighted in (False, True):
            model = settings.FeaturesModel(weighted_shares=weighted)
            plan = objectives.Plan(
                1.5, 8.0, optional=settings.make_features(model)
            )
            result = objectives.Experiment(plan, placement.LateBinding()).run()
            served[weighted] = [
                each.in_time / each.offered for each in result.kinds
            ]
            self.assertEqual(result.refused_late, 0)
        self.assertGreater(served[True][1], 1.5 * served[False][1])
        self.assertGreater(min(served[True]), min(served[False]))


class RestartTest(unittest.TestCase):
    def test_shares_of_a_restarted_entry_refuse_nothing(self) -> None:
        """An entry that has lost its accounts must not refuse for that."""
        world = test_transient.make_world()
        target = dataclasses.replace(
            worlds.make_target(3, 0),
            service='cover-check',
            room=test_transient.ROOM,
        )
        world.add_agent(target, ('entry-3',), 8, test_transient.ENTRY_TTL_S)
        world.add_entry(
            'entry-3',
            worlds.CONTROLS,
            optional=features.Features(shares=features.WeightedShares()),
        )
        world.run(2.0)
        world.kill('entry-3')
        world.start('entry-3')
        world.run(4.0)
        request = test_transient.submit(world, 'entry-3')
        world.run(3.0)
        self.assertIsInstance(world.replies[request][1], contracts.Complete)


if __name__ == '__main__':
    unittest.main()
