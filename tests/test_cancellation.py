"""Cancellations that are lost: no run outlives its job for long.

An entry that ends a transient job goes on to confirm the renewals of the
agents that run its tasks.  The caller may submit the job again, at any entry,
``RESUBMIT_S`` after it lost its connection or its answer.
"""

from collections.abc import Callable
import dataclasses
import random
from typing import NamedTuple
import unittest

import ddt

from eelgrassworks import agent
from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import entry
from eelgrassworks import heldagentprocess
from eelgrassworks import keyrecords
from eelgrassworks.links import continuity
from eelgrassworks.links import messages
from eelgrassworks.trials import virtual
from tests import test_isolation
from tests import test_transient
from tests import worlds

JOB_ID = 'cccccccccccccccc'
ENTRY_TTL_S = heldagentprocess.ENTRY_TTL_S
RENEWAL_INTERVAL_S = heldagentprocess.RENEWAL_INTERVAL_S
# The end of the agent's lease, the tick that notices it, and a delay.
LONGEST_REST_S = ENTRY_TTL_S + virtual.TICK_S + 0.01
RUN_S = 2.5
# Jobs end this long after they were submitted.
END_S = 1.0
PAUSE_S = continuity.MAX_EVENT_GAP_S + 0.01

# Tells whether a frame from one node to another is lost; given are its time
# after the end of the job and its messages.
Loss = Callable[[str, str, float, list[object]], bool]


class FrameRouter:
    """Drops whole frames, as a connection does that is reset."""

    def __init__(self, world: virtual.World, loss: Loss) -> None:
        self.dropped = 0
        self.cancels = 0
        self.ended_s = float('inf')
        self._world = world
        self._loss = loss
        self._route = world.router
        self._current: list[object] = []
        self._is_lost = False
        self._send = world._send
        world._send = self._begin_frame  # type: ignore[method-assign]
        world.router = self._pass

    def _begin_frame(
        self, node: virtual.Node, peer: str, sent: list[object]
    ) -> None:
        age_s = self._world.now_s - self.ended_s
        self._is_lost = age_s >= 0 and self._loss(node.name, peer, age_s, sent)
        self.dropped += self._is_lost
        self.cancels += any(isinstance(m, messages.JobCancel) for m in sent)
        self._send(node, peer, sent)

    def _pass(self, sender: str, peer: str, message: object) -> list[float]:
        return [] if self._is_lost else self._route(sender, peer, message)


# What is lost.


def lose_nothing() -> Loss:
    """Return a loss of no frame."""
    return lambda *_: False


def lose_first_cancels() -> Loss:
    """Return a loss of the first frame with a cancellation to each agent."""
    lost: set[str] = set()

    def is_lost(_: str, peer: str, __: float, sent: list[object]) -> bool:
        if peer in lost or not has(sent, messages.JobCancel):
            return False
        lost.add(peer)
        return True

    return is_lost


def lose_every_cancel() -> Loss:
    """Return a loss of every frame with a cancellation for a while."""
    return lambda _, __, age_s, sent: (
        age_s < RUN_S and has(sent, messages.JobCancel)
    )


def lose_frames_to_agents() -> Loss:
    """Return a loss of all frames of the entry for half a lease."""
    return lambda sender, _, age_s, __: (
        sender == 'entry-1' and age_s < ENTRY_TTL_S / 2
    )


def lose_first_cancels_and_ends() -> Loss:
    """Return a loss of first cancellations, and of ends for a while."""
    lose_cancel = lose_first_cancels()
    return lambda sender, peer, age_s, sent: (
        lose_cancel(sender, peer, age_s, sent)
        or (age_s < 1.0 and has(sent, messages.TaskFinished))
    )


def lose_half_of_frames() -> Loss:
    """Return a loss of half of the frames from and to agents."""
    chance = random.Random(1)
    return lambda sender, peer, age_s, _: (
        age_s < RUN_S
        and 'entry-1' in (sender, peer)
        and not {sender, peer} & set(worlds.CONTROLS)
        and chance.random() < 0.5
    )


def has(sent: list[object], kind: type) -> bool:
    """Tell whether a frame has a message of a class."""
    return any(isinstance(message, kind) for message in sent)


ENDS = ('disconnected', 'deadline', 'paused', 'task failed')
LOSSES = (
    lose_nothing,
    lose_first_cancels,
    lose_every_cancel,
    lose_frames_to_agents,
    lose_first_cancels_and_ends,
    lose_half_of_frames,
)


@ddt.ddt
class LostCancellationTest(unittest.TestCase):
    """A run goes on after its job, beside the run of a resubmission."""

    @ddt.data(*((end, loss) for end in ENDS for loss in LOSSES))
    @ddt.unpack
    def test_runs_end_before_the_caller_submits_again(
        self, end: str, make_loss: Callable[[], Loss]
    ) -> None:
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                world = make_world(seed)
                router = FrameRouter(world, make_loss())
                end_job(world, router, end)
                core = world.nodes['entry-1'].core
                self.assertEqual(core.table.list_open(), [])
                world.run(test_transient.RESUBMIT_S)
                world.run_model = lambda *_: (RUN_S, True)
                second = test_transient.submit(world, 'entry-2', JOB_ID)
                answer = worlds.await_answer(world, second)
                self.assertIsInstance(answer, contracts.Complete)
                self.assertEqual(test_transient.find_overlaps(world), [])
                latest_s = router.ended_s + LONGEST_REST_S
                for start_s, end_s, key in world.intervals:
                    if start_s < router.ended_s:
                        self.assertLessEqual(end_s, latest_s, key)
                views = core.dispatcher.views
                self.assertFalse(any(v.outstanding for v in views.values()))
                sent = router.cancels
                world.run(2.0)
                self.assertEqual(router.cancels, sent)


class LateStart(NamedTuple):
    """A start that arrives long after it was sent, and what is lost."""

    delay_s: float
    loses_cancel: bool


LATE_STARTS = (
    LateStart(0.1, False),
    LateStart(0.1, True),
    LateStart(1.0, True),
    LateStart(keyrecords.START_WINDOW_S - 0.1, False),
    LateStart(keyrecords.START_WINDOW_S + 0.1, False),
    LateStart(keyrecords.START_WINDOW_S + 0.1, True),
    LateStart(2 * keyrecords.START_WINDOW_S, True),
)


@ddt.ddt
class LateStartTest(unittest.TestCase):
    """A start arrives after the end of its job, and its run goes on."""

    @ddt.data(*LATE_STARTS)
    def test_late_start_of_a_cancelled_job_does_not_run_on(
        self, case: LateStart
    ) -> None:
        world = make_world(1)
        lose = lose_first_cancels() if case.loses_cancel else lose_nothing()
        router = FrameRouter(world, lose)
        passed = world.router

        def delay(sender: str, peer: str, message: object) -> list[float]:
            if isinstance(message, messages.TaskStart):
                return [case.delay_s]
            return passed(sender, peer, message)

        world.router = delay
        request = test_transient.submit(world, 'entry-1', JOB_ID)
        world.run(0.01)
        router.ended_s = world.now_s
        world.give('entry-1', entry.CallerDisconnected(request))
        world.run(case.delay_s + 1.0)
        latest_s = router.ended_s + LONGEST_REST_S
        for _, end_s, key in world.intervals:
            self.assertLessEqual(end_s, latest_s, key)
        core = world.nodes['entry-1'].core
        views = core.dispatcher.views.values()
        self.assertFalse(any(view.outstanding for view in views))
        for position in range(3):
            slots = world.nodes[f'runner-{position + 1}'].core.slots
            self.assertEqual(slots.occupants, {})

    # Guards against a run of a cancelled job when the first frame of a
    # restarted entry that arrives at the agent has the cancellation.
    @ddt.data(1, 2)
    def test_cancellation_counts_for_each_run_of_an_entry(
        self, run: int
    ) -> None:
        target = dataclasses.replace(
            worlds.make_target(0, 0),
            service='cover-check',
            room=test_transient.ROOM,
        )
        core = agent.Agent(
            agent.AgentOptions(target, 1, ('entry-1',), 8, ENTRY_TTL_S)
        )
        for sender, message in (
            (1, test_isolation.make_agent_lease(10.0)),
            (run, messages.JobCancel(('job-1',))),
            (run, test_isolation.make_agent_lease(10.1)),
            (run, test_isolation.make_start('job-1', 10.1)),
        ):
            result = core.handle(
                agent.Received('entry-1', sender, message), 10.2
            )
        self.assertFalse(
            any(isinstance(each, effects.StartTask) for each in result)
        )


def make_world(seed: int) -> virtual.World:
    """Return a world with the timing of agents whose targets have leases."""
    return test_transient.make_world(
        seed, renewal_interval_s=RENEWAL_INTERVAL_S
    )


def end_job(world: virtual.World, router: FrameRouter, end: str) -> None:
    """Submit a job of four tasks and end it while tasks run."""
    limit_s = END_S if end == 'deadline' else 9.0
    world.run_model = lambda _, key, *__: (
        (END_S / 2, False)
        if end == 'task failed' and key.index == 0
        else (RUN_S, True)
    )
    request = test_transient.submit(world, 'entry-1', JOB_ID, limit_s=limit_s)
    match end:
        case 'disconnected':
            world.run(END_S)
            router.ended_s = world.now_s
            world.give('entry-1', entry.CallerDisconnected(request))
        case 'paused':
            world.run(END_S - PAUSE_S)
            world.freeze('entry-1')
            world.run(PAUSE_S)
            router.ended_s = world.now_s
            world.thaw('entry-1')
        case _:
            # The cancellations are sent at the next tick.
            world.run_until(lambda: request in world.replies, END_S + 0.1)
            router.ended_s = world.now_s


if __name__ == '__main__':
    unittest.main()
