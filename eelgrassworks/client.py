"""Command-line tool of operators and callers.

Sends HTTP requests to one entry, or to any process for a state dump.  Exit
status: 0 success; 1 refused, and nothing ran; 2 wrong usage; 3 the server
cannot be reached; 4 failed, and some work may have run.
"""

import asyncio
import dataclasses
import inspect
import json
import os
import pathlib
import sys
from typing import Any
from typing import Final
from typing import NoReturn
from typing import TypeVar

import aiohttp
import expression
import fire

from eelgrassworks import clock
from eelgrassworks import errors
from eelgrassworks import settings
from eelgrassworks.contracts import ids
from eelgrassworks.fronts import sheet

EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3
EXIT_MAY_HAVE_RUN: Final = 4
REQUEST_TIMEOUT_S: Final = 660.0
DEFAULT_SERVER: Final = 'http://127.0.0.1:8100'
# The port of the target in samples/agent.json.
DEFAULT_STANDIN_PORT: Final = 9001

Options = TypeVar('Options')


class Client:
    """Operates eelgrassworks through one entry.

    Args:
        server: URL of the entry, or of any process for a state dump.
        token: bearer token; EELGRASSWORKS_TOKEN by default.
        team: team that submits; used if no caller tokens are configured.
        operator: name that is recorded with configuration changes.
        as_json: print machine-readable output.
    """

    def __init__(
        self,
        server: str = os.environ.get('EELGRASSWORKS_SERVER', DEFAULT_SERVER),
        token: str = os.environ.get('EELGRASSWORKS_TOKEN', ''),
        team: str = os.environ.get('EELGRASSWORKS_TEAM', ''),
        operator: str = os.environ.get('USER', 'operator'),
        as_json: bool = False,
    ) -> None:
        self._server = server
        self._token = token
        self._team = team
        self._operator = operator
        self._as_json = as_json

    # Configuration.

    def check(self, file: str) -> None:
        """Check a settings file."""
        match settings.read_settings(pathlib.Path(file)):
            case expression.Result(tag='error', error=refusal):
                _fail(EXIT_REFUSED, errors.format_refusal(refusal))
            case result:
                model = result.ok
                role = model.__struct_config__.tag
                self._print({'file': file, 'role': role, 'valid': True})

    def check_sheet(self, file: str) -> None:
        """Check a sheet without applying it."""
        match sheet.parse_sheet(_read_file(file)):
            case expression.Result(tag='error', error=refusal):
                _fail(EXIT_REFUSED, errors.format_refusal(refusal))
            case result:
                kinds, quotas = result.ok.kinds, result.ok.quotas
                self._print({'kinds': len(kinds), 'teams': len(quotas)})

    def apply(
        self, file: str, expect: int | None = None, change_id: str = ''
    ) -> None:
        """Apply a sheet and wait until it is in force.

        Args:
            file: CSV export of the sheet.
            expect: revision that the sheet is based on; the current one if
                omitted.
            change_id: id of the change; repeat it to retry the same change.
        """
        data = _read_file(file)
        self._print(
            asyncio.run(
                self._send_change('PUT', '/v1/sheet', data, expect, change_id)
            )
        )

    def close(
        self, domain: str, expect: int | None = None, change_id: str = ''
    ) -> None:
        """Take a failure domain out of service and wait for the change."""
        self._send_named_change('close', domain, expect, change_id)

    def open(
        self, domain: str, expect: int | None = None, change_id: str = ''
    ) -> None:
        """Return a failure domain to service and wait for the change."""
        self._send_named_change('open', domain, expect, change_id)

    def drain(
        self, target: str, expect: int | None = None, change_id: str = ''
    ) -> None:
        """Stop giving new work to a target."""
        self._send_named_change('drain', target, expect, change_id)

    def undrain(
        self, target: str, expect: int | None = None, change_id: str = ''
    ) -> None:
        """Resume giving new work to a target."""
        self._send_named_change('undrain', target, expect, change_id)

    # State.

    def show(self) -> None:
        """Show the configuration and whether it is in force."""
        self._print(asyncio.run(self._get('/v1/configuration')))

    def targets(self) -> None:
        """Show the targets that the entry tracks."""
        self._print_table(asyncio.run(self._get('/v1/targets')))

    def jobs(self) -> None:
        """Show the jobs that the entry owns."""
        self._print_table(asyncio.run(self._get('/v1/jobs')))

    def dump(self) -> None:
        """Dump the state of the process at --server."""
        answer = asyncio.run(self._get('/v1/state'))
        print(json.dumps(answer, indent=2, sort_keys=True))

    # Jobs.

    def submit(
        self,
        kind: str,
        tasks: int = 1,
        payload: Any = None,
        file: str = '',
        id: str = '',
        limit_ms: int | None = None,
    ) -> None:
        """Submit a job and wait for its complete answer.

        Args:
            kind: kind of request.
            tasks: number of tasks with the same payload.
            payload: JSON payload of each task.
            file: JSON file with a list of payloads, one for each task.
            id: submission id; a new one is generated if omitted.
            limit_ms: time limit; the limit of the kind if omitted.
        """
        payloads = [payload if payload is not None else {}] * tasks
        if file:
            payloads = json.loads(_read_file(file))
        body: dict[str, Any] = {'kind': kind, 'tasks': payloads}
        if limit_ms is not None:
            body['time_limit_ms'] = limit_ms
        submission_id = str(id) or ids.make_id(clock.read_wall_ms())
        headers = {'Idempotency-Key': submission_id}
        self._print(
            asyncio.run(
                self._request(
                    'POST', '/v1/jobs', json.dumps(body).encode(), headers
                )
            )
        )

    def job(self, id: str) -> None:
        """Wait for the answer of a job."""
        self._print(asyncio.run(self._get(f'/v1/jobs/{id}')))

    def cancel(self, id: str) -> None:
        """Cancel a job."""
        self._print(
            asyncio.run(self._request('DELETE', f'/v1/jobs/{id}', b'', {}))
        )

    # Demo, experiments, load and stand-in targets.

    def demo(self, tasks: int = 1200, targets: int = 6) -> None:
        """Run every role in this process, submit one job, print a summary."""
        from eelgrassworks import embedded

        summary = asyncio.run(
            embedded.run_job(embedded.Plan(targets=targets, tasks=tasks))
        )
        self._print(
            {
                'complete': summary.complete,
                'failed': summary.failed,
                'refused': summary.refused,
                'started': summary.started,
                'started_twice': summary.started_twice,
                'response_s': round(summary.response_s, 3),
                'ideal_s': round(summary.ideal_s, 3),
                'ratio': round(summary.response_s / summary.ideal_s, 3),
            }
        )
        if summary.complete != tasks or summary.started_twice:
            sys.exit(EXIT_REFUSED)

    def trial(
        self,
        policy: str = 'late-binding',
        against: str = '',
        revision: str = '',
        plot: str = '',
        **options: Any,
    ) -> None:
        """Run an experiment under a virtual clock.

        Args:
            policy: policy to run; append +speeds to use learnt speeds.
            against: second policy to run on the same arrivals.
            revision: folder of another checkout that runs the first policy
                too.
            plot: file for a plot of response time against load.
            options: preset, load, seconds, seed, entries, stragglers, burst,
                cancels, failing, hanging, closing, max_wait_s.
        """
        from eelgrassworks.trials import comparison

        trial = _make_options(comparison.Trial, options)
        names = [name for name in (policy, against) if name]
        policies = [_make_policy(name) for name in names]
        if plot:
            results = comparison.plot_loads(trial, policies, plot)
        else:
            results = [
                comparison.run_trial(trial, placement_policy, trial.load)
                for placement_policy in policies
            ]
        rows = [dataclasses.asdict(result) for result in results]
        if revision:
            # Made absolute because the other run starts in this folder.
            revision = str(pathlib.Path(revision).resolve())
            arguments = [
                f'--{name}={value}' for name, value in options.items()
            ]
            arguments.append(f'--policy={policy}')
            rows.append(
                asyncio.run(comparison.run_revision(revision, arguments))
            )
        if self._as_json:
            print(json.dumps(rows))
        else:
            print(comparison.format_table(rows))

    def objectives(
        self,
        policies: str | tuple[str, ...] = 'late-binding',
        plot: str = '',
        features: str | dict[str, Any] = '',
        reports: str = 'none',
        **options: Any,
    ) -> None:
        """Run transient jobs with objectives under a virtual clock.

        Args:
            policies: policies to run, separated by commas; append +speeds to
                use learnt speeds.
            plot: file for a plot of the share of jobs in time over the run.
            features: optional decisions of entries and agents, as in their
                settings: the names of those that are on, separated by +, or
                a mapping.
            reports: speeds that agents report: none, progress or exact.
            options: load, seconds, seed, entries, targets, uneven,
                uneven_targets, loss_s, interference.
        """
        from eelgrassworks.trials import objectives

        if isinstance(features, str):
            names = features.split('+') if features else ()
            features = dict.fromkeys(names, True)
        model = _make_options(settings.FeaturesModel, features)
        options['optional'] = settings.make_features(model)
        if reports not in list(objectives.Reports):
            known = ', '.join(objectives.Reports)
            _fail(EXIT_USAGE, f'reports {reports} is unknown; use {known}')
        options['reports'] = objectives.Reports(reports)

        # Fire parses a comma-separated argument as a tuple if it can.
        chosen = policies.split(',') if isinstance(policies, str) else policies
        results = objectives.run_policies(
            _make_options(objectives.Plan, options),
            [_make_policy(name) for name in chosen],
            lambda name: print(f'{name} ...', file=sys.stderr),
        )
        if plot:
            objectives.plot_windows(results, plot)
        if self._as_json:
            print(
                json.dumps([dataclasses.asdict(result) for result in results])
            )
        else:
            print(objectives.format_results(results))

    def load(
        self,
        kind: str = 'crack-flag',
        jobs: int = 200,
        tasks: int = 1,
        rate: float = 50.0,
        work_ms: float = 50.0,
        servers: str = '',
        claimed: bool = True,
        seed: int = 1,
    ) -> None:
        """Send jobs to a running system in an open loop.

        Args:
            kind: kind of request.
            jobs: number of jobs.
            tasks: tasks of each job.
            rate: jobs per second.
            work_ms: duration of each task at a stand-in target.
            servers: URLs of entries, separated by commas; --server if omitted.
            claimed: send a submission id with each job.
            seed: seed of the arrival times.
        """
        from eelgrassworks import load

        urls = tuple(servers.split(',')) if servers else (self._server,)
        plan = load.LoadPlan(
            urls, self._team, kind, jobs, tasks, rate, work_ms, seed, claimed
        )
        report = asyncio.run(load.run_load(plan))
        self._print(dataclasses.asdict(report))

    def standin(
        self,
        name: str,
        port: int = DEFAULT_STANDIN_PORT,
        host: str = '127.0.0.1',
        slowness: float = 1.0,
        stragglers: float = 0.0,
        failures: float = 0.0,
        hangs: float = 0.0,
        seed: int = 1,
    ) -> None:
        """Run a stand-in target for trials and tests.

        Args:
            name: name in the results of its tasks.
            port: port to listen on; 0 for any free port.
            host: address to listen on.
            slowness: run time relative to the payload's work_ms.
            stragglers: share of tasks that take ten times as long.
            failures: share of tasks that fail.
            hangs: share of tasks that do not end.
            seed: seed of the random numbers.
        """
        from eelgrassworks import standin

        faults = standin.Faults(slowness, stragglers, failures, hangs)
        try:
            asyncio.run(standin.serve(name, host, port, faults, seed))
        except OSError as error:
            _fail(
                EXIT_USAGE,
                f'cannot listen on {host}:{port}: {error.strerror}; '
                'choose another --port',
            )

    # HTTP.

    def _send_named_change(
        self, action: str, name: str, expect: int | None, change_id: str
    ) -> None:
        change = {'action': action, 'name': name}
        body = json.dumps({'change': change}).encode()
        self._print(
            asyncio.run(
                self._send_change(
                    'POST', '/v1/changes', body, expect, change_id
                )
            )
        )

    async def _send_change(
        self,
        method: str,
        path: str,
        body: bytes,
        expect: int | None,
        change_id: str,
    ) -> Any:
        if expect is None:
            configuration = await self._get('/v1/configuration')
            expect = configuration['revision']
        if method == 'POST':
            document = json.loads(body)
            document['expected_revision'] = expect
            body = json.dumps(document).encode()
        else:
            path = f'{path}?expected_revision={expect}'
        headers = {
            'Idempotency-Key': str(change_id)
            or ids.make_id(clock.read_wall_ms()),
            'Operator': self._operator,
        }
        return await self._request(method, path, body, headers)

    async def _get(self, path: str) -> Any:
        return await self._request('GET', path, b'', {})

    async def _request(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Any:
        if self._token:
            headers['Authorization'] = f'Bearer {self._token}'
        if self._team:
            headers['Team'] = self._team
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    self._server.rstrip('/') + path,
                    data=body or None,
                    headers=headers,
                ) as response,
            ):
                answer = await response.json(content_type=None)
                if response.status >= 400:
                    _fail_problem(answer)
                return answer
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            _fail(
                EXIT_UNREACHABLE,
                f'{self._server} cannot be reached: {error}; '
                'check --server and that the entry runs',
            )

    # Output.

    def _print(self, fields: dict[str, Any]) -> None:
        if self._as_json:
            print(json.dumps(fields))
            return
        for key, value in fields.items():
            text = value if isinstance(value, str) else json.dumps(value)
            print(f'{key}: {text}')

    def _print_table(self, rows: dict[str, dict[str, Any]]) -> None:
        if self._as_json:
            print(json.dumps(rows))
            return
        if not rows:
            print('none')
            return
        columns = ['name', *next(iter(rows.values()))]
        lines = [columns] + [
            [name, *map(str, row.values())] for name, row in rows.items()
        ]
        widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
        for line in lines:
            cells = zip(line, widths, strict=True)
            print('  '.join(cell.ljust(width) for cell, width in cells))


def _make_policy(name: str) -> Any:
    """Return the policy with a name, or list the valid names and exit."""
    from eelgrassworks.machines import placement

    base_name, _, suffix = name.partition('+')
    if base_name == 'late-binding' and not suffix:
        suffix = 'speeds'
    if base_name not in placement.POLICIES or suffix not in ('', 'speeds'):
        available = ', '.join(placement.POLICIES)
        _fail(EXIT_USAGE, f'policy {name} is unknown; use one of {available}')
    return placement.make_policy(base_name, suffix == 'speeds')


def _make_options(model: type[Options], options: dict[str, Any]) -> Options:
    """Return a data class of options, or list the valid names and exit."""
    names = list(inspect.signature(model).parameters)
    unknown = sorted(options.keys() - set(names))
    if unknown:
        available = ', '.join(names)
        _fail(
            EXIT_USAGE,
            f'option {unknown[0]} is unknown; use one of {available}',
        )
    return model(**options)


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        _fail(EXIT_USAGE, f'{path} cannot be read: {error.strerror}')


def _fail_problem(problem: Any) -> NoReturn:
    if not isinstance(problem, dict) or 'detail' not in problem:
        _fail(EXIT_REFUSED, f'unexpected answer: {problem}')
    ran = problem.get('ran', '')
    status = EXIT_REFUSED if ran == errors.Ran.NOT_RUN else EXIT_MAY_HAVE_RUN
    _fail(status, f'{problem["detail"]} ({ran}); {problem.get("remedy")}')


def _fail(status: int, text: str) -> NoReturn:
    sys.stderr.write(f'eelgrassworks: {text}\n')
    sys.exit(status)


def main() -> None:
    """Run the command-line tool."""
    fire.Fire(Client, name='eelgrassworks')
