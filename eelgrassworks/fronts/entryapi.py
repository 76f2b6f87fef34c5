"""The product's own HTTP interface of an entry, as one front end."""

from aiohttp import web

from eelgrassworks import entryprocess
from eelgrassworks.fronts import admin
from eelgrassworks.fronts import callers
from eelgrassworks.fronts import operators


class EntryApi:
    """Serves callers, operators and the dump of an entry."""

    def __init__(self, owner: entryprocess.EntryProcess) -> None:
        self._owner = owner
        self.port = 0

    async def open(self) -> None:
        """Begin to serve; ``port`` is then where."""
        owner = self._owner
        model = owner.model
        application = web.Application(client_max_size=model.body_limit_bytes)
        admin.Admin(owner, model.tokens.operators).add_routes(application)
        callers.Callers(owner).add_routes(application)
        operators.Operators(owner).add_routes(application)
        http = model.http
        self.port = await owner.serve(application, http.host, http.port)

    async def close(self) -> None:
        """Do nothing; the process closes its listeners."""

    def reload(self) -> None:
        """Do nothing; its settings hold for the life of the process."""
