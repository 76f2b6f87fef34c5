"""The choice of the homes that are asked for a claim.

Guards against claims that wait for a slow home, and against requests without
bound.
"""

from typing import Any
import unittest
from unittest import mock

import ddt

from eelgrassworks import features
from eelgrassworks import ownership
from eelgrassworks.contracts import homechoice
from eelgrassworks.links import messages
from eelgrassworks.trials import claims
from eelgrassworks.trials import objectives
from tests import test_homes

ON = features.LearntHomes()
SEEDS = 5
GROUP = tuple(f'entry-{n}' for n in range(1, 8))

# State of the homes, response times of each home, slack of the job, and the
# homes that are asked at once: of seven, four must grant.
CLAIMS: tuple[
    tuple[str, homechoice.Policy, dict[str, float], float, int, str], ...
] = (
    ('all fast', ON, {}, 0.12, 4, ''),
    ('one slow home', ON, {'entry-3': 0.06}, 0.12, 4, 'entry-3'),
    ('two slow homes', ON, {'entry-3': 0.06, 'entry-6': 0.09}, 1.0, 4, ''),
    ('all slow, short job', ON, dict.fromkeys(GROUP, 0.03), 0.12, 5, ''),
    ('all slow, long job', ON, dict.fromkeys(GROUP, 0.03), 1.0, 4, ''),
    ('decision off', features.Off(), {'entry-3': 0.06}, 0.12, 4, ''),
)


def make_choice(
    policy: homechoice.Policy, responses_s: dict[str, float]
) -> homechoice.HomeChoice:
    """Return the choice of an entry that has seen responses of its homes."""
    choice = homechoice.HomeChoice('entry-1', policy)
    choice.apply_homes(GROUP)
    for _ in range(homechoice.MAX_SAMPLES):
        for name in GROUP[1:]:
            elapsed_s = responses_s.get(name, 0.002)
            choice.measure_response(name, 0.0, (), elapsed_s)
    # Earlier claims have paid for some extra requests.
    for _ in range(4):
        choice.choose(homechoice.Asked(GROUP, 4, {}, ()), set(), 9.0)
    return choice


class EagerOwnership(ownership.Ownership):
    """Ownership that asks further homes early, with every response."""

    def __init__(self, name: str, incarnation: int) -> None:
        super().__init__(name, incarnation, ON)

    def claim(
        self, submission: str, job: str, now_s: float, slack_s: float = 0.05
    ) -> list[ownership.Outcome]:
        return super().claim(submission, job, now_s, slack_s)

    def handle_response(
        self, peer: str, response: messages.OwnershipResponse, now_s: float
    ) -> list[ownership.Outcome]:
        outcomes = super().handle_response(peer, response, now_s)
        return [*outcomes, *self.hedge(now_s)]


@ddt.ddt
class ClaimTest(unittest.TestCase):
    # Guards against claims that wait for a slow home in turn, and against
    # more requests than the slack of a job asks for.
    @ddt.data(*CLAIMS)
    @ddt.unpack
    def test_homes_asked_at_once(
        self,
        _: str,
        policy: homechoice.Policy,
        responses_s: dict[str, float],
        slack_s: float,
        count: int,
        avoided: str,
    ) -> None:
        choice = make_choice(policy, responses_s)
        asked = homechoice.Asked(GROUP, 4, {}, (), slack_s)
        self.assertEqual(len(choice.choose(asked, set(), 10.0)), count)
        for _ in range(len(GROUP)):
            chosen = choice.choose(asked, set(), 10.0)
            self.assertEqual(chosen[0], 'entry-1')
            self.assertNotIn(avoided, chosen)
            self.assertLessEqual(len(chosen), count)

    # Guards against requests without bound while all homes are slow.
    def test_extra_requests_are_bounded(self) -> None:
        choice = make_choice(ON, dict.fromkeys(GROUP, 0.03))
        asked = homechoice.Asked(GROUP, 4, {}, (), 0.12)
        requests = sum(
            len(choice.choose(asked, set(), 10.0)) for _ in range(1000)
        )
        self.assertLessEqual(requests, 4000 * 1.1 + 1)

    # Guards against a home that stands still: a failure that a tick finds
    # only 50 ms to 100 ms later, almost all of the slack of short jobs.
    def test_further_home_is_asked_before_the_slack_is_gone(self) -> None:
        choice = make_choice(ON, {})
        sent = dict.fromkeys(GROUP[1:4], 10.0)
        asked = homechoice.Asked(GROUP, 3, sent, GROUP[:4], 0.12)
        next_s = choice.find_next_s(asked, 10.0)
        self.assertLessEqual(next_s, 10.0 + 0.12 / 10)
        self.assertEqual(choice.choose(asked, set(), next_s - 0.001), [])
        self.assertTrue(choice.choose(asked, set(), next_s))

    # Guards against two owners when homes are asked early and in another
    # order, while processes are restarted, frozen and cut off.
    @ddt.data(*test_homes.NETWORKS)
    def test_one_owner_at_a_time(self, network: Any) -> None:
        granted = 0
        with mock.patch.object(ownership, 'Ownership', EagerOwnership):
            for seed in range(SEEDS):
                world = test_homes.play(seed, *network)
                self.assertEqual(world.find_overlaps(), [], seed)
                granted += world.granted
        self.assertGreater(granted, 3 * SEEDS)

    # Guards against claims that take more than a tenth of the slack at p95
    # while two of seven homes respond after 60 ms (80% load, nine entries),
    # once each entry has had two seconds to notice.
    def test_slow_homes_do_not_delay_claims(self) -> None:
        plan = objectives.Plan(
            seconds=5.0,
            entries=9,
            optional=features.Features(claims=ON),
        )
        experiment = claims.ClaimExperiment(plan, slow_homes=2)
        experiment.run()
        claims_s = [
            experiment.world.claims_s[job.number]
            for job in experiment.jobs
            if job.arrived_s > 2.0 and job.number in experiment.world.claims_s
        ]
        self.assertGreater(len(claims_s), 100)
        self.assertLess(claims.find_quantile(claims_s, 0.95), 0.012)
