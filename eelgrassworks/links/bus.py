"""In-process transport, for the embedded mode and for tests.

Frames are encoded and decoded as they are between processes.  A handler is
called in a later iteration of the event loop.
"""

import asyncio
from collections.abc import Callable

from eelgrassworks.links import codec
from eelgrassworks.links import frame


class Bus:
    """Connects the transports of one process by name."""

    def __init__(self) -> None:
        self.transports: dict[str, BusTransport] = {}


class BusTransport:
    """The transport of one named process on a bus."""

    def __init__(
        self, bus: Bus, frame_codec: codec.Codec, sender: frame.Sender
    ) -> None:
        self.sender = sender
        self.frames_sent = 0
        self._bus = bus
        self._codec = frame_codec
        self._outbox: dict[str, list[object]] = {}
        self._handler: Callable[[frame.Frame], None] | None = None
        bus.transports[sender.name] = self

    def start(self, handler: Callable[[frame.Frame], None]) -> None:
        """Start delivering frames to the handler."""
        self._handler = handler

    def connect(
        self, peer: str, address: str, persistent: bool = True
    ) -> None:
        """Do nothing; every name on the bus is reachable."""

    def disconnect(self, peer: str) -> None:
        """Do nothing; a bus has no connections."""

    def post(self, peer: str, message: object) -> None:
        """Queue a message for the next flush to this peer."""
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self.flush)
        self._outbox.setdefault(peer, []).append(message)

    def flush(self) -> None:
        """Send the queued messages, in as few frames as possible a peer."""
        outbox, self._outbox = self._outbox, {}
        for peer, messages in outbox.items():
            receiver = self._bus.transports.get(peer)
            if receiver is None:
                continue
            for data in self._codec.encode_frames(self.sender, messages):
                self.frames_sent += 1
                asyncio.get_running_loop().call_soon(receiver.receive, data)

    def receive(self, data: bytes) -> None:
        """Decode one frame and pass it to the handler."""
        if self._handler is not None:
            self._handler(self._codec.decode_frame(data))

    def tick(self, now_s: float) -> None:
        """Do nothing; a bus needs no heartbeats."""

    def close(self) -> None:
        """Remove this transport from the bus."""
        self._handler = None
        self._bus.transports.pop(self.sender.name, None)

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {'frames_sent': self.frames_sent}
