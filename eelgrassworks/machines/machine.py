"""Machines that processes run on.

A process reads its machine from its settings.  Workers run targets; VMs run
the entry and control processes.
"""

import dataclasses

from eelgrassworks import zones


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A machine that runs targets; ``memory_mib`` is in mebibytes."""

    name: str
    failure_domain: zones.FailureDomain
    rack: str
    cores: int
    memory_mib: int


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A virtual machine that runs entry or control processes."""

    name: str
    failure_domain: zones.FailureDomain
