"""Decisions about a target that keeps tasks only while they are holds."""

import asyncio
import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import heldagentprocess
from eelgrassworks import links
from eelgrassworks import settings
from eelgrassworks.links import bus
from eelgrassworks.machines import heldtarget
from eelgrassworks.machines import holds

LIFE = holds.Life('i-1', 1_000_000)
NEXT_LIFE = holds.Life('i-1', 2_000_000)
KEY = contracts.TaskKey('job/owner-1', 0)
OTHER_KEY = contracts.TaskKey('job/owner-2', 0)
NAME = heldtarget.make_task_name(KEY)
UNKNOWN_TASK = holds.TaskName('strange', 3)
CLOCK_MS = 5000
HOLD = 'hold'

START = holds.StartRequested(KEY, 1, b'spec', 1.0)
ACCEPTED = holds.StartTold(NAME, 1, True)
UNANSWERED = holds.OrderUnanswered(NAME, 1)
STOPPED = holds.StopTold(NAME, 1)
HOLD_UNANSWERED = holds.HoldUnanswered(False)
HOLD_REFUSED = holds.HoldUnanswered(True)


def list_runs(
    number: int,
    *running: holds.Running,
    clock_ms: int = CLOCK_MS,
    ended: tuple[holds.Ended, ...] = (),
    life: holds.Life = LIFE,
) -> holds.HoldTold:
    """Return the answer to a hold."""
    return holds.HoldTold(number, life, clock_ms, running, ended)


def end(
    number: int, outcome: str, name: holds.TaskName = NAME, attempt: int = 1
) -> tuple[holds.Ended, ...]:
    """Return one listed end."""
    ended = holds.Ended(
        number, name, attempt, outcome == 'done', outcome == 'failed', outcome
    )
    return (ended,)


def run(percent: int = 0) -> holds.Running:
    """Return the row of the run that the tests order."""
    return holds.Running(NAME, 1, percent)


# What happens, each with the time in seconds, and the effects of the last
# event by their types and what tells them apart.  HOLD begins a hold.
SCRIPTS: tuple[
    tuple[str, tuple[tuple[float, object], ...], list[object]], ...
] = (
    (
        'a start is ordered within its own deadline',
        ((0.0, START),),
        [('StartCall', 1)],
    ),
    (
        'an end that is listed frees the room',
        (
            (0.0, START),
            (0.1, ACCEPTED),
            (0.2, list_runs(2, ended=end(1, 'done'))),
        ),
        [('RunEnded', 'done', False)],
    ),
    (
        'a run that failed by itself is no stop',
        (
            (0.0, START),
            (0.1, ACCEPTED),
            (0.2, list_runs(2, ended=end(1, 'failed'))),
        ),
        [('RunEnded', 'failed', False)],
    ),
    (
        'an end that is listed twice counts once',
        (
            (0.0, START),
            (0.1, ACCEPTED),
            (0.2, list_runs(2, ended=end(1, 'done'))),
            (0.3, holds.StartRequested(KEY, 2, b'spec')),
            (0.4, list_runs(3, ended=end(1, 'done'))),
        ),
        [],
    ),
    (
        'a start without an answer is fenced by a stop',
        ((0.0, START), (0.1, UNANSWERED)),
        [('StopCall', 1)],
    ),
    (
        'it counts as running until the fence is answered',
        ((0.0, START), (0.1, UNANSWERED), (0.2, list_runs(2))),
        [],
    ),
    (
        'after the fence an attempt that is not listed never ran',
        (
            (0.0, START),
            (0.1, HOLD),
            (0.1, UNANSWERED),
            (0.2, STOPPED),
            (0.3, HOLD),
            (0.4, list_runs(3)),
        ),
        [('RunRejected', 'unanswered')],
    ),
    (
        'a hold that was sent before the fence proves nothing',
        (
            (0.0, START),
            (0.1, HOLD),
            (0.1, UNANSWERED),
            (0.2, STOPPED),
            (0.3, list_runs(2)),
        ),
        [],
    ),
    (
        'an attempt whose deadline has passed cannot start any more',
        ((0.0, START), (0.1, UNANSWERED), (0.9, list_runs(2, clock_ms=6000))),
        [('RunRejected', 'unanswered')],
    ),
    (
        'a stop without an answer is repeated',
        (
            (0.0, START),
            (0.1, ACCEPTED),
            (0.2, holds.StopRequested(KEY)),
            (0.25, holds.Ticked()),
            (0.35, holds.Ticked()),
        ),
        [('StopCall', 1)],
    ),
    (
        'a refusal that comes after the fence is not told twice',
        (
            (0.0, START),
            (0.1, UNANSWERED),
            (0.2, holds.StartTold(NAME, 1, False, 'late')),
        ),
        [],
    ),
    (
        'a refused start frees the room',
        ((0.0, START), (0.1, holds.StartTold(NAME, 1, False, 'room'))),
        [('RunRejected', 'room')],
    ),
    (
        'a run of another owner keeps the name',
        ((0.0, START), (0.1, holds.StartRequested(OTHER_KEY, 1, b'spec'))),
        [('RunRejected', 'twin')],
    ),
    (
        'runs of an earlier process are stopped',
        ((0.0, list_runs(2, holds.Running(UNKNOWN_TASK, 4, 10))),),
        [('StopCall', 4)],
    ),
    (
        'and nothing starts beside them',
        (
            (0.0, list_runs(2, holds.Running(UNKNOWN_TASK, 4, 10))),
            (0.1, START),
        ),
        [('RunRejected', 'unhealthy')],
    ),
    (
        'a run without progress is stopped',
        (
            (0.0, START),
            (0.1, list_runs(2, run(5))),
            (0.2, list_runs(3, run(5))),
            (0.45, list_runs(4, run(5))),
        ),
        [('StopCall', 1), ('HealthChanged', False)],
    ),
    (
        'a target where a run stood still pauses',
        (
            (0.0, START),
            (0.1, list_runs(2, run(5))),
            (0.45, list_runs(3, run(5))),
            (0.8, list_runs(4)),
        ),
        [],
    ),
    (
        'and takes tasks again after a while',
        (
            (0.0, START),
            (0.1, list_runs(2, run(5))),
            (0.45, list_runs(3, run(5))),
            (1.0, list_runs(4)),
        ),
        [('HealthChanged', True)],
    ),
    (
        'a first run that crawls is moved',
        (
            (0.0, START),
            (0.1, list_runs(2, run(0))),
            (0.2, list_runs(3, run(2))),
            (0.35, list_runs(4, run(5))),
        ),
        [('StopCall', 1)],
    ),
    (
        'a later run is not, since its work may be long',
        (
            (0.0, holds.StartRequested(KEY, 2, b'spec', 1.0)),
            (0.1, list_runs(2, holds.Running(NAME, 2, 0))),
            (0.2, list_runs(3, holds.Running(NAME, 2, 2))),
            (0.35, list_runs(4, holds.Running(NAME, 2, 5))),
        ),
        [],
    ),
    (
        'and its end says so',
        (
            (0.0, START),
            (0.1, list_runs(2, run(5))),
            (0.45, list_runs(3, run(5))),
            (0.5, list_runs(4, ended=end(1, 'stopped'))),
        ),
        [('RunEnded', 'stalled', True)],
    ),
    (
        'a run that goes on is left alone',
        (
            (0.0, START),
            (0.1, list_runs(2, run(5))),
            (0.3, list_runs(3, run(25))),
            (0.55, list_runs(4, run(50))),
        ),
        [],
    ),
    (
        'an answer that was overtaken says nothing about what runs',
        (
            (0.0, START),
            (0.1, HOLD),
            (0.1, ACCEPTED),
            (0.2, list_runs(5, run(5))),
            (0.3, list_runs(4)),
        ),
        [],
    ),
    (
        'a target whose process is gone runs nothing',
        (
            (0.0, START),
            (0.1, ACCEPTED),
            (0.2, HOLD_REFUSED),
            (0.3, HOLD_REFUSED),
        ),
        [('RunEnded', 'gone', True), ('HealthChanged', False)],
    ),
    (
        'a silent target takes no new tasks',
        ((0.0, START), (0.1, ACCEPTED), (0.5, HOLD_UNANSWERED)),
        [('HealthChanged', False)],
    ),
    (
        'leases of a silent target have run out in the end',
        (
            (0.0, START),
            (0.1, ACCEPTED),
            (0.3, HOLD),
            (0.5, HOLD_UNANSWERED),
            (0.6, HOLD),
            (1.1, holds.Ticked()),
        ),
        [('RunEnded', 'lapsed', True)],
    ),
    (
        'but not before the last lease that was asked for',
        (
            (0.0, START),
            (0.1, ACCEPTED),
            (0.3, HOLD),
            (0.5, HOLD_UNANSWERED),
            (0.9, holds.Ticked()),
        ),
        [],
    ),
    (
        'a new life ends what the old one ran',
        ((0.0, START), (0.1, ACCEPTED), (0.2, list_runs(2, life=NEXT_LIFE))),
        [('RunEnded', 'reborn', True), ('HealthChanged', False)],
    ),
    (
        'a target that leaves takes its runs with it',
        ((0.0, START), (0.1, ACCEPTED), (0.2, holds.TargetDeparted())),
        [('RunEnded', 'left', True), ('HealthChanged', False)],
    ),
)


def describe(effect: holds.HeldEffect) -> object:
    """Return what tells an effect from others."""
    match effect:
        case holds.StartCall() | holds.StopCall():
            return type(effect).__name__, effect.attempt
        case holds.RunEnded(_, _, stopped, reason):
            return 'RunEnded', reason, stopped
        case holds.RunRejected(_, reason):
            return 'RunRejected', reason
        case holds.HealthChanged(healthy):
            return 'HealthChanged', healthy


def make_target() -> heldtarget.HeldTarget:
    """Return a target that was found sound."""
    target = heldtarget.HeldTarget(LIFE, CLOCK_MS, 0.0)
    number = target.begin_hold(0.0).number
    target.handle(list_runs(number), 0.0)
    return target


@ddt.ddt
class HeldTargetTest(unittest.TestCase):
    @ddt.data(*SCRIPTS)
    @ddt.unpack
    def test_script(
        self,
        _: str,
        script: tuple[tuple[float, object], ...],
        expected: list[object],
    ) -> None:
        target = make_target()
        effects: list[holds.HeldEffect] = []
        for at_s, event in script:
            if event == HOLD:
                target.begin_hold(at_s)
            else:
                effects = target.handle(event, at_s)
        self.assertEqual([describe(each) for each in effects], expected)

    def test_lease_is_requested_only_while_the_target_responds(self) -> None:
        target = make_target()
        target.handle(START, 0.0)
        self.assertEqual(target.begin_hold(0.1).deadline_ms, CLOCK_MS + 700)
        self.assertIsNone(target.begin_hold(1.0).deadline_ms)

    def test_fence_increases_over_processes_and_incarnations(self) -> None:
        fences = [
            heldtarget.HeldTarget(life, clock_ms, 0.0).begin_hold(0.0).fence
            for life, clock_ms in ((LIFE, 10), (LIFE, 400), (NEXT_LIFE, 5))
        ]
        self.assertEqual(fences, sorted(set(fences)))

    def test_fenced_process_takes_a_higher_fence(self) -> None:
        target = make_target()
        before = target.begin_hold(0.0).fence
        target.handle(holds.HoldFenced(CLOCK_MS + 7), 0.1)
        self.assertGreater(target.begin_hold(0.2).fence, before)

    def test_seen_ends_are_acknowledged(self) -> None:
        target = make_target()
        target.handle(START, 0.0)
        target.handle(list_runs(2, ended=end(4, 'done')), 0.2)
        self.assertEqual(target.begin_hold(0.3).seen, 4)

    def test_speed_follows_progress(self) -> None:
        target = make_target()
        target.handle(START, 0.0)
        for step in range(1, 12):
            response = list_runs(step + 1, run(step * 5))
            target.handle(response, step / 10)
        self.assertAlmostEqual(target.meter.measure(), 0.5, places=2)


class ResettingLink:
    """A target that breaks every connection off at once."""

    def __init__(self) -> None:
        self.holds = 0

    async def start(self, call: holds.StartCall) -> holds.OrderUnanswered:
        """Break off."""
        return holds.OrderUnanswered(call.name, call.attempt)

    async def stop(self, call: holds.StopCall) -> holds.OrderUnanswered:
        """Break off."""
        return holds.OrderUnanswered(call.name, call.attempt)

    async def hold(self, _: holds.HoldCall) -> holds.HoldUnanswered:
        """Break off."""
        self.holds += 1
        await asyncio.sleep(0)
        return HOLD_UNANSWERED

    async def close(self) -> None:
        """Do nothing."""


class PaceTest(unittest.IsolatedAsyncioTestCase):
    # Listed in KNOWN-RED.txt.
    @unittest.expectedFailure
    async def test_broken_hold_is_not_repeated_at_once(self) -> None:
        link = ResettingLink()
        options = heldagentprocess.HeldAgentOptions(
            'side-1',
            settings.WorkerModel('worker-1', 'tema-port'),
            {},
            settings.HttpModel('127.0.0.1', 0),
        )
        sender = links.Sender('side-1', 1, '')
        running = heldagentprocess.HeldAgentProcess(
            options,
            bus.BusTransport(bus.Bus(), links.Codec(b'k'), sender),
            link,
        )
        room = contracts.Room(8000, 8192)
        running.take_report(
            holds.TargetReport(
                LIFE, 1, 'cover-check', 'tema-port', room, (), CLOCK_MS, False
            )
        )
        holding = asyncio.create_task(running._hold_target())
        # Turns of the loop, far less than the pause between two holds.
        for _ in range(200):
            await asyncio.sleep(0)
        holding.cancel()
        self.assertLessEqual(link.holds, 3)


if __name__ == '__main__':
    unittest.main()
