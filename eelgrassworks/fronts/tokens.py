"""Bearer tokens of callers and operators.

If no tokens are configured for callers or for operators, their requests are
not authenticated; callers then name their team in the ``Team`` header.
"""

import hmac

from aiohttp import web
import expression

from eelgrassworks import errors

BEARER_PREFIX = 'Bearer '


def find_holder(
    request: web.Request, tokens: dict[str, str], action: str
) -> expression.Result[str, errors.Refusal]:
    """Return the team or operator that the token of a request identifies.

    The name is empty when no tokens are configured.
    """
    if not tokens:
        return expression.Ok('')
    header = request.headers.get('Authorization', '')
    presented_token = header.removeprefix(BEARER_PREFIX).encode(
        'utf-8', 'surrogateescape'
    )
    holder = ''
    for token, name in tokens.items():
        # Compares every token, so that timing reveals nothing about them.
        if hmac.compare_digest(presented_token, token.encode()):
            holder = name
    if not header.startswith(BEARER_PREFIX) or not holder:
        return expression.Error(
            errors.refuse(errors.Code.NOT_PERMITTED, action=action)
        )
    return expression.Ok(holder)
