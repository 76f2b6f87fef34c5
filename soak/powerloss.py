"""Faults of a group of replicas, then a loss of power with two lost disks.

``python -m soak.powerloss --seed 1 --seeds 50``
"""

import asyncio
import dataclasses
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from typing import Final

import fire

from soak import powerplan
from soak import replicagroup

FORMATION_TIMEOUT_S: Final = 25.0
# The platform's ``recoveryS``.
RECOVERY_TIMEOUT_S: Final = 12.0
CATCH_UP_TIMEOUT_S: Final = 4.0
# The least time from the return of a machine to the next loss of a disk.
LOSS_INTERVAL_S: Final = 7.0
POWER_OFF_S: Final = 1.0
MAX_LEADER_MOVES: Final = 15


@dataclasses.dataclass(slots=True)
class Report:
    """Outcome of a run; times count from the return of the machines."""

    seed: int
    violations: list[str]
    lost: list[str]
    first_read_s: float = -1.0
    all_read_s: float = -1.0
    all_members_s: float = -1.0
    total_s: float = -1.0


class Run:
    """One run of a script on a new group."""

    def __init__(
        self, seed: int, script: powerplan.Script, logs: str = ''
    ) -> None:
        self._script = script
        self._logs = logs
        self._folder = tempfile.TemporaryDirectory()
        self._group = replicagroup.ReplicaGroup(
            pathlib.Path(self._folder.name), seed
        )
        # Machines that a fault affects, and those whose return is awaited.
        self._affected: set[str] = set()
        self._report = Report(seed, [], [])

    async def play(self) -> Report:
        """Carry out the script; return what was seen."""
        began_s = time.monotonic()
        try:
            await self._play()
        finally:
            await self._group.close()
            if self._report.violations and self._logs:
                self._keep_logs()
            self._folder.cleanup()
        self._report.total_s = round(time.monotonic() - began_s, 1)
        return self._report

    async def _play(self) -> None:
        await self._group.start_all(first_start=True)
        if not await self._group.change(FORMATION_TIMEOUT_S):
            self._record('formation', 'no change is acknowledged')
            return
        await self._await_members(FORMATION_TIMEOUT_S)
        for step in self._script.steps:
            await self._play_step(step)
        await self._close()
        self._check_exits()

    def _record(self, promise: str, detail: str) -> None:
        self._report.violations.append(f'{promise}: {detail}')

    def _keep_logs(self) -> None:
        target = pathlib.Path(self._logs) / f'seed-{self._report.seed}'
        shutil.copytree(self._folder.name, target, dirs_exist_ok=True)

    def _check_exits(self) -> None:
        for host, machine in self._group.machines.items():
            status = machine.find_exit()
            if status is not None:
                self._record('exit', f'{host} ended with status {status}')

    async def _await_members(self, timeout_s: float) -> bool:
        """Tell whether all are members in time; record it if not."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            fault = await self._group.find_membership_fault()
            if not fault:
                return True
            if time.monotonic() > deadline_s:
                self._record('membership', fault)
                return False
            await asyncio.sleep(replicagroup.POLL_INTERVAL_S)

    # Faults.

    async def _play_step(self, step: powerplan.Step) -> None:
        """Let the faults of a step overlap, while a change is made."""
        change = asyncio.create_task(self._group.change(RECOVERY_TIMEOUT_S))
        await asyncio.gather(*(self._apply(fault) for fault in step))
        self._affected.clear()
        settle = asyncio.create_task(self._await_members(LOSS_INTERVAL_S))
        if any(powerplan.loses_disk(fault) for fault in step):
            await asyncio.sleep(LOSS_INTERVAL_S)
        await settle
        if not await change:
            self._record('change', f'none is acknowledged during {step}')
        self._check_exits()

    async def _apply(self, fault: powerplan.Fault) -> None:
        match fault:
            case powerplan.Reseed(role, number):
                pool = await self._list_machines(role)
                generator = random.Random(number)
                self._group.reseed(
                    generator.sample(pool, powerplan.SEED_COUNT)
                )
            case powerplan.MoveLeader():
                await self._move_leader()
            case _:
                await asyncio.sleep(fault.delay_s)
                machine = await self._choose(fault.victim)
                await self._affect(machine, fault)

    async def _affect(
        self, machine: replicagroup.Machine, fault: powerplan.Fault
    ) -> None:
        match fault:
            case powerplan.Kill(duration_s=duration_s):
                await machine.end()
                await asyncio.sleep(duration_s)
                await self._group.start_machine(machine)
            case powerplan.Stop(duration_s=duration_s):
                status = await machine.end(signal.SIGTERM)
                if status != 0:
                    self._record('stop', f'{machine.host}: status {status}')
                await asyncio.sleep(duration_s)
                await self._group.start_machine(machine)
            case powerplan.Freeze(duration_s=duration_s):
                machine.freeze()
                await asyncio.sleep(duration_s)
                machine.resume()
            case powerplan.LoseDisk(duration_s=duration_s):
                await machine.end()
                machine.lose_disk()
                await asyncio.sleep(duration_s)
                await self._group.start_machine(machine)
            case powerplan.Replace(duration_s=duration_s):
                await machine.end()
                self._group.remove_machine(machine)
                await asyncio.sleep(duration_s)
                added = self._group.add_machine(machine.failure_domain)
                await self._group.start_machine(added)
            case powerplan.Reseed() | powerplan.MoveLeader():
                raise ValueError(f'no fault of one machine: {fault}')

    async def _move_leader(self) -> None:
        """Kill leaders until one that is no seed leads."""
        for _ in range(MAX_LEADER_MOVES):
            leader = await self._group.find_leader(RECOVERY_TIMEOUT_S)
            if leader and leader not in self._group.seeds:
                return
            if not leader:
                break
            machine = self._group.machines[leader]
            await machine.end()
            await self._group.find_leader(RECOVERY_TIMEOUT_S)
            await self._group.start_machine(machine)
            await self._await_members(LOSS_INTERVAL_S)
        self._record('script', 'the leader was not moved out of the seeds')

    async def _choose(self, victim: powerplan.Victim) -> replicagroup.Machine:
        """Return a machine that no other fault affects."""
        pool = await self._list_machines(victim.role)
        free = [host for host in pool if host not in self._affected]
        if not free:
            every = await self._list_machines(powerplan.Role.ANY)
            free = [host for host in every if host not in self._affected]
        host = random.Random(victim.number).choice(free)
        self._affected.add(host)
        return self._group.machines[host]

    async def _list_machines(self, role: powerplan.Role) -> list[str]:
        """Return the machines that have a role."""
        hosts = sorted(self._group.machines)
        founders = set(self._group.founders)
        joined = [host for host in hosts if host not in founders]
        match role:
            case powerplan.Role.ANY:
                return hosts
            case powerplan.Role.FOUNDER:
                return [host for host in hosts if host in founders]
            case powerplan.Role.JOINED:
                return joined
            case _:
                pass
        leader = await self._group.find_leader(RECOVERY_TIMEOUT_S)
        state = (await self._group.read_states()).get(leader)
        voters = set(state.voters) if state is not None else set()
        match role:
            case powerplan.Role.LEADER:
                return [host for host in hosts if host == leader]
            case powerplan.Role.JOINED_VOTER:
                return [host for host in joined if host in voters]
            case powerplan.Role.VOTING_FOLLOWER:
                return [host for host in hosts if host in voters - {leader}]
            case _:
                return [host for host in hosts if host in voters]

    # The loss of power.

    async def _close(self) -> None:
        """Let all lose power after a change; check what comes back."""
        lost = [await self._choose(victim) for victim in self._script.lost]
        self._report.lost = [machine.host for machine in lost]
        if not await self._group.change(RECOVERY_TIMEOUT_S):
            self._record('change', 'none is acknowledged before the loss')
            return
        self._check_exits()
        await self._group.lose_power()
        for machine in lost:
            machine.lose_disk()
        await asyncio.sleep(POWER_OFF_S)
        await self._group.start_all()
        returned_s = time.monotonic()
        await self._await_versions(returned_s)
        left_s = returned_s + RECOVERY_TIMEOUT_S - time.monotonic()
        if not await self._group.change(max(left_s, CATCH_UP_TIMEOUT_S)):
            self._record('change', 'none is acknowledged after the return')
        left_s = returned_s + RECOVERY_TIMEOUT_S - time.monotonic()
        if await self._await_members(max(left_s, 0.0) + CATCH_UP_TIMEOUT_S):
            elapsed_s = time.monotonic() - returned_s
            self._report.all_members_s = round(elapsed_s, 2)

    async def _await_versions(self, returned_s: float) -> None:
        """Read the acknowledged configuration at every machine."""
        version = self._group.version
        left = dict(self._group.machines)
        while left:
            reads = await asyncio.gather(
                *(machine.read_version() for machine in left.values())
            )
            elapsed_s = round(time.monotonic() - returned_s, 2)
            for host, read in zip(list(left), reads, strict=True):
                if read is None:
                    continue
                if read < version:
                    self._record('acks', f'{host}: {read} after {version}')
                if self._report.first_read_s < 0:
                    self._report.first_read_s = elapsed_s
                del left[host]
            if left and elapsed_s > RECOVERY_TIMEOUT_S:
                self._record('recovery', f'no answer: {", ".join(left)}')
                return
            await asyncio.sleep(replicagroup.POLL_INTERVAL_S)
        self._report.all_read_s = elapsed_s


async def _play(run: Run) -> Report:
    """Play a run; SIGTERM ends its processes as well."""
    task = asyncio.ensure_future(run.play())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def soak(
    seed: int = 1, seeds: int = 1, report: str = '', logs: str = ''
) -> None:
    """Run seeds one after the other; exit with 1 if a promise was broken.

    Args:
        seed: the first seed.
        seeds: the number of seeds to run.
        report: file for the reports as JSON, one line a run.
        logs: folder for the logs of runs that broke a promise.
    """
    broken = False
    for each in range(seed, seed + seeds):
        run = Run(each, powerplan.draw_script(each), logs)
        result = asyncio.run(_play(run))
        broken |= bool(result.violations)
        line = json.dumps(dataclasses.asdict(result))
        print(line, flush=True)
        if report:
            with pathlib.Path(report).open('a') as stream:
                stream.write(f'{line}\n')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    fire.Fire(soak, name='powerloss')
