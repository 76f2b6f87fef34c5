"""HTTP interface for callers.

Request bodies are validated against models and converted to data classes
before any decision is made.  An invalid request is answered with a problem
document, and none of its tasks run.
"""

import asyncio
import hashlib
from typing import Annotated
from typing import Any
from typing import Final

from aiohttp import web
import expression
import msgspec

from eelgrassworks import clock
from eelgrassworks import contracts
from eelgrassworks import entry
from eelgrassworks import entryprocess
from eelgrassworks import errors
from eelgrassworks import process
from eelgrassworks import settings
from eelgrassworks.contracts import ids
from eelgrassworks.fronts import problems
from eelgrassworks.fronts import tokens

ID_HEADER: Final = 'Idempotency-Key'
TEAM_HEADER: Final = 'Team'
PREFER_HEADER: Final = 'Prefer'
RESPOND_ASYNC: Final = 'respond-async'
DEFAULT_TIME_LIMIT_S: Final = 30.0

TimeLimit = Annotated[int, msgspec.Meta(ge=1, le=600_000)]


class JobModel(msgspec.Struct, forbid_unknown_fields=True):
    """Request body of a job submission."""

    kind: settings.Name
    tasks: Annotated[
        list[msgspec.Raw],
        msgspec.Meta(min_length=1, max_length=contracts.MAX_TASKS),
    ]
    time_limit_ms: TimeLimit | None = None


class TaskModel(msgspec.Struct, forbid_unknown_fields=True):
    """Request body of a submission with a single task."""

    kind: settings.Name
    task: msgspec.Raw
    time_limit_ms: TimeLimit | None = None


class CompleteModel(msgspec.Struct):
    """Response body with the results of all tasks of a job."""

    id: str
    status: str
    results: list[msgspec.Raw]


class AcceptedModel(msgspec.Struct):
    """Response body of an accepted asynchronous submission or cancellation."""

    id: str
    status: str


class RequestRefusedError(Exception):
    """Raised when a request is refused before it reaches the entry."""

    def __init__(self, refusal: errors.Refusal) -> None:
        super().__init__(errors.format_refusal(refusal))
        self.refusal = refusal


def parse_job(
    data: bytes, single: bool
) -> expression.Result[JobModel, errors.Refusal]:
    """Validate the body of a submission.

    A single task is returned as a job with one task.
    """
    expected = 'task' if single else 'job'
    try:
        # msgspec.Raw leaves payloads undecoded, so UTF-8 is checked here.
        data.decode('utf-8')
        if single:
            task = msgspec.json.decode(data, type=TaskModel)
            return expression.Ok(
                JobModel(task.kind, [task.task], task.time_limit_ms)
            )
        return expression.Ok(msgspec.json.decode(data, type=JobModel))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return expression.Error(
            errors.refuse(
                errors.Code.BAD_BODY, expected=expected, reason=error
            )
        )


def parse_id(text: str) -> expression.Result[str, errors.Refusal]:
    """Validate a submission id and return it in lower case."""
    value = text.lower()
    if ids.read_time_ms(value) is not None:
        return expression.Ok(value)
    return expression.Error(
        errors.refuse(
            errors.Code.BAD_HEADER,
            header=ID_HEADER,
            reason='it is not a UUID of version 7',
        )
    )


def digest_job(team: str, model: JobModel) -> str:
    """Return a digest that differs when team, kind or payloads differ."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (team.encode(), model.kind.encode()):
        digest.update(len(part).to_bytes(4, 'big') + part)
    for task in model.tasks:
        payload = bytes(task)
        digest.update(len(payload).to_bytes(4, 'big') + payload)
    return digest.hexdigest()


class Callers:
    """Serves the endpoints of callers at one entry."""

    def __init__(self, entry_process: entryprocess.EntryProcess) -> None:
        self._process = entry_process
        self._anonymous_count = 0

    def add_routes(self, application: web.Application) -> None:
        """Add the routes to an application."""
        router = application.router
        router.add_post('/v1/jobs', self._submit_job)
        router.add_post('/v1/tasks', self._submit_task)
        router.add_get('/v1/jobs/{id}', self._show_job)
        router.add_delete('/v1/jobs/{id}', self._cancel_job)

    async def _submit_job(self, request: web.Request) -> web.Response:
        return await self._handle_refusal(self._submit(request, single=False))

    async def _submit_task(self, request: web.Request) -> web.Response:
        return await self._handle_refusal(self._submit(request, single=True))

    async def _show_job(self, request: web.Request) -> web.Response:
        return await self._handle_refusal(self._show(request))

    async def _cancel_job(self, request: web.Request) -> web.Response:
        return await self._handle_refusal(self._cancel(request))

    async def _handle_refusal(self, handler: Any) -> web.Response:
        """Await a handler; answer a refusal with its problem document."""
        try:
            response: web.Response = await handler
        except RequestRefusedError as error:
            response = problems.respond_problem(error.refusal)
        except process.RequestDropped as dropped:
            # Only a process that halts leaves requests open.
            refuse = errors.refuse
            if dropped.was_open:
                refuse = errors.refuse_started
            response = problems.respond_problem(refuse(errors.Code.STOPPING))
        if self._process.closes_connection():
            response.force_close()
        return response

    async def _submit(
        self, request: web.Request, single: bool
    ) -> web.Response:
        start_s = clock.read_now()
        team = self._find_team(request)
        id_header = request.headers.get(ID_HEADER)
        submission_id = (
            _unwrap(parse_id(id_header)) if id_header is not None else ''
        )
        body = await self._read_body(request)
        model = _unwrap(parse_job(body, single))
        submission = self._make_submission(team, submission_id, model)
        request_id, future = self._process.open_request()
        self._process.dispatch(entry.SubmitRequested(request_id, submission))
        if self._is_asynchronous(request, submission) and not future.done():
            return _respond_accepted(submission.id)
        answer = await self._process.await_reply(request_id, future)
        self._process.metrics_client.time(
            'response', clock.read_now() - start_s
        )
        return respond_answer(submission.id, answer)

    def _is_asynchronous(
        self, request: web.Request, submission: contracts.Submission
    ) -> bool:
        preferences = request.headers.get(PREFER_HEADER, '')
        return submission.claimed and RESPOND_ASYNC in preferences

    def _make_submission(
        self, team: str, submission_id: str, model: JobModel
    ) -> contracts.Submission:
        claimed = bool(submission_id)
        if not claimed:
            self._anonymous_count += 1
            sender = self._process.link.sender
            submission_id = (
                f'{sender.name}.{sender.incarnation:x}.{self._anonymous_count}'
            )
        return contracts.Submission(
            submission_id,
            digest_job(team, model),
            team,
            model.kind,
            tuple(bytes(task) for task in model.tasks),
            self._find_time_limit_s(model),
            claimed,
        )

    def _find_time_limit_s(self, model: JobModel) -> float:
        if model.time_limit_ms is not None:
            return model.time_limit_ms / 1000
        sheet = self._process.entry.session.configuration.sheet
        kind = sheet.kinds.get(model.kind)
        return DEFAULT_TIME_LIMIT_S if kind is None else kind.time_limit_s

    def _find_team(self, request: web.Request) -> str:
        teams_by_token = self._process.model.tokens.callers
        team_of_token: str = _unwrap(
            tokens.find_holder(request, teams_by_token, 'this request')
        )
        if team_of_token:
            return team_of_token
        team = request.headers.get(TEAM_HEADER, '')
        if not team:
            raise RequestRefusedError(
                errors.refuse(
                    errors.Code.BAD_HEADER,
                    header=TEAM_HEADER,
                    reason='it is missing',
                )
            )
        return team

    async def _read_body(self, request: web.Request) -> bytes:
        model = self._process.model
        try:
            async with asyncio.timeout(model.body_timeout_s):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise RequestRefusedError(
                errors.refuse(
                    errors.Code.BODY_TOO_LARGE, limit=model.body_limit_bytes
                )
            ) from error
        except TimeoutError as error:
            raise RequestRefusedError(
                errors.refuse(
                    errors.Code.BAD_BODY,
                    expected='job',
                    reason='it did not arrive in time',
                )
            ) from error

    async def _show(self, request: web.Request) -> web.Response:
        team = self._find_team(request)
        submission_id = _unwrap(parse_id(request.match_info['id']))
        request_id, future = self._process.open_request()
        self._process.dispatch(
            entry.AnswerRequested(request_id, submission_id, team)
        )
        answer = await self._process.await_reply(request_id, future)
        return respond_answer(submission_id, answer)

    async def _cancel(self, request: web.Request) -> web.Response:
        team = self._find_team(request)
        submission_id = _unwrap(parse_id(request.match_info['id']))
        request_id, future = self._process.open_request()
        self._process.dispatch(
            entry.CancelRequested(request_id, submission_id, team)
        )
        response = await self._process.await_reply(request_id, future)
        if response.is_owner_found:
            return _respond_accepted(submission_id)
        raise RequestRefusedError(
            errors.refuse(
                errors.Code.NOT_FOUND, what='job', name=submission_id
            )
        )


def _unwrap(result: expression.Result[Any, errors.Refusal]) -> Any:
    """Return the value of a result or raise ``RequestRefusedError``."""
    match result:
        case expression.Result(tag='error', error=refusal):
            raise RequestRefusedError(refusal)
        case _:
            return result.ok


def _respond_accepted(submission_id: str) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(AcceptedModel(submission_id, 'accepted')),
        status=202,
        content_type='application/json',
        headers={'Location': f'/v1/jobs/{submission_id}'},
    )


def respond_answer(
    submission_id: str, answer: contracts.Answer
) -> web.Response:
    """Return the HTTP response for the answer of a job."""
    match answer:
        case contracts.Complete(results):
            model = CompleteModel(
                submission_id,
                'complete',
                [msgspec.Raw(result) for result in results],
            )
            return web.Response(
                body=msgspec.json.encode(model),
                content_type='application/json',
            )
        case contracts.NotRun(refusal) | contracts.Failed(refusal):
            return problems.respond_problem(refusal)
