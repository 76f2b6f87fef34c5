"""Follows the platform's settings file, whose seeds change over time."""

import asyncio
from typing import Final

from eelgrassworks import errors
from eelgrassworks import logs
from eelgrassworks import process
from eelgrassworks.platform import nodefile

# The file may change without a signal; a stale seed does no harm meanwhile.
POLL_INTERVAL_S: Final = 2.0


class SeedWatcher:
    """Tells a process of the control replicas that new settings name."""

    def __init__(
        self, role_process: process.Process, seeds: list[str]
    ) -> None:
        self._process = role_process
        self._seeds = seeds
        self._timer: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        """Begin to look at the file."""
        self._poll()

    async def close(self) -> None:
        """Stop to look at the file."""
        if self._timer is not None:
            self._timer.cancel()

    def reload(self) -> None:
        """Look at the file now."""
        try:
            node = nodefile.read_node_file()
        except errors.Fault as fault:
            # It is being replaced; the next look finds it whole.
            logs.log('settings_unreadable', reason=str(fault))
            return
        if node.seeds == self._seeds:
            return
        self._seeds = node.seeds
        logs.log('seeds_changed', seeds=','.join(node.seeds))
        self._process.learn_replicas(nodefile.list_replicas(node))

    def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(POLL_INTERVAL_S, self._poll)
        self.reload()
