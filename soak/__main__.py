"""Command line of the soak: ``python -m soak --seed 1 --minutes 1``."""

import asyncio
import dataclasses
import json
import pathlib
import sys

import fire

from soak import plan
from soak import runner


def soak(
    seed: int = 1,
    seeds: int = 1,
    minutes: float = 0.5,
    size: int = 1,
    transient: bool = False,
    report: str = '',
    logs: str = '',
) -> None:
    """Run seeds one after the other; exit with 1 if a promise was broken.

    Args:
        seed: the first seed.
        seeds: the number of seeds to run.
        minutes: duration of each run.
        size: number of targets in each of three failure domains.
        transient: submit transient jobs, on the roles of the platform.
        report: file for the reports as JSON, one line a run.
        logs: folder for the logs of runs that broke a promise.
    """
    jobs = plan.Transient() if transient else plan.Claimed()
    broken = False
    for each in range(seed, seed + seeds):
        options = runner.Options(each, minutes * 60, size, jobs, logs)
        result = asyncio.run(runner.Run(options).run())
        broken |= bool(result.violations)
        line = json.dumps(dataclasses.asdict(result))
        print(line, flush=True)
        if report:
            with pathlib.Path(report).open('a') as stream:
                stream.write(f'{line}\n')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(soak, name='soak')
