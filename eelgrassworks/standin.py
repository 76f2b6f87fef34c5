"""A stand-in target: a back end with configurable speed and faults.

Implements the HTTP contract between agent and target.  A task takes the
``work_ms`` of its payload times the slowness of the target.  The starts of
each task key are counted to detect tasks that ran more than once.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Final

from aiohttp import web
import msgspec

DEFAULT_WORK_MS: Final = 50.0
STRAGGLER_FACTOR: Final = 10.0
MAX_WORK_S: Final = 600.0


class WorkModel(msgspec.Struct):
    """Payload of a task."""

    work_ms: float = DEFAULT_WORK_MS
    fail: bool = False


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults to inject; a ratio is a probability per task, from 0 to 1."""

    slowness: float = 1.0
    straggler_ratio: float = 0.0
    failure_ratio: float = 0.0
    hang_ratio: float = 0.0
    healthy: bool = True


class StandIn:
    """One stand-in target; ``observe`` is called with the key of a start."""

    def __init__(
        self,
        name: str,
        faults: Faults,
        seed: int,
        observe: Callable[[str], None] | None = None,
    ) -> None:
        self.name = name
        self._observe = observe
        self.faults = faults
        self.starts: collections.Counter[str] = collections.Counter()
        self.kinds: collections.Counter[str] = collections.Counter()
        self.finished = 0
        self.running: dict[str, asyncio.Event] = {}
        self.most_running = 0
        self._random = random.Random(seed)
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        application = web.Application()
        router = application.router
        router.add_post('/tasks/{submission}/{index}', self._run_task)
        router.add_delete('/tasks/{submission}/{index}', self._stop_task)
        router.add_get('/health', self._show_health)
        router.add_get('/counts', self._show_counts)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        bound_port: int = self._runner.addresses[0][1]
        return bound_port

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def count_repeated(self) -> int:
        """Return the number of keys that were started more than once."""
        return sum(1 for count in self.starts.values() if count > 1)

    async def _run_task(self, request: web.Request) -> web.Response:
        key = '{submission}/{index}'.format_map(request.match_info)
        self.starts[key] += 1
        if self._observe is not None:
            self._observe(key)
        self.kinds[request.headers.get('Task-Kind', '')] += 1
        stop_event = asyncio.Event()
        self.running[key] = stop_event
        self.most_running = max(self.most_running, len(self.running))
        try:
            work = msgspec.json.decode(await request.read(), type=WorkModel)
            return await self._simulate_work(key, work, stop_event)
        except msgspec.MsgspecError as error:
            return web.Response(status=422, text=str(error))
        finally:
            self.running.pop(key, None)

    async def _simulate_work(
        self, key: str, work: WorkModel, stop_event: asyncio.Event
    ) -> web.Response:
        faults = self.faults
        if self._random.random() < faults.failure_ratio or work.fail:
            return web.Response(status=500, text='injected failure')
        duration_s = work.work_ms / 1000 * faults.slowness
        if self._random.random() < faults.straggler_ratio:
            duration_s *= STRAGGLER_FACTOR
        if self._random.random() < faults.hang_ratio:
            duration_s = MAX_WORK_S
        try:
            async with asyncio.timeout(duration_s):
                await stop_event.wait()
        except TimeoutError:
            self.finished += 1
            return web.json_response({'key': key, 'target': self.name})
        return web.Response(status=409, text='stopped')

    async def _stop_task(self, request: web.Request) -> web.Response:
        key = '{submission}/{index}'.format_map(request.match_info)
        stop_event = self.running.get(key)
        if stop_event is not None:
            stop_event.set()
        return web.Response(status=204)

    async def _show_health(self, _: web.Request) -> web.Response:
        status = 200 if self.faults.healthy else 503
        return web.json_response({'healthy': status == 200}, status=status)

    async def _show_counts(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                'started': sum(self.starts.values()),
                'repeated': self.count_repeated(),
                'finished': self.finished,
                'running': len(self.running),
                'most_running': self.most_running,
                'kinds': dict(self.kinds),
            }
        )


async def serve(
    name: str, host: str, port: int, faults: Faults, seed: int
) -> None:
    """Run a stand-in target until it is cancelled."""
    target = StandIn(name, faults, seed)
    bound_port = await target.start(host, port)
    print(f'listening on {host}:{bound_port}', flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await target.close()
