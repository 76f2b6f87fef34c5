"""Odd reports of other writers: they name no target, and the others hold."""

import asyncio
from collections.abc import Callable
import json
import tempfile
from typing import Any
import unittest
from unittest import mock

import aiohttp
from aiohttp import web
import ddt

from eelgrassworks import agent
from eelgrassworks import contracts
from eelgrassworks.machines import holds
from eelgrassworks.platform import roles
from eelgrassworks.platform import wire
from tests import platformstandins as standins

TARGET_ID = 'i-1'
TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.01
# Holds are made within this time, and their responses handled.
SETTLE_S = 0.15
# Longer than any check takes; progress is reported in hundredths of it.
LONGEST_TASK_S = 20.0
KEY = contracts.TaskKey('reads/5c0e7a21d94b36f8', 0)
START = holds.StartRequested(KEY, 1, b'spec')
DAY_MS = 86_400_000
NESTED = b'[' * 900 + b']' * 900
DEEP = b'[' * 100_000 + b']' * 100_000

# Name of the case, id in the path, changes of a valid report (added numbers
# are counted from the true value), and bytes put in place of {"odd":1}.
Odd = tuple[str, str, dict[str, Any], bytes]
ODD_REPORTS: tuple[Odd, ...] = (
    ('deep field', TARGET_ID, {'odd': 1}, DEEP),
    ('nested field of another writer', 'i-2', {'odd': 1, 'born': -1}, NESTED),
    ('born too large', TARGET_ID, {'born': 2**53}, b''),
    ('born too large to encode', TARGET_ID, {'born': 10**30}, b''),
    ('born of 400 digits', TARGET_ID, {'born': 10**400}, b''),
    ('born negative', TARGET_ID, {'born': -5}, b''),
    ('born a boolean', TARGET_ID, {'born': True}, b''),
    ('born a text', TARGET_ID, {'born': '12'}, b''),
    ('born a fraction', TARGET_ID, {'born': 0.5}, b''),
    ('born missing', 'i-2', {'born': None}, b''),
    ('another id, born later', 'i-2', {'born_later': DAY_MS}, b''),
    ('same id, born later', TARGET_ID, {'born_later': 1}, b''),
    (
        'another id, born later, draining',
        'i-2',
        {'born_later': 9, 'state': 'draining'},
        b'',
    ),
    ('another id, born earlier', 'i-2', {'born_later': -DAY_MS}, b''),
    ('clock too large', TARGET_ID, {'clockMs': 2**53, 'born_later': 1}, b''),
    ('clock infinite', TARGET_ID, {'clockMs': float('inf')}, b''),
    ('clock not a number', TARGET_ID, {'clockMs': float('nan')}, b''),
    ('sequence too large to encode', TARGET_ID, {'seq': 10**30}, b''),
    ('unknown state', 'i-2', {'state': 'asleep', 'born_later': 1}, b''),
    ('state a list', 'i-2', {'state': ['ready'], 'born_later': 1}, b''),
    ('unknown service', 'i-2', {'service': 'x', 'born_later': 1}, b''),
    (
        'service very long',
        'i-2',
        {'service': 'x' * 500_000, 'born_later': 1},
        b'',
    ),
    ('service missing', 'i-2', {'service': None, 'born_later': 1}, b''),
    ('surrogate', 'i-2', {'service': 'x\ud800y', 'born_later': 1}, b''),
    ('unknown zone', 'i-2', {'zone': 'nowhere', 'born_later': 1}, b''),
    (
        'capacity too large',
        'i-2',
        {'capacity': {'cpu': 10**30, 'memMb': 1}, 'born_later': 1},
        b'',
    ),
    ('capacity a number', 'i-2', {'capacity': 5, 'born_later': 1}, b''),
    (
        'port out of range',
        'i-2',
        {'address': '10.0.0.9:99999', 'born_later': 1},
        b'',
    ),
    ('address a number', 'i-2', {'address': 10**30, 'born_later': 1}, b''),
    ('a list', TARGET_ID, {}, b'[]'),
    ('empty', TARGET_ID, {}, b' '),
    ('bytes that cannot be read', TARGET_ID, {}, b'\xff\xfe\x00'),
    ('more than a mebibyte', TARGET_ID, {}, b'[' + b'1,' * 600_000 + b'1]'),
    ('odd id', 'i%0a%ff%00..%2f', {'born_later': 1}, b''),
)

TASK = '5c0e7a21d94b36f8.0.0.0'
# Fields of the responses to holds that are odd for a while; None is omitted.
ODD_LISTINGS: tuple[dict[str, Any], ...] = (
    {'born': None},
    {'born': 0},
    {'born': 5},
    {'born': -1},
    {'born': 2**53},
    {'born': 10**30},
    {'born': True},
    {'clockMs': 2**53},
    {'clockMs': 10**30},
    {'clockMs': -1},
    {'clockMs': float('inf')},
    {'running': None, 'finishedRuns': 5},
    {'running': [[]]},
    {'running': [5]},
    {'running': [[TASK, 1, '']]},
    {'running': [[TASK, 1, '', 10**30]]},
    {'running': [[TASK, 1, '', 10**400]]},
    {'running': [[TASK, 1, '', -5]]},
    {'running': [[TASK, 1, '', 1e300]]},
    {'running': [[TASK, 1, '', float('nan')]]},
    {'running': [[TASK, 1, '', True]]},
    {'running': [[TASK, 10**400, '', 5]]},
    {'running': [[TASK, '1', '', 5]]},
    {'running': [['x', 1, '', 5]]},
    {'running': [['x' * 100_000, 1, '', 5]]},
    {'running': [[f'x.0.0.{"1" * 5000}', 1, '', 5]]},
    {'finishedRuns': [[10**30, 'x.0.0.1', 1, 'done', '']]},
    {'finishedRuns': [[2**64, 'x.0.0.1', 1, 'done', '']]},
    {'finishedRuns': [[-(10**30), TASK, 1, 'done', '']]},
    {'finishedRuns': [[float('inf'), TASK, 1, 'done', '']]},
    {'finishedRuns': [[1, TASK, 1, 10**30, '']]},
    {'finishedRuns': [[1, TASK, 1]]},
    {'finishedRuns': [{'task': TASK}]},
)


class LastingTarget(standins.TargetStandIn):
    """A target whose tasks run until the test lets them end.

    Their leases do not expire, so that a slow test ends none.
    ``hold_fields`` replace fields of the responses to holds.
    """

    def __init__(self, port: int) -> None:
        super().__init__(port)
        self.task_duration_s = LONGEST_TASK_S
        self.hold_fields: dict[str, Any] = {}
        self.odd_holds = 0

    def restart(self) -> None:
        """Begin a new incarnation, which runs nothing."""
        self.born_ms += 1
        self.raise_fence(0)
        self._running.clear()
        self._highest_ended.clear()
        self._ended.clear()
        self._last_end_number = 0

    def raise_fence(self, fence: int) -> None:
        """Act as if a call with this fence had come."""
        self._fence = fence

    def finish_tasks(self) -> None:
        """Let all tasks end as done."""
        for run in self._running.values():
            run.finish_s = self._read_clock_s()

    @property
    def is_running(self) -> bool:
        """Tell whether a task runs."""
        return bool(self._running)

    def _extend_lease(self, deadline_s: float) -> None:
        self._lease_end_s = float('inf')

    async def _hold(self, request: web.Request) -> web.Response:
        response = await super()._hold(request)
        body = {**json.loads(response.text or ''), **self.hold_fields}
        self.odd_holds += bool(self.hold_fields)
        return web.json_response(
            {key: body[key] for key in body if body[key] is not None},
            status=response.status,
        )


async def await_true(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds; return False after TIMEOUT_S."""
    for _ in range(int(TIMEOUT_S / POLL_INTERVAL_S)):
        if condition():
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


class AgentCase(unittest.IsolatedAsyncioTestCase):
    """The agent of a machine beside a stand-in target, over real sockets."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.node = standins.make_node(folder.name, 'agent')
        self.target = LastingTarget(int((self.node.app or '')[10:]))
        await self.target.open()
        self.addAsyncCleanup(self.target.close)
        self.agent: Any = roles.ROLES['agent'](self.node)
        await self.agent.start()
        self.addAsyncCleanup(self.agent.finish)
        self._sequence = 0

    async def post(self, body: bytes, name: str = TARGET_ID) -> int:
        """Send a report; return the status of the response."""
        url = f'http://{self.node.listen.control}/api/instances/{name}'
        async with (
            aiohttp.ClientSession() as session,
            session.post(f'{url}/heartbeat', data=body) as response,
        ):
            return response.status

    async def post_odd(self, odd: Odd) -> int:
        """Send an odd report; return the status of the response."""
        _, name, changes, content = odd
        report = self.target.make_report(self._sequence + 1)
        for field, value in changes.items():
            if field == 'born_later':
                report['born'] += value
            elif value is None:
                report.pop(field)
            else:
                report[field] = value
        body = json.dumps(report).encode()
        if 'odd' in changes:
            body = body.replace(b'"odd": 1', b'"odd": ' + content)
        elif content:
            body = content
        return await self.post(body, name)

    async def post_valid(self, **changes: Any) -> None:
        """Send a valid report of the target."""
        self._sequence += 1
        report = {**self.target.make_report(self._sequence), **changes}
        status = await self.post(json.dumps(report).encode())
        self.assertEqual(status, 200)

    def is_followed(self) -> bool:
        """Tell whether the agent uses the target's own incarnation."""
        held = self.agent.held
        return bool(
            held is not None
            and held.healthy
            and held.incarnation
            == holds.TargetIncarnation(TARGET_ID, self.target.born_ms)
        )

    async def assert_followed(self) -> None:
        """Check that the agent uses the target, and that its tasks end."""
        self.assertTrue(await await_true(self.is_followed))
        counts = self.agent.held.counts
        self.assertEqual(counts, {'runs': 0, 'strange': 0})

    async def start_task(self) -> None:
        """Start a task at the target."""
        self.target.starts.clear()
        self.agent.dispatch_held(START)
        self.assertTrue(await await_true(lambda: self.target.is_running))


@ddt.ddt
class OddReportTest(AgentCase):
    # A target that a later birth or an odd field displaced was not followed.
    @ddt.data(*ODD_REPORTS)
    async def test_odd_report_before_the_first_valid_one(
        self, odd: Odd
    ) -> None:
        status = await self.post_odd(odd)
        self.assertLess(status, 500)
        await asyncio.sleep(SETTLE_S)
        held = self.agent.held
        self.assertFalse(held is not None and held.healthy)
        await self.post_valid()
        await self.assert_followed()

    @ddt.data(*ODD_REPORTS)
    async def test_odd_report_beside_a_running_task(self, odd: Odd) -> None:
        await self.post_valid()
        await self.assert_followed()
        held = self.agent.held
        await self.start_task()
        status = await self.post_odd(odd)
        self.assertLess(status, 500)
        await asyncio.sleep(SETTLE_S)
        self.assertIs(self.agent.held, held)
        self.assertEqual(held.counts['runs'], 1)
        self.assertTrue(self.target.is_running)
        await self.post_valid()
        self.target.finish_tasks()
        self.assertTrue(await await_true(lambda: held.counts['runs'] == 0))
        self.assertEqual(len(self.target.starts), 1)
        self.assertFalse(self.target.is_running)
        self.assertTrue(self.is_followed())
        self.assertFalse(self.agent.agent.draining)

    async def test_idle_target_is_kept_beside_every_odd_report(self) -> None:
        await self.post_valid()
        await self.assert_followed()
        held = self.agent.held
        for odd in ODD_REPORTS:
            with self.subTest(odd[0]):
                self.assertLess(await self.post_odd(odd), 500)
                await asyncio.sleep(SETTLE_S)
                self.assertIs(self.agent.held, held)
                self.assertTrue(held.healthy)

    # After one report with a huge sequence number a drain was not noticed.
    async def test_drain_is_noticed_after_a_huge_sequence_number(
        self,
    ) -> None:
        await self.post_valid()
        await self.assert_followed()
        await self.post_valid(seq=wire.MAX_COUNT)
        await self.post_valid(state='draining')
        self.assertTrue(self.agent.agent.draining)

    # An odd report had raised the fence at the target; an agent that started
    # later raised its own by one with each refusal.
    async def test_target_with_a_high_fence_is_followed(self) -> None:
        self.target.raise_fence(self.target.born_ms + 1000 * DAY_MS)
        await self.post_valid()
        await self.assert_followed()

    # A restart that the target itself confirms is followed after odd reports.
    async def test_restarted_target_is_followed(self) -> None:
        await self.post_valid()
        await self.assert_followed()
        for odd in ODD_REPORTS:
            await self.post_odd(odd)
        self.target.restart()
        await self.post_valid()
        await self.assert_followed()


@ddt.ddt
class OddListingTest(AgentCase):
    # An odd number in a listing stopped a task or lost its end; a listing
    # without a start time ended its target for good.
    @ddt.data(*ODD_LISTINGS)
    async def test_task_goes_on_through_odd_listings(
        self, fields: dict[str, Any]
    ) -> None:
        await self.post_valid()
        await self.assert_followed()
        held = self.agent.held
        events: list[object] = []
        self.enterContext(
            mock.patch.object(self.agent, 'dispatch', events.append)
        )
        await self.start_task()
        self.target.hold_fields = fields
        self.assertTrue(await await_true(lambda: self.target.odd_holds > 1))
        self.target.hold_fields = {}
        self.assertEqual(held.counts, {'runs': 1, 'strange': 0})
        self.target.finish_tasks()
        self.assertTrue(await await_true(lambda: held.counts['runs'] == 0))
        ends = [each for each in events if isinstance(each, agent.TaskEnded)]
        self.assertEqual(ends, [agent.TaskEnded(KEY, True, b'')])
        self.assertIs(self.agent.held, held)
        self.assertFalse(held.ended)
        self.assertEqual(self.agent.events_failed, 0)
        self.assertEqual(len(self.target.starts), 1)


if __name__ == '__main__':
    unittest.main()
