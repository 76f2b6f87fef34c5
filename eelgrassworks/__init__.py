"""Dispatcher for sub-second tasks.

The package holds decision classes without input or output (agent, entry,
control, replica), the objects that they use (machines, zones, links,
contracts) and the processes that run them.  The classes can also be used as
a library.
"""

from typing import Final

__all__ = ['__version__']

__version__: Final = '0.1.0'
