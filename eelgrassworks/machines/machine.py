"""Machines that processes run on.

A process learns its machine from its settings.  Workers carry targets; VMs
carry the entry and control processes.
"""

import dataclasses

from eelgrassworks import zones


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A machine that runs targets.  Memory is in mebibytes."""

    name: str
    failure_domain: zones.FailureDomain
    rack: str
    cores: int
    memory_mib: int


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A virtual machine that runs processes of the system."""

    name: str
    failure_domain: zones.FailureDomain
