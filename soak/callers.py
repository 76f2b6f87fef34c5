"""The callers of a run: they submit jobs until these are answered."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import random
from typing import Any
from typing import Final

import aiohttp

from soak import cluster
from soak import plan
from soak import witness
from tests import deployment
from tests import platformstandins as standins

JOBS_PER_S: Final = 8.0
MAX_TASKS: Final = 12
MAX_WORK_MS: Final = 300
# A caller that gets no answer submits the same id at another entry.
CALLER_TIMEOUT_S: Final = 25.0
MAX_SUBMISSIONS: Final = 6
RETRY_PAUSE_S: Final = 0.5
# A request that was sent this long before a planned stop has been read.
READ_MARGIN_S: Final = 0.2

# Transient jobs.
RESUBMISSION_PAUSE_S: Final = 1.3
MAX_TRANSIENT_TASKS: Final = 4
MIN_RUN_MS: Final = 50
# As long as the longest partition, so that a restarted task still runs when
# a start that was held up arrives.
MAX_RUN_MS: Final = 4000
MIN_LIMIT_S: Final = 2.0
MAX_LIMIT_S: Final = 12.0
BATCH_LIMIT_S: Final = 7.0
# One caller of so many disconnects before its first answer is due.
IMPATIENT_RATIO: Final = 8
MIN_PATIENCE_S: Final = 0.2
# A caller that hears nothing of its entry gives it up after such a time.
MIN_ENDURANCE_S: Final = 0.3
MAX_ENDURANCE_S: Final = 3.0
# One caller of so many leaves the connection open then.
LEFT_OPEN_RATIO: Final = 3
# An entry that does not run for a while answers later than the limit.
ANSWER_MARGIN_S: Final = 10.0
REFUSED: Final = (429, 503)
UNDECIDED: Final = (502, 504)


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A request that a caller has sent and that has no answer yet."""

    entry: str
    submission: str
    sent_s: float
    # Otherwise the caller may disconnect itself, or its way was disturbed.
    is_patient: bool
    # Its entry began a planned stop after it had read the request.
    must_answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TransientJob:
    """A transient job; a caller that is not patient disconnects early.

    It gives an entry of which it hears nothing up after ``endurance_s``, or
    after a random time.
    """

    submission: str
    tasks: int
    run_ms: int
    limit_s: float
    is_patient: bool = True
    endurance_s: float | None = None


class Callers:
    """The callers of one run, of either kind of job."""

    def __init__(
        self,
        jobs: plan.Jobs,
        deployed: cluster.SoakedDeployment,
        seen: witness.Witness,
        generator: random.Random,
        read_time: Callable[[], float],
    ) -> None:
        self.ended = False
        self._jobs = jobs
        self._cluster = deployed
        self._witness = seen
        self._random = generator
        self._read_time = read_time
        self._requests: dict[int, OpenRequest] = {}
        self._next_request = 0
        # Requests of callers that went on and left their connections open.
        self._left: set[asyncio.Task[int]] = set()
        # Each keeps its connections to one entry open.
        self._sessions: dict[str, aiohttp.ClientSession] = {}

    async def send(self) -> None:
        """Submit jobs until ``ended`` is set and all are answered."""
        match self._jobs:
            case plan.Batch(count, run_ms):
                await asyncio.sleep(plan.WARM_UP_S)
                batch = [self._make_lost_job(run_ms) for _ in range(count)]
                await asyncio.gather(*(self.submit(j, 0) for j in batch))
            case plan.Claimed() | plan.Transient():
                await self._send_at_random()
        await asyncio.gather(*self._left)

    async def _send_at_random(self) -> None:
        jobs: set[asyncio.Task[None]] = set()
        while not self.ended:
            await asyncio.sleep(self._random.expovariate(JOBS_PER_S))
            job = asyncio.create_task(self._submit())
            jobs.add(job)
            job.add_done_callback(jobs.discard)
        await asyncio.gather(*jobs)

    async def close(self) -> None:
        """Close the connections."""
        for request in self._left:
            request.cancel()
        await asyncio.gather(*self._left, return_exceptions=True)
        for session in self._sessions.values():
            await session.close()

    def require_answers(self, entry: str) -> None:
        """Require answers to what an entry has read before a planned stop."""
        sent_before_s = self._read_time() - READ_MARGIN_S
        for request in self._requests.values():
            if request.entry == entry and request.sent_s < sent_before_s:
                request.must_answer = True

    def excuse_answers(self, entry: str) -> None:
        """Require no answers to open requests whose way is disturbed."""
        for request in self._requests.values():
            if request.entry == entry:
                request.is_patient = False

    async def serves(self, entry: str) -> bool:
        """Tell whether an entry serves a short job."""
        match self._jobs:
            case plan.Claimed():
                answer = await self._send(entry, deployment.make_id(), [20])
                return answer is not None and answer[0] == 200
            case plan.Transient() | plan.Batch():
                job = self._make_job(run_ms=20)
                return await self._post(entry, job) == 200

    async def _submit(self) -> None:
        match self._jobs:
            case plan.Claimed():
                await self._submit_claimed()
            case plan.Transient() | plan.Batch():
                await self._submit_transient()

    @contextlib.contextmanager
    def _open_request(
        self, entry: str, submission: str, is_patient: bool = True
    ) -> Iterator[OpenRequest]:
        """Track a request until its answer; report one that was cut."""
        self._next_request += 1
        way = self._cluster.ways.get(entry)
        if way is not None and way.is_disturbed:
            is_patient = False
        number = self._next_request
        request = OpenRequest(entry, submission, self._read_time(), is_patient)
        self._requests[number] = request
        try:
            yield request
        except (aiohttp.ClientError, TimeoutError, ValueError):
            if request.must_answer and request.is_patient:
                self._witness.record_cut(entry, submission, self._read_time())
            raise
        finally:
            del self._requests[number]

    # Claimed jobs.

    async def _submit_claimed(self) -> None:
        """Submit a job until it is answered, each time at another entry."""
        works_ms = [
            self._random.randint(10, MAX_WORK_MS)
            for _ in range(self._random.randint(1, MAX_TASKS))
        ]
        submission = deployment.make_id()
        entries = self._cluster.entries
        position = self._random.randrange(len(entries))
        for attempt in range(MAX_SUBMISSIONS):
            name = entries[(position + attempt) % len(entries)]
            answer = await self._send(name, submission, works_ms)
            if answer is not None:
                status, body = answer
                self._witness.record_answer(
                    submission, len(works_ms), status, body, self._read_time()
                )
                return
            await asyncio.sleep(RETRY_PAUSE_S)
        self._witness.outcomes['unanswered'] += 1

    async def _send(
        self, entry: str, submission: str, works_ms: list[int]
    ) -> tuple[int, Any] | None:
        try:
            with self._open_request(entry, submission):
                async with asyncio.timeout(CALLER_TIMEOUT_S):
                    return await self._cluster.submit(
                        entry, works_ms, submission
                    )
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None

    # Transient jobs.

    def _make_job(self, run_ms: int) -> TransientJob:
        return TransientJob(
            f'{self._random.getrandbits(64):016x}',
            self._random.randint(1, MAX_TRANSIENT_TASKS),
            run_ms,
            round(self._random.uniform(MIN_LIMIT_S, MAX_LIMIT_S), 1),
        )

    def _make_lost_job(self, run_ms: int) -> TransientJob:
        """Return a job that is submitted again while its task may run."""
        return dataclasses.replace(
            self._make_job(run_ms),
            tasks=1,
            limit_s=BATCH_LIMIT_S,
            endurance_s=MIN_ENDURANCE_S,
        )

    async def _submit_transient(self) -> None:
        run_ms = self._random.randint(MIN_RUN_MS, MAX_RUN_MS)
        job = dataclasses.replace(
            self._make_job(run_ms),
            is_patient=self._random.randrange(IMPATIENT_RATIO) > 0,
        )
        position = self._random.randrange(len(self._cluster.entries))
        await self.submit(job, position)

    async def submit(self, job: TransientJob, position: int) -> None:
        """Submit a job again until its end or refusal, at other entries.

        The first one is at ``position``.
        """
        entries = self._cluster.entries
        for attempt in range(MAX_SUBMISSIONS):
            name = entries[(position + attempt) % len(entries)]
            status = await self._post(name, job)
            job = dataclasses.replace(job, is_patient=True)
            if status in REFUSED and attempt == 0:
                self._witness.record_refusal(
                    job.submission, status, self._read_time()
                )
                return
            if status not in UNDECIDED and status:
                outcome = 'complete' if status == 200 else f'status {status}'
                self._witness.outcomes[outcome] += 1
                return
            await asyncio.sleep(RESUBMISSION_PAUSE_S)
        self._witness.outcomes['unanswered'] += 1

    async def _post(self, entry: str, job: TransientJob) -> int:
        """Submit a job; return the status, or 0 without an answer.

        A caller that hears nothing of the entry gives it up.  The connection
        stays open where its end would be required.
        """
        answer = asyncio.create_task(self._await_answer(entry, job))
        loss = asyncio.create_task(self._give_up(entry, job))
        await asyncio.wait((answer, loss), return_when=asyncio.FIRST_COMPLETED)
        loss.cancel()
        if answer.done():
            return answer.result()
        leaves_open = self._random.randrange(LEFT_OPEN_RATIO) == 0
        if self._cluster.ways[entry].is_disturbed and not leaves_open:
            answer.cancel()
            return 0
        self._left.add(answer)
        answer.add_done_callback(self._left.discard)
        return 0

    async def _give_up(self, entry: str, job: TransientJob) -> None:
        """Wait until a caller that hears nothing gives its entry up."""
        await self._cluster.ways[entry].silent.wait()
        endurance_s = job.endurance_s
        if endurance_s is None:
            endurance_s = self._random.uniform(
                MIN_ENDURANCE_S, MAX_ENDURANCE_S
            )
        await asyncio.sleep(endurance_s)

    async def _await_answer(self, entry: str, job: TransientJob) -> int:
        if entry not in self._sessions:
            self._sessions[entry] = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            )
        address = self._cluster.find_front(entry)
        step = {'count': job.tasks, 'cpu': 500, 'memMb': 64}
        body = standins.make_job(
            spec=f'{job.run_ms}', phases=[{**step, 'estimateMs': job.run_ms}]
        )
        headers = {
            'Host': standins.HOST,
            'X-Eelgrassworks-Deadline-Ms': f'{round(job.limit_s * 1000)}',
        }
        patience_s = (
            job.limit_s + ANSWER_MARGIN_S
            if job.is_patient
            else self._random.uniform(MIN_PATIENCE_S, MIN_LIMIT_S)
        )
        try:
            with self._open_request(
                entry, job.submission, job.is_patient
            ) as request:
                async with (
                    asyncio.timeout(patience_s),
                    self._sessions[entry].post(
                        f'http://{address}{standins.PREFIX}{job.submission}',
                        json=body,
                        headers=headers,
                    ) as response,
                ):
                    await response.read()
                    return response.status
        except TimeoutError:
            if request.is_patient:
                self._witness.record_unanswered(
                    entry, job.submission, self._read_time()
                )
        except aiohttp.ClientError:
            pass
        return 0
