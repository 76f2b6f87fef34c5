"""The network between the callers and one entry."""

import asyncio
import time
from typing import Final

from soak import proxy

# What was sent last in a hold arrives within this multiple of the hold.
MAX_HOLD_RATIO: Final = 2.0


class Way:
    """Carries the requests of callers to an entry, and its answers."""

    def __init__(self, listen: proxy.Address, front: proxy.Address) -> None:
        self.address = f'{listen.host}:{listen.port}'
        # Set while callers hear nothing of the entry.
        self.silent = asyncio.Event()
        self._link = proxy.LinkProxy(listen, front)
        self._silent_until_s = float('-inf')
        self._disturbed_until_s = float('-inf')

    @property
    def is_disturbed(self) -> bool:
        """Whether a request that is sent now may be held up."""
        return time.monotonic() < self._disturbed_until_s

    async def open(self) -> None:
        """Start to accept the connections of callers."""
        await self._link.open()

    async def close(self) -> None:
        """Close every connection."""
        await self._link.close()

    def cut(self, duration_s: float) -> None:
        """Carry nothing; new connections open afterwards."""
        self._link.cut(duration_s)
        self._disturb(duration_s)

    def hold(
        self, duration_s: float, directions: tuple[proxy.Direction, ...]
    ) -> None:
        """Hold what the open connections carry; new ones work."""
        self._link.hold(duration_s, directions)
        self._disturb(duration_s)

    def reset(self) -> None:
        """Reset the open connections."""
        self._link.reset()

    def _disturb(self, duration_s: float) -> None:
        held_s = duration_s * MAX_HOLD_RATIO + proxy.RETRANSMISSION_S
        until_s = time.monotonic() + held_s
        self._disturbed_until_s = max(self._disturbed_until_s, until_s)
        self.fall_silent(duration_s)

    def fall_silent(self, duration_s: float) -> None:
        """Let callers notice that they hear nothing of the entry."""
        until_s = time.monotonic() + duration_s
        self._silent_until_s = max(self._silent_until_s, until_s)
        self.silent.set()
        asyncio.get_running_loop().call_later(duration_s, self._end_silence)

    def _end_silence(self) -> None:
        if time.monotonic() >= self._silent_until_s:
            self.silent.clear()
