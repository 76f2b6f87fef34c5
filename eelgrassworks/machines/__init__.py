"""Machines: workers and VMs, and the targets and slots on them."""

from eelgrassworks.machines.machine import Vm
from eelgrassworks.machines.machine import Worker
from eelgrassworks.machines.speed import SpeedMeter
from eelgrassworks.machines.target import Occupant
from eelgrassworks.machines.target import Slots
from eelgrassworks.machines.target import Target
from eelgrassworks.machines.view import LostTarget
from eelgrassworks.machines.view import Outstanding
from eelgrassworks.machines.view import TargetView

__all__ = [
    'LostTarget',
    'Occupant',
    'Outstanding',
    'Slots',
    'SpeedMeter',
    'Target',
    'TargetView',
    'Vm',
    'Worker',
]
