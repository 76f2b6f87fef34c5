"""Homes of transient jobs: their choice, and one owner at a time."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random
from typing import Any
import unittest
from unittest import mock

import ddt
import msgspec

from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import ownership
from eelgrassworks.contracts import home
from eelgrassworks.contracts import homeplacement
from eelgrassworks.contracts import homeset
from eelgrassworks.links import messages
from tests import homeworld

REPLICAS = ('control-1', 'control-2', 'control-3')


def make_names(count: int) -> list[str]:
    """Return the names of entries."""
    return [f'entry-{n + 1:02}' for n in range(count)]


# Live entries, and the sizes of the groups of the first homes.
FORMED: tuple[tuple[int, tuple[int, ...]], ...] = (
    (1, (3,)),
    (2, (5,)),
    (3, (5,)),
    (5, (5,)),
    (6, (5,)),
    (7, (7,)),
    (9, (7,)),
    (10, (7,)),
    (24, (7, 7, 7)),
    (90, (7,) * 12),
)

# Homes, live entries, and the home that joins and the one that it replaces.
REVISED: tuple[tuple[str, tuple[str, ...], tuple[str, ...], str, str], ...] = (
    ('all live', ('a', 'b', 'c'), ('a', 'b', 'c'), '', ''),
    ('home ended, no other entry', ('a', 'b', 'c'), ('a', 'c'), '', ''),
    ('home ended', ('a', 'b', 'c'), ('a', 'c', 'd'), 'd', 'b'),
    ('two ended', ('a', 'b', 'c'), ('a', 'd', 'e'), 'd', 'b'),
    ('replica', ('a', 'control-1'), ('a', 'b'), 'b', 'control-1'),
    ('entry added', ('a', 'b', 'c'), ('a', 'b', 'c', 'd'), 'd', ''),
    ('full', tuple('abcdefg'), tuple('abcdefgh'), '', ''),
)

ONE = home.Owner('entry-1', 1, 'job/1-1')
# The same entry's next job with this id, its next incarnation, another entry.
NEXT = home.Owner('entry-1', 1, 'job/1-2')
RESTARTED = home.Owner('entry-1', 2, 'job/2-1')
OTHER = home.Owner('entry-2', 3, 'job/3-1')
READY_S = home.RETENTION_S
RENEWED_S = READY_S + 1.0

# Calls of a home that was started at 0 s, with times in seconds, and the owner
# that the last one returns.
Call = tuple[str, home.Owner, int, float]
GRANTS: tuple[tuple[str, tuple[Call, ...], home.Owner | None], ...] = (
    ('free', (('claim', ONE, 1, READY_S),), ONE),
    ('table lost', (('claim', ONE, 1, READY_S - 0.01),), None),
    (
        'owner renews while the table is incomplete',
        (('renew', ONE, 1, 0.5), ('claim', OTHER, 1, 0.6)),
        ONE,
    ),
    (
        'late renewal while the table is incomplete',
        (('renew', ONE, 1, 0.5), ('claim', NEXT, 1, 0.6)),
        None,
    ),
    (
        'taken',
        (('claim', ONE, 1, READY_S), ('claim', OTHER, 1, READY_S + 0.1)),
        ONE,
    ),
    (
        'next job of the same process',
        (('claim', ONE, 1, READY_S), ('claim', NEXT, 2, READY_S + 0.1)),
        NEXT,
    ),
    (
        'claim of the earlier job of the same process is late',
        (('claim', NEXT, 2, READY_S), ('claim', ONE, 1, READY_S + 0.1)),
        NEXT,
    ),
    (
        'owner restarted',
        (('claim', ONE, 1, READY_S), ('claim', RESTARTED, 1, READY_S + 0.1)),
        ONE,
    ),
    (
        'released',
        (
            ('claim', ONE, 1, READY_S),
            ('release', ONE, 1, READY_S + 0.1),
            ('claim', OTHER, 1, READY_S + 0.2),
        ),
        OTHER,
    ),
    (
        'release of an earlier claim is late',
        (
            ('claim', ONE, 2, READY_S),
            ('release', ONE, 1, READY_S + 0.1),
            ('claim', OTHER, 1, READY_S + 0.2),
        ),
        ONE,
    ),
    (
        'release of an earlier job is late',
        (
            ('claim', ONE, 1, READY_S),
            ('claim', NEXT, 2, READY_S + 0.1),
            ('release', ONE, 1, READY_S + 0.2),
            ('claim', OTHER, 1, READY_S + 0.3),
        ),
        NEXT,
    ),
    (
        'owner lost',
        (
            ('claim', ONE, 1, READY_S),
            ('claim', OTHER, 1, READY_S + home.RETENTION_S),
        ),
        OTHER,
    ),
    (
        'owner renews',
        (
            ('claim', ONE, 1, READY_S),
            ('renew', ONE, 1, RENEWED_S),
            ('claim', OTHER, 1, RENEWED_S + home.RETENTION_S - 0.01),
        ),
        ONE,
    ),
    (
        'renewal of a former owner is late',
        (
            ('claim', OTHER, 1, READY_S),
            ('renew', ONE, 1, READY_S + 0.1),
        ),
        OTHER,
    ),
)

FAULTS = (*['submit'] * 6, 'finish', 'restart', 'freeze', 'cut', 'all')
# With entries that are not heard for some time.
HOSTILE_FAULTS = (*FAULTS, *['stall'] * 2)
# Number of entries and of homes, share of lost and of held messages, mean
# time between faults in seconds, and the faults.
Network = tuple[int, int, float, float, float, tuple[str, ...]]
NETWORKS: tuple[Network, ...] = (
    (3, 3, 0.0, 0.0, 0.5, FAULTS),
    (3, 3, 0.1, 0.2, 0.5, FAULTS),
    (5, 5, 0.05, 0.3, 0.3, FAULTS),
    (7, 7, 0.1, 0.1, 0.2, FAULTS),
    (7, 5, 0.2, 0.3, 0.5, FAULTS),
    (3, 3, 0.05, 0.3, 0.2, HOSTILE_FAULTS),
)
# Shorter times, for more changes of the homes in a run; as with the longer
# ones, the interval of changes is above the delay of a home that joins.
HOME_SET_TTL_S = 1.0
JOIN_DELAY_S = HOME_SET_TTL_S + home.RETENTION_S
HOMES_INTERVAL_S = 4.0
CHANGES_FAULTS = (*['submit'] * 8, 'finish', 'restart', *['stall'] * 2)
CHANGES_S = 40.0
SEEDS = 12
LONGEST_FREEZE_S = 3.0
LONGEST_STALL_S = 3.0
FAULTY_S = 30.0


def apply_call(
    table: home.Home, kind: str, owner: home.Owner, attempt: int, now_s: float
) -> home.Owner | None:
    """Call a home; return the owner that it names."""
    claim = home.Claim('job', owner, attempt, now_s)
    match kind:
        case 'claim':
            return table.claim(claim, now_s)
        case 'renew':
            return table.renew(claim, now_s)
        case _:
            table.release('job', owner, attempt, now_s)
            return None


def play(
    seed: int,
    size: int,
    homes: int,
    lost: float,
    held: float,
    mean_s: float,
    faults: tuple[str, ...],
) -> homeworld.HomeWorld:
    """Let faults and submissions come at random; return the world."""
    world = homeworld.HomeWorld(seed, size, homes)
    draw = random.Random(f'faults {seed}')
    names = list(world.nodes)
    world.run(home.RETENTION_S + 0.1)
    world.lost_share, world.held_share = lost, held
    end_s = world.now_s + FAULTY_S
    while world.now_s < end_s:
        name, other = draw.sample(names, 2)
        match draw.choice(faults):
            case 'submit':
                world.submit(name)
            case 'finish':
                world.finish(name)
            case 'restart':
                world.restart(name)
            case 'freeze':
                world.freeze(
                    name, draw.choice((0.3, 0.6, 1.5, LONGEST_FREEZE_S))
                )
            case 'cut':
                pair = (name, other)
                world.cut.add(pair)
                world.at(
                    draw.uniform(0.2, 3.0),
                    lambda pair=pair: world.cut.discard(pair),
                )
            case 'stall':
                world.stall(name, draw.uniform(1.0, LONGEST_STALL_S))
            case 'all' if draw.random() < 0.2:
                for each in names:
                    world.restart(each)
        world.run(draw.expovariate(1 / mean_s))
    # Suspended entries return, and end their jobs.
    world.run(LONGEST_FREEZE_S)
    return world


@ddt.ddt
class HomeSetTest(unittest.TestCase):
    @ddt.data(*FORMED)
    @ddt.unpack
    def test_first_homes(self, entries: int, sizes: tuple[int, ...]) -> None:
        formed = homeset.form(make_names(entries), REPLICAS)
        self.assertEqual(tuple(map(len, formed.groups)), sizes)
        names = formed.list_names()
        self.assertEqual(len(set(names)), len(names))
        self.assertEqual(
            any(name in REPLICAS for name in names),
            entries < homeset.MIN_ENTRIES,
        )

    @ddt.data(*REVISED)
    @ddt.unpack
    def test_change_of_one_home(
        self,
        _: str,
        homes: tuple[str, ...],
        entries: tuple[str, ...],
        joining: str,
        leaving: str,
    ) -> None:
        current = contracts.HomeSet(4, (homes,))
        revised = homeset.revise(current, entries, REPLICAS)
        if not joining:
            self.assertIsNone(revised)
            return
        assert revised is not None
        self.assertEqual(revised.version, 5)
        self.assertEqual(revised.joining, joining)
        expected = {*homes, joining} - {leaving}
        self.assertEqual(set(revised.list_names()), expected)

    def test_ids_are_spread_over_the_groups(self) -> None:
        formed = homeset.form(make_names(20), ())
        groups = {formed.find_group(f'{n:016x}') for n in range(200)}
        self.assertEqual(groups, set(formed.groups))


@ddt.ddt
class HomeTest(unittest.TestCase):
    @ddt.data(*GRANTS)
    @ddt.unpack
    def test_owner_of_an_id(
        self, _: str, calls: tuple[Call, ...], expected: home.Owner | None
    ) -> None:
        table = home.Home(0.0)
        results = [apply_call(table, *call) for call in calls]
        self.assertEqual(results[-1], expected)

    def test_home_that_joins_grants_nothing_for_a_while(self) -> None:
        table = home.Home(0.0)
        joined_s = 100.0
        table.join(joined_s)
        ready_s = joined_s + home.JOIN_DELAY_S
        claim = home.Claim('job', ONE, 1, ready_s)
        self.assertIsNone(table.claim(claim, ready_s - 0.01))
        self.assertEqual(table.claim(claim, ready_s), ONE)

    def test_expired_grants_are_removed(self) -> None:
        table = home.Home(0.0)
        table.claim(home.Claim('job', ONE, 1, READY_S), READY_S)
        table.sweep(READY_S + home.RETENTION_S + home.SWEEP_INTERVAL_S)
        self.assertEqual(len(table), 0)


def play_changes(seed: int) -> homeworld.HomeWorld:
    """Change the homes again and again, with faults and submissions."""
    world = homeworld.HomeWorld(seed, 5, 3)
    draw = random.Random(f'changes {seed}')
    names = list(world.nodes)
    world.run(home.RETENTION_S + 0.1)
    world.held_share = 0.1
    end_s = world.now_s + CHANGES_S
    changed_s = float('-inf')
    while world.now_s < end_s:
        group = world.homes.list_names()
        spare = [name for name in names if name not in group]
        if world.now_s - changed_s > homeplacement.CHANGE_INTERVAL_S:
            changed_s = world.now_s
            if len(spare) > 1 and draw.random() < 0.1:
                world.add_home(draw.choice(spare))
            else:
                world.replace_home(draw.choice(spare), draw.choice(group))
        name = draw.choice(names)
        match draw.choice(CHANGES_FAULTS):
            case 'submit':
                world.submit(name)
            case 'finish':
                world.finish(name)
            case 'restart':
                world.restart(name)
            case 'stall':
                world.stall(name, draw.uniform(1.0, LONGEST_STALL_S))
        world.run(draw.expovariate(1 / 0.2))
    world.run(LONGEST_FREEZE_S)
    return world


def play_two_changes(seed: int) -> homeworld.HomeWorld:
    """Change the homes twice; an owner that knows neither is not heard."""
    world = homeworld.HomeWorld(seed, 5, 3)
    draw = random.Random(f'two changes {seed}')
    world.run(home.RETENTION_S + 0.1)
    world.replace_home('entry-4', 'entry-3')
    world.run(homeplacement.CHANGE_INTERVAL_S)
    world.replace_home('entry-5', 'entry-2')
    world.run(draw.uniform(0.0, home.HOME_SET_TTL_S))
    world.submit('entry-3')
    world.run(draw.uniform(0.0, 0.1))
    world.stall('entry-3', LONGEST_STALL_S)
    for _ in range(15):
        world.submit('entry-4')
        world.run(0.2)
    world.run(LONGEST_STALL_S)
    return world


def play_restarts(seed: int) -> homeworld.HomeWorld:
    """Restart two homes twice; an owner is not heard afterwards."""
    world = homeworld.HomeWorld(seed, 3, 3)
    draw = random.Random(f'restarts {seed}')
    world.run(home.RETENTION_S + 0.1)
    world.held_share = 0.7
    world.restart('entry-2')
    world.restart('entry-3')
    world.run(draw.uniform(0.1, home.RETENTION_S + 0.4))
    world.held_share = 0.05
    world.submit('entry-1')
    world.run(draw.uniform(0.0, 0.3))
    world.stall('entry-1', LONGEST_STALL_S)
    world.restart('entry-2')
    world.restart('entry-3')
    for _ in range(15):
        world.run(0.2)
        world.submit('entry-3')
    world.run(LONGEST_STALL_S)
    return world


def play_busy(seed: int) -> homeworld.HomeWorld:
    """Play three homes with a fault or a submission each 0.15 s."""
    return play(seed, 3, 3, 0.05, 0.3, 0.15, FAULTS)


@contextlib.contextmanager
def shorten_times(
    join_delay_s: float = JOIN_DELAY_S, interval_s: float = HOMES_INTERVAL_S
) -> Iterator[None]:
    """Let changes of the homes come sooner, and be known sooner."""
    with (
        mock.patch.object(home, 'HOME_SET_TTL_S', HOME_SET_TTL_S),
        mock.patch.object(home, 'JOIN_DELAY_S', join_delay_s),
        mock.patch.object(homeplacement, 'CHANGE_INTERVAL_S', interval_s),
    ):
        yield


def make_short_grant(
    owner: home.Owner, attempt: int, until_s: float
) -> home.Grant:
    """Return a grant that ends with the count of its owner."""
    return GRANT(owner, attempt, until_s - home.RUNS_TTL_S)


def is_entry(one: home.Owner, other: home.Owner) -> bool:
    """Tell whether two jobs are of one entry, in any incarnation."""
    return one.entry == other.entry


def release_any(
    table: Any, submission: str, owner: home.Owner, _: int, now_s: float
) -> None:
    """Forget an id, also if it was claimed again meanwhile."""
    RELEASE(table, submission, owner, ANY_ATTEMPT, now_s)


def claim_learned(
    table: Any, claim: home.Claim, now_s: float, grants_new: bool = True
) -> home.Owner | None:
    """Grant an id while recovering if the claimant was learned."""
    current = table._find(claim.submission, now_s)
    if current is not None and not home._precedes(current, claim):
        found: home.Owner = table.renew(claim, now_s)
        return found
    return CLAIM(table, claim, now_s, grants_new)


def ignore_attempts(current: home.Grant, claim: home.Claim) -> bool:
    """Tell whether a grant is of another process than a claim."""
    return not home._is_same_process(current.owner, claim.owner)


def handle_any_report(
    core: Any,
    peer: str,
    incarnation: int,
    report: messages.OwnershipReport,
    now_s: float,
) -> Any:
    """Apply a report for any run of the home."""
    report = msgspec.structs.replace(report, run=core._incarnation)
    return HANDLE_REPORT(core, peer, incarnation, report, now_s)


GRANT = home.Grant
RELEASE = home.Home.release
CLAIM = home.Home.claim
HANDLE_REPORT = ownership.Ownership.handle_report
ANY_ATTEMPT = 1_000_000
NEVER_RESET = property(lambda _: float('-inf'), lambda _, reset_s: None)

# Worlds whose homes change, and the number of seeds.
CHANGING: tuple[tuple[Callable[[int], homeworld.HomeWorld], int], ...] = (
    (play_changes, SEEDS),
    (play_two_changes, 60),
)

# What is replaced to remove a mechanism, a world that needs it, and a seed of
# that world with two owners.
Play = Callable[[int], homeworld.HomeWorld]
MECHANISMS: tuple[tuple[str, Any, str, Any, Play, int], ...] = (
    (
        'a grant outlasts the count of its owner',
        home,
        'Grant',
        make_short_grant,
        play_busy,
        1,
    ),
    (
        'no grants while the table is incomplete',
        home.Home,
        '_may_have_owner',
        lambda table, claim, now_s: False,
        play_busy,
        0,
    ),
    (
        'no grants while the table is incomplete, also to a learned owner',
        home.Home,
        'claim',
        claim_learned,
        play_busy,
        57,
    ),
    (
        'incarnations of an entry are different owners',
        home,
        '_is_same_process',
        is_entry,
        play_busy,
        15,
    ),
    (
        'a release has the number of its attempt',
        home.Home,
        'release',
        release_any,
        play_busy,
        1,
    ),
    (
        'grants that were given back do not count',
        ownership.Registration,
        'reset_s',
        NEVER_RESET,
        play_busy,
        44,
    ),
    (
        'a late message does not replace a later grant of the same process',
        home,
        '_precedes',
        ignore_attempts,
        play_busy,
        50,
    ),
    (
        'runs of ended entries are waited for',
        home.Home,
        '_may_have_owner',
        lambda table, claim, now_s: table.is_recovering(now_s),
        play_busy,
        11,
    ),
    (
        'a report answers this run of the home',
        ownership.Ownership,
        'handle_report',
        handle_any_report,
        play_restarts,
        7,
    ),
)
# The delay of a home that joins, and the interval of changes.
CHANGES_SEEDS = 60
CHANGES_WITHOUT: tuple[tuple[str, float, float], ...] = (
    ('a home that joins waits', 0.0, HOMES_INTERVAL_S),
    ('changes wait for each other', JOIN_DELAY_S, 0.0),
)


def make_entry(incarnation: int) -> ownership.Ownership:
    """Return the decisions of a run of one of three entries."""
    core = ownership.Ownership('entry-1', incarnation)
    core.begin(0.0)
    group = ('entry-1', 'entry-2', 'entry-3')
    core.apply_homes(contracts.HomeSet(1, (group,)), 0.0)
    core.set_authority(True)
    return core


def claim_job(core: ownership.Ownership) -> dict[str, int]:
    """Claim a job; return the number of the request to each home."""
    core.claim('job', 'job/1-1', READY_S)
    return {
        effect.peer: effect.message.request
        for effect in core.flush(READY_S, True)
        if isinstance(effect, effects.Send)
        and isinstance(effect.message, messages.OwnershipRequest)
    }


@ddt.ddt
class OwnershipTest(unittest.TestCase):
    # Guards against an owner by grants that an earlier run had requested.
    def test_response_to_an_earlier_run_grants_nothing(self) -> None:
        earlier = claim_job(make_entry(1))
        core = make_entry(2)
        self.assertEqual(claim_job(core).keys(), earlier.keys())
        outcomes = [
            outcome
            for peer, request in earlier.items()
            for outcome in core.handle_response(
                peer, messages.OwnershipResponse(request), READY_S + 0.01
            )
        ]
        self.assertEqual(outcomes, [])

    # Guards against a home without a lease from control, which may not know
    # that the set of homes has changed.
    @ddt.data((True, False), (False, True))
    @ddt.unpack
    def test_home_grants_only_under_a_lease(
        self, has_lease: bool, is_undecided: bool
    ) -> None:
        core = make_entry(1)
        core.set_authority(has_lease)
        claimed = messages.JobOwnership('job', 'job/2-1', 1)
        request = messages.OwnershipRequest(1, (claimed,))
        effect = core.handle_request('entry-2', 2, request, READY_S)[0]
        assert isinstance(effect, effects.Send)
        response = effect.message
        assert isinstance(response, messages.OwnershipResponse)
        self.assertEqual(bool(response.undecided), is_undecided)
        self.assertEqual(response.recovering, is_undecided)

    # Guards against restarted homes that grant early though replicas, which
    # do not report, have kept their tables.
    @ddt.data(
        (('entry-1', 'entry-2', 'control-1'), ('entry-1', 'entry-2'), False),
        (('entry-1', 'entry-2', 'entry-3'), ('entry-1',), True),
        (('entry-1', 'entry-2', 'control-1'), ('entry-1',), True),
    )
    @ddt.unpack
    def test_homes_grant_early_only_without_a_majority(
        self,
        group: tuple[str, ...],
        restarted: tuple[str, ...],
        is_recovering: bool,
    ) -> None:
        table = home.Home(0.0)
        for name in group:
            started_s = 0.0 if name in restarted else -home.RETENTION_S
            if name not in REPLICAS:
                table.record_report(name, started_s)
        table.end_recovery(group, 0.1)
        self.assertEqual(table.is_recovering(0.1), is_recovering)

    # Guards against a home that ends its recovery without the owner in a
    # report, since a late renewal of a former owner hides it.
    @ddt.data((None, 0), ('entry-2', 1))
    @ddt.unpack
    def test_report_counts_if_its_jobs_are_known(
        self, former: str | None, asked_again: int
    ) -> None:
        core = make_entry(1)
        entries = ('entry-1', 'entry-3')
        owned = messages.JobOwnership('job', 'job/3-1', 1)
        if former:
            renewal = messages.JobOwnership('job', 'job/2-1', 1)
            core.handle_request(
                former, 2, messages.OwnershipRequest(1, (), (renewal,)), 0.1
            )
        core.request_reports(entries, 0.1)
        report = messages.OwnershipReport(1, 0, (owned,))
        core.handle_report('entry-3', 3, report, 0.2)
        requests = core.request_reports(entries, 0.4)
        self.assertEqual(len(requests), asked_again)

    # Guards against two entries that own one id while runs of both may be at
    # work (incident TWICE of aqaba-pound).
    @ddt.data(*NETWORKS)
    @ddt.unpack
    def test_one_owner_at_a_time(
        self,
        size: int,
        homes: int,
        lost: float,
        held: float,
        mean_s: float,
        faults: tuple[str, ...],
    ) -> None:
        granted = 0
        for seed in range(SEEDS):
            world = play(seed, size, homes, lost, held, mean_s, faults)
            self.assertEqual(world.find_overlaps(), [], seed)
            granted += world.granted
        # The faults leave enough grants for the check to mean something.
        self.assertGreater(granted, 3 * SEEDS)

    # Guards against two owners after a home has been restarted twice.
    def test_one_owner_after_two_restarts_of_a_home(self) -> None:
        worlds = [play_restarts(seed) for seed in range(SEEDS)]
        self.assertEqual([w for w in worlds if w.find_overlaps()], [])
        self.assertGreater(sum(w.granted for w in worlds), SEEDS)

    # Guards against two owners by the homes before and after a change.
    @ddt.data(*CHANGING)
    @ddt.unpack
    def test_one_owner_while_homes_change(
        self, play: Play, seeds: int
    ) -> None:
        with shorten_times():
            worlds = [play(seed) for seed in range(seeds)]
        self.assertEqual([w for w in worlds if w.find_overlaps()], [])
        self.assertGreater(sum(w.granted for w in worlds), seeds)

    @ddt.data(*CHANGES_WITHOUT)
    @ddt.unpack
    def test_two_owners_if_homes_change_without(
        self, _: str, join_delay_s: float, interval_s: float
    ) -> None:
        with shorten_times(join_delay_s, interval_s):
            self.assertTrue(
                any(
                    play_two_changes(seed).find_overlaps()
                    for seed in range(CHANGES_SEEDS)
                )
            )

    @ddt.data(*MECHANISMS)
    @ddt.unpack
    def test_two_owners_without(
        self,
        _: str,
        target: Any,
        name: str,
        replacement: Any,
        play: Play,
        seed: int,
    ) -> None:
        with mock.patch.object(target, name, replacement):
            self.assertNotEqual(play(seed).find_overlaps(), [])
        self.assertEqual(play(seed).find_overlaps(), [])


if __name__ == '__main__':
    unittest.main()
