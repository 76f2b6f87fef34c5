"""HTTP interface: invalid input is refused, and the process keeps serving."""

import asyncio
import json
import pathlib
import tempfile
from typing import Any
import unittest

import aiohttp
import ddt
import hypothesis
from hypothesis import strategies

from eelgrassworks import clock
from eelgrassworks import embedded
from eelgrassworks import links
from eelgrassworks import targetclient
from eelgrassworks.contracts import ids
from eelgrassworks.fronts import callers
from eelgrassworks.fronts import operators
from eelgrassworks.fronts import sheet
from eelgrassworks.links import messages

TEAM = {'Team': 'inspectors'}
VALID_JOB = {'kind': 'crack-flag', 'tasks': [{'work_ms': 1}]}
OVERSIZED_BODY = b'[' + b'1,' * 5_000_000 + b'1]'

# Name, path, body, headers, expected status, expected problem.
BAD_REQUESTS: tuple[tuple[str, str, bytes, dict[str, str], int, str], ...] = (
    ('empty', '/v1/jobs', b'', TEAM, 400, 'bad-body'),
    ('not json', '/v1/jobs', b'{', TEAM, 400, 'bad-body'),
    ('not utf-8', '/v1/jobs', b'{"kind":"\xff"}', TEAM, 400, 'bad-body'),
    (
        'payload not utf-8',
        '/v1/jobs',
        b'{"kind":"crack-flag","tasks":["\xff"]}',
        TEAM,
        400,
        'bad-body',
    ),
    ('a list', '/v1/jobs', b'[]', TEAM, 400, 'bad-body'),
    ('no tasks', '/v1/jobs', b'{"kind":"a"}', TEAM, 400, 'bad-body'),
    (
        'empty tasks',
        '/v1/jobs',
        b'{"kind":"a","tasks":[]}',
        TEAM,
        400,
        'bad-body',
    ),
    (
        'too many tasks',
        '/v1/jobs',
        json.dumps({'kind': 'a', 'tasks': [1] * 1201}).encode(),
        TEAM,
        400,
        'bad-body',
    ),
    (
        'unknown field',
        '/v1/jobs',
        b'{"kind":"a","tasks":[1],"x":1}',
        TEAM,
        400,
        'bad-body',
    ),
    (
        'limit out of range',
        '/v1/jobs',
        b'{"kind":"a","tasks":[1],"time_limit_ms":0}',
        TEAM,
        400,
        'bad-body',
    ),
    ('deep', '/v1/jobs', b'[' * 100_000, TEAM, 400, 'bad-body'),
    ('too large', '/v1/jobs', OVERSIZED_BODY, TEAM, 413, 'body-too-large'),
    (
        'no team',
        '/v1/jobs',
        json.dumps(VALID_JOB).encode(),
        {},
        400,
        'bad-header',
    ),
    (
        'unknown team',
        '/v1/jobs',
        json.dumps(VALID_JOB).encode(),
        {'Team': 'strangers'},
        403,
        'unknown-team',
    ),
    (
        'id of version 4',
        '/v1/jobs',
        json.dumps(VALID_JOB).encode(),
        TEAM | {'Idempotency-Key': '5f1b9c1e-8f5e-4b7a-9a55-0d5b0a4c1d11'},
        400,
        'bad-header',
    ),
    (
        'unknown kind',
        '/v1/jobs',
        json.dumps(VALID_JOB | {'kind': 'none'}).encode(),
        TEAM,
        422,
        'unknown-kind',
    ),
    (
        'id missing for a kind that must not repeat',
        '/v1/jobs',
        json.dumps(VALID_JOB | {'kind': 'structural-read'}).encode(),
        TEAM,
        400,
        'id-required',
    ),
    ('task not json', '/v1/tasks', b'nope', TEAM, 400, 'bad-body'),
    ('change not json', '/v1/changes', b'{', {}, 400, 'bad-body'),
    (
        'change unknown',
        '/v1/changes',
        b'{"expected_revision":1,"change":{"action":"x","name":"a"}}',
        {},
        400,
        'bad-body',
    ),
)

# Name, bytes written to a TCP connection, and the expected status.
RAW_REQUESTS: tuple[tuple[str, bytes, bytes], ...] = (
    ('garbage', b'\x00\x01\x02\r\n\r\n', b'400'),
    ('bad version', b'GET /live HTTP/9.9\r\n\r\n', b'400'),
    (
        'header too long',
        b'GET /live HTTP/1.1\r\nX: ' + b'a' * 20_000 + b'\r\n\r\n',
        b'400',
    ),
    (
        'two lengths',
        b'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
        b'Content-Length: 2\r\n\r\nab',
        b'400',
    ),
    (
        'slow body',
        b'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTeam: inspectors\r\n'
        b'Content-Length: 100\r\n\r\n{"kind',
        b'400',
    ),
)


@ddt.ddt
class HttpTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.system = embedded.Embedded(
            embedded.Plan(targets=1), pathlib.Path(folder.name)
        )
        self.url = await self.system.start()
        if self.system.entry is None:
            self.fail('no entry')
        self.system.entry.model.body_timeout_s = 0.5
        self.session = aiohttp.ClientSession(self.url)
        self.addAsyncCleanup(self.system.stop)
        self.addAsyncCleanup(self.session.close)
        await embedded.prepare(self.system, self.session)

    async def post(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, Any]:
        """Post a body; return the status and the decoded response."""
        async with self.session.post(
            path, data=body, headers=headers
        ) as response:
            return response.status, await response.json(content_type=None)

    async def test_invalid_requests_are_refused(self) -> None:
        for name, path, body, headers, status, problem in BAD_REQUESTS:
            with self.subTest(name):
                actual_status, answer = await self.post(path, body, headers)
                self.assertEqual(actual_status, status, answer)
                self.assertEqual(answer['type'].split(':')[-1], problem)
                self.assertEqual(answer['ran'], 'not run')
                self.assertTrue(answer['remedy'])
        for name, data, status in RAW_REQUESTS:
            with self.subTest(name):
                self.assertIn(status, await self.send_raw(data))
        self.assertEqual(sum(self.system.targets[0].starts.values()), 0)
        actual_status, answer = await self.post(
            '/v1/jobs', json.dumps(VALID_JOB).encode(), TEAM
        )
        self.assertEqual(
            (actual_status, len(answer['results'])), (200, 1), answer
        )

    async def send_raw(self, data: bytes) -> bytes:
        """Write bytes to a connection; return the status line."""
        port = int(self.url.rsplit(':', 1)[1])
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(data)
        await writer.drain()
        line = await asyncio.wait_for(reader.readline(), 10)
        writer.close()
        return line

    async def test_same_id(self) -> None:
        key = ids.make_id(clock.read_wall_ms())
        headers = TEAM | {'Idempotency-Key': key}
        body = json.dumps(VALID_JOB).encode()
        first = await self.post('/v1/jobs', body, headers)
        repeated = await self.post('/v1/jobs', body, headers)
        other = json.dumps(VALID_JOB | {'tasks': [2]}).encode()
        conflict = await self.post('/v1/jobs', other, headers)
        other_team = await self.post(
            '/v1/jobs', body, headers | {'Team': 'desks'}
        )
        self.assertEqual(first[0], 200)
        self.assertEqual(first, repeated)
        self.assertEqual((conflict[0], other_team[0]), (409, 409))
        async with self.session.get(
            f'/v1/jobs/{key}', headers=TEAM
        ) as response:
            self.assertEqual(response.status, 200)
        self.assertEqual(sum(self.system.targets[0].starts.values()), 1)

    async def test_respond_async_and_cancel(self) -> None:
        key = ids.make_id(clock.read_wall_ms())
        headers = TEAM | {'Idempotency-Key': key, 'Prefer': 'respond-async'}
        long = {'kind': 'crack-flag', 'tasks': [{'work_ms': 30_000}] * 20}
        status, answer = await self.post(
            '/v1/jobs', json.dumps(long).encode(), headers
        )
        self.assertEqual((status, answer['id']), (202, key))
        await asyncio.sleep(0.3)
        async with self.session.delete(
            f'/v1/jobs/{key}', headers=TEAM
        ) as response:
            self.assertEqual(response.status, 202)
        async with self.session.get(
            f'/v1/jobs/{key}', headers=TEAM
        ) as response:
            problem = await response.json(content_type=None)
        self.assertEqual(problem['ran'], 'may have run')
        self.assertTrue(problem['type'].endswith('cancelled'))

    async def test_tokens(self) -> None:
        if self.system.entry is None:
            self.fail('no entry')
        tokens = self.system.entry.model.tokens
        tokens.callers.update({'secret': 'inspectors'})
        tokens.operators.update({'other': 'ama'})
        body = json.dumps(VALID_JOB).encode()
        rows = (
            ('/v1/jobs', {}, 403),
            ('/v1/jobs', {'Authorization': 'Bearer wrong'}, 403),
            ('/v1/jobs', {'Authorization': 'Bearer other'}, 403),
            ('/v1/jobs', {'Authorization': 'secret'}, 403),
            ('/v1/jobs', {'Authorization': 'Bearer secret'}, 200),
            (
                '/v1/jobs',
                {'Authorization': 'Bearer secret', 'Team': 'desks'},
                200,
            ),
        )
        for path, headers, status in rows:
            with self.subTest(headers=headers):
                actual_status, _ = await self.post(path, body, headers)
                self.assertEqual(actual_status, status)
        for path in ('/v1/state', '/v1/targets', '/v1/configuration'):
            async with self.session.get(path) as response:
                self.assertEqual(response.status, 403)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_post_is_never_repeated(self) -> None:
        """The server closes the connection without answering the second POST.

        A client that resends the request would run the task twice.
        """
        received: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            count = 0
            while head := await reader.readuntil(b'\r\n\r\n'):
                received.append(head)
                await reader.readexactly(2)
                count += 1
                if count == 2:
                    break
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = targetclient.TargetClient(f'http://127.0.0.1:{port}', 1)
        key = callers.contracts.TaskKey('job', 0)
        outcomes = [
            await client.run(key, 'crack-flag', b'{}', 2.0) for _ in range(2)
        ]
        await client.close()
        server.close()
        self.assertEqual([ok for ok, _ in outcomes], [True, False])
        self.assertEqual(len(received), 2)


SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None
)


class FuzzTest(unittest.TestCase):
    """Random input is accepted or refused without an exception."""

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=300))
    def test_bodies(self, data: bytes) -> None:
        callers.parse_job(data, single=False)
        callers.parse_job(data, single=True)
        operators.parse_change(data)
        sheet.parse_sheet(data)

    @SETTINGS
    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.text(max_size=8),
            lambda each: (
                strategies.lists(each, max_size=4)
                | strategies.dictionaries(
                    strategies.sampled_from(['kind', 'tasks', 'task', 'x']),
                    each,
                    max_size=4,
                )
            ),
        )
    )
    def test_documents(self, document: Any) -> None:
        data = json.dumps(document).encode()
        callers.parse_job(data, single=False)
        callers.parse_job(data, single=True)
        operators.parse_change(data)

    @SETTINGS
    @hypothesis.given(strategies.text(max_size=60))
    def test_ids(self, text: str) -> None:
        callers.parse_id(text)

    @SETTINGS
    @hypothesis.given(
        strategies.binary(max_size=200),
        strategies.integers(0, 200),
        strategies.integers(0, 255),
    )
    def test_frames(self, noise: bytes, position: int, value: int) -> None:
        codec = links.Codec(b'key')
        sender = links.Sender('entry-1', 1, 'tcp://127.0.0.1:1')
        data = bytearray(
            codec.encode_frame(sender, [messages.TaskFence('a', 1, 1, 1, 1)])
        )
        data[position % len(data)] ^= value or 1
        for candidate in (noise, bytes(data)):
            with self.assertRaises(links.FrameRejected):
                codec.decode_frame(candidate)

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def test_authentic_noise(self, noise: bytes) -> None:
        codec = links.Codec(b'key')
        data = codec._authenticate(noise) + noise
        try:
            codec.decode_frame(data)
        except links.FrameRejected:
            return
