"""The system as separate processes on loopback, with failures."""

import asyncio
import contextlib
import gc
import shutil
import signal
import unittest
from unittest import mock

import aiohttp
from aiohttp import web
import ddt

from eelgrassworks import clock
from eelgrassworks import entryprocess
from eelgrassworks import errors
from eelgrassworks import links
from eelgrassworks import process
from eelgrassworks import settings
from eelgrassworks.fronts import entryapi
from eelgrassworks.links import bus
from eelgrassworks.platform import ingress
from soak import proxy
from tests import deployment


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def count_starts(
        self, cluster: deployment.Deployment
    ) -> tuple[int, int]:
        """Return the counts of started and repeated keys on all targets."""
        counts = [await cluster.count(name) for name in cluster.agents]
        return (
            sum(each['started'] for each in counts),
            sum(each['repeated'] for each in counts),
        )

    async def test_same_job_to_two_entries(self) -> None:
        async with deployment.Deployment(controls=1, agents=1) as cluster:
            key = deployment.make_id()
            works_ms = [20] * 60
            answers = await asyncio.gather(
                cluster.submit('entry-1', works_ms, key),
                cluster.submit('entry-2', works_ms, key),
            )
            self.assertEqual([status for status, _ in answers], [200, 200])
            self.assertEqual(answers[0], answers[1])
            self.assertEqual(await self.count_starts(cluster), (60, 0))

    async def test_planned_stop_of_each_role(self) -> None:
        async with deployment.Deployment(agents=3) as cluster:
            leader = await self.find_leader(cluster)
            for name in (leader, 'runner-1', 'entry-1'):
                with self.subTest(stopped=name):
                    await self.stop_under_load(cluster, name)
            self.assertEqual((await self.count_starts(cluster))[1], 0)

    async def stop_under_load(
        self, cluster: deployment.Deployment, name: str
    ) -> None:
        """Stop a process while jobs run; every job must complete."""
        jobs = [
            asyncio.create_task(
                cluster.submit(entry, [150] * 40, deployment.make_id())
            )
            for entry in cluster.entries
            if cluster.processes[entry].returncode is None
            for _ in range(3)
        ]
        await asyncio.sleep(0.3)
        status = await cluster.end(name, signal.SIGTERM)
        self.assertEqual(status, 0, cluster.read_log(name))
        for job in jobs:
            status, answer = await job
            self.assertEqual(status, 200, answer)

    async def find_leader(self, cluster: deployment.Deployment) -> str:
        """Return the name of the leading replica."""
        dump = await cluster.state(cluster.controls[0])
        leader: str = dump['state']['replica']['leader']
        return leader

    async def test_leader_killed_under_load(self) -> None:
        async with deployment.Deployment(agents=2) as cluster:
            leader = await self.find_leader(cluster)
            jobs = [
                asyncio.create_task(
                    cluster.submit('entry-1', [50] * 30, deployment.make_id())
                )
                for _ in range(4)
            ]
            await asyncio.sleep(0.05)
            await cluster.end(leader)
            for job in jobs:
                status, answer = await job
                self.assertEqual(status, 200, answer)
            self.assertEqual(await self.count_starts(cluster), (120, 0))

    async def test_frozen_agent_starts_nothing_after_close(self) -> None:
        async with deployment.Deployment(controls=1, agents=2) as cluster:
            job = asyncio.create_task(
                cluster.submit('entry-1', [100] * 60, deployment.make_id())
            )
            await asyncio.sleep(0.2)
            cluster.send_signal('runner-1', signal.SIGSTOP)
            status, _ = await cluster.change(
                'entry-2', 'close', deployment.DOMAINS[0], 1, 'operator'
            )
            self.assertEqual(status, 200)
            before = (await cluster.count('runner-1'))['started']
            cluster.send_signal('runner-1', signal.SIGCONT)
            await job
            await asyncio.sleep(1.0)
            after = (await cluster.count('runner-1'))['started']
            self.assertEqual(after, before)
            self.assertEqual((await self.count_starts(cluster))[1], 0)

    async def test_unresponsive_connection_is_replaced(self) -> None:
        cluster = deployment.Deployment(controls=1, entries=1, agents=1)
        async with contextlib.AsyncExitStack() as stack:
            port = deployment.find_ports(1)[0]
            cluster.port_overrides['runner-1', 'entry-1'] = port
            link = proxy.LinkProxy(
                proxy.Address('127.0.0.1', port),
                proxy.Address('127.0.0.1', cluster.link['entry-1']),
            )
            await link.open()
            stack.push_async_callback(link.close)
            await stack.enter_async_context(cluster)
            accepted = link.accepted
            link.silence()
            await deployment.wait_until(
                lambda: _returns(link.accepted > accepted)
            )
            await deployment.wait_until(
                lambda: self.submits(cluster, deployment.make_id())
            )

    async def test_replica_with_emptied_folder_replaces_killed_leader(
        self,
    ) -> None:
        async with deployment.Deployment(entries=1, agents=1) as cluster:
            key = deployment.make_id()
            first = await cluster.submit('entry-1', [20] * 5, key)
            leader = await self.find_leader(cluster)
            emptied = next(n for n in cluster.controls if n != leader)
            await cluster.end(emptied)
            shutil.rmtree(cluster.root / emptied)
            await cluster.start(emptied)
            await deployment.wait_until(
                lambda: self.is_voter(cluster, leader, emptied)
            )
            await cluster.end(leader)
            await deployment.wait_until(
                lambda: self.submits(cluster, deployment.make_id())
            )
            self.assertEqual(
                await cluster.submit('entry-1', [20] * 5, key), first
            )

    async def is_voter(
        self, cluster: deployment.Deployment, leader: str, name: str
    ) -> bool:
        """Return whether a replica is a voter again, with a new disk."""
        voters = (await cluster.state(leader))['state']['replica']['voters']
        return name in voters and voters[name] != f'test-{name}'

    async def submits(self, cluster: deployment.Deployment, key: str) -> bool:
        """Return whether a job with an idempotency key completes."""
        return (await cluster.submit('entry-1', [20], key))[0] == 200

    async def test_job_of_killed_entry_is_answered_by_other_entry(
        self,
    ) -> None:
        async with deployment.Deployment(controls=1, agents=1) as cluster:
            key = deployment.make_id()
            job = asyncio.create_task(
                cluster.submit('entry-1', [300] * 30, key)
            )
            await asyncio.sleep(0.3)
            await cluster.end('entry-1')
            with contextlib.suppress(aiohttp.ClientError):
                await job
            status, answer = await cluster.submit('entry-2', [300] * 30, key)
            self.assertEqual(answer['ran'], 'may have run', answer)
            self.assertGreaterEqual(status, 500)
            self.assertEqual((await self.count_starts(cluster))[1], 0)


async def _returns(value: bool) -> bool:
    return value


class CollectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_collections_are_enabled_while_a_process_runs(self) -> None:
        """Programs disable them while their libraries load."""
        running = process.Process.__new__(process.Process)
        seen: list[bool] = []

        async def record() -> None:
            seen.append(gc.isenabled())

        async def do_nothing() -> None:
            pass

        running.ended = asyncio.Event()
        running.ended.set()
        running.fault = None
        gc.disable()
        self.addCleanup(gc.enable)
        self.addCleanup(gc.unfreeze)
        with (
            mock.patch.object(running, 'start', record),
            mock.patch.object(running, 'finish', do_nothing),
        ):
            self.assertEqual(await running.run(), 0)
        self.assertEqual(seen, [True])


def make_entry() -> entryprocess.EntryProcess:
    """Return an entry that nothing else is connected to."""
    model = settings.EntrySettings(
        name='entry-1',
        vm=settings.VmModel(name='vm', failure_domain='a', region='b'),
        listen='tcp://127.0.0.1:1',
        http=settings.HttpModel(host='127.0.0.1', port=0),
        key='k' * 16,
        replicas={'control-1': 'tcp://127.0.0.1:2'},
        stop_linger_s=0.3,
    )
    sender = links.Sender('entry-1', 1, model.listen)
    return entryprocess.EntryProcess(
        model, bus.BusTransport(bus.Bus(), links.Codec(b'k'), sender)
    )


# Method and path of a request to an entry that has just ended, its body, and
# whether the response is a problem document.
LATE_REQUESTS: tuple[tuple[str, str, object, bool], ...] = (
    ('POST', '/v1/jobs', {'kind': 'crack-flag', 'tasks': [{}]}, True),
    ('POST', '/v1/tasks', {'kind': 'crack-flag', 'task': {}}, True),
    ('GET', f'/v1/jobs/{deployment.make_id()}', None, True),
    ('DELETE', f'/v1/jobs/{deployment.make_id()}', None, True),
    (
        'POST',
        '/v1/changes',
        {'expected_revision': 1, 'change': {'action': 'close', 'name': 'a'}},
        False,
    ),
)


@ddt.ddt
class EndedEntryTest(unittest.IsolatedAsyncioTestCase):
    """Requests that arrive between the end of an entry and of its process."""

    @ddt.data(*LATE_REQUESTS)
    @ddt.unpack
    async def test_late_request_is_refused_at_once(
        self, method: str, path: str, body: object, is_problem: bool
    ) -> None:
        running = make_entry()
        front = entryapi.EntryApi(running)
        await front.open()
        running.ended.set()
        headers = {
            'Team': 'inspectors',
            'Idempotency-Key': deployment.make_id(),
            'Operator': 'a',
        }
        async with (
            asyncio.timeout(2.0),
            aiohttp.ClientSession() as session,
            session.request(
                method,
                f'http://127.0.0.1:{front.port}{path}',
                json=body,
                headers=headers,
            ) as response,
        ):
            self.assertEqual(response.status, 503)
            if is_problem:
                problem = await response.json(content_type=None)
                self.assertEqual(problem['ran'], 'not run')
                self.assertIn('stopping', problem['type'])
            await running.finish()

    async def test_open_request_ends_with_the_process(self) -> None:
        running = make_entry()
        number, future = running.open_request()
        running.ended.set()
        await running.finish()
        with self.assertRaises(process.RequestDropped):
            await running.await_reply(number, future)

    # Guards against a job that is answered as not run by an entry that halts
    # while tasks of the job run.
    async def test_open_job_of_a_halted_entry_may_have_run(self) -> None:
        running = make_entry()
        front = entryapi.EntryApi(running)
        await front.open()
        opened = asyncio.Event()
        with mock.patch.object(running, 'dispatch', lambda _: opened.set()):
            async with aiohttp.ClientSession() as session:
                request = asyncio.create_task(
                    session.post(
                        f'http://127.0.0.1:{front.port}/v1/tasks',
                        json={'kind': 'crack-flag', 'task': {}},
                        headers={'Team': 'inspectors'},
                    )
                )
                await opened.wait()
                running.halt(errors.refuse(errors.Code.SUPERSEDED, name='a'))
                running._drop_requests()
                response = await request
                problem = await response.json(content_type=None)
        self.assertEqual(problem['ran'], 'may have run')
        await running.finish()

    @ddt.data((True, 504), (False, 503))
    @ddt.unpack
    def test_dropped_job_of_the_platform_has_a_true_status(
        self, was_open: bool, status: int
    ) -> None:
        response = ingress.respond_dropped(was_open)
        self.assertEqual(response.status, status)


class IdleConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_stopping_entry_closes_connections_without_a_request(
        self,
    ) -> None:
        """Callers would send their next job there and be refused."""
        running = make_entry()
        port = await running.serve(web.Application(), '127.0.0.1', 0)
        self.addAsyncCleanup(running._runners[0].cleanup)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        self.addCleanup(writer.close)
        writer.write(b'GET /live HTTP/1.1\r\nHost: a\r\n\r\n')
        await reader.readuntil(b'}')
        running.entry.stopping = True
        running.entry._stop_requested_s = clock.read_now()
        running.make_tick()
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(), 0.1)
        await asyncio.sleep(0.3)
        running.make_tick()
        self.assertEqual(await asyncio.wait_for(reader.read(), 2.0), b'')
