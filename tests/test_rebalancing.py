"""A busy entry has callers connect to other entries."""

import pathlib
import tempfile
import unittest

import aiohttp
import ddt

from eelgrassworks import clock
from eelgrassworks import embedded
from eelgrassworks import features
from eelgrassworks import rebalancing

TICK_S = 0.05
NOTICE_S = 2.2
ON = features.Rebalancing()

# How late the event loop is for each tick, for how many ticks, and whether
# the entry reports to be ready after each part.
LOADS: tuple[
    tuple[str, rebalancing.Policy, tuple[tuple[float, int, bool], ...]], ...
] = (
    ('usual load', ON, ((0.005, 400, True),)),
    ('load at the limit of the objective', ON, ((0.024, 400, True),)),
    ('all callers of a domain at one entry', ON, ((0.15, 20, False),)),
    ('stands still once', ON, ((0.0, 9, True), (5.0, 1, True))),
    ('stands still once beside load', ON, ((0.008, 99, True), (5.0, 1, True))),
    ('burst of 0.4 s', ON, ((0.08, 3, True), (0.0, 20, True))),
    (
        'callers leave',
        ON,
        ((0.15, 20, False), (0.015, 20, False), (0.0, 20, True)),
    ),
    ('overload that lasts', ON, ((0.15, 200, True),)),
    (
        'soon again after a long one',
        ON,
        ((0.15, 200, True), (0.0, 200, True), (0.15, 20, True)),
    ),
    (
        'again after a calm time',
        ON,
        ((0.15, 200, True), (0.0, 1600, True), (0.15, 20, False)),
    ),
    ('off', features.Off(), ((0.15, 20, True),)),
)


@ddt.ddt
class RebalancingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 0.0

    def play(
        self, balance: rebalancing.Rebalancing, delay_s: float, ticks: int
    ) -> None:
        """Let ticks come late."""
        for _ in range(ticks):
            self.now_s += TICK_S + delay_s
            balance.record_delay(delay_s, self.now_s)

    @ddt.data(*LOADS)
    @ddt.unpack
    def test_readiness(
        self,
        _: str,
        policy: rebalancing.Policy,
        load: tuple[tuple[float, int, bool], ...],
    ) -> None:
        """Guards against callers kept at a busy entry, or sent off in calm."""
        balance = rebalancing.Rebalancing(policy, NOTICE_S)
        for delay_s, ticks, is_ready in load:
            self.play(balance, delay_s, ticks)
            self.assertEqual(balance.is_ready(), is_ready)

    def test_away_share(self) -> None:
        """Guards against an entry that its load balancers take as lost."""
        balance = rebalancing.Rebalancing(ON, NOTICE_S)
        away_s = 0.0
        while self.now_s < 600.0:
            since_s = self.now_s
            self.play(balance, 0.15, 1)
            away_s += (self.now_s - since_s) * (not balance.is_ready())
        limit_s = rebalancing.AWAY_SHARE * 600.0 + rebalancing.MAX_AWAY_S
        self.assertLessEqual(away_s, limit_s)

    # Guards against callers that come back, since load balancers have not
    # noticed yet or the entry is ready again.
    @ddt.data((0.15, 10, 0), (0.15, 20, 10), (0.15, 200, 0), (0.01, 400, 0))
    @ddt.unpack
    def test_connections(
        self, delay_s: float, ticks: int, closed: int
    ) -> None:
        balance = rebalancing.Rebalancing(ON, NOTICE_S)
        self.play(balance, delay_s, ticks)
        closes = [balance.closes_connection(self.now_s) for _ in range(20)]
        self.assertEqual(sum(closes), closed)
        self.assertEqual(balance.connections_closed, closed)


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def test_busy_entry_still_serves(self) -> None:
        """Guards against jobs refused by an entry that sends callers off."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plan = embedded.Plan(targets=1)
        system = embedded.Embedded(plan, pathlib.Path(folder.name))
        url = await system.start()
        self.addAsyncCleanup(system.stop)
        async with aiohttp.ClientSession(url) as session:
            await embedded.prepare(system, session)
            if system.entry is None:
                self.fail('no entry')
            system.entry.rebalancing = rebalancing.Rebalancing(ON, 0.0)
            for _ in range(30):
                system.entry.record_delay(1.0, clock.read_now())
            self.assertFalse(system.entry.is_ready())
            job = {'kind': embedded.KIND, 'tasks': [{'work_ms': 1}]}
            headers = {'Team': embedded.TEAM}
            results = []
            for _ in range(2):
                async with session.post(
                    '/v1/jobs', json=job, headers=headers
                ) as response:
                    closes = response.headers.get('Connection') == 'close'
                    results.append((response.status, closes))
        self.assertEqual(results, [(200, False), (200, True)])
