"""Memory and processor time that the libraries of a daemon cost at its start.

Each row is measured in a separate process that imports one more library than
the row before, with the interpreter options of the deploy file.  Run it in the
repository after a build: ``python -m benchmarks.imports``.
"""

import dataclasses
import os
import pathlib
import subprocess
import sys
from typing import Final

ROOT: Final = pathlib.Path(__file__).parent.parent
INTERPRETER_OPTIONS: Final = ('-S',)
MEASURED_RUNS: Final = 5
# The libraries in the order in which a process imports them.
IMPORT_STEPS: Final[tuple[tuple[str, ...], ...]] = (
    (),
    ('asyncio',),
    ('msgspec',),
    ('pynng',),
    ('aiohttp', 'aiohttp.web'),
    ('statsd',),
    ('eliot',),
    ('expression',),
    ('prometheus_client',),
    ('hdrh.histogram',),
)
ROLES: Final[dict[str, tuple[str, ...]]] = {
    'entry': (
        'eelgrassworks.entryprocess',
        'eelgrassworks.fronts.entryapi',
        'eelgrassworks.platform.ingress',
    ),
    'control': (
        'eelgrassworks.controlprocess',
        'eelgrassworks.platform.operatorapi',
    ),
    'agent': (
        'eelgrassworks.heldagentprocess',
        'eelgrassworks.platform.targetreports',
        'eelgrassworks.platform.targetlink',
    ),
}
PROGRAM: Final = """
import importlib, resource, sys
for name in sys.argv[1:]:
    importlib.import_module(name)
rows = dict(line.split(':', 1) for line in open('/proc/self/status'))
usage = resource.getrusage(resource.RUSAGE_SELF)
print(rows['RssAnon'].split()[0], usage.ru_utime + usage.ru_stime)
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Private memory and processor time of a process after its imports."""

    memory_kib: float
    processor_s: float


def measure(modules: tuple[str, ...]) -> Cost:
    """Return the minimum cost over several runs that import the modules."""
    environment = {
        **os.environ,
        'PYTHONPATH': f'target/deps{os.pathsep}.',
        'SSL_CERT_FILE': os.devnull,
        'SSL_CERT_DIR': os.devnull,
    }
    environment.pop('PYTHONDONTWRITEBYTECODE', None)
    measurements = []
    for _ in range(MEASURED_RUNS + 1):
        completed = subprocess.run(
            [sys.executable, *INTERPRETER_OPTIONS, '-c', PROGRAM, *modules],
            cwd=ROOT,
            env=environment,
            check=True,
            capture_output=True,
            text=True,
        )
        measurements.append(
            tuple(float(each) for each in completed.stdout.split())
        )
    # The first run is dropped: it may compile the modules.
    return Cost(
        min(row[0] for row in measurements[1:]),
        min(row[1] for row in measurements[1:]),
    )


def main() -> None:
    """Print a row for each library and each role."""
    imported: tuple[str, ...] = ()
    before = Cost(0.0, 0.0)
    for step in IMPORT_STEPS:
        imported += step
        cost = measure(imported)
        print(
            f'{" ".join(step) or "interpreter":28}'
            f'{(cost.memory_kib - before.memory_kib) / 1024:7.1f} MB'
            f'{(cost.processor_s - before.processor_s) * 1000:8.0f} ms'
        )
        before = cost
    for role, modules in ROLES.items():
        cost = measure(modules)
        print(
            f'{"in all, " + role:28}{cost.memory_kib / 1024:7.1f} MB'
            f'{cost.processor_s * 1000:8.0f} ms'
        )


if __name__ == '__main__':
    main()
