"""Front end that serves the product's own HTTP interface of an entry."""

from aiohttp import web

from eelgrassworks import entryprocess
from eelgrassworks.fronts import admin
from eelgrassworks.fronts import callers
from eelgrassworks.fronts import operators


class EntryApi:
    """Serves callers, operators and the state dump of an entry."""

    def __init__(self, entry_process: entryprocess.EntryProcess) -> None:
        self._process = entry_process
        self.port = 0

    async def open(self) -> None:
        """Start to serve, and set ``port`` to the listening port."""
        entry_process = self._process
        model = entry_process.model
        entry_process.gates.intake.make_room(model.body_limit_bytes)
        application = web.Application(client_max_size=model.body_limit_bytes)
        admin.Admin(entry_process, model.tokens.operators).add_routes(
            application
        )
        callers.Callers(entry_process).add_routes(application)
        operators.Operators(entry_process).add_routes(application)
        http = model.http
        self.port = await entry_process.serve(
            application, http.host, http.port
        )

    async def close(self) -> None:
        """Do nothing; the process closes its listeners."""

    def reload(self) -> None:
        """Do nothing; the settings apply until the process ends."""
