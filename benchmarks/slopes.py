"""Slopes of state and time: python -m benchmarks.slopes [NAME ...].

Names: claims, records, queue, commits, closing, leader.  The last three run
under the virtual clock.
"""

import collections
import json
import os
import sys
import time
from typing import Any

from benchmarks import measure
from eelgrassworks import contracts
from eelgrassworks import keyrecords
from eelgrassworks.contracts import ids
from eelgrassworks.contracts import queues
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import ledger
from eelgrassworks.trials import virtual
from tests import worlds

CLAIMS = 200_000
RECORDS = 100_000
BATCH = 1000
BEGIN_MS = 1_700_000_000_000


def read_memory_bytes() -> int:
    """Return the anonymous memory of this process."""
    return measure.read_memory_kb(os.getpid())['RssAnon'] * 1024


def measure_claims() -> dict[str, float]:
    """Memory, applying, writing and reading of claims."""
    held = ledger.Ledger()
    held.apply(1, commands.RegisterEntry('entry-1', 'a', 5))
    before, began = read_memory_bytes(), time.perf_counter()
    for batch in range(CLAIMS // BATCH):
        wall_ms = BEGIN_MS + batch * 1000
        claims = tuple(
            contracts.Claim(ids.make_id(wall_ms), 'd' * 32, 'entry-1', 1)
            for _ in range(BATCH)
        )
        held.apply(2 + batch, commands.CommitClaims(claims, wall_ms))
    applied = time.perf_counter() - began
    used = read_memory_bytes() - before
    began = time.perf_counter()
    data = held.dump(commands.SetMembers({'control-1': 'disk'}, {}))
    dumped = time.perf_counter() - began
    began = time.perf_counter()
    ledger.Ledger().load(data)
    return {
        'memory_bytes': round(used / CLAIMS, 1),
        'apply_us': round(applied / CLAIMS * 1e6, 2),
        'snapshot_bytes': round(len(data) / CLAIMS, 1),
        'write_us': round(dumped / CLAIMS * 1e6, 2),
        'read_us': round((time.perf_counter() - began) / CLAIMS * 1e6, 2),
    }


def measure_records() -> dict[str, float]:
    """Memory of the record of an ended key."""
    records = keyrecords.KeyRecords()
    before = read_memory_bytes()
    for index in range(RECORDS):
        key = contracts.TaskKey('01a240ac-59e4-7000-9d6c-dde11194f178', index)
        finished = messages.TaskFinished(
            key.submission, index, True, False, bytes(40), 1, 1, 1
        )
        records.end(key, finished, 1.0)
    used = read_memory_bytes() - before
    return {'memory_bytes': round(used / RECORDS, 1)}


def measure_queue() -> dict[str, float]:
    """Memory of a queued task."""
    queue = queues.FairQueue()
    before = read_memory_bytes()
    for number in range(1000):
        indices = collections.deque(range(contracts.MAX_TASKS))
        queue.add('team', queues.QueuedJob(f'job-{number}', 'kind', indices))
    used = read_memory_bytes() - before
    return {'memory_bytes': round(used / 1000 / contracts.MAX_TASKS, 1)}


def measure_commits() -> dict[str, Any]:
    """Commits a second and their latency, a sync of 5 ms, batched or not."""
    return {
        'group' if grouped else 'single': _measure_commits(grouped)
        for grouped in (True, False)
    }


def _measure_commits(grouped: bool) -> dict[str, float]:
    world = virtual.World(1)
    world.add_control(worlds.CONTROLS, group_commit=grouped)
    world.add_entry('entry-1', worlds.CONTROLS)
    world.add_agent(worlds.make_target(0, 64), ('entry-1',), 1000)
    world.sync_s = 0.005
    world.run_model = lambda *_: (0.001, True)
    worlds.apply_sheet(world, 'entry-1')
    world.run(2.0)
    asked: dict[int, float] = {}

    def submit() -> None:
        submission = worlds.make_submission(worlds.make_id(world), 1)
        asked[worlds.submit(world, 'entry-1', submission)] = world.now_s

    began_s = world.now_s
    for number in range(500):
        world.at(number * 0.001, submit)
    world.run(20.0)
    ends = {each: world.replies[each][0] for each in asked}
    waits = sorted(end - asked[each] for each, end in ends.items())
    return {
        'commits_per_s': round(len(ends) / (max(ends.values()) - began_s)),
        'p50_ms': round(waits[len(waits) // 2] * 1000, 1),
        'p99_ms': round(waits[len(waits) * 99 // 100] * 1000, 1),
    }


def measure_closing() -> dict[str, float]:
    """Time until a closing is in force, 20 seeds."""
    times = []
    for seed in range(1, 21):
        world = worlds.make_world(seed=seed)
        began_s = world.now_s
        close = contracts.CloseDomain(worlds.DOMAINS[0])
        worlds.change(world, 'entry-1', close, 1, 'close')
        times.append(world.now_s - began_s)
    return {'least_s': round(min(times), 3), 'most_s': round(max(times), 3)}


def measure_leader() -> dict[str, float]:
    """Time to a new leader after a kill, 40 seeds."""
    times = []
    for seed in range(1, 41):
        world = worlds.make_world(seed=seed)
        began_s = world.now_s
        world.kill(worlds.find_leader(world))
        worlds.await_leader(world)
        times.append(world.now_s - began_s)
    times.sort()
    return {'median_s': round(times[20], 3), 'most_s': round(times[-1], 3)}


MEASUREMENTS = {
    'claims': measure_claims,
    'closing': measure_closing,
    'commits': measure_commits,
    'leader': measure_leader,
    'queue': measure_queue,
    'records': measure_records,
}


def main() -> None:
    """Run the measurements that the command line names."""
    for name in sys.argv[1:] or MEASUREMENTS:
        print(json.dumps({name: MEASUREMENTS[name]()}), flush=True)


if __name__ == '__main__':
    main()
