"""Measurements of real processes: python -m benchmarks.measure NAME.

Each prints one JSON line.  The processes are connected over loopback.

Names: responses, starts, idle, agent, control, close, leader.
"""

import asyncio
import json
import os
import signal
import sys
import time
from typing import Any

from eelgrassworks.trials import ideal
from tests import deployment

CLOCK_TICKS = os.sysconf('SC_CLK_TCK')


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f'/proc/{pid}/stat') as stat:
        fields = stat.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def read_memory_kb(pid: int) -> dict[str, int]:
    """Return the resident and the anonymous memory of a process, in KiB."""
    with open(f'/proc/{pid}/status') as status:
        lines = [line.split() for line in status]
    return {
        line[0].rstrip(':'): int(line[1])
        for line in lines
        if line and line[0] in ('VmRSS:', 'RssAnon:')
    }


async def start_fake_agents(
    cluster: deployment.Deployment,
    processes: int,
    count: int,
    slots: int,
    work_ms: float,
) -> list[Any]:
    """Start processes of fake agents that connect to every entry."""
    entries = ','.join(
        f'{name}=tcp://127.0.0.1:{cluster.link[name]}'
        for name in cluster.entries
    )
    processes_started = []
    for number in range(processes):
        arguments = [
            entries,
            str(21000 + number * 500),
            str(count),
            str(slots),
        ]
        arguments += [str(work_ms), deployment.KEY]
        processes_started.append(
            await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'benchmarks.fakeagents', *arguments
            )
        )
    return processes_started


async def wait_for_targets(cluster: deployment.Deployment, count: int) -> None:
    """Wait until each entry has this many accepting targets."""
    for name in cluster.entries:

        async def has_targets(name: str = name) -> bool:
            state = (await cluster.state(name))['state']
            targets = state['dispatcher']['targets'].values()
            return len([t for t in targets if t['accepting']]) >= count

        await deployment.wait_until(has_targets, 60)
    await asyncio.sleep(1.5)


async def measure_responses() -> dict[str, Any]:
    """Measure the response time of a 1-task and of a 1,200-task job.

    The large job is compared with the ideal schedule.
    """
    async with deployment.Deployment(3, 2, 6) as cluster:
        result: dict[str, Any] = {}
        for name, key in (('unclaimed', ''), ('claimed', 'x')):
            times_s = []
            for _ in range(40):
                start_s = time.perf_counter()
                submission = deployment.make_id() if key else ''
                await cluster.submit('entry-1', [50], submission)
                times_s.append(time.perf_counter() - start_s)
            times_s.sort()
            result[f'one_task_{name}_ms'] = round(times_s[20] * 1000, 2)
        work_ms = [50 + 250 * (n % 11) // 10 for n in range(1200)]
        before = (await cluster.state('entry-1'))['link']['counters']
        start_s = time.perf_counter()
        status, _ = await cluster.submit(
            'entry-1', work_ms, deployment.make_id()
        )
        elapsed_s = time.perf_counter() - start_s
        after = (await cluster.state('entry-1'))['link']['counters']
        tasks = [ideal.IdealTask(0, 0.0, work / 1000) for work in work_ms]
        ideal_s = ideal.compute_responses(tasks, [1.0] * 48, 0.001)[0]
        frames = sum(
            after[name] - before[name]
            for name in ('frames_sent', 'frames_received')
        )
        result |= {
            'large_status': status,
            'large_s': round(elapsed_s, 3),
            'large_ideal_s': round(ideal_s, 3),
            'large_ratio': round(elapsed_s / ideal_s, 3),
            'large_frames_per_task': round(frames / 1200, 2),
        }
        return result


async def measure_starts() -> dict[str, Any]:
    """Measure task starts a second of one entry and its processor time."""
    async with deployment.Deployment(1, 1, 0) as cluster:
        fake_agents = await start_fake_agents(cluster, 3, 8, 64, 20.0)
        await wait_for_targets(cluster, 24)
        pid = cluster.processes['entry-1'].pid
        cpu_s, start_s = read_cpu_s(pid), time.perf_counter()
        jobs = [
            cluster.submit('entry-1', [1] * 1200, deployment.make_id())
            for _ in range(40)
        ]
        responses = await asyncio.gather(*jobs)
        elapsed_s = time.perf_counter() - start_s
        used_cpu_s = read_cpu_s(pid) - cpu_s
        state = (await cluster.state('entry-1'))['state']['dispatcher']
        link = (await cluster.state('entry-1'))['link']['counters']
        for fake in fake_agents:
            fake.kill()
            await fake.wait()
        complete = sum(status == 200 for status, _ in responses)
        tasks = complete * 1200
        return {
            'complete': complete,
            'starts_per_s': round(tasks / elapsed_s),
            'cpu_us_per_task': round(used_cpu_s / max(1, tasks) * 1e6, 1),
            'starts_per_cpu_s': round(tasks / used_cpu_s),
            'counters': state['counters'],
            'frames_per_task': round(
                (link['frames_sent'] + link['frames_received']) / tasks, 3
            ),
            'bytes_per_task': round(
                (link['bytes_sent'] + link['bytes_received']) / tasks
            ),
        }


async def measure_idle() -> dict[str, Any]:
    """Measure memory, processor time and traffic of each idle role."""
    async with deployment.Deployment(3, 2, 3) as cluster:
        await asyncio.sleep(3)
        names = ('control-1', 'entry-1', 'runner-1')
        before = {n: read_cpu_s(cluster.processes[n].pid) for n in names}
        links = {n: (await cluster.state(n))['link'] for n in names}
        await asyncio.sleep(20)
        result: dict[str, Any] = {}
        for name in names:
            pid = cluster.processes[name].pid
            after = (await cluster.state(name))['link']['counters']
            old = links[name]['counters']
            sent = after['bytes_sent'] - old['bytes_sent']
            received = after['bytes_received'] - old['bytes_received']
            result[name] = read_memory_kb(pid) | {
                'cpu_percent': round((read_cpu_s(pid) - before[name]) * 5, 2),
                'bytes_per_s': round((sent + received) / 20),
            }
        return result


async def measure_agent() -> dict[str, Any]:
    """Measure processor time, memory and traffic at 78 starts a second."""
    async with deployment.Deployment(1, 1, 1) as cluster:
        pid = cluster.processes['runner-1'].pid
        before = (await cluster.state('runner-1'))['link']['counters']
        cpu_s, start_s = read_cpu_s(pid), time.perf_counter()
        pending = []
        for number in range(78 * 20):
            due_s = start_s + number / 78
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            pending.append(
                asyncio.create_task(cluster.submit('entry-1', [50]))
            )
        responses = await asyncio.gather(*pending)
        elapsed_s = time.perf_counter() - start_s
        used_cpu_s = read_cpu_s(pid) - cpu_s
        after = (await cluster.state('runner-1'))['link']['counters']
        bytes_moved = sum(
            after[name] - before[name]
            for name in ('bytes_sent', 'bytes_received')
        )
        return read_memory_kb(pid) | {
            'complete': sum(status == 200 for status, _ in responses),
            'starts_per_s': round(len(responses) / elapsed_s, 1),
            'cpu_percent': round(used_cpu_s / elapsed_s * 100, 2),
            'bytes_per_s': round(bytes_moved / elapsed_s),
        }


async def measure_control() -> dict[str, Any]:
    """Measure control traffic and processor time by number of agents."""
    result: dict[str, Any] = {}
    for count in (10, 40, 80):
        async with deployment.Deployment(3, 2, 0) as cluster:
            fake_agents = await start_fake_agents(
                cluster, 2, count // 2, 8, 20.0
            )
            await wait_for_targets(cluster, count)
            names = [*cluster.controls, 'entry-1']
            cpu = {n: read_cpu_s(cluster.processes[n].pid) for n in names}
            old = {n: (await cluster.state(n))['link'] for n in names}
            await asyncio.sleep(10)
            row = {}
            for name in names:
                new = (await cluster.state(name))['link']['counters']
                bytes_moved = sum(
                    new[key] - old[name]['counters'][key]
                    for key in ('bytes_sent', 'bytes_received')
                )
                used_cpu_s = (
                    read_cpu_s(cluster.processes[name].pid) - cpu[name]
                )
                row[name] = {
                    'bytes_per_s': round(bytes_moved / 10),
                    'cpu_percent': round(used_cpu_s * 10, 2),
                }
            result[str(count)] = row
            for fake in fake_agents:
                fake.kill()
                await fake.wait()
    return result


async def measure_close() -> dict[str, Any]:
    """Measure the time until a close or open is in force, five times."""
    async with deployment.Deployment(3, 2, 3) as cluster:
        times_s = []
        for number in range(5):
            start_s = time.perf_counter()
            action = 'close' if number % 2 == 0 else 'open'
            status, _ = await cluster.change(
                'entry-1', action, 'tema-port', number + 1, f'c-{number}'
            )
            times_s.append(round(time.perf_counter() - start_s, 3))
            if status != 200:
                raise RuntimeError(f'change {number}: {status}')
        return {'in_force_s': times_s}


async def measure_leader() -> dict[str, Any]:
    """Measure commits a second, the longest sync stall and failover time."""
    async with deployment.Deployment(3, 1, 1) as cluster:
        start_s = time.perf_counter()
        jobs = [
            cluster.submit('entry-1', [1], deployment.make_id())
            for _ in range(600)
        ]
        await asyncio.gather(*jobs)
        elapsed_s = time.perf_counter() - start_s
        leader = (await cluster.state('control-1'))['state']['replica'][
            'leader'
        ]
        state = (await cluster.state(leader))['state']
        start_s = time.perf_counter()
        await cluster.end(leader, signal.SIGKILL)

        async def has_new_leader() -> bool:
            for name in cluster.controls:
                if name != leader:
                    dump = await cluster.state(name)
                    if dump['state']['replica']['role'] == 'leader':
                        return True
            return False

        await deployment.wait_until(has_new_leader)
        return {
            'claims_per_s': round(600 / elapsed_s),
            'claims': state['counters']['claims'],
            'batches': state['counters']['claim_batches'],
            'longest_stall_ms': state['longest_stall_ms'],
            'new_leader_s': round(time.perf_counter() - start_s, 3),
        }


MEASUREMENTS = {
    'agent': measure_agent,
    'close': measure_close,
    'control': measure_control,
    'idle': measure_idle,
    'leader': measure_leader,
    'responses': measure_responses,
    'starts': measure_starts,
}


def main() -> None:
    """Run the measurements named on the command line, or all."""
    for name in sys.argv[1:] or MEASUREMENTS:
        result = asyncio.run(MEASUREMENTS[name]())
        print(json.dumps({name: result}), flush=True)


if __name__ == '__main__':
    main()
