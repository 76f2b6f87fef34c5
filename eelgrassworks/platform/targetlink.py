"""HTTP calls of an agent to its target."""

import errno
from typing import Any
from typing import Final

import aiohttp
import msgspec

from eelgrassworks import logs
from eelgrassworks.machines import heldtarget
from eelgrassworks.machines import holds
from eelgrassworks.platform import wire

# Outcomes of a run.  After any other outcome the run was stopped, or its lease
# expired.
OUTCOME_FAILED: Final = 'failed'
OUTCOME_DONE: Final = 'done'
# Names the incarnation that a call is meant for; another one refuses it.
TARGET_HEADER: Final = 'X-Eelgrassworks-Target-Instance'
STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
STATUS_MISDIRECTED: Final = 421
# With these statuses, and with STATUS_CONFLICT, a target has not carried out
# the start and never will.  Any other status leaves that open.
STATUSES_NOT_STARTED: Final = frozenset({400, STATUS_MISDIRECTED, 429, 503})
MAX_CONNECTIONS: Final = 32
_RESPONSE_DECODER: Final = msgspec.json.Decoder(wire.TargetResponse)


class HttpTargetLink:
    """HTTP client of a target."""

    def __init__(self, address: str) -> None:
        self._base_url = f'http://{address}'
        self._session: aiohttp.ClientSession | None = None

    async def start(self, call: holds.StartCall) -> holds.StartResult:
        """Request the start of a task."""
        body = {
            'task': format_task(call.name),
            'run': call.attempt,
            'spec': call.payload.decode(),
            'deadlineMs': call.deadline_ms,
            'fence': call.fence,
        }
        result = await self._post('/api/run-start', call.target, body, 0.0)
        if result is True:
            return holds.StartNotSent(call.name, call.attempt)
        if not isinstance(result, tuple):
            return holds.CallUnanswered(call.name, call.attempt)
        status, response = result
        if status == STATUS_OK:
            return holds.StartResponse(call.name, call.attempt, True)
        if status == STATUS_CONFLICT:
            return holds.StartResponse(
                call.name, call.attempt, False, response.reason
            )
        if status in STATUSES_NOT_STARTED:
            return holds.StartResponse(
                call.name, call.attempt, False, f'status-{status}'
            )
        return holds.CallUnanswered(call.name, call.attempt)

    async def stop(
        self, call: holds.StopCall
    ) -> holds.StopResponse | holds.CallUnanswered:
        """Request the stop of a task."""
        body = {
            'task': format_task(call.name),
            'run': call.attempt,
            'fence': call.fence,
        }
        result = await self._post('/api/run-stop', call.target, body, 0.0)
        if isinstance(result, tuple) and result[0] == STATUS_OK:
            return holds.StopResponse(call.name, call.attempt)
        return holds.CallUnanswered(call.name, call.attempt, True)

    async def hold(self, call: holds.HoldCall) -> holds.HoldResult:
        """Renew the lease; request the current runs and the ends of runs."""
        body: dict[str, Any] = {
            'fence': call.fence,
            'ackSeq': call.acknowledged_end,
        }
        if call.deadline_ms is not None:
            body['deadlineMs'] = call.deadline_ms
        if call.wait_s:
            body['waitMs'] = round(call.wait_s * 1000)
        result = await self._post('/api/hold', call.target, body, call.wait_s)
        if not isinstance(result, tuple):
            return holds.HoldUnanswered(result)
        status, response = result
        if status == STATUS_CONFLICT:
            return holds.HoldFenced(response.clock_ms)
        if status == STATUS_MISDIRECTED:
            return holds.HoldMisdirected()
        if status != STATUS_OK:
            return holds.HoldUnanswered(False)
        try:
            return _make_hold_response(call.number, response)
        except ValueError as error:
            logs.log('hold_invalid', reason=str(error))
            return holds.HoldUnanswered(False)

    async def close(self) -> None:
        """Close the connections to the target."""
        if self._session is not None:
            await self._session.close()

    async def _post(
        self, path: str, target: str, body: dict[str, Any], wait_s: float
    ) -> tuple[int, wire.TargetResponse] | bool:
        """Return status and body of a response.

        Without a valid response the result is a bool: True if the connection
        was refused.  Calls are not retried; the target may have executed a
        call that got no response.
        """
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
                # A target sets no cookies and does not compress.
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                timeout=aiohttp.ClientTimeout(total=None),
            )
        timeout_s = wait_s + heldtarget.RESPONSE_TIMEOUT_S
        try:
            async with self._session.post(
                self._base_url + path,
                data=msgspec.json.encode(body),
                headers={
                    'Content-Type': 'application/json',
                    TARGET_HEADER: target,
                },
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                # A redirect would send the call a second time.
                allow_redirects=False,
            ) as response:
                data = await response.read()
                return response.status, wire.decode(
                    _RESPONSE_DECODER, data or b'{}'
                )
        except aiohttp.ClientConnectorError as error:
            # Other errors, such as a lack of files, concern only this end.
            return error.os_error.errno == errno.ECONNREFUSED
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        except wire.BodyInvalid as error:
            logs.log('answer_invalid', path=path, reason=str(error))
            return False


def format_task(name: holds.TaskName) -> str:
    """Return the platform's name of a task: job.occurrence.step.index."""
    return f'{name.job}.0.0.{name.index}'


def parse_task(text: str) -> holds.TaskName:
    """Parse the platform's name of a task; raises ValueError if invalid."""
    job, _, rest = text.partition('.')
    return holds.TaskName(job, int(rest.rpartition('.')[2]))


def _make_hold_response(
    number: int, response: wire.TargetResponse
) -> holds.HoldResponse:
    """Return the listing in a response; raises ValueError if it has none."""
    if response.running is None or response.finished_runs is None:
        # A missing list does not say that no run is left.
        raise ValueError('list of runs missing')
    return holds.HoldResponse(
        number,
        holds.TargetIncarnation('', response.born),
        response.clock_ms,
        tuple(
            holds.Running(
                parse_task(row.task), row.run, min(100, int(row.percent))
            )
            for row in response.running
        ),
        tuple(
            holds.Ended(
                row.number,
                parse_task(row.task),
                row.run,
                row.outcome == OUTCOME_DONE,
                row.outcome == OUTCOME_FAILED,
                row.outcome,
            )
            for row in response.finished_runs
        ),
    )
