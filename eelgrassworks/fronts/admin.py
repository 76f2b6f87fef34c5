"""HTTP endpoint of every process for operators: a dump of its state."""

from aiohttp import web
import expression

from eelgrassworks import process
from eelgrassworks.fronts import problems
from eelgrassworks.fronts import tokens


class Admin:
    """Serves a dump of the state of one process."""

    def __init__(
        self, owner_process: process.Process, operators: dict[str, str]
    ) -> None:
        self._process = owner_process
        self._operators = operators

    def add_routes(self, application: web.Application) -> None:
        """Add the routes to an application."""
        application.router.add_get('/v1/state', self._show_state)

    async def _show_state(self, request: web.Request) -> web.Response:
        match tokens.find_holder(request, self._operators, 'a dump'):
            case expression.Result(tag='error', error=refusal):
                return problems.respond_problem(refusal)
            case _:
                return web.json_response(self._process.dump())
