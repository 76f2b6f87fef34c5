"""HTTP front end that accepts jobs of the platform's callers."""

import hashlib
from typing import Final

from aiohttp import web
import msgspec

from eelgrassworks import clock
from eelgrassworks import contracts
from eelgrassworks import entry
from eelgrassworks import entryprocess
from eelgrassworks import errors
from eelgrassworks import process
from eelgrassworks.contracts import locator
from eelgrassworks.platform import nodefile
from eelgrassworks.platform import wire

# All callers of the platform share one workspace.
TEAM: Final = 'callers'
DEADLINE_HEADER: Final = 'X-Eelgrassworks-Deadline-Ms'
BODY_LIMIT_BYTES: Final = 262_144
JOB_ID_LENGTH: Final = 16
# Upper bound on the time limit that a caller may request.
MAX_TIME_LIMIT_S: Final = 120.0
_JOB_DECODER: Final = msgspec.json.Decoder(wire.Job)


class Ingress:
    """Serves jobs of callers and the platform's readiness check."""

    def __init__(
        self, role_process: entryprocess.EntryProcess, node: wire.NodeFile
    ) -> None:
        self._process = role_process
        self._node = node
        self._revision = 0
        self._locator = locator.Locator(contracts.Sheet({}, {}))

    async def open(self) -> None:
        """Start the listeners for callers and readiness checks."""
        callers = web.Application(client_max_size=BODY_LIMIT_BYTES)
        callers.router.add_route('*', '/{path:.*}', self._serve)
        host, port = nodefile.split_address(self._node.listen.front)
        await self._process.listen(callers, host, port, follows_callers=True)
        checks = web.Application()
        checks.router.add_get('/api/ready', self._report_readiness)
        host, port = nodefile.split_address(self._node.listen.ready)
        await self._process.listen(checks, host, port)

    async def close(self) -> None:
        """Do nothing; the process closes the listeners."""

    def reload(self) -> None:
        """Do nothing; SeedWatcher reads the settings file again."""

    async def _report_readiness(self, _: web.Request) -> web.Response:
        return web.Response(status=200 if self._process.is_ready() else 503)

    async def _serve(self, request: web.Request) -> web.Response:
        if self._process.ended.is_set():
            response = respond_refusal(errors.refuse(errors.Code.STOPPING))
        else:
            try:
                response = await self._route(request)
            except process.RequestDropped as dropped:
                response = respond_dropped(dropped.was_open)
        if self._process.entry.stopping or self._process.closes_connection():
            # A new connection of the caller leads to another node.
            response.force_close()
        return response

    async def _route(self, request: web.Request) -> web.Response:
        session = self._process.entry.session
        if not await self._process.await_configuration():
            return respond_refusal(
                errors.refuse(errors.Code.UNAVAILABLE, limit_s=0)
            )
        configuration = session.configuration
        if configuration.revision != self._revision:
            self._revision = configuration.revision
            self._locator = locator.Locator(configuration.sheet)
        host = (request.headers.get('Host') or '').partition(':')[0]
        kind = self._locator.find(host, request.path)
        if kind is None:
            is_current = self._process.entry.is_current(clock.read_now())
            return respond_unmatched_path(is_current, request.path)
        job_id = request.path[len(kind.prefix) :]
        match request.method:
            case 'POST' if len(job_id) == JOB_ID_LENGTH:
                return await self._submit(request, kind, job_id)
            case 'GET' if not job_id:
                waiting = self._process.entry.dispatcher.count_waiting(
                    kind.name
                )
                return web.json_response({'pending': waiting})
            case 'GET' | 'DELETE':
                # Jobs are not stored, so no id is found.
                return web.Response(status=410)
            case _:
                return web.Response(status=400)

    async def _submit(
        self, request: web.Request, kind: contracts.Kind, job_id: str
    ) -> web.Response:
        body = await request.read()
        try:
            job = wire.decode(_JOB_DECODER, body)
        except wire.BodyInvalid as error:
            return respond_refusal(
                errors.refuse(
                    errors.Code.BAD_BODY, expected='job', reason=error
                )
            )
        feature = find_unsupported_feature(job)
        if feature:
            return respond_refusal(
                errors.refuse(errors.Code.UNSUPPORTED, feature=feature)
            )
        submission = make_submission(
            job, kind, job_id, body, read_limit(request, kind)
        )
        number, future = self._process.open_request()
        self._process.dispatch(entry.SubmitRequested(number, submission))
        answer = await self._process.await_reply(number, future)
        return respond_answer(answer)


def find_unsupported_feature(job: wire.Job) -> str:
    """Return the first unsupported feature of a job, or an empty string."""
    if not job.best_effort:
        return 'storage'
    if job.repeats:
        return 'repeats'
    if len(job.phases) != 1:
        return 'several steps'
    step = job.phases[0]
    features = {
        'accelerators': step.gpu,
        'gangs': step.gang or step.same_rack,
        'labels': step.required_label,
        'anti-affinity': step.anti_affinity,
        'copies': step.speculative,
        'lasting tasks': step.long_running or step.image or step.fills,
    }
    return next(
        (name for name, requested in features.items() if requested), ''
    )


def make_submission(
    job: wire.Job,
    kind: contracts.Kind,
    job_id: str,
    body: bytes,
    limit_s: float,
) -> contracts.Submission:
    """Return the submission for a job; its limit is in seconds."""
    step = job.phases[0]
    return contracts.Submission(
        job_id,
        hashlib.blake2b(body, digest_size=16).hexdigest(),
        TEAM,
        kind.name,
        (job.spec.encode(),) * step.count,
        limit_s,
        False,
        transient=True,
        demand=contracts.Room(step.cpu, step.mem_mb),
        estimate_s=step.estimate_ms / 1000,
    )


def read_limit(request: web.Request, kind: contracts.Kind) -> float:
    """Return the time limit of a job, in seconds.

    Without a valid deadline header the limit of the kind applies.
    """
    text = request.headers.get(DEADLINE_HEADER, '')
    if not text.isdecimal() or not int(text):
        return kind.time_limit_s
    return min(int(text) / 1000, MAX_TIME_LIMIT_S)


def respond_answer(answer: contracts.Answer) -> web.Response:
    """Return the HTTP response for the outcome of a job."""
    match answer:
        case contracts.Complete():
            return web.json_response({'state': 'complete'})
        case contracts.Failed(refusal) if (
            refusal.code == errors.Code.TASK_FAILED
        ):
            return web.json_response({'state': 'failed'})
        case contracts.Failed(refusal, may_start=True):
            # Callers submit a job again after a 504, and a late start of it
            # could run beside the second submission.
            detail = errors.describe(refusal).detail
            return web.json_response({'error': detail}, status=500)
        case contracts.Failed():
            # The tasks may have run, so neither state can be reported.
            return web.Response(status=504)
        case contracts.NotRun(refusal):
            return respond_refusal(refusal)


def respond_dropped(was_open: bool) -> web.Response:
    """Return the HTTP response for a job that the end of the process met.

    Tasks of a job that was open may have run.
    """
    if was_open:
        refusal = errors.refuse_started(errors.Code.STOPPING)
        return respond_answer(contracts.Failed(refusal))
    return respond_refusal(errors.refuse(errors.Code.STOPPING))


def respond_unmatched_path(is_current: bool, path: str) -> web.Response:
    """Return the response for a path that no kind matches.

    The path is reported as unknown only if the configuration is current;
    otherwise the caller is told to retry.
    """
    if not is_current:
        return respond_refusal(
            errors.refuse(errors.Code.UNAVAILABLE, limit_s=0)
        )
    return respond_refusal(
        errors.refuse(errors.Code.NOT_FOUND, what='queue', name=path)
    )


def respond_refusal(refusal: errors.Refusal) -> web.Response:
    """Return the HTTP response for a job that did not run."""
    description = errors.describe(refusal)
    status = description.status
    # 429 and 503 tell the caller that the job will never run.  This holds for
    # every refusal passed here, so a status that is not listed becomes 503.
    if status not in (400, 404, 413, 429):
        status = 503
    headers = {}
    if status in (429, 503):
        headers['Retry-After'] = refusal.values.get('retry_s', '1')
    return web.json_response(
        {'error': description.detail}, status=status, headers=headers
    )
