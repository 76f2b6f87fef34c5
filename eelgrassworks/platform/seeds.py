"""Polls the platform's settings file for changes of the seeds."""

import asyncio
from typing import Any
from typing import Final

from eelgrassworks import errors
from eelgrassworks import logs
from eelgrassworks import process
from eelgrassworks.platform import nodefile

# The platform may change the file without a signal.  An outdated seed is
# harmless until the next poll.
POLL_INTERVAL_S: Final = 2.0


class SeedWatcher:
    """Reports control replicas in changed settings to the process."""

    def __init__(
        self, role_process: process.Process, seeds: list[Any]
    ) -> None:
        self._process = role_process
        self._seeds = seeds
        self._timer: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        """Read the file and start to poll it."""
        self._poll()

    async def close(self) -> None:
        """Stop polling the file."""
        if self._timer is not None:
            self._timer.cancel()

    def reload(self) -> None:
        """Read the file and report changed seeds."""
        try:
            node = nodefile.read_node_file()
        except errors.Fault as fault:
            # The file may be in the middle of a replacement; the next poll
            # reads it again.
            logs.log('settings_unreadable', reason=str(fault))
            return
        if node.seeds == self._seeds:
            return
        self._seeds = node.seeds
        replicas = nodefile.list_replicas(node)
        logs.log('seeds_changed', replicas=','.join(replicas))
        self._process.add_replicas(replicas)

    def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(POLL_INTERVAL_S, self._poll)
        self.reload()
