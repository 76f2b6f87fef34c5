"""Machines that are cut off for some seconds and return.

A connection holds up what was written to it and delivers it after the cut,
also when its process has replaced the connection by a new one meanwhile.
"""

import dataclasses
import itertools
from typing import Any
import unittest

import ddt

from eelgrassworks import agent
from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import entry
from eelgrassworks import errors
from eelgrassworks import links
from eelgrassworks.contracts import jobs
from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.links import session
from eelgrassworks.machines import placement
from eelgrassworks.trials import virtual
from tests import test_transient
from tests import worlds

CUT_S = 4.0
LIMIT_S = 12.0
SEEDS = range(1, 6)


def make_agent_lease(sent_s: float) -> messages.AgentLease:
    """Return the answer to a renewal that an agent sent at a time."""
    return messages.AgentLease(
        int(sent_s * 1000), 5_000, 1, True, False, (), True
    )


def make_start(submission: str, stamp_s: float) -> messages.TaskStart:
    """Return a start under the renewal that an agent sent at a time."""
    return messages.TaskStart(
        submission,
        0,
        1,
        1,
        'lid-missing',
        b'',
        5_000,
        int(stamp_s * 1000),
        0,
        True,
        False,
        test_transient.DEMAND,
        400,
    )


# When the start of a task arrives that a cut has held up, in seconds after
# the end of the cut, and the number of tasks of the job.
LATE_STARTS: tuple[tuple[float, int], ...] = (
    (0.05, 4),
    (0.3, 4),
    (2.25, 1),
    (2.25, 4),
    (2.25, 8),
)

# How late the renewals of an agent's earlier incarnation arrive after its
# restart, in seconds.
LATE_RENEWALS_S: tuple[float, ...] = (1.0, 1.5, 3.0)

# Leases that a new run of an entry receives in order, by the time of the
# renewal that each of them answers and by the incarnation that it names, and
# whether the entry must halt.  The run has sent its first renewal at 10 s.
LEASES: tuple[tuple[str, tuple[tuple[float, int], ...], bool], ...] = (
    ('late before its own', ((9.5, 3), (10.0, 4)), False),
    ('late after its own', ((10.0, 4), (9.5, 3)), False),
    ('of another boot', ((50.0, 3), (10.0, 4)), False),
    ('replaced by another run', ((10.0, 4), (10.0, 5)), True),
)

# How long an entry is cut off from all other processes while its callers are
# elsewhere, in seconds, the number of tasks of the job, and other processes
# on the machine of the entry.
SECOND_OWNERS: tuple[tuple[float, int, tuple[str, ...]], ...] = (
    (1.0, 4, ()),
    (1.5, 4, ()),
    (2.5, 4, ()),
    (4.0, 4, ()),
    (4.0, 24, ()),
    (1.0, 4, ('control-1',)),
    (1.5, 4, ('control-1',)),
    (2.5, 4, ('control-1',)),
)

# Messages of an earlier run of an entry that arrive when a later run has a
# task at the agent since 10 s, and whether they end that task: only a message
# that was sent after the later run's shows a still later one.
OTHER_RUNS: tuple[tuple[str, object, bool], ...] = (
    ('late lease', make_agent_lease(9.8), False),
    ('late start', make_start('job-2', 9.8), False),
    ('late fence', messages.TaskFence('job-2', 0, 1, 1, 9_800), False),
    ('late cancellation', messages.JobCancel(('job-2',)), False),
    ('late request', messages.SlotsRequest(3), False),
    ('lease of a later run', make_agent_lease(10.05), True),
)

# Addresses of two processes, and whether they run on the same machine.
HOSTS: tuple[tuple[str, str, bool], ...] = (
    ('tcp://10.0.0.1:7001', 'tcp://10.0.0.1:7002', True),
    ('tcp://10.0.0.1:7001', 'tcp://10.0.0.11:7001', False),
    ('tcp://[fd00::1]:7001', 'tcp://[fd00::1]:7002', True),
    ('tcp://[fd00::1]:7001', 'tcp://[fd00::2]:7001', False),
)


def isolate_entry(
    world: virtual.World, held_type: type, late_s: float
) -> list[object]:
    """Cut entry-1 off from all agents for a while.

    Messages of ``held_type`` arrive ``late_s`` after the cut, all others are
    lost.  Return the list of the held messages, which grows.
    """
    route = world.router
    end_s = world.now_s + CUT_S
    held: list[object] = []

    def delay(sender: str, receiver: str, message: object) -> list[float]:
        is_agent_link = 'entry-1' in (sender, receiver) and (
            'runner' in sender + receiver
        )
        if not is_agent_link or world.now_s >= end_s:
            return route(sender, receiver, message)
        if not isinstance(message, held_type):
            return []
        held.append(message)
        return [end_s + late_s - world.now_s]

    world.router = delay
    return held


def cut_off(
    world: virtual.World,
    cut_s: float,
    name: str,
    companions: tuple[str, ...] = (),
) -> None:
    """Cut the machine of a node off from all other machines for a while."""
    inside = {name, *companions}
    world.machines |= dict.fromkeys(inside, 'machine-1')
    links = {
        pair
        for each in inside
        for other in world.nodes.keys() - inside
        for pair in ((each, other), (other, each))
    }
    world.cut |= links
    world.at(cut_s, lambda: world.cut.difference_update(links))


def hold_up_renewals(
    world: virtual.World, name: str, kind: type, late_s: float
) -> None:
    """Delay the renewals of a node's current run, or of its next one."""
    route = world.router
    node = world.nodes[name]
    run = node.run + (node.core is None)

    def delay(sender: str, receiver: str, message: object) -> list[float]:
        is_late = (
            isinstance(message, kind) and sender == name and node.run == run
        )
        latency_s = route(sender, receiver, message)
        return [each + late_s for each in latency_s] if is_late else latency_s

    world.router = delay


def make_leased_entry(nonce: int) -> entry.Entry:
    """Return an entry with a lease, a sheet and a target, at 10 s."""
    core = entry.Entry(
        entry.EntryOptions(
            session.SessionOptions(
                'entry-1', 'tcp://entry-1', nonce, worlds.CONTROLS
            ),
            placement.LateBinding(),
            1.0,
        )
    )
    core.handle(entry.Ticked(), 10.0)
    configuration = contracts.Configuration(
        1, worlds.SHEET, frozenset(), frozenset()
    )
    received = (
        messages.ConfigurationUpdate(configuration),
        messages.EntryLease(10_000, 5_000, 1, 1, nonce),
    )
    core.handle(entry.Received('control-1', 1, received), 10.0)
    target = worlds.make_target(0)
    renewal = messages.AgentRenewal(
        target.name,
        target.worker,
        target.failure_domain,
        tuple(worlds.KINDS),
        target.slots,
        target.slots,
        0,
        10_000,
        1,
        True,
    )
    core.handle(entry.Received(target.name, 1, (renewal,)), 10.0)
    return core


def list_claims(result: effects.Effects) -> list[messages.ClaimsRequest]:
    """Return the requests for claims among effects."""
    return [
        each.message
        for each in result
        if isinstance(each, effects.Send)
        and isinstance(each.message, messages.ClaimsRequest)
    ]


@ddt.ddt
class IsolationTest(unittest.TestCase):
    # Guards against a start that is carried out after its entry has given it
    # up and started the task elsewhere (incident TWICE of kcw-accra).
    @ddt.data(*LATE_STARTS)
    @ddt.unpack
    def test_late_start_does_not_run_beside_its_restart(
        self, late_s: float, tasks: int
    ) -> None:
        for seed in SEEDS:
            world = test_transient.make_world(seed)
            held = isolate_entry(world, messages.TaskStart, late_s)
            request = test_transient.submit(
                world, 'entry-1', tasks=tasks, limit_s=LIMIT_S
            )
            world.run(2 * LIMIT_S)
            answer: Any = worlds.await_answer(world, request)
            self.assertTrue(held)
            self.assertEqual(test_transient.find_overlaps(world), [])
            self.assertIsInstance(answer, contracts.Complete)
            self.assertEqual(len(world.intervals), tasks)

    # Guards against a restart of running tasks when a late renewal of the
    # agent's earlier incarnation replaces the current one at the entry.
    @ddt.data(*LATE_RENEWALS_S)
    def test_late_renewal_of_an_earlier_incarnation_changes_nothing(
        self, late_s: float
    ) -> None:
        for seed in SEEDS:
            world = test_transient.make_world(seed)
            hold_up_renewals(world, 'runner-1', messages.AgentRenewal, late_s)
            world.run(1.0)
            world.kill('runner-1')
            world.start('runner-1')
            world.run(late_s - 0.7)
            request = test_transient.submit(
                world, 'entry-1', tasks=8, limit_s=LIMIT_S
            )
            answer: Any = worlds.await_answer(world, request)
            self.assertIsInstance(answer, contracts.Complete)
            self.assertEqual(test_transient.find_overlaps(world), [])
            self.assertEqual(len(world.intervals), 8)

    # Guards against a new run of an entry that halts, since it takes a lease
    # for an earlier run as its own.
    @ddt.data(*LEASES)
    @ddt.unpack
    def test_late_lease_of_an_earlier_run_halts_nothing(
        self, _: str, leases: tuple[tuple[float, int], ...], halts: bool
    ) -> None:
        core = entry.Entry(
            entry.EntryOptions(
                session.SessionOptions(
                    'entry-1', 'tcp://entry-1', 7, worlds.CONTROLS
                ),
                placement.LateBinding(),
                1.0,
            )
        )
        core.handle(entry.Ticked(), 10.0)
        result: effects.Effects = []
        for sent_s, incarnation in leases:
            lease = messages.EntryLease(
                int(sent_s * 1000), 5_000, 0, 0, incarnation
            )
            result += core.handle(
                entry.Received(worlds.CONTROLS[0], 1, (lease,)), 10.1
            )
        halted = [each for each in result if isinstance(each, effects.Halt)]
        self.assertEqual(bool(halted), halts)
        self.assertTrue(core.session.lease.is_valid(10.1))

    # Guards against an entry that starts tasks again after it was cut off,
    # while its caller has submitted the job elsewhere.
    @ddt.data(*SECOND_OWNERS)
    @ddt.unpack
    def test_job_of_a_cut_off_entry_does_not_run_beside_a_resubmission(
        self, cut_s: float, tasks: int, companions: tuple[str, ...]
    ) -> None:
        for seed in SEEDS:
            world = test_transient.make_world(seed)
            first = test_transient.submit(
                world, 'entry-1', tasks=tasks, limit_s=LIMIT_S
            )
            world.run(0.5)
            cut_off(world, cut_s, 'entry-1', companions)
            world.run(test_transient.RESUBMIT_S)
            # The first caller was answered, if it could be reached.
            self.assertIn(first, world.replies)
            second = test_transient.submit(
                world, 'entry-2', tasks=tasks, limit_s=LIMIT_S
            )
            answer: Any = worlds.await_answer(world, second)
            world.run(LIMIT_S)
            self.assertIsInstance(answer, contracts.Complete)
            self.assertEqual(test_transient.find_overlaps(world), [])

    # Guards against an entry that goes on with a job whose caller it cannot
    # hear, while all agents hear the entry (incident TWICE of aqaba-pound).
    @ddt.data(4, 8)
    def test_job_of_an_entry_without_its_callers_does_not_run_beside_another(
        self, tasks: int
    ) -> None:
        world = test_transient.make_world()
        test_transient.submit(world, 'entry-1', tasks=tasks, limit_s=LIMIT_S)
        # No event: the end of the connection does not reach the entry.
        world.run(test_transient.RESUBMIT_S)
        second = test_transient.submit(
            world, 'entry-2', tasks=tasks, limit_s=LIMIT_S
        )
        answer: Any = worlds.await_answer(world, second)
        self.assertIsInstance(answer, contracts.Complete)
        self.assertEqual(test_transient.find_overlaps(world), [])

    # Guards against a caller that gets the answer of another job, which its
    # entry had requested under the same number in an earlier run.
    def test_answer_for_an_earlier_run_reaches_no_other_caller(self) -> None:
        world = worlds.make_world()
        world.run_model = lambda *_: (test_transient.TASK_S, True)
        requests: list[int] = []
        for tasks in (3, 5):
            job = worlds.make_submission(worlds.make_id(world), tasks)
            worlds.submit(world, 'entry-2', job)
            world.run(0.3)
            if requests:
                # The new run numbers its requests like the earlier one.
                world._request_numbers = itertools.count(requests[0])
            requests.append(worlds.submit(world, 'entry-1', job))
            world.run(0.3)
            if len(requests) == 1:
                world.kill('entry-1')
                world.start('entry-1')
                world.run(1.0)
        self.assertEqual(requests[0], requests[1])
        answer: Any = worlds.await_answer(world, requests[1])
        self.assertEqual(len(answer.results), 5)

    # Guards against an entry whose roster lacks other entries for good, so
    # that the agents that ask it no longer serve these.
    @ddt.data('late', 'lost', 'restarted')
    def test_roster_of_an_entry_is_repaired(self, fault: str) -> None:
        world = virtual.World(1)
        world.add_control(worlds.CONTROLS, voters=3)
        for name in worlds.ENTRIES:
            world.add_entry(name, worlds.CONTROLS)
        worlds.apply_sheet(world, 'entry-1')
        world.run(2.0)
        node = world.nodes['entry-1']
        current = node.core.session.roster
        self.assertEqual(set(current.entries), set(worlds.ENTRIES))
        match fault:
            case 'late':
                earlier = messages.RosterUpdate(
                    current.replicas, {'entry-1': 'tcp://entry-1'}
                )
                leader = worlds.find_leader(world)
                world.give('entry-1', entry.Received(leader, 1, (earlier,)))
            case 'lost':
                node.core.session.roster = messages.RosterUpdate({}, {})
            case _:
                world.kill('entry-1')
                world.start('entry-1')
        world.run(3.0)
        self.assertEqual(node.core.session.roster, current)

    # Guards against a job that starts a second time, since a late response to
    # an earlier run of its entry grants the claim of the current one.
    @ddt.data(7, 8)
    def test_claim_is_granted_by_a_response_to_the_same_run(
        self, nonce: int
    ) -> None:
        requests: list[messages.ClaimsRequest] = []
        cores: list[entry.Entry] = []
        for run in (7, nonce):
            core = make_leased_entry(run)
            job = worlds.make_submission('0' * 32)
            result = core.handle(entry.SubmitRequested(1, job), 10.1)
            requests += list_claims(result)
            cores.append(core)
        granted = messages.ClaimsResponse(
            requests[0].request,
            (codec.pack(contracts.ClaimGranted('0' * 32)),),
        )
        cores[1].handle(entry.Received('control-1', 1, (granted,)), 10.2)
        job_state = cores[1].table.jobs['0' * 32].state
        self.assertEqual(job_state == jobs.JobState.ACTIVE, nonce == 7)

    @ddt.data(*HOSTS)
    @ddt.unpack
    def test_processes_that_share_a_host(
        self, one: str, other: str, shared: bool
    ) -> None:
        left, right = links.Sender('a', 1, one), links.Sender('b', 1, other)
        self.assertEqual(left.shares_host(right), shared)

    def test_cut_off_entry_refuses_jobs_at_once(self) -> None:
        world = test_transient.make_world()
        core = world.nodes['entry-1'].core
        cut_off(world, CUT_S, 'entry-1')
        world.run(1.0)
        self.assertFalse(core.is_ready(world.now_s))
        refused = test_transient.submit(world, 'entry-1')
        answer: Any = world.replies[refused][1]
        self.assertIsInstance(answer, contracts.NotRun)
        self.assertEqual(answer.refusal.code, errors.Code.ISOLATED)
        world.run(CUT_S)
        self.assertTrue(core.is_ready(world.now_s))
        request = test_transient.submit(world, 'entry-1')
        answer = worlds.await_answer(world, request)
        self.assertIsInstance(answer, contracts.Complete)

    # Guards against running tasks that are stopped, since a late message of
    # an earlier run of their entry looks like its restart.
    @ddt.data(*OTHER_RUNS)
    @ddt.unpack
    def test_late_message_of_an_earlier_run_stops_nothing(
        self, _: str, message: object, stops: bool
    ) -> None:
        target = dataclasses.replace(
            worlds.make_target(0, 0),
            service='cover-check',
            room=test_transient.ROOM,
        )
        core = agent.Agent(
            agent.AgentOptions(target, 1, ('entry-1',), 8, 0.6, 0.2)
        )
        for each in (make_agent_lease(10.0), make_start('job-1', 10.0)):
            core.handle(agent.Received('entry-1', 2, each), 10.0)
        result = core.handle(agent.Received('entry-1', 1, message), 10.1)
        stopped = [
            each for each in result if isinstance(each, effects.StopTask)
        ]
        self.assertEqual(bool(stopped), stops)
        # The current run goes on, and a later one takes its place.
        started = core.handle(
            agent.Received('entry-1', 2, make_start('job-3', 10.0)), 10.1
        )
        is_started = any(
            isinstance(each, effects.StartTask) for each in started
        )
        self.assertEqual(is_started, not stops)

    # Guards against a run of an entry that is replaced by a renewal of an
    # earlier run, which was never registered and arrives late.
    @ddt.data(0.5, 1.5, 3.0)
    def test_late_renewal_of_an_earlier_run_replaces_nothing(
        self, late_s: float
    ) -> None:
        for seed in SEEDS:
            world = test_transient.make_world(seed)
            world.kill('entry-1')
            hold_up_renewals(world, 'entry-1', messages.EntryRenewal, late_s)
            world.start('entry-1')
            world.run(0.4)
            world.kill('entry-1')
            world.start('entry-1')
            world.run(late_s + 2.0)
            self.assertEqual(world.halted, {})
            request = test_transient.submit(world, 'entry-1')
            answer: Any = worlds.await_answer(world, request)
            self.assertIsInstance(answer, contracts.Complete)


if __name__ == '__main__':
    unittest.main()
