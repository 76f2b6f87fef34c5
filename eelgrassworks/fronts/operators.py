"""HTTP interface for operators: configuration, targets and jobs."""

from typing import Annotated
from typing import Any
from typing import Final

from aiohttp import web
import expression
import msgspec

from eelgrassworks import changes
from eelgrassworks import clock
from eelgrassworks import contracts
from eelgrassworks import entry
from eelgrassworks import entryprocess
from eelgrassworks import errors
from eelgrassworks import settings
from eelgrassworks.fronts import problems
from eelgrassworks.fronts import sheet
from eelgrassworks.fronts import tokens

CHANGE_ID_HEADER: Final = 'Idempotency-Key'
MAX_CHANGE_ID_LENGTH: Final = 100
MAX_LISTED_JOBS: Final = 1000


class NamedChangeModel(
    msgspec.Struct, forbid_unknown_fields=True, tag_field='action'
):
    """Base of the changes to one failure domain or target."""

    name: settings.Name


class CloseModel(NamedChangeModel, tag='close'):
    """Closes a failure domain."""


class OpenModel(NamedChangeModel, tag='open'):
    """Opens a failure domain."""


class DrainModel(NamedChangeModel, tag='drain'):
    """Drains a target."""


class UndrainModel(NamedChangeModel, tag='undrain'):
    """Ends the drain of a target."""


ChangeModel = CloseModel | OpenModel | DrainModel | UndrainModel
Revision = Annotated[int, msgspec.Meta(ge=0)]


class ChangeRequestModel(msgspec.Struct, forbid_unknown_fields=True):
    """Request body of a configuration change."""

    expected_revision: Revision
    change: ChangeModel


class ChangeResponseModel(msgspec.Struct):
    """Response body of an accepted configuration change."""

    id: str
    revision: int
    in_force: bool


def make_change(model: ChangeModel) -> contracts.Change:
    """Convert a validated change to its data class."""
    match model:
        case CloseModel(name=name):
            return contracts.CloseDomain(name)
        case OpenModel(name=name):
            return contracts.OpenDomain(name)
        case DrainModel(name=name):
            return contracts.DrainTarget(name)
        case UndrainModel(name=name):
            return contracts.UndrainTarget(name)


def parse_change(
    data: bytes,
) -> expression.Result[ChangeRequestModel, errors.Refusal]:
    """Validate the body of a configuration change."""
    try:
        return expression.Ok(
            msgspec.json.decode(data, type=ChangeRequestModel)
        )
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return expression.Error(
            errors.refuse(
                errors.Code.BAD_BODY, expected='change', reason=error
            )
        )


class Operators:
    """Serves the endpoints of operators at one entry."""

    def __init__(self, entry_process: entryprocess.EntryProcess) -> None:
        self._process = entry_process

    def add_routes(self, application: web.Application) -> None:
        """Add the routes to an application."""
        router = application.router
        router.add_get('/v1/configuration', self._show_configuration)
        router.add_get('/v1/targets', self._show_targets)
        router.add_get('/v1/jobs', self._show_jobs)
        router.add_post('/v1/changes', self._handle_change)
        router.add_put('/v1/sheet', self._apply_sheet)

    def _find_operator(
        self, request: web.Request
    ) -> expression.Result[str, errors.Refusal]:
        operators_by_token = self._process.model.tokens.operators
        return tokens.find_holder(
            request, operators_by_token, 'an operator request'
        )

    async def _show_configuration(self, request: web.Request) -> web.Response:
        session = self._process.entry.session
        configuration = session.configuration
        return self._respond(
            request,
            {
                'revision': configuration.revision,
                'in_force_revision': session.in_force_revision,
                'confirmed': session.has_confirmed_lease(clock.read_now()),
                'closed': sorted(configuration.closed),
                'draining': sorted(configuration.draining),
                'kinds': {
                    kind.name: {
                        'failure_domains': sorted(kind.failure_domains),
                        'repeatable': kind.repeatable,
                        'time_limit_s': kind.time_limit_s,
                    }
                    for kind in configuration.sheet.kinds.values()
                },
                'teams': {
                    quota.team: {
                        'share': quota.share,
                        'max_queued': quota.max_queued,
                        'max_running': quota.max_running,
                    }
                    for quota in configuration.sheet.quotas.values()
                },
            },
        )

    async def _show_targets(self, request: web.Request) -> web.Response:
        description = self._process.entry.dispatcher.describe(clock.read_now())
        return self._respond(request, description['targets'])

    async def _show_jobs(self, request: web.Request) -> web.Response:
        now_s = clock.read_now()
        jobs = list(self._process.entry.table.jobs.values())[-MAX_LISTED_JOBS:]
        return self._respond(
            request,
            {
                job.submission.id: {
                    'team': job.submission.team,
                    'kind': job.submission.kind,
                    'state': job.state.value,
                    'tasks': len(job.tasks),
                    'remaining': job.remaining,
                    'age_s': round(now_s - job.arrived_s, 3),
                }
                for job in jobs
            },
        )

    def _respond(self, request: web.Request, body: Any) -> web.Response:
        match self._find_operator(request):
            case expression.Result(tag='error', error=refusal):
                return problems.respond_problem(refusal)
            case _:
                return web.json_response(body)

    async def _handle_change(self, request: web.Request) -> web.Response:
        match parse_change(await request.read()):
            case expression.Result(tag='error', error=refusal):
                return problems.respond_problem(refusal)
            case result:
                body = result.ok
        return await self._commit_change(
            request, body.expected_revision, make_change(body.change)
        )

    async def _apply_sheet(self, request: web.Request) -> web.Response:
        try:
            expected_revision = int(request.query.get('expected_revision', ''))
        except ValueError:
            return problems.respond_problem(
                errors.refuse(
                    errors.Code.BAD_HEADER,
                    header='expected_revision',
                    reason='it is not a number',
                )
            )
        match sheet.parse_sheet(await request.read()):
            case expression.Result(tag='error', error=refusal):
                return problems.respond_problem(refusal)
            case result:
                change = contracts.ApplySheet(result.ok)
        return await self._commit_change(request, expected_revision, change)

    async def _commit_change(
        self,
        request: web.Request,
        expected_revision: int,
        change: contracts.Change,
    ) -> web.Response:
        """Commit a change and wait until it is in force or the wait ends."""
        match self._find_operator(request):
            case expression.Result(tag='error', error=refusal):
                return problems.respond_problem(refusal)
            case result:
                operator = result.ok
        change_id = request.headers.get(CHANGE_ID_HEADER, '')
        if not 0 < len(change_id) <= MAX_CHANGE_ID_LENGTH:
            return problems.respond_problem(
                errors.refuse(
                    errors.Code.BAD_HEADER,
                    header=CHANGE_ID_HEADER,
                    reason=f'it needs 1 to {MAX_CHANGE_ID_LENGTH} characters',
                )
            )
        request_id, future = self._process.open_request()
        change_request = contracts.ChangeRequest(
            change_id,
            operator or request.headers.get('Operator', 'unnamed'),
            expected_revision,
            change,
        )
        self._process.dispatch(
            entry.ChangeRequested(request_id, change_request)
        )
        response = await self._process.await_reply(request_id, future)
        return respond_change(change_id, response)


def respond_change(
    change_id: str, response: changes.ChangeDecided | changes.ChangeUndecided
) -> web.Response:
    """Return the HTTP response for the outcome of a change.

    The status is 202 for a committed change that is not in force yet.
    """
    match response:
        case changes.ChangeDecided(
            contracts.ChangeAccepted(_, revision), in_force
        ):
            return web.Response(
                body=msgspec.json.encode(
                    ChangeResponseModel(change_id, revision, in_force)
                ),
                status=200 if in_force else 202,
                content_type='application/json',
            )
        case changes.ChangeDecided(
            contracts.ChangeConflict(_, revision, winner), _
        ):
            refusal = errors.refuse(
                errors.Code.CONFIGURATION_CONFLICT,
                revision=revision,
                winner=winner or 'an unknown operator',
            )
        case changes.ChangeDecided(contracts.ChangeInvalid(_, _, reason), _):
            refusal = errors.refuse(
                errors.Code.CONFIGURATION_INVALID, reason=reason
            )
        case changes.ChangeUndecided():
            refusal = errors.refuse_started(
                errors.Code.UNAVAILABLE, limit_s=changes.CHANGE_TIMEOUT_S
            )
    return problems.respond_problem(refusal)
