"""The faults of a run, drawn from its seed."""

import dataclasses
import random
from typing import Final

# Time without new faults at the start and at the end of a run.
WARM_UP_S: Final = 2.0
COOL_DOWN_S: Final = 10.0
MEAN_INTERVAL_S: Final = 1.5
MIN_DURATION_S: Final = 0.3
MAX_DURATION_S: Final = 4.0
# Longer than an entry waits for an agent before it starts a task elsewhere.
MIN_PARTITION_S: Final = 1.5
MAX_DELAY_S: Final = 0.4
MEAN_WAY_INTERVAL_S: Final = 2.5
# Longer than callers wait for an entry, and than the longest task runs.
MAX_WAY_S: Final = 6.0
# Callers that go on to the next entry find its way disturbed too.
MAX_WAYS_IN_TURN: Final = 3
MIN_TURN_S: Final = 1.3
MAX_TURN_S: Final = 3.0
MEAN_RESTART_INTERVAL_S: Final = 5.0
# Shorter and longer than an agent takes to notice that its target is down.
MIN_RESTART_S: Final = 0.05
MAX_RESTART_S: Final = 1.0
# A replica counts again once it has restarted and caught up.
CONTROL_RECOVERY_S: Final = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """Jobs that an entry claims; their tasks start at most once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Transient:
    """Jobs that are not stored; their tasks never run twice at a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Transient jobs of one task each that reach the first entry at once.

    They are sent ``WARM_UP_S`` after the start of the run.
    """

    jobs: int = 8
    run_ms: int = 3000


Jobs = Claimed | Transient | Batch


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """A process is killed, and started again after a while."""

    name: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Wipe:
    """A replica is killed and loses its data folder."""

    name: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of a process, which is started again afterwards."""

    name: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """A process does not run for a while."""

    name: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """What a process sends to another waits; nothing connects."""

    sender: str
    receiver: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """Open connections carry nothing any more; new ones work."""

    sender: str
    receiver: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Open connections are reset."""

    sender: str
    receiver: str


@dataclasses.dataclass(frozen=True, slots=True)
class Delay:
    """Everything that a process sends to another arrives late."""

    sender: str
    receiver: str
    delay_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """An operator closes a failure domain, and opens it again."""

    domain: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Data on open connections arrives late; new connections work.

    With ``both`` the connections in the other direction are held too.
    """

    sender: str
    receiver: str
    both: bool
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Isolate:
    """Each machine of these processes loses all other machines.

    Its callers and its own target are in touch.  What is sent meanwhile
    arrives afterwards.
    """

    names: tuple[str, ...]
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CutWay:
    """Callers and an entry hear nothing of each other; nothing connects.

    What they send meanwhile arrives afterwards.
    """

    entry: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HoldWay:
    """Open connections of callers to an entry carry data late.

    New connections work.
    """

    entry: str
    requests: bool
    answers: bool
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ResetWay:
    """The open connections of callers to an entry are reset."""

    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class RestartTargets:
    """The targets of a failure domain crash and start again by their names.

    Calls that come while they are away wait, and reach the next incarnations.
    """

    domain: str
    duration_s: float


WayFault = CutWay | HoldWay | ResetWay
Fault = (
    Kill
    | Wipe
    | Stop
    | Freeze
    | Cut
    | Silence
    | Reset
    | Delay
    | Close
    | Hold
    | Isolate
    | RestartTargets
    | WayFault
)


@dataclasses.dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault and its time since the start of the traffic, in seconds."""

    at_s: float
    fault: Fault


@dataclasses.dataclass(frozen=True, slots=True)
class Machines:
    """Names of the processes, of their links, and the failure domains."""

    controls: tuple[str, ...]
    entries: tuple[str, ...]
    agents: tuple[str, ...]
    links: tuple[tuple[str, str], ...]
    domains: tuple[str, ...]
    # The entries whose ways to their callers may be disturbed.
    ways: tuple[str, ...] = ()
    # The domains whose targets can start again by their names.
    restartable: tuple[str, ...] = ()


def draw_faults(
    seed: int, seconds: float, machines: Machines
) -> list[TimedFault]:
    """Return the faults of a run in order.

    Faults overlap, but at most one replica is affected at a time, so that a
    majority of the replicas is always in contact; the run puts a fault off
    until the other replicas vote.  Partitions leave the replicas in contact
    with each other.
    """
    faults = _draw_single_faults(random.Random(seed), seconds, machines)
    faults += _draw_partitions(
        random.Random(f'partitions {seed}'), seconds, machines
    )
    faults += _draw_way_faults(
        random.Random(f'ways {seed}'), seconds, machines
    )
    faults += _draw_target_restarts(
        random.Random(f'targets {seed}'), seconds, machines
    )
    return sorted(faults, key=lambda each: each.at_s)


def _draw_single_faults(
    generator: random.Random, seconds: float, machines: Machines
) -> list[TimedFault]:
    """Return faults of one process, link or failure domain each."""
    faults: list[TimedFault] = []
    control_free_s = 0.0
    now_s = WARM_UP_S + generator.expovariate(1 / MEAN_INTERVAL_S)
    while now_s < seconds - COOL_DOWN_S:
        fault = _draw_fault(generator, machines, now_s >= control_free_s)
        if find_replica(fault, machines) is not None:
            duration_s = getattr(fault, 'duration_s', 0.0)
            control_free_s = now_s + duration_s + CONTROL_RECOVERY_S
        faults.append(TimedFault(round(now_s, 2), fault))
        now_s += generator.expovariate(1 / MEAN_INTERVAL_S)
    return faults


def _draw_partitions(
    generator: random.Random, seconds: float, machines: Machines
) -> list[TimedFault]:
    """Return faults of the network between entries, agents and replicas."""
    faults: list[TimedFault] = []
    now_s = WARM_UP_S + generator.expovariate(1 / MEAN_INTERVAL_S)
    while now_s < seconds - COOL_DOWN_S:
        fault = _draw_partition(generator, machines)
        faults.append(TimedFault(round(now_s, 2), fault))
        now_s += generator.expovariate(1 / MEAN_INTERVAL_S)
    return faults


def _draw_partition(
    generator: random.Random, machines: Machines
) -> Hold | Isolate:
    duration_s = round(generator.uniform(MIN_PARTITION_S, MAX_DURATION_S), 2)
    entry = generator.choice(machines.entries)
    agent = generator.choice(machines.agents)
    control = generator.choice(machines.controls)
    both = generator.random() < 0.5
    choices: list[Hold | Isolate] = [
        Hold(entry, agent, both, duration_s),
        Hold(agent, entry, both, duration_s),
        Hold(entry, control, False, duration_s),
        Isolate((agent,), duration_s),
        Isolate((entry,), duration_s),
        Isolate(machines.entries, duration_s),
    ]
    return generator.choice(choices)


def _draw_way_faults(
    generator: random.Random, seconds: float, machines: Machines
) -> list[TimedFault]:
    """Return faults between callers and entries, some at several in turn."""
    if not machines.ways:
        return []
    faults: list[TimedFault] = []
    now_s = WARM_UP_S + generator.expovariate(1 / MEAN_WAY_INTERVAL_S)
    while now_s < seconds - COOL_DOWN_S:
        first = generator.randrange(len(machines.ways))
        at_s = now_s
        for turn in range(generator.randint(1, MAX_WAYS_IN_TURN)):
            entry = machines.ways[(first + turn) % len(machines.ways)]
            fault = _draw_way_fault(generator, entry)
            faults.append(TimedFault(round(at_s, 2), fault))
            at_s += generator.uniform(MIN_TURN_S, MAX_TURN_S)
        now_s += generator.expovariate(1 / MEAN_WAY_INTERVAL_S)
    return faults


def _draw_way_fault(generator: random.Random, entry: str) -> WayFault:
    duration_s = round(generator.uniform(MIN_PARTITION_S, MAX_WAY_S), 2)
    choices: list[WayFault] = [
        CutWay(entry, duration_s),
        HoldWay(entry, True, True, duration_s),
        HoldWay(entry, True, False, duration_s),
        HoldWay(entry, False, True, duration_s),
        ResetWay(entry),
    ]
    return generator.choice(choices)


def _draw_target_restarts(
    generator: random.Random, seconds: float, machines: Machines
) -> list[TimedFault]:
    """Return restarts of the targets of one domain each."""
    if not machines.restartable:
        return []
    faults: list[TimedFault] = []
    now_s = WARM_UP_S + generator.expovariate(1 / MEAN_RESTART_INTERVAL_S)
    while now_s < seconds - COOL_DOWN_S:
        duration_s = generator.uniform(MIN_RESTART_S, MAX_RESTART_S)
        fault = RestartTargets(
            generator.choice(machines.restartable), round(duration_s, 2)
        )
        faults.append(TimedFault(round(now_s, 2), fault))
        now_s += duration_s + generator.expovariate(
            1 / MEAN_RESTART_INTERVAL_S
        )
    return faults


def _draw_fault(
    generator: random.Random, machines: Machines, with_controls: bool
) -> Fault:
    duration_s = round(generator.uniform(MIN_DURATION_S, MAX_DURATION_S), 2)
    names = [*machines.entries, *machines.agents]
    links = [
        each for each in machines.links if each[0] not in machines.controls
    ]
    if with_controls:
        # As likely as the far more numerous agents and entries.
        names += list(machines.controls) * 2
        links = list(machines.links)
    name = generator.choice(names)
    sender, receiver = generator.choice(links)
    delay_s = round(generator.uniform(0.02, MAX_DELAY_S), 2)
    choices: list[Fault] = [
        Kill(name, duration_s),
        Stop(name, duration_s),
        Freeze(name, duration_s),
        Cut(sender, receiver, duration_s),
        Silence(sender, receiver),
        Reset(sender, receiver),
        Delay(sender, receiver, delay_s, duration_s),
        Close(generator.choice(machines.domains), duration_s),
    ]
    if with_controls:
        choices.append(Wipe(generator.choice(machines.controls), duration_s))
    return generator.choice(choices)


def find_replica(fault: Fault, machines: Machines) -> str | None:
    """Return the replica that a fault takes from the others, if any."""
    match fault:
        case Kill(name) | Wipe(name) | Stop(name) | Freeze(name):
            return name if name in machines.controls else None
        case Cut(sender) | Silence(sender) | Reset(sender) | Delay(sender):
            return sender if sender in machines.controls else None
        case Close() | Hold() | Isolate() | RestartTargets():
            return None
        case CutWay() | HoldWay() | ResetWay():
            return None
