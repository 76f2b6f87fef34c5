"""Memory and time per item of state, and times of the control protocols.

Usage: python -m benchmarks.slopes [NAME ...].  Each measurement prints one
JSON line.  Names: claims, records, queue, ownership, commits, closing,
leader.  The last three run under the virtual clock.
"""

import collections
import json
import os
import sys
import time
from typing import Any

from benchmarks import measure
from eelgrassworks import contracts
from eelgrassworks import effects
from eelgrassworks import keyrecords
from eelgrassworks import links
from eelgrassworks import ownership
from eelgrassworks.contracts import homeset
from eelgrassworks.contracts import ids
from eelgrassworks.contracts import queues
from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import ledger
from eelgrassworks.trials import virtual
from tests import worlds

CLAIM_COUNT = 200_000
RECORD_COUNT = 100_000
CLAIMS_PER_BATCH = 1000
OWNED_JOBS = 2000
# Entries of which one owns all jobs.
OWNERSHIP_SIZES = (3, 7, 20, 90)
START_MS = 1_700_000_000_000


def read_memory_bytes() -> int:
    """Return the anonymous memory of this process, in bytes."""
    return measure.read_memory_kb(os.getpid())['RssAnon'] * 1024


def measure_claims() -> dict[str, float]:
    """Measure memory of a claim and time to apply, write and read it."""
    claim_ledger = ledger.Ledger()
    claim_ledger.apply(1, commands.RegisterEntry('entry-1', 'a', 5))
    before, start_s = read_memory_bytes(), time.perf_counter()
    for batch in range(CLAIM_COUNT // CLAIMS_PER_BATCH):
        wall_ms = START_MS + batch * 1000
        claims = tuple(
            contracts.Claim(ids.make_id(wall_ms), 'd' * 32, 'entry-1', 1)
            for _ in range(CLAIMS_PER_BATCH)
        )
        claim_ledger.apply(2 + batch, commands.CommitClaims(claims, wall_ms))
    apply_s = time.perf_counter() - start_s
    used_bytes = read_memory_bytes() - before
    start_s = time.perf_counter()
    data = claim_ledger.dump(commands.SetMembers({'control-1': 'disk'}, {}))
    dump_s = time.perf_counter() - start_s
    start_s = time.perf_counter()
    ledger.Ledger().load(data)
    return {
        'memory_bytes': round(used_bytes / CLAIM_COUNT, 1),
        'apply_us': round(apply_s / CLAIM_COUNT * 1e6, 2),
        'snapshot_bytes': round(len(data) / CLAIM_COUNT, 1),
        'write_us': round(dump_s / CLAIM_COUNT * 1e6, 2),
        'read_us': round(
            (time.perf_counter() - start_s) / CLAIM_COUNT * 1e6, 2
        ),
    }


def measure_records() -> dict[str, float]:
    """Measure the memory of the record of an ended key."""
    records = keyrecords.KeyRecords()
    before = read_memory_bytes()
    for index in range(RECORD_COUNT):
        key = contracts.TaskKey('01a240ac-59e4-7000-9d6c-dde11194f178', index)
        finished = messages.TaskFinished(
            key.submission, index, True, False, bytes(40), 1, 1, 1
        )
        records.end(key, finished, 1.0)
    used_bytes = read_memory_bytes() - before
    return {'memory_bytes': round(used_bytes / RECORD_COUNT, 1)}


def measure_queue() -> dict[str, float]:
    """Measure the memory of a queued task."""
    queue = queues.FairQueue()
    before = read_memory_bytes()
    for number in range(1000):
        indices = collections.deque(range(contracts.MAX_TASKS))
        queue.add('team', queues.QueuedJob(f'job-{number}', 'kind', indices))
    used_bytes = read_memory_bytes() - before
    return {'memory_bytes': round(used_bytes / 1000 / contracts.MAX_TASKS, 1)}


def measure_ownership() -> dict[str, Any]:
    """Measure messages, bytes and times of a job at its homes, by entries."""
    return {
        f'{size}_entries': _measure_ownership(size) for size in OWNERSHIP_SIZES
    }


def _measure_ownership(size: int) -> dict[str, float]:
    names = [f'10.{n % 3 + 1}.0.{n + 1}' for n in range(size)]
    homes = homeset.form(names, worlds.CONTROLS)
    cores = {name: _make_home(name, homes) for name in homes.list_names()}
    owner = homes.list_names()[0]
    sizes: list[int] = []
    now_s = 10.0
    start_s = time.perf_counter()
    for number in range(OWNED_JOBS):
        now_s += 0.05
        submission = f'{number:016x}'
        job = f'{submission}/1-{number}'
        cores[owner].claim(submission, job, now_s)
        _exchange(cores, owner, now_s, sizes)
        cores[owner].end(submission, job, now_s + 0.02, False, False)
        cores[owner].tick(now_s + 0.02)
        _exchange(cores, owner, now_s + 0.02, sizes)
    elapsed_s = time.perf_counter() - start_s
    return {
        'homes': len(homes.find_group('')),
        'messages': round(len(sizes) / OWNED_JOBS, 2),
        'bytes': round(sum(sizes) / OWNED_JOBS),
        'owner_and_homes_us': round(elapsed_s / OWNED_JOBS * 1e6),
    }


def _make_home(name: str, homes: contracts.HomeSet) -> ownership.Ownership:
    core = ownership.Ownership(name, 1)
    core.begin(0.0)
    core.apply_homes(homes, 0.0)
    core.set_authority(True)
    return core


def _exchange(
    cores: dict[str, ownership.Ownership],
    owner: str,
    now_s: float,
    sizes: list[int],
) -> None:
    """Deliver the messages of an owner and the responses; record sizes."""
    encoder = codec.Codec(b'key')
    sender = links.Sender(owner, 1, f'tcp://{owner}:7722')
    for effect in cores[owner].flush(now_s, True):
        if not isinstance(effect, effects.Send):
            continue
        sizes.append(len(encoder.encode_frame(sender, [effect.message])))
        match effect.message:
            case messages.OwnershipRequest() as request:
                answers = cores[effect.peer].handle_request(
                    owner, 1, request, now_s
                )
            case _:
                answers = []
        for each in answers:
            if isinstance(each, effects.Send):
                sizes.append(len(encoder.encode_frame(sender, [each.message])))
                cores[owner].handle_response(effect.peer, each.message, now_s)


def measure_commits() -> dict[str, Any]:
    """Measure commits a second and latency, with and without group commit.

    A sync takes 5 ms.
    """
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
    submitted_s: dict[int, float] = {}

    def submit() -> None:
        submission = worlds.make_submission(worlds.make_id(world), 1)
        submitted_s[worlds.submit(world, 'entry-1', submission)] = world.now_s

    start_s = world.now_s
    for number in range(500):
        world.at(number * 0.001, submit)
    world.run(20.0)
    end_times_s = {each: world.replies[each][0] for each in submitted_s}
    latencies_s = sorted(
        end - submitted_s[each] for each, end in end_times_s.items()
    )
    return {
        'commits_per_s': round(
            len(end_times_s) / (max(end_times_s.values()) - start_s)
        ),
        'p50_ms': round(latencies_s[len(latencies_s) // 2] * 1000, 1),
        'p99_ms': round(latencies_s[len(latencies_s) * 99 // 100] * 1000, 1),
    }


def measure_closing() -> dict[str, float]:
    """Measure the time until a close is in force, over 20 seeds."""
    times_s = []
    for seed in range(1, 21):
        world = worlds.make_world(seed=seed)
        start_s = world.now_s
        close = contracts.CloseDomain(worlds.DOMAINS[0])
        worlds.change(world, 'entry-1', close, 1, 'close')
        times_s.append(world.now_s - start_s)
    return {
        'least_s': round(min(times_s), 3),
        'most_s': round(max(times_s), 3),
    }


def measure_leader() -> dict[str, float]:
    """Measure the time to a new leader after a kill, over 40 seeds."""
    times_s = []
    for seed in range(1, 41):
        world = worlds.make_world(seed=seed)
        start_s = world.now_s
        world.kill(worlds.find_leader(world))
        worlds.await_leader(world)
        times_s.append(world.now_s - start_s)
    times_s.sort()
    return {'median_s': round(times_s[20], 3), 'most_s': round(times_s[-1], 3)}


MEASUREMENTS = {
    'claims': measure_claims,
    'closing': measure_closing,
    'commits': measure_commits,
    'leader': measure_leader,
    'ownership': measure_ownership,
    'queue': measure_queue,
    'records': measure_records,
}


def main() -> None:
    """Run the measurements named on the command line, or all."""
    for name in sys.argv[1:] or MEASUREMENTS:
        print(json.dumps({name: MEASUREMENTS[name]()}), flush=True)


if __name__ == '__main__':
    main()
