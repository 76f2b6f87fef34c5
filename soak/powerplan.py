"""The faults of a group of replicas, drawn from a seed.

Faults of one step overlap; steps follow each other.  No step affects more
machines than the group tolerates, and all disks that are lost in a step are
lost before the first of them is back.
"""

import dataclasses
import enum
import random
from typing import Final

TOLERATED_MACHINES: Final = 2
SEED_COUNT: Final = 3
MAX_STEPS: Final = 4
# A second loss starts before the first machine is back.
MAX_DELAY_S: Final = 0.8
MIN_DURATION_S: Final = 1.0
MAX_DURATION_S: Final = 4.0


class Role(enum.Enum):
    """The part that a machine has in the group when a fault starts."""

    ANY = 'any'
    LEADER = 'leader'
    VOTER = 'voter'
    FOUNDER = 'founder'
    JOINED = 'joined'
    JOINED_VOTER = 'joined voter'
    VOTING_FOLLOWER = 'voting follower'


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """A machine: one of those with the role, drawn with ``number``."""

    role: Role
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """A process is killed, and started again after a while."""

    victim: Victim
    duration_s: float
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of a process, which is started again afterwards."""

    victim: Victim
    duration_s: float
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """A process does not run for a while."""

    victim: Victim
    duration_s: float
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoseDisk:
    """A process is killed, and started again with an empty disk."""

    victim: Victim
    duration_s: float
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Replace:
    """A machine is removed; an empty one with a new address is added."""

    victim: Victim
    duration_s: float
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reseed:
    """The settings files of all machines name other seeds."""

    role: Role
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MoveLeader:
    """Leaders are killed until one that is no seed leads."""


Fault = Kill | Stop | Freeze | LoseDisk | Replace | Reseed | MoveLeader
Step = tuple[Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """The steps, and the disks lost when all machines lose power."""

    steps: tuple[Step, ...] = ()
    lost: tuple[Victim, ...] = (Victim(Role.ANY), Victim(Role.ANY))


def loses_disk(fault: Fault) -> bool:
    """Tell whether a fault takes the disk of a member."""
    match fault:
        case LoseDisk() | Replace():
            return True
        case Kill() | Stop() | Freeze() | Reseed() | MoveLeader():
            return False


def draw_script(seed: int) -> Script:
    """Return the faults of a run."""
    generator = random.Random(f'power loss {seed}')
    count = generator.randint(0, MAX_STEPS)
    steps = tuple(_draw_step(generator) for _ in range(count))
    roles = generator.choice(
        (
            (Role.ANY, Role.ANY),
            (Role.VOTER, Role.VOTER),
            (Role.LEADER, Role.VOTER),
            (Role.FOUNDER, Role.FOUNDER),
            (Role.JOINED_VOTER, Role.JOINED_VOTER),
        )
    )
    if generator.random() < 0.5:
        reseed = Reseed(_draw_seed_role(generator), _draw_number(generator))
        steps = (*steps, (reseed,))
    return Script(steps, tuple(_draw_victim(generator, r) for r in roles))


def _draw_step(generator: random.Random) -> Step:
    draw = generator.random()
    if draw < 0.2:
        return (MoveLeader(),)
    faults: list[Fault] = [
        _draw_fault(generator)
        for _ in range(generator.randint(1, TOLERATED_MACHINES))
    ]
    if draw < 0.5:
        role = _draw_seed_role(generator)
        faults.append(Reseed(role, _draw_number(generator)))
    return tuple(faults)


def _draw_fault(generator: random.Random) -> Fault:
    kind = generator.choice((Kill, Stop, Freeze, LoseDisk, LoseDisk, Replace))
    return kind(
        _draw_victim(generator, generator.choice(list(Role))),
        round(generator.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
        round(generator.uniform(0.0, MAX_DELAY_S), 2),
    )


def _draw_seed_role(generator: random.Random) -> Role:
    return generator.choice((Role.ANY, Role.JOINED))


def _draw_victim(generator: random.Random, role: Role) -> Victim:
    return Victim(role, _draw_number(generator))


def _draw_number(generator: random.Random) -> int:
    return generator.randrange(1 << 16)
