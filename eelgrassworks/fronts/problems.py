"""Problem documents (RFC 9457) for refusals over HTTP."""

from typing import Final

from aiohttp import web
import msgspec

from eelgrassworks import errors

CONTENT_TYPE: Final = 'application/problem+json'
TYPE_PREFIX: Final = 'urn:eelgrassworks:problem:'


class ProblemModel(msgspec.Struct):
    """Response body of a refusal."""

    type: str
    title: str
    status: int
    detail: str
    ran: str
    remedy: str


def make_problem(refusal: errors.Refusal) -> ProblemModel:
    """Return the problem document of a refusal."""
    description = errors.describe(refusal)
    return ProblemModel(
        TYPE_PREFIX + refusal.code,
        description.title,
        description.status,
        description.detail,
        refusal.ran,
        description.remedy,
    )


def respond_problem(refusal: errors.Refusal) -> web.Response:
    """Return the HTTP response for a refusal."""
    problem = make_problem(refusal)
    return web.Response(
        body=msgspec.json.encode(problem),
        status=problem.status,
        content_type=CONTENT_TYPE,
    )
