"""Kinds that slow each other down: what is believed, and where tasks go.

A few agents with four tasks at a time run kinds of the sizes of
docs/HARD-LOAD.md with a known interference; no process and no network.
"""

import collections
import math
import random
import unittest

import ddt
import msgspec

from eelgrassworks import contracts
from eelgrassworks import features
from eelgrassworks import machines
from eelgrassworks import neighbourreports
from eelgrassworks.links import messages
from eelgrassworks.machines import interference
from eelgrassworks.machines import interferencebeliefs
from eelgrassworks.machines import interferencemeter
from eelgrassworks.machines import placement
from eelgrassworks.machines import separation
from tests import worlds

ON = features.Separation()
RUN_S = {'short': 0.12, 'pairs': 0.4, 'long': 1.8}
MUTUAL = {('short', 'pairs'): 1.6, ('pairs', 'short'): 1.6}
AGENTS = 6
STEP_S = 0.02
INTERVAL_S = 0.5
PART_S = 120.0
Slowdowns = dict[tuple[str, str], float]

# A load, its interference in two parts of 120 s, and whether the targets are
# disturbed in the second part.  The pairs of each part are believed at its
# end, and no others.  In every row declared run times are wrong by up to 40%,
# and 3% of runs take seven times as long.
LOADS: tuple[tuple[str, Slowdowns, Slowdowns, bool], ...] = (
    ('two kinds slow each other down, one does not', MUTUAL, MUTUAL, False),
    ('one kind suffers from another', {('short', 'long'): 1.6}, {}, False),
    ('interference ends', MUTUAL, {}, False),
    ('interference begins', {}, MUTUAL, False),
    ('no interference', {}, {}, False),
    ('half of the targets slow down, one kind declares half', {}, {}, True),
)

# Free slots and slowness of three targets, the kinds that run there, and the
# index of the target that a task of the kind 'short' gets.
CHOICES: tuple[
    tuple[
        str, tuple[int, ...], tuple[float, ...], tuple[str, ...], int | None
    ],
    ...,
] = (
    (
        'a target without the other kind',
        (2, 2, 2),
        (1, 1.1, 1.2),
        ('long', 'long', 'pairs'),
        2,
    ),
    (
        'no interference where it is fastest',
        (2, 2, 2),
        (1, 1, 0.9),
        ('long', 'long', ''),
        2,
    ),
    (
        'slower than the interference',
        (2, 2, 2),
        (1, 2, 2),
        ('long', '', ''),
        0,
    ),
    ('no room elsewhere', (2, 0, 0), (1, 1, 1), ('long', '', ''), 0),
    (
        'the other kind everywhere',
        (1, 2, 1),
        (1, 1, 1),
        ('long', 'long', 'long'),
        1,
    ),
    ('no room at all', (0, 0, 0), (1, 1, 1), ('long', 'long', 'long'), None),
)


class Load:
    """Agents that run tasks, and the entry that gets their reports."""

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.now_s = 1000.0
        self.entry = interferencebeliefs.InterferenceBeliefs(
            ON, collections.Counter()
        )
        self.meters = [
            interferencemeter.InterferenceMeter(ON, 4) for _ in range(AGENTS)
        ]
        self.running: list[dict[contracts.TaskKey, str]] = [
            {} for _ in range(AGENTS)
        ]
        self.remaining: dict[contracts.TaskKey, float] = {}
        self.slowed = 1.0
        self.declared = 1.0
        self.is_cut = False
        self.confirmed_s = 0.0
        self.counter = 0

    def run(self, pairs: Slowdowns, seconds: float) -> Slowdowns:
        """Run for some time and return the pairs that are believed."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            for number in range(AGENTS):
                self._advance(number, pairs)
            if int(self.now_s / STEP_S) % round(INTERVAL_S / STEP_S) == 0:
                self.report()
        return {
            (each.kind, each.beside): each.slowdown
            for each in self.entry.list_believed()
        }

    def _advance(self, number: int, pairs: Slowdowns) -> None:
        running, meter = self.running[number], self.meters[number]
        slowness = self.slowed if number < AGENTS // 2 else 1.0
        for key, kind in list(running.items()):
            factor = max(
                pairs.get((kind, other), 1.0) for other in running.values()
            )
            self.remaining[key] -= STEP_S / factor / slowness
            if self.remaining[key] <= 0:
                del self.remaining[key], running[key]
                meter.end(key, True, self.now_s)
        while len(running) < 4 and self.random.random() < 0.3:
            kind = self.random.choices(list(RUN_S), (6, 3, 1))[0]
            run_s = RUN_S[kind] * self.random.uniform(0.5, 1.5)
            declared_s = run_s * self.random.uniform(0.6, 1.4)
            if kind == 'pairs':
                declared_s *= self.declared
            self.counter += 1
            key = contracts.TaskKey(f'job-{self.counter}', 0)
            is_long = self.random.random() < 0.03
            self.remaining[key] = run_s * (7 if is_long else 1)
            running[key] = kind
            meter.begin(key, kind, declared_s, contracts.NO_ROOM, self.now_s)

    def report(self) -> None:
        """Send a report of each agent to the entry."""
        for number, meter in enumerate(self.meters):
            report = neighbourreports.make_report(
                meter, self.confirmed_s, self.now_s
            )
            if not self.is_cut:
                neighbourreports.apply_report(
                    self.entry, f'agent-{number}', report, self.now_s
                )


def make_believing() -> interferencebeliefs.InterferenceBeliefs:
    """Return an entry that believes in one pair of kinds."""
    view = interferencebeliefs.InterferenceBeliefs(ON, collections.Counter())
    pair = interference.PairFigure('short', 'long', 1.6, 100.0)
    view.apply('agent', interference.Neighbourhood((), (pair,)), 1000.0)
    return view


@ddt.ddt
class InterferenceTest(unittest.TestCase):
    @ddt.data(*LOADS)
    @ddt.unpack
    def test_believed_pairs(
        self,
        name: str,
        first: Slowdowns,
        second: Slowdowns,
        is_disturbed: bool,
    ) -> None:
        """False pairs waste room, and missed ones make tasks late."""
        for seed in (1, 2):
            load = Load(seed)
            self.assert_pairs(load.run(first, PART_S), first)
            if is_disturbed:
                load.slowed, load.declared = 2.0, 0.5
            self.assert_pairs(load.run(second, PART_S), second)

    def assert_pairs(self, believed: Slowdowns, expected: Slowdowns) -> None:
        self.assertEqual(believed.keys(), expected.keys())
        for pair, slowdown in believed.items():
            self.assertAlmostEqual(slowdown, expected[pair], delta=0.2)

    @ddt.data(*CHOICES)
    @ddt.unpack
    def test_choice(
        self,
        name: str,
        free: tuple[int, ...],
        slowness: tuple[float, ...],
        kinds: tuple[str, ...],
        expected: int | None,
    ) -> None:
        """Separation never lets a task wait or run slower than beside."""
        entry = make_believing()
        views = []
        for number, kind in enumerate(kinds):
            view = machines.TargetView(worlds.make_target(number), 1)
            view.report(free[number], 0)
            view.allowance = 100
            view.speed.ratio, view.speed.samples = slowness[number], 100
            running = interference.Neighbourhood((kind,) if kind else (), None)
            entry.apply(view.target.name, running, 1000.1)
            views.append(view)
        chooser = separation.Separation(entry, collections.Counter())
        chosen = chooser.choose(
            placement.LateBinding(prefetch=0),
            views,
            'short',
            contracts.TaskKey('job', 0),
            contracts.NO_ROOM,
        )
        self.assertIs(chosen, None if expected is None else views[expected])

    def test_agents_are_cut_off_and_restart(self) -> None:
        """Lost reports delay a belief, and what is not repeated ends."""
        load = Load()
        load.is_cut = True
        self.assertEqual(load.run(MUTUAL, PART_S), {})
        load.is_cut = False
        self.assert_pairs(load.run(MUTUAL, 2.0), MUTUAL)
        # The agents have restarted, and their figures are lost.
        load.meters = [
            interferencemeter.InterferenceMeter(ON, 4) for _ in load.meters
        ]
        load.running = [{} for _ in load.meters]
        self.assertEqual(
            load.run({}, interferencebeliefs.REPORT_TTL_S + 2.0), {}
        )

    def test_pairs_are_sent_until_confirmed(self) -> None:
        """A lost renewal must not leave an entry without the figures."""
        load = Load()
        load.run(MUTUAL, 30.0)
        meter = load.meters[0]
        for confirmed_s, is_sent in ((0.0, True), (load.now_s, False)):
            report = meter.report(confirmed_s, load.now_s)
            assert report is not None
            self.assertEqual(report.pairs is not None, is_sent)

    @ddt.data(
        ('short', 'long', math.nan, 100.0),
        ('short', 'long', 0.0, 100.0),
        ('short', 'long', -1.0, 100.0),
        ('short', 'long', math.inf, 100.0),
        ('short', 'long', 1.6, math.nan),
        ('short', 'long', 1.6, 1e300),
        ('short', 'long', 1.6, 1e-9),
    )
    @ddt.unpack
    def test_odd_figures_are_ignored(
        self, kind: str, beside: str, slowdown: float, samples: float
    ) -> None:
        """A report of another release must not end an entry."""
        entry = interferencebeliefs.InterferenceBeliefs(
            ON, collections.Counter()
        )
        odd = messages.PairReport(kind, beside, slowdown, samples)
        report = messages.KindsReport((), (odd,) * 1000)
        for now_s in (1000.0, 1002.0, 1100.0):
            neighbourreports.apply_report(entry, 'agent', report, now_s)
        self.assertEqual(entry.list_believed(), [])

    def test_off_adds_nothing_to_a_renewal(self) -> None:
        """Releases without the decision must see the same bytes."""
        meter = interferencemeter.InterferenceMeter(features.Off(), 4)
        report = neighbourreports.make_report(meter, 0.0, 1000.0)
        self.assertIs(report, msgspec.UNSET)


if __name__ == '__main__':
    unittest.main()
