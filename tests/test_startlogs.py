"""What the log lines of starts say: the attempt before, the entry's run."""

from collections.abc import Callable
from typing import Any
from typing import Final
import unittest

import ddt

from eelgrassworks import agent
from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import entry
from eelgrassworks import entryprocess
from eelgrassworks import links
from eelgrassworks import machines
from eelgrassworks import settings
from eelgrassworks.contracts import jobs
from eelgrassworks.links import bus
from eelgrassworks.links import messages
from eelgrassworks.links import session
from eelgrassworks.machines import placement
from tests import test_transient
from tests import worlds

CALLER_ID: Final = 'aaaaaaaaaaaaaaaa'
RUN: Final = 0x2AB00
JOB_ID: Final = f'{CALLER_ID}/2ab00-1'
KEY: Final = contracts.TaskKey(JOB_ID, 0)
START_S: Final = 12.0
STEP_S: Final = 0.1
ROOM: Final = test_transient.ROOM


class Trace:
    """An entry with one job of one task, sent to runner-1 at START_S.

    From then on runner-2 is in contact with the entry too.
    """

    def __init__(self) -> None:
        self.now_s = START_S - 2.0
        self.logged: list[effects.Log] = []
        self.core = entry.Entry(
            entry.EntryOptions(
                session.SessionOptions(
                    'entry-1', 'tcp://entry-1', RUN, worlds.CONTROLS
                ),
                placement.LateBinding(False),
                60.0,
            )
        )
        self._handle(entry.Ticked())
        configuration = contracts.Configuration(
            1, test_transient.SHEET, frozenset(), frozenset()
        )
        self.receive(
            'control-1',
            1,
            messages.ConfigurationUpdate(configuration),
            messages.EntryLease(int(self.now_s * 1000), 60_000, 1, 1, RUN),
        )
        while self.now_s < START_S:
            self.renew(0)
            self._advance()
        submission = contracts.Submission(
            CALLER_ID,
            'digest',
            'callers',
            'read',
            (b'spec',),
            9.0,
            False,
            transient=True,
            demand=test_transient.DEMAND,
            estimate_s=test_transient.TASK_S,
        )
        self._handle(entry.SubmitRequested(1, submission))
        self.job = self.core.table.jobs[JOB_ID]
        self.wait(STEP_S)

    def _handle(self, event: entry.EntryEvent) -> None:
        self.logged += [
            each
            for each in self.core.handle(event, self.now_s)
            if isinstance(each, effects.Log)
        ]

    def receive(self, peer: str, incarnation: int, *received: object) -> None:
        """Handle messages of one frame."""
        self._handle(entry.Received(peer, incarnation, received))

    def answer(self, message: object) -> None:
        """Handle an answer of runner-1."""
        self.receive('runner-1', 1, message)

    def renew(
        self,
        position: int,
        incarnation: int = 1,
        shown: tuple[messages.ShownAttempt, ...] = (),
    ) -> None:
        """Handle a renewal of the agent at a position."""
        target = worlds.make_target(position, 0)
        renewal = messages.AgentRenewal(
            target.name,
            target.worker,
            target.failure_domain,
            (),
            0,
            1,
            0,
            int(self.now_s * 1000),
            1,
            True,
            'cover-check',
            ROOM,
            ROOM,
            shown=shown,
        )
        self.receive(target.name, incarnation, renewal)

    def _advance(self) -> None:
        self.now_s += STEP_S
        self._handle(entry.Ticked())

    def wait(self, length_s: float) -> None:
        """Let time pass in which only runner-2 renews."""
        end_s = self.now_s + length_s
        while self.now_s < end_s:
            self.renew(1)
            self._advance()

    def list_previous(self) -> list[tuple[object, object]]:
        """Return what the lines of the starts say of the attempt before."""
        return [
            (each.fields['previous'], each.fields['previous_target'])
            for each in self.logged
            if each.event == 'start_sent' and each.fields['id'] == JOB_ID
        ]


def make_declined(reason: str) -> messages.TaskDeclined:
    """Return the decline of the first attempt."""
    return messages.TaskDeclined(JOB_ID, 0, 1, reason, 1, 1, ROOM)


def make_finished(
    body: bytes, stopped: bool, attempt: int = 1, succeeded: bool = False
) -> messages.TaskFinished:
    """Return the end of an attempt."""
    return messages.TaskFinished(
        JOB_ID, 0, succeeded, stopped, body, 10, 1, 1, attempt, ROOM
    )


def start_only(_: Trace) -> None:
    """Leave the first attempt as it is."""


def decline_as_busy(trace: Trace) -> None:
    """Decline the start for want of room."""
    trace.answer(make_declined(messages.REASON_BUSY))


def decline_as_unanswered(trace: Trace) -> None:
    """Decline the start, since the target did not answer."""
    trace.answer(make_declined('unanswered'))


def decline_at_length(trace: Trace) -> None:
    """Decline the start in the words of a target."""
    trace.answer(make_declined('x' * 10_000))


def lapse(trace: Trace) -> None:
    """Report that the lease of the run ended."""
    trace.answer(make_finished(b'lapsed', True))


def stop_without_reason(trace: Trace) -> None:
    """Report that the run was stopped."""
    trace.answer(make_finished(b'', True))


def fail(trace: Trace) -> None:
    """Report that the run failed by itself."""
    trace.answer(make_finished(b'out of memory', False))


def lose_agent(trace: Trace) -> None:
    """Let the agent name the run, and become unresponsive."""
    trace.renew(0, shown=(messages.ShownAttempt(JOB_ID, 0, 1),))
    trace.wait(1.6)


def restart_agent(trace: Trace) -> None:
    """Let a later incarnation of the agent renew."""
    trace.renew(0, 2)


def restart_lost_agent(trace: Trace) -> None:
    """Let a later incarnation of a lost agent renew."""
    trace.wait(1.6)
    trace.renew(0, 2)


def return_lost_agent(trace: Trace) -> None:
    """Let a lost agent return and decline the start."""
    trace.wait(1.6)
    trace.renew(0)
    trace.answer(make_declined('fenced'))


def decline_and_fail(trace: Trace) -> None:
    """Decline the first attempt; the second one fails at runner-2."""
    trace.renew(1)
    trace.answer(make_declined('stopping'))
    trace.wait(STEP_S)
    trace.receive('runner-2', 1, make_finished(b'broken', False, 2))


# How the attempts of a task end, and what the line of each start says of the
# attempt before: why it is taken to have ended, and its target.
ENDS: tuple[
    tuple[Callable[[Trace], None], tuple[tuple[str, str], ...]], ...
] = (
    (start_only, ()),
    (decline_as_busy, (('busy', 'runner-1'),)),
    (decline_as_unanswered, (('unanswered', 'runner-1'),)),
    (decline_at_length, (('x' * jobs.MAX_REASON_CHARS, 'runner-1'),)),
    (lapse, (('lapsed', 'runner-1'),)),
    (stop_without_reason, (('stopped', 'runner-1'),)),
    (fail, (('failed', 'runner-1'),)),
    (lose_agent, (('lost', 'runner-1'),)),
    (restart_agent, (('restarted', 'runner-1'),)),
    (restart_lost_agent, (('restarted', 'runner-1'),)),
    (return_lost_agent, (('fenced', 'runner-1'),)),
    (decline_and_fail, (('stopping', 'runner-1'), ('failed', 'runner-2'))),
)


@ddt.ddt
class EntryLogTest(unittest.TestCase):
    # Guards against a second run of a task whose start does not say why the
    # first one was taken to have ended.
    @ddt.data(*ENDS)
    @ddt.unpack
    def test_start_names_the_end_of_the_attempt_before(
        self,
        end: Callable[[Trace], None],
        expected: tuple[tuple[str, str], ...],
    ) -> None:
        trace = Trace()
        end(trace)
        trace.wait(STEP_S)
        self.assertEqual(trace.list_previous(), [('', ''), *expected])

    # Guards against reasons that outlive their job.
    def test_reasons_are_released_with_the_job(self) -> None:
        trace = Trace()
        decline_as_busy(trace)
        self.assertEqual(list(trace.job.previous), [0])
        trace.wait(STEP_S)
        target = next(iter(trace.job.targets_by_index.values()))
        trace.receive(target, 1, make_finished(b'done', False, 2, True))
        self.assertEqual(trace.job.state, jobs.JobState.ENDED)
        self.assertEqual(trace.job.previous, {})

    # Guards against lines of agents that name another run of an entry than
    # its job ids do.
    def test_run_in_job_ids_is_the_run_of_the_sender(self) -> None:
        model = settings.EntrySettings(
            name='entry-1',
            vm=settings.VmModel(name='vm', failure_domain='a', region='b'),
            listen='tcp://127.0.0.1:1',
            http=settings.HttpModel(host='127.0.0.1', port=0),
            key='k' * 16,
            replicas={'control-1': 'tcp://127.0.0.1:2'},
        )
        sender = links.Sender('entry-1', RUN, model.listen)
        running = entryprocess.EntryProcess(
            model, bus.BusTransport(bus.Bus(), links.Codec(b'k'), sender)
        )
        self.assertEqual(running.entry.options.session.nonce, RUN)
        self.assertEqual(Trace().job.submission.id, JOB_ID)


def make_lease(run: int, sent_s: float) -> agent.Received:
    """Return the answer of a run of entry-1 to a renewal of a time."""
    lease = messages.AgentLease(
        int(sent_s * 1000), 5_000, 1, True, False, (), True
    )
    return agent.Received('entry-1', run, lease)


def make_start(stamp_s: float) -> agent.Received:
    """Return the start of a task under the renewal of a time."""
    start = messages.TaskStart(
        JOB_ID,
        0,
        1,
        1,
        'read',
        b'spec',
        9_000,
        int(stamp_s * 1000),
        0,
        True,
        False,
        test_transient.DEMAND,
        2_500,
    )
    return agent.Received('entry-1', RUN, start)


SUCCESS: Final = agent.TaskEnded(KEY, True, b'done')

# Title, events after a lease at 2 s with their times, and the lines that name
# the entry's run, with that run.
RUNS: tuple[
    tuple[
        str,
        tuple[tuple[float, agent.AgentEvent], ...],
        tuple[tuple[str, str], ...],
    ],
    ...,
] = (
    (
        'run',
        ((2.1, make_start(2.0)), (2.3, SUCCESS)),
        (('task_started', '2ab00'), ('task_ended', '2ab00')),
    ),
    (
        'start under an old renewal',
        ((2.1, make_start(1.2)),),
        (('start_late', '2ab00'),),
    ),
    (
        'end after a restart of the entry',
        (
            (2.1, make_start(2.0)),
            (2.2, make_lease(RUN + 1, 2.15)),
            (2.3, SUCCESS),
        ),
        (('task_started', '2ab00'), ('task_ended', '2ab01')),
    ),
)


@ddt.ddt
class AgentLogTest(unittest.TestCase):
    # Guards against runs that cannot be told apart by the run of their entry.
    @ddt.data(*RUNS)
    @ddt.unpack
    def test_lines_name_the_run_of_the_entry(
        self,
        _: str,
        events: tuple[tuple[float, agent.AgentEvent], ...],
        expected: tuple[tuple[str, str], ...],
    ) -> None:
        target = machines.Target(
            'runner-1',
            'worker-1',
            'tema-port',
            0,
            frozenset(),
            'cover-check',
            ROOM,
        )
        core = agent.Agent(
            agent.AgentOptions(target, 1, ('entry-1',), 8, 0.6, 0.05)
        )
        core.handle(make_lease(RUN, 2.0), 2.0)
        logged: list[tuple[str, Any]] = []
        for now_s, event in events:
            logged += [
                (each.event, each.fields['entry_run'])
                for each in core.handle(event, now_s)
                if isinstance(each, effects.Log)
            ]
        self.assertEqual(tuple(logged), expected)


if __name__ == '__main__':
    unittest.main()
