"""What an entry knows of the starts at an agent that becomes unresponsive."""

from collections.abc import Callable
from typing import Final
import unittest
from unittest import mock

import ddt

from eelgrassworks import agent
from eelgrassworks import contracts
from eelgrassworks import dispatcher
from eelgrassworks import effects
from eelgrassworks import machines
from eelgrassworks.contracts import jobs
from eelgrassworks.links import messages
from eelgrassworks.machines import placement

SERVICE: Final = 'cover-check'
DOMAIN: Final = 'tema-port'
ROOM: Final = contracts.Room(8000, 8192)
DEMAND: Final = contracts.Room(2000, 64)
SUBMISSION: Final = 'aaaaaaaaaaaaaaaa/owner-1'
KEY: Final = contracts.TaskKey(SUBMISSION, 0)
SHOWN: Final = messages.ShownAttempt(SUBMISSION, 0, 1)
KIND: Final = contracts.Kind(
    'read', frozenset({DOMAIN}), True, 20.0, service=SERVICE, attempts=2
)
CONFIGURATION: Final = contracts.Configuration(
    1,
    contracts.Sheet(
        {'read': KIND},
        {'callers': contracts.Quota('callers', 1.0, 100_000, 0)},
    ),
    frozenset(),
    frozenset(),
)
# The start is sent at START_S, and the agent is lost at LOST_S.
START_S: Final = 1.0
LOST_S: Final = START_S + 1.5

# Title, renewals of the first agent by time, incarnation, stamp in seconds
# and attempts that it names; and the end: whether the task is started at the
# second agent, and whether the first one is asked for it.
RENEWALS: tuple[
    tuple[
        str,
        tuple[
            tuple[float, int, float, tuple[messages.ShownAttempt, ...]], ...
        ],
        bool,
        bool,
    ],
    ...,
] = (
    ('never shown', (), False, False),
    ('shown', ((1.1, 1, 1.1, (SHOWN,)),), True, False),
    (
        'another attempt shown',
        ((1.1, 1, 1.1, (messages.ShownAttempt(SUBMISSION, 0, 2),)),),
        False,
        False,
    ),
    (
        'another task shown',
        ((1.1, 1, 1.1, (messages.ShownAttempt(SUBMISSION, 1, 1),)),),
        False,
        False,
    ),
    (
        'not shown after a renewal',
        ((1.1, 1, 1.1, ()),),
        False,
        False,
    ),
    (
        'returned',
        ((LOST_S + 0.1, 1, LOST_S + 0.1, ()),),
        False,
        True,
    ),
    (
        'restarted',
        ((LOST_S + 0.1, 2, LOST_S + 0.1, ()),),
        True,
        False,
    ),
    (
        'late renewal of an earlier incarnation',
        ((LOST_S + 0.1, 3, START_S - 0.5, ()),),
        False,
        False,
    ),
)

# Title, time of the end of the job, and whether a start may be under way.
ENDED_JOBS: tuple[tuple[str, bool, float, bool], ...] = (
    ('at work', True, START_S + 0.3, False),
    ('under way', False, START_S + 0.3, True),
    ('under way at a lost agent', False, LOST_S + 0.3, True),
)


def make_renewal(
    name: str,
    stamp_s: float,
    shown: tuple[messages.ShownAttempt, ...] = (),
) -> messages.AgentRenewal:
    """Return a renewal of an agent whose target has free room."""
    return messages.AgentRenewal(
        name,
        f'worker-{name}',
        DOMAIN,
        (),
        0,
        1,
        0,
        int(stamp_s * 1000),
        1,
        True,
        SERVICE,
        ROOM,
        ROOM,
        shown=shown,
    )


class Placement:
    """A dispatcher with one job of one task, placed at runner-1."""

    def __init__(self) -> None:
        self.table = jobs.JobTable()
        self.dispatcher = dispatcher.Dispatcher(
            placement.LateBinding(False), self.table
        )
        self.dispatcher.configure(CONFIGURATION)
        submission = contracts.Submission(
            SUBMISSION,
            'digest',
            'callers',
            'read',
            (b'spec',),
            20.0,
            False,
            transient=True,
            demand=DEMAND,
            estimate_s=2.0,
        )
        self.job = jobs.Job(submission, START_S, START_S + 20.0)
        self.job.activate()
        self.table.add(self.job)
        self.sent: list[tuple[str, object]] = []
        self.renew('runner-1', 1, START_S)
        self.dispatcher.add(self.job)
        self.place(START_S)

    def renew(
        self,
        name: str,
        incarnation: int,
        now_s: float,
        stamp_s: float | None = None,
        shown: tuple[messages.ShownAttempt, ...] = (),
    ) -> None:
        """Handle a renewal."""
        renewal = make_renewal(name, stamp_s or now_s, shown)
        result = self.dispatcher.handle_renewal(
            name, incarnation, renewal, now_s
        )
        self._record(result.effects)

    def place(self, now_s: float) -> None:
        """Place the waiting tasks."""
        self._record(self.dispatcher.place(now_s))

    def tick(self, now_s: float) -> None:
        """Handle the timer, while runner-2 stays in contact."""
        self.renew('runner-2', 1, now_s)
        self._record(self.dispatcher.tick(now_s).effects)
        self.place(now_s)

    def _record(self, result: effects.Effects) -> None:
        self.sent += [
            (each.peer, each.message)
            for each in result
            if isinstance(each, effects.Send)
        ]

    def list_starts(self) -> list[str]:
        """Return the agents to which the task was sent."""
        return [
            peer
            for peer, message in self.sent
            if isinstance(message, messages.TaskStart)
        ]


def end_job(placed: Placement) -> None:
    """End the job of the lost start."""
    placed.job.state = jobs.JobState.ENDED


def restart_agent(placed: Placement) -> None:
    """Let a later incarnation of the lost agent renew."""
    placed.renew('runner-1', 2, LOST_S + 0.15)


def return_agent(placed: Placement) -> None:
    """Let the lost agent return and decline the start."""
    placed.renew('runner-1', 1, LOST_S + 0.15)
    declined = messages.TaskDeclined(
        SUBMISSION, 0, 1, 'unanswered', 0, 1, ROOM
    )
    placed.dispatcher.handle_message('runner-1', 1, declined, LOST_S + 0.16)


# What settles the start of a lost agent.
SETTLEMENTS: tuple[Callable[[Placement], None], ...] = (
    end_job,
    restart_agent,
    return_agent,
)


@ddt.ddt
class LostAgentTest(unittest.TestCase):
    # Guards against two runs of a task: an entry starts the task of a lost
    # agent elsewhere, and the target carries out the first start after that.
    @ddt.data(*RENEWALS)
    @ddt.unpack
    def test_start_under_way_is_settled_by_its_agent(
        self,
        _: str,
        renewals: tuple[
            tuple[float, int, float, tuple[messages.ShownAttempt, ...]], ...
        ],
        starts_elsewhere: bool,
        is_asked: bool,
    ) -> None:
        placed = Placement()
        self.assertEqual(placed.list_starts(), ['runner-1'])
        for now_s, incarnation, stamp_s, shown in renewals:
            if now_s > LOST_S:
                placed.tick(LOST_S)
            placed.renew('runner-1', incarnation, now_s, stamp_s, shown)
        for now_s in (LOST_S + 0.2, LOST_S + 0.4):
            placed.tick(now_s)
        elsewhere = placed.list_starts()[1:]
        self.assertEqual(len(elsewhere), int(starts_elsewhere))
        fences = [
            peer
            for peer, message in placed.sent
            if isinstance(message, messages.TaskFence)
        ]
        self.assertEqual(fences, ['runner-1'] * is_asked)

    # Guards against a second submission beside a late start: the answer must
    # not invite one.
    @ddt.data(*ENDED_JOBS)
    @ddt.unpack
    def test_job_tells_whether_a_start_is_under_way(
        self, _: str, is_shown: bool, ended_s: float, may_start: bool
    ) -> None:
        placed = Placement()
        if is_shown:
            placed.renew('runner-1', 1, START_S + 0.1, shown=(SHOWN,))
        placed.tick(ended_s)
        self.assertEqual(placed.dispatcher.may_start(placed.job), may_start)

    # Guards against a quota that stays in use after a lost start was settled,
    # and against work that is counted as done by a start that is over.
    @ddt.data(*SETTLEMENTS)
    def test_lost_start_is_settled_once(
        self, settle: Callable[[Placement], None]
    ) -> None:
        placed = Placement()
        placed.tick(LOST_S)
        queue = placed.dispatcher.queue
        with mock.patch.object(
            queue, 'record_end', autospec=True
        ) as record_end:
            placed.tick(LOST_S + 0.1)
            record_end.assert_not_called()
            settle(placed)
            placed.tick(LOST_S + 0.2)
            record_end.assert_called_once_with('callers')
        view = placed.dispatcher.views.get('runner-1')
        if view is not None:
            self.assertEqual(view.outstanding_cpu_millis, 0)

    # Guards against a task that waits for an agent which is lost again, though
    # its first renewal in between said that the target runs it.
    def test_returned_agent_names_its_runs(self) -> None:
        placed = Placement()
        placed.tick(LOST_S)
        placed.renew('runner-1', 1, LOST_S + 0.1, shown=(SHOWN,))
        placed.tick(LOST_S + 1.6)
        self.assertEqual(len(placed.list_starts()), 2)

    # Guards against a task that waits for an agent which starts its tasks
    # itself, so that none of them starts after the agent is gone.
    @ddt.data((ROOM, [KEY]), (contracts.NO_ROOM, []))
    @ddt.unpack
    def test_starts_without_a_target_are_not_under_way(
        self, room: contracts.Room, expected: list[contracts.TaskKey]
    ) -> None:
        target = machines.Target(
            'runner-1', 'worker-1', DOMAIN, 4, frozenset(), SERVICE, room
        )
        view = machines.TargetView(target, 1)
        view.send(
            KEY, machines.Outstanding('callers', 'read', 1, 0, 1.0, 0.0, 0.0)
        )
        self.assertEqual(view.list_unshown(), expected)


# Title, whether the target has shown the run, time of the renewal that the
# entry has confirmed last, and whether the renewal at 2.2 s names the run;
# the renewal at 2.1 s did if the run was shown.
SHOWN_RUNS: tuple[tuple[str, bool, float, bool], ...] = (
    ('under way', False, 2.1, False),
    ('not confirmed', True, 2.0, True),
    ('confirmed', True, 2.1, False),
)


def make_lease(sent_s: float) -> agent.Received:
    """Return the entry's answer to a renewal that was sent at a time."""
    stamp_ms = int(sent_s * 1000)
    terms = messages.AgentLease(stamp_ms, 5_000, 1, True, False, (), True)
    return agent.Received('entry-1', 1, terms)


def make_agent() -> agent.Agent:
    """Return an agent that has started a task of entry-1 at 2.01 s."""
    target = machines.Target(
        'runner-1', 'worker-1', DOMAIN, 0, frozenset(), SERVICE, ROOM
    )
    core = agent.Agent(
        agent.AgentOptions(target, 1, ('entry-1',), 8, 0.6, 0.05)
    )
    core.handle(make_lease(2.0), 2.0)
    start = messages.TaskStart(
        SUBMISSION,
        0,
        1,
        1,
        'read',
        b'spec',
        9_000,
        2_000,
        0,
        True,
        False,
        DEMAND,
        2_000,
    )
    core.handle(agent.Received('entry-1', 1, start), 2.01)
    return core


@ddt.ddt
class RenewalTest(unittest.TestCase):
    # Guards against an entry that takes a start under way for a run, or waits
    # for an agent though it could know that the lease has ended.
    @ddt.data(*SHOWN_RUNS)
    @ddt.unpack
    def test_renewals_name_shown_runs_until_confirmed(
        self, _: str, is_shown: bool, confirmed_s: float, names: bool
    ) -> None:
        core = make_agent()
        if is_shown:
            core.handle(agent.TaskStarted(KEY), 2.02)
        first = _list_named(core.handle(agent.Ticked(), 2.1))
        self.assertEqual(first, [SHOWN] * is_shown)
        core.handle(make_lease(confirmed_s), 2.15)
        second = _list_named(core.handle(agent.Ticked(), 2.2))
        self.assertEqual(second, [SHOWN] * names)


class SilentEntryTest(unittest.TestCase):
    # Guards against a log line with each tick, for as long as a start of an
    # unresponsive entry is under way.
    def test_tasks_of_a_silent_entry_are_logged_once(self) -> None:
        core = make_agent()
        result: effects.Effects = []
        for tick in range(100):
            result += core.handle(agent.Ticked(), 3.0 + tick * 0.05)
        stops = [each for each in result if each == effects.StopTask(KEY)]
        self.assertEqual(len(stops), 100)
        logged = [
            each.fields['tasks']
            for each in result
            if isinstance(each, effects.Log) and each.event == 'entry_silent'
        ]
        self.assertEqual(logged, [1])


def _list_named(result: effects.Effects) -> list[messages.ShownAttempt]:
    return [
        shown
        for each in result
        if isinstance(each, effects.Send)
        and isinstance(each.message, messages.AgentRenewal)
        for shown in each.message.shown
    ]


if __name__ == '__main__':
    unittest.main()
