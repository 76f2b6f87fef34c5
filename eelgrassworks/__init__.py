"""Dispatcher for sub-second tasks and a library of coordination parts.

The package holds decision classes without input or output (agent, entry,
control, replica), the objects that they work on (machines, zones, links,
contracts) and the processes that run them.
"""

from typing import Final

__all__ = ['__version__']

__version__: Final = '0.1.0'
