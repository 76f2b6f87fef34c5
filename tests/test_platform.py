"""Tests of the platform adapter: its formats, and all roles over sockets."""

import asyncio
from collections.abc import Callable
import gc
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import tomllib
from typing import Any
import unittest
from unittest import mock

import ddt
import msgspec

from eelgrassworks import contracts
from eelgrassworks import errors
from eelgrassworks import process
from eelgrassworks.contracts import locator
from eelgrassworks.machines import heldtarget
from eelgrassworks.machines import holds
from eelgrassworks.platform import earlylistener
from eelgrassworks.platform import ingress
from eelgrassworks.platform import nodefile
from eelgrassworks.platform import operatorapi
from eelgrassworks.platform import roles
from eelgrassworks.platform import targetlink
from eelgrassworks.platform import targetreports
from eelgrassworks.platform import wire
from tests import deployment
from tests import platformstandins as standins

ROUTE: dict[str, Any] = standins.make_manifest(1)['routes'][0]
TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
# Longer than a stall of the loop while the target rejects a start.
REJECTION_TIMEOUT_S = 5.0
# How long a target refuses connections, the work of a task that spans it, and
# a lease that outlasts both on a slow machine.
CLOSED_S = 0.3
SPANNING_TASK_MS = 1500
OUTLASTING_LEASE_S = 30.0


def make_routes(*changes: dict[str, Any]) -> bytes:
    """Return a manifest with one changed copy of ROUTE per argument."""
    routes = [{**ROUTE, **change} for change in changes]
    return json.dumps(standins.make_manifest(1, routes=routes)).encode()


# Name of the case, encoded manifest, whether it is valid.
MANIFESTS: tuple[tuple[str, bytes, bool], ...] = (
    ('plain', make_routes({}), True),
    ('no routes', make_routes(), True),
    ('cut short', make_routes({})[:-10], False),
    ('unknown service', make_routes({'service': 'nobody'}), False),
    ('no time limit', make_routes({'timeoutMs': 0}), False),
    ('same place twice', make_routes({}, {'name': 'r-2'}), False),
    (
        'same host, other prefix',
        make_routes({}, {'name': 'r-2', 'pathPrefix': '/x/'}),
        True,
    ),
    ('same name twice', make_routes({}, {'pathPrefix': '/x/'}), False),
    ('text for a number', make_routes({'timeoutMs': 'soon'}), False),
    ('negative version', make_routes({}).replace(b': 1,', b': -1,'), False),
    ('not an object', b'[]', False),
    ('empty', b'', False),
    ('not text', b'\xff\xfe', False),
    ('unknown field', make_routes({'later': 1}), True),
)

# Changes of a supported job, and the unsupported feature.
FEATURES: tuple[tuple[dict[str, Any], str], ...] = (
    ({}, ''),
    ({'bestEffort': False}, 'storage'),
    ({'repeats': 3}, 'repeats'),
    ({'phases': [{'count': 1}, {'count': 1}]}, 'several steps'),
    ({'phases': [{'count': 1, 'gpu': 1}]}, 'accelerators'),
    ({'phases': [{'count': 1, 'gang': True}]}, 'gangs'),
    ({'phases': [{'count': 1, 'requiredLabel': 'a'}]}, 'labels'),
    ({'phases': [{'count': 1, 'antiAffinity': 1}]}, 'anti-affinity'),
    ({'phases': [{'count': 1, 'speculative': True}]}, 'copies'),
    ({'phases': [{'count': 1, 'longRunning': True}]}, 'lasting tasks'),
)

# Outcome of a job, and the HTTP status and state in the response.
ANSWERS: tuple[tuple[contracts.Answer, int, str], ...] = (
    (contracts.Complete(()), 200, 'complete'),
    (
        contracts.Failed(
            errors.refuse_started(
                errors.Code.TASK_FAILED, index=0, target='a', reason='b'
            )
        ),
        200,
        'failed',
    ),
    (
        contracts.Failed(
            errors.refuse_started(
                errors.Code.DEADLINE, submission='a', limit_s=1
            )
        ),
        504,
        '',
    ),
    (
        contracts.Failed(
            errors.refuse_started(
                errors.Code.DEADLINE, submission='a', limit_s=1
            ),
            may_start=True,
        ),
        500,
        '',
    ),
    (
        contracts.NotRun(
            errors.refuse(errors.Code.OVERLOADED, queued=1, limit_s=1)
        ),
        503,
        '',
    ),
    (
        contracts.NotRun(
            errors.refuse(errors.Code.UNKNOWN_KIND, kind='a', revision=1)
        ),
        503,
        '',
    ),
)

# Changes of a heartbeat, and whether it is valid.
REPORTS: tuple[tuple[dict[str, Any], bool], ...] = (
    ({}, True),
    ({'state': 'draining', 'remainingMs': 4000}, True),
    ({'state': 'asleep'}, False),
    ({'capacity': None}, False),
    ({'capacity': {'cpu': -1, 'memMb': 1}}, False),
    ({'seq': 'x'}, False),
    ({'service': ''}, False),
)

# Fields of a target that can be read, but that no manifest or zone explains.
ODD_TARGETS: tuple[dict[str, Any], ...] = (
    {'service': 'nobody'},
    {'service': '\x00\n event=forged'},
    {'service': 'x' * 500_000},
    {'zone': 'nowhere'},
    {'zone': 'x' * 500_000},
    {'labels': ['x' * 100_000] * 5},
    {'labels': [''] * 10_000},
    {'capacity': {'cpu': 0, 'memMb': 0}},
    {'capacity': {'cpu': 2**53, 'memMb': 2**53, 'gpu': 2**53}},
    {'capacity': {'cpu': 0, 'memMb': 2**53}},
    {'clockMs': 0},
    {'clockMs': 2**42},
    {'clockMs': 1},
    {'address': '10.0.0.9:99999', 'slots': 10**30, 'coldRemainingMs': -1},
)

# The bound on an evacuation in the settings, and the lease of an entry: homes
# that join wait for no longer one.
BOUNDS: tuple[tuple[dict[str, Any], float], ...] = (
    ({}, 5.0),
    ({'evacuateMs': 3000}, 3.0),
    ({'evacuateMs': 9000}, 5.0),
)

# Host, path, and the kind that matches them.
LOCATIONS: tuple[tuple[str, str, str | None], ...] = (
    ('a.example', '/one/x', 'one'),
    ('a.example', '/one/two/x', 'one-two'),
    ('a.example', '/three/x', None),
    ('b.example', '/one/x', None),
)

# Status and body with which a target rejects a start, and the reason that the
# agent counts.
START_REJECTIONS: tuple[tuple[int, dict[str, Any], str], ...] = (
    (409, {'reason': 'old'}, 'old'),
    (409, {'reason': 'fence'}, 'fence'),
    (503, {}, 'status-503'),
    (421, {}, 'status-421'),
)

TASK = holds.TaskName('5c0e7a21d94b36f8', 0)
# A lease that does not end, so that a call sent twice is carried out.
DEADLINE_MS = 2**42
START_CALL = holds.StartCall('i-1', TASK, 1, b'text', DEADLINE_MS, 1)
STOP_CALL = holds.StopCall('i-1', TASK, 1, 1)
HOLD_CALL = holds.HoldCall('i-1', 1, None, 1, 0, 0.0)
STARTED = holds.StartResponse(TASK, 1, True)
STOPPED = holds.StopResponse(TASK, 1)
UNANSWERED = holds.CallUnanswered(TASK, 1)
STOP_UNANSWERED = holds.CallUnanswered(TASK, 1, is_stop=True)
HOLD_UNANSWERED = holds.HoldUnanswered(False)


def reject_start(reason: str) -> holds.StartResponse:
    """Return the event for a start that is not carried out."""
    return holds.StartResponse(TASK, 1, False, reason)


# Status and body of the response to a start, and what it says of the start.
START_RESPONSES: tuple[tuple[int, dict[str, Any] | bytes, Any], ...] = (
    (200, {'clockMs': 5}, STARTED),
    (200, b'', STARTED),
    (200, b'{"clockMs": 5', UNANSWERED),
    (200, b'[]', UNANSWERED),
    (201, {}, UNANSWERED),
    (202, {}, UNANSWERED),
    (204, b'', UNANSWERED),
    (301, {}, UNANSWERED),
    (302, {}, UNANSWERED),
    (303, {}, UNANSWERED),
    (307, {}, UNANSWERED),
    (308, {}, UNANSWERED),
    (400, {}, reject_start('status-400')),
    (403, {}, UNANSWERED),
    (404, {}, UNANSWERED),
    (408, {}, UNANSWERED),
    (409, {'reason': 'fence'}, reject_start('fence')),
    (409, {'reason': 'old'}, reject_start('old')),
    (409, {'reason': 'late'}, reject_start('late')),
    (409, {'reason': 'room'}, reject_start('room')),
    (409, b'<html>', UNANSWERED),
    (421, b'', reject_start('status-421')),
    (429, b'', reject_start('status-429')),
    (500, {}, UNANSWERED),
    (502, b'<html>', UNANSWERED),
    (502, b'', UNANSWERED),
    (503, b'', reject_start('status-503')),
    (504, {}, UNANSWERED),
)

# Status and body of the response to a stop, and what it says of the stop.
STOP_RESPONSES: tuple[tuple[int, dict[str, Any] | bytes, Any], ...] = (
    (200, {}, STOPPED),
    (200, b'', STOPPED),
    (200, b'{', STOP_UNANSWERED),
    (202, {}, STOP_UNANSWERED),
    (307, {}, STOP_UNANSWERED),
    (308, {}, STOP_UNANSWERED),
    (400, {}, STOP_UNANSWERED),
    (409, {'reason': 'fence'}, STOP_UNANSWERED),
    (421, b'', STOP_UNANSWERED),
    (500, {}, STOP_UNANSWERED),
    (503, b'', STOP_UNANSWERED),
)

LISTING: dict[str, Any] = {
    'clockMs': 5,
    'born': 7,
    'running': [],
    'finishedRuns': [],
}
# Status and body of the response to a hold, and what it says of the runs.
HOLD_RESPONSES: tuple[tuple[int, dict[str, Any] | bytes, Any], ...] = (
    (
        200,
        LISTING,
        holds.HoldResponse(1, holds.TargetIncarnation('', 7), 5, (), ()),
    ),
    (200, b'{', HOLD_UNANSWERED),
    (200, b'', HOLD_UNANSWERED),
    (200, {'born': 7}, HOLD_UNANSWERED),
    (200, {'born': 7, 'running': []}, HOLD_UNANSWERED),
    (200, {'born': 7, 'finishedRuns': []}, HOLD_UNANSWERED),
    (202, LISTING, HOLD_UNANSWERED),
    (307, LISTING, HOLD_UNANSWERED),
    (308, LISTING, HOLD_UNANSWERED),
    (400, {}, HOLD_UNANSWERED),
    (409, {'reason': 'fence', 'clockMs': 5}, holds.HoldFenced(5)),
    (409, b'<html>', HOLD_UNANSWERED),
    (421, b'', holds.HoldMisdirected()),
    (500, LISTING, HOLD_UNANSWERED),
    (503, b'', HOLD_UNANSWERED),
)


def make_kind(name: str, prefix: str) -> contracts.Kind:
    """Return a kind with a path prefix on a.example."""
    return contracts.Kind(
        name, frozenset(), True, 1.0, host='a.example', prefix=prefix
    )


@ddt.ddt
class FormatTest(unittest.TestCase):
    @ddt.data(*MANIFESTS)
    @ddt.unpack
    def test_manifest(self, _: str, body: bytes, valid: bool) -> None:
        try:
            manifest = msgspec.json.decode(body, type=wire.Manifest)
            reason = operatorapi.find_rejection_reason(manifest)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            reason = str(error)
        self.assertEqual(not reason, valid, reason)

    @ddt.data(*FEATURES)
    @ddt.unpack
    def test_feature(self, changes: dict[str, Any], expected: str) -> None:
        body = json.dumps(standins.make_job(**changes))
        job = msgspec.json.decode(body, type=wire.Job)
        self.assertEqual(ingress.find_unsupported_feature(job), expected)

    @ddt.data(*ANSWERS)
    @ddt.unpack
    def test_answer(
        self, answer: contracts.Answer, status: int, state: str
    ) -> None:
        response = ingress.respond_answer(answer)
        self.assertEqual(response.status, status)
        if state:
            self.assertEqual(json.loads(response.text or ''), {'state': state})

    @ddt.data(*REPORTS)
    @ddt.unpack
    def test_report(self, changes: dict[str, Any], valid: bool) -> None:
        fields = {**standins.TargetStandIn(1).make_report(3), **changes}
        body = json.dumps(fields).encode()
        if not valid:
            with self.assertRaises(wire.BodyInvalid):
                targetreports.parse_report('i-1', body)
            return
        report = targetreports.parse_report('i-1', body)
        self.assertEqual(report.room, contracts.Room(8000, 8192))
        self.assertEqual(report.draining, 'remainingMs' in changes)

    @ddt.data(*LOCATIONS)
    @ddt.unpack
    def test_location(
        self, host: str, path: str, expected: str | None
    ) -> None:
        kinds = [make_kind('one', '/one/'), make_kind('one-two', '/one/two/')]
        sheet = contracts.Sheet({kind.name: kind for kind in kinds}, {})
        found = locator.Locator(sheet).find(host, path)
        self.assertEqual(found.name if found else None, expected)

    # Guards against a lease that outlives the delay of a joining home, after
    # which two entries can own one id.
    @ddt.data(*BOUNDS)
    @ddt.unpack
    def test_lease_is_bounded(
        self, bounds: dict[str, Any], lease_s: float
    ) -> None:
        node = standins.make_node('folder', 'control')
        node = msgspec.structs.replace(node, bounds=bounds)
        self.assertEqual(nodefile.make_control(node).lease_ttl_s, lease_s)

    def test_build_installs_what_the_project_depends_on(self) -> None:
        root = pathlib.Path(__file__).parent.parent
        project = tomllib.loads((root / 'pyproject.toml').read_text())
        listed = (root / 'requirements.txt').read_text().split()
        self.assertEqual(listed, project['project']['dependencies'])

    def test_task_name(self) -> None:
        name = holds.TaskName('5c0e7a21d94b36f8', 17)
        text = targetlink.format_task(name)
        self.assertEqual(text, '5c0e7a21d94b36f8.0.0.17')
        self.assertEqual(targetlink.parse_task(text), name)


async def await_true(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds; return False after TIMEOUT_S."""
    for _ in range(int(TIMEOUT_S / POLL_INTERVAL_S)):
        if condition():
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


# A role, the text of its settings file, and why no early listener is opened.
NOT_EARLY: tuple[tuple[str, str, str], ...] = (
    ('entry', '{"listen": {"control": "127.0.0.1:0"}}', 'another role'),
    ('control', '{"listen": {"control": "127.0.0.1:0"}}', 'another role'),
    ('agent', '', 'no settings'),
    ('agent', '[]', 'another type'),
    ('agent', '{"listen": {}}', 'no address'),
    ('agent', '{"listen": {"control": null}}', 'no address'),
    ('agent', '{"listen": {"control": "127.0.0.1"}}', 'no port'),
    ('agent', '{"listen": {"control": "192.0.2.1:1"}}', 'foreign address'),
)


@ddt.ddt
class EarlyListenerTest(unittest.IsolatedAsyncioTestCase):
    """Reports of a target that arrive while its agent is starting."""

    def _write_settings(self, text: str) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'local.json'
        path.write_text(text)
        variables = {earlylistener.PATH_VARIABLE: str(path)}
        self.enterContext(mock.patch.dict(os.environ, variables))

    @ddt.data(*NOT_EARLY)
    @ddt.unpack
    def test_no_listener(self, role: str, text: str, _: str) -> None:
        self._write_settings(text)
        self.assertIsNone(earlylistener.open_listener(role))

    async def test_early_report_is_handled_after_the_start(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        node = standins.make_node(folder.name, 'agent')
        self._write_settings(msgspec.json.encode(node).decode())
        listener = earlylistener.open_listener('agent')
        if listener is None:
            self.fail('no early listener')
        target = standins.TargetStandIn(int((node.app or '')[10:]))
        report = asyncio.create_task(
            standins.call(
                'POST',
                node.listen.control,
                '/api/instances/i-1/heartbeat',
                json=target.make_report(1),
            )
        )
        await asyncio.sleep(0.1)
        self.assertFalse(report.done())
        agent: Any = roles.ROLES['agent'](node, listener)
        await agent.start()
        self.addAsyncCleanup(agent.finish)
        status, _ = await report
        self.assertEqual(status, 200)
        self.assertEqual(agent.held.incarnation.name, 'i-1')

    def test_libraries_load_after_the_listener_is_open(self) -> None:
        program = (
            'import sys, eelgrassworks.platform.__main__;print(*sys.modules)'
        )
        loaded = subprocess.run(
            (sys.executable, '-S', '-c', program),
            check=True,
            capture_output=True,
            cwd=pathlib.Path(__file__).parent.parent,
            text=True,
        ).stdout.split()
        self.assertIn('eelgrassworks.platform.earlylistener', loaded)
        for library in ('aiohttp', 'asyncio', 'msgspec', 'pynng'):
            self.assertNotIn(library, loaded)


@ddt.ddt
class TargetLinkTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a target whose responses are scripted."""

    async def asyncSetUp(self) -> None:
        self.target = standins.TargetStandIn(deployment.find_ports(1)[0])
        await self.target.open()
        self.addAsyncCleanup(self.target.close)
        self.link = targetlink.HttpTargetLink(f'127.0.0.1:{self.target.port}')
        self.addAsyncCleanup(self.link.close)
        # After a timeout every response would count as missing.
        self.enterContext(
            mock.patch.object(
                heldtarget, 'RESPONSE_TIMEOUT_S', REJECTION_TIMEOUT_S
            )
        )

    # Guards against a task that starts elsewhere while its first start, whose
    # response did not say what became of it, is carried out.
    @ddt.data(*START_RESPONSES)
    @ddt.unpack
    async def test_start(
        self, status: int, body: dict[str, Any] | bytes, expected: Any
    ) -> None:
        self.target.scripted_responses = {
            standins.START_PATH: [(status, body)]
        }
        self.assertEqual(await self.link.start(START_CALL), expected)
        self.assertEqual(self.target.starts, [])

    # Guards against a job that waits for a target that is gone: a start whose
    # connection was refused never left, one that was reset may have.
    @ddt.data(
        (False, holds.StartNotSent(START_CALL.name, START_CALL.attempt)),
        (True, holds.CallUnanswered(START_CALL.name, START_CALL.attempt)),
    )
    @ddt.unpack
    async def test_start_without_a_connection(
        self, listens: bool, expected: Any
    ) -> None:
        port = deployment.find_ports(1)[0]
        if listens:

            def reset(
                _: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                writer.transport.abort()

            server = await asyncio.start_server(reset, '127.0.0.1', port)
            self.addCleanup(server.close)
        link = targetlink.HttpTargetLink(f'127.0.0.1:{port}')
        self.addAsyncCleanup(link.close)
        self.assertEqual(await link.start(START_CALL), expected)

    # Guards against an attempt that counts as ended though it was not stopped.
    @ddt.data(*STOP_RESPONSES)
    @ddt.unpack
    async def test_stop(
        self, status: int, body: dict[str, Any] | bytes, expected: Any
    ) -> None:
        self.target.scripted_responses = {standins.STOP_PATH: [(status, body)]}
        self.assertEqual(await self.link.stop(STOP_CALL), expected)

    # Guards against runs that count as ended since a response that is no
    # listing does not list them.
    @ddt.data(*HOLD_RESPONSES)
    @ddt.unpack
    async def test_hold(
        self, status: int, body: dict[str, Any] | bytes, expected: Any
    ) -> None:
        self.target.scripted_responses = {standins.HOLD_PATH: [(status, body)]}
        self.assertEqual(await self.link.hold(HOLD_CALL), expected)


class PathTest(unittest.IsolatedAsyncioTestCase):
    """One process of each role, and a stand-in target, over real sockets."""

    async def asyncSetUp(self) -> None:
        # A full collection of the test process's heap would stall the loop
        # beyond RESPONSE_TIMEOUT_S; a daemon freezes its heap as well.
        gc.collect()
        gc.freeze()
        self.addCleanup(gc.unfreeze)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        nodes = {
            role: standins.make_node(folder.name, role)
            for role in ('control', 'entry', 'agent')
        }
        control = nodes['control']
        # The processes share one IP address and have separate port ranges, so
        # the seeds of one do not lead to the replica.  All of them get the
        # address of the replica instead.
        replicas = nodefile.make_control(control).replicas
        self.target = standins.TargetStandIn(
            int((nodes['agent'].app or '')[10:])
        )
        await self.target.open()
        self.addAsyncCleanup(self.target.close)
        self.nodes = nodes
        self.processes: dict[str, process.Process] = {}
        with mock.patch.object(
            nodefile, 'list_replicas', lambda _: dict(replicas)
        ):
            for role, node in nodes.items():
                self.processes[role] = roles.ROLES[role](node)
        for role_process in self.processes.values():
            await role_process.start()
            self.addAsyncCleanup(role_process.finish)
        await self._configure()

    async def _configure(self) -> None:
        control = self.nodes['control'].listen.control
        agent = self.nodes['agent'].listen.control
        for _ in range(int(TIMEOUT_S / POLL_INTERVAL_S)):
            status, _ = await standins.call(
                'POST',
                control,
                '/api/config/replace',
                json=standins.make_manifest(1),
            )
            if status == 200:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        self.assertEqual(status, 200)
        status, _ = await standins.call(
            'POST',
            agent,
            '/api/instances/i-1/heartbeat',
            json=self.target.make_report(1),
        )
        self.assertEqual(status, 200)
        entry: Any = self.processes['entry']
        ready = await await_true(
            lambda: bool(entry.entry.dispatcher.list_serving('r-1'))
        )
        self.assertTrue(ready)

    async def _submit(self, number: int, **changes: Any) -> tuple[int, Any]:
        return await standins.call(
            'POST',
            self.nodes['entry'].listen.front,
            f'{standins.PREFIX}{number:016x}',
            json=standins.make_job(**changes),
            headers={
                'Host': standins.HOST,
                'X-Eelgrassworks-Deadline-Ms': '10000',
            },
        )

    async def test_job_is_answered_when_it_ends(self) -> None:
        self.assertEqual(await self._submit(1), (200, {'state': 'complete'}))
        tasks = [f'{1:016x}.0.0.{index}' for index in range(2)]
        self.assertEqual(sorted(task for task, _ in self.target.starts), tasks)

    async def test_calls_name_their_target(self) -> None:
        """Guards against calls that a later incarnation carries out."""
        await self._submit(1)
        agent: Any = self.processes['agent']
        held = agent.held
        self.assertEqual(
            self.target.calls,
            {('/api/hold', 'i-1'), ('/api/run-start', 'i-1')},
        )
        starts = list(self.target.starts)
        # Another target at the same address.
        self.target.name = 'i-2'
        job = asyncio.create_task(self._submit(2))
        self.assertTrue(await await_true(lambda: bool(held.ended)))
        self.assertEqual(self.target.starts, starts)
        self.target.name = 'i-1'
        self.target.born_ms += 1
        status, _ = await standins.call(
            'POST',
            self.nodes['agent'].listen.control,
            '/api/instances/i-1/heartbeat',
            json=self.target.make_report(1),
        )
        self.assertEqual(status, 200)
        self.assertEqual(await job, (200, {'state': 'complete'}))

    async def test_refused_start(self) -> None:
        # After a timeout the rejection would count as a missing response.
        self.enterContext(
            mock.patch.object(
                heldtarget, 'RESPONSE_TIMEOUT_S', REJECTION_TIMEOUT_S
            )
        )
        agent: Any = self.processes['agent']
        for number, (status, fields, reason) in enumerate(START_REJECTIONS, 2):
            self.target.scripted_responses = {
                standins.START_PATH: [(status, fields)]
            }
            response = await self._submit(number)
            self.assertEqual(response, (200, {'state': 'complete'}))
            counters = agent.held.counters
            self.assertEqual(counters[f'refused_{reason}'], 1)

    # Guards against a second run of a task whose target stopped listening for
    # a moment: its first run counted as ended while it went on.
    async def test_run_outlasts_a_moment_without_a_listener(self) -> None:
        for module, constant, value in (
            (heldtarget, 'RESPONSE_TIMEOUT_S', REJECTION_TIMEOUT_S),
            (heldtarget, 'HOLD_LEASE_S', OUTLASTING_LEASE_S),
            (standins, 'MAX_LEASE_S', OUTLASTING_LEASE_S),
        ):
            self.enterContext(mock.patch.object(module, constant, value))
        agent: Any = self.processes['agent']
        handle = heldtarget.HeldTarget.handle
        # Each reported outcome, and the runs that go on at that time.
        outcomes: list[tuple[str, list[tuple[str, int]]]] = []

        def observe(
            held: heldtarget.HeldTarget, event: holds.HeldEvent, now_s: float
        ) -> list[holds.HeldEffect]:
            reported = handle(held, event, now_s)
            for effect in reported:
                if isinstance(effect, holds.RunEnded | holds.RunRejected):
                    outcomes.append(
                        (effect.reason, self.target.list_running())
                    )
            return reported

        self.enterContext(
            mock.patch.object(heldtarget.HeldTarget, 'handle', observe)
        )
        step = {'count': 1, 'cpu': 1000, 'memMb': 64}
        job = asyncio.create_task(
            self._submit(
                2,
                spec=str(SPANNING_TASK_MS),
                phases=[{**step, 'estimateMs': SPANNING_TASK_MS}],
            )
        )
        run = (f'{2:016x}.0.0.0', 1)
        self.assertTrue(
            await await_true(lambda: run in self.target.list_running())
        )
        await self.target.close()
        await asyncio.sleep(CLOSED_S)
        self.assertTrue(await await_true(lambda: not agent.held.healthy))
        await self.target.open()
        self.assertEqual(await job, (200, {'state': 'complete'}))
        self.assertEqual(outcomes, [('done', [])])
        self.assertEqual(self.target.starts, [run])

    async def test_manifest_is_read_back_as_it_was_sent(self) -> None:
        control = self.nodes['control'].listen.control
        newer = standins.make_manifest(9)
        for sent, expected_version in (
            (newer, 9),
            (standins.make_manifest(4), 9),
        ):
            status, _ = await standins.call(
                'POST', control, '/api/config/replace', json=sent
            )
            self.assertEqual(status, 200)
            _, read = await standins.call('GET', control, '/api/config/read')
            self.assertEqual(read, newer)
            self.assertEqual(read['version'], expected_version)

    async def test_invalid_manifest_changes_nothing(self) -> None:
        control = self.nodes['control'].listen.control
        broken = standins.make_manifest(12, services=[])
        status, _ = await standins.call(
            'POST', control, '/api/config/replace', json=broken
        )
        self.assertEqual(status, 400)
        _, read = await standins.call('GET', control, '/api/config/read')
        self.assertEqual(read['version'], 1)

    async def test_agent_follows_closing_and_reopening_of_its_domain(
        self,
    ) -> None:
        control = self.nodes['control'].listen.control
        agent: Any = self.processes['agent']
        for verb, opened in (('start', False), ('finish', True)):
            status, _ = await standins.call(
                'POST', control, f'/api/evacuate/{standins.ZONE}/{verb}'
            )
            self.assertEqual(status, 200)
            applied = await await_true(
                lambda opened=opened: agent.agent.policy.open is opened
            )
            self.assertTrue(applied)

    async def _report_new_target(self, changes: dict[str, Any]) -> None:
        """Let the target begin anew, with a changed report about itself."""
        self.target.born_ms += 1
        report = {**self.target.make_report(1), **changes}
        agent: Any = self.processes['agent']
        status, _ = await standins.call(
            'POST',
            self.nodes['agent'].listen.control,
            '/api/instances/i-1/heartbeat',
            json=report,
        )
        self.assertEqual(status, 200)
        born_ms = self.target.born_ms
        followed = await await_true(
            lambda: (
                agent.held.incarnation.born_ms == born_ms
                and agent.held.healthy
            )
        )
        self.assertTrue(followed)

    # Guards against an odd target that ends an entry or confuses its view.
    async def test_odd_target_harms_neither_entry_nor_agent(self) -> None:
        entry: Any = self.processes['entry']
        for number, changes in enumerate(ODD_TARGETS, 100):
            with self.subTest(changes):
                await self._report_new_target(changes)
                await asyncio.sleep(0.3)
                self.assertEqual(
                    [
                        each.events_failed
                        for each in self.processes.values()
                        if not each.ended.is_set()
                    ],
                    [0, 0, 0],
                )
                await self._report_new_target({})
                incarnation = self.processes['agent'].link.sender.incarnation
                serving = await await_true(
                    lambda incarnation=incarnation: any(
                        view.incarnation == incarnation
                        for view in entry.entry.dispatcher.list_serving('r-1')
                    )
                )
                self.assertTrue(serving)
                response = await self._submit(number)
                self.assertEqual(response, (200, {'state': 'complete'}))

    async def test_unknown_location_and_job(self) -> None:
        front = self.nodes['entry'].listen.front
        for method, host, path, expected in (
            ('POST', 'other.example', '/reads/' + 'a' * 16, 404),
            ('GET', standins.HOST, '/reads/' + 'a' * 16, 410),
            ('DELETE', standins.HOST, '/reads/' + 'a' * 16, 410),
            ('GET', standins.HOST, '/reads/', 200),
        ):
            status, _ = await standins.call(
                method, front, path, headers={'Host': host}
            )
            self.assertEqual(status, expected)


if __name__ == '__main__':
    unittest.main()
