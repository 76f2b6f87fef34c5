"""Transport between processes over pynng pair sockets.

Sockets are polled through their file descriptors by the event loop.  A
message is posted at most once: nothing here sends a frame again.  A peer
that stays silent beyond the deadline gets a new connection, or loses the one
that it had opened.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Any
from typing import Final
from typing import Protocol

import pynng

from eelgrassworks import clock
from eelgrassworks.links import codec
from eelgrassworks.links import connection
from eelgrassworks.links import frame
from eelgrassworks.links import messages

BUFFERED_FRAMES: Final = 1024
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 500

Handler = Callable[[frame.Frame], None]


class Transport(Protocol):
    """What a process needs of a transport."""

    sender: frame.Sender

    def start(self, handler: Handler) -> None:
        """Begin to deliver frames."""

    def connect(self, peer: str, address: str) -> None:
        """Keep a connection to a peer at an address."""

    def post(self, peer: str, message: object) -> None:
        """Add a message to the frame that goes out this turn."""

    def flush(self) -> None:
        """Send one frame to each peer that messages wait for."""

    def tick(self, now_s: float) -> None:
        """Send heartbeats and replace silent connections."""

    def close(self) -> None:
        """Close every connection."""

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""


@dataclasses.dataclass(slots=True)
class Dialed:
    """A connection that this process opened."""

    address: str
    socket: Any
    state: connection.Connection


@dataclasses.dataclass(slots=True)
class Accepted:
    """A connection that the peer opened."""

    pipe: Any
    state: connection.Connection


class SocketTransport:
    """The sockets of one process."""

    def __init__(
        self,
        frame_codec: codec.Codec,
        sender: frame.Sender,
        listen: str = '',
    ) -> None:
        self.sender = sender
        self.counters: dict[str, int] = {
            'frames_sent': 0,
            'frames_received': 0,
            'frames_dropped': 0,
            'frames_rejected': 0,
            'messages_sent': 0,
            'bytes_sent': 0,
            'connections_replaced': 0,
        }
        self._codec = frame_codec
        self._listen = listen
        self._listener: Any = None
        self._handler: Handler | None = None
        self._dialed: dict[str, Dialed] = {}
        self._accepted: dict[str, Accepted] = {}
        self._outbox: dict[str, list[object]] = {}
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self, handler: Handler) -> None:
        """Listen, and begin to deliver frames.

        Raises pynng.NNGException when the address cannot be used.
        """
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        if self._listen:
            self._listener = _open_socket()
            self._listener.listen(self._listen)
            self._watch(self._listener, None)

    def connect(self, peer: str, address: str) -> None:
        """Keep a connection to a peer, unless it already has one."""
        known = self._dialed.get(peer)
        if known is not None and known.address == address:
            return
        if known is not None:
            self._close_socket(known.socket)
        self._dial(peer, address)

    def post(self, peer: str, message: object) -> None:
        """Add a message to the frame that goes out this turn."""
        if not self._outbox and self._loop is not None:
            self._loop.call_soon(self.flush)
        self._outbox.setdefault(peer, []).append(message)

    def flush(self) -> None:
        """Send one frame to each peer that messages wait for."""
        outbox, self._outbox = self._outbox, {}
        for peer, posted in outbox.items():
            data = self._codec.encode_frame(self.sender, posted)
            if self._send(peer, data):
                self.counters['frames_sent'] += 1
                self.counters['messages_sent'] += len(posted)
                self.counters['bytes_sent'] += len(data)
            else:
                self.counters['frames_dropped'] += 1

    def tick(self, now_s: float) -> None:
        """Send heartbeats and replace silent connections."""
        for peer, dialed in list(self._dialed.items()):
            if dialed.state.is_silent(now_s):
                self.counters['connections_replaced'] += 1
                self._close_socket(dialed.socket)
                self._dial(peer, dialed.address)
            elif dialed.state.needs_heartbeat(now_s):
                self.post(peer, messages.Heartbeat())
        for peer, accepted in list(self._accepted.items()):
            if accepted.state.is_silent(now_s):
                del self._accepted[peer]
                with contextlib.suppress(pynng.NNGException):
                    accepted.pipe.close()
            elif accepted.state.needs_heartbeat(now_s):
                self.post(peer, messages.Heartbeat())

    def close(self) -> None:
        """Close every connection."""
        for dialed in self._dialed.values():
            self._close_socket(dialed.socket)
        self._dialed = {}
        self._accepted = {}
        if self._listener is not None:
            self._close_socket(self._listener)
            self._listener = None

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            'dialed': sorted(self._dialed),
            'accepted': sorted(self._accepted),
            'counters': dict(self.counters),
        }

    def _dial(self, peer: str, address: str) -> None:
        socket = _open_socket()
        socket.reconnect_time_min = RECONNECT_MIN_MS
        socket.reconnect_time_max = RECONNECT_MAX_MS
        socket.dial(address, block=False)
        now_s = clock.read_now()
        state = connection.Connection(peer, now_s, now_s)
        self._dialed[peer] = Dialed(address, socket, state)
        self._watch(socket, peer)

    def _watch(self, socket: Any, peer: str | None) -> None:
        if self._loop is None:
            raise RuntimeError('the transport is not started')
        descriptor = socket.recv_fd
        self._loop.add_reader(descriptor, self._read, socket, peer)

    def _close_socket(self, socket: Any) -> None:
        if self._loop is not None:
            self._loop.remove_reader(socket.recv_fd)
        socket.close()

    def _send(self, peer: str, data: bytes) -> bool:
        """Hand a frame to the socket; False when it had to be dropped."""
        accepted = self._accepted.get(peer)
        dialed = self._dialed.get(peer)
        try:
            if dialed is not None:
                dialed.socket.send(data, block=False)
                dialed.state.note_sent(clock.read_now())
                return True
            if accepted is not None and self._listener is not None:
                message = pynng.Message(data, accepted.pipe)
                self._listener.send_msg(message, block=False)
                accepted.state.note_sent(clock.read_now())
                return True
        except pynng.NNGException:
            return False
        return False

    def _read(self, socket: Any, peer: str | None) -> None:
        """Deliver every frame that a socket holds."""
        while True:
            try:
                message = socket.recv_msg(block=False)
            except pynng.NNGException:
                return
            try:
                received = self._codec.decode_frame(message.bytes)
            except codec.FrameRejected:
                self.counters['frames_rejected'] += 1
                continue
            self.counters['frames_received'] += 1
            if not self._note_heard(received, peer, message.pipe):
                self.counters['frames_rejected'] += 1
                continue
            if self._handler is not None:
                self._handler(received)

    def _note_heard(
        self, received: frame.Frame, peer: str | None, pipe: Any
    ) -> bool:
        """Record who sent a frame; False when it is not who was dialed."""
        now_s = clock.read_now()
        name = received.sender.name
        if peer is not None:
            dialed = self._dialed.get(peer)
            if name != peer or dialed is None:
                return False
            dialed.state.note_heard(now_s)
            return True
        known = self._accepted.get(name)
        if known is None or known.pipe is not pipe:
            state = connection.Connection(name, now_s, now_s)
            self._accepted[name] = Accepted(pipe, state)
            return True
        known.state.note_heard(now_s)
        return True


def _open_socket() -> Any:
    return pynng.Pair1(
        polyamorous=True,
        recv_buffer_size=BUFFERED_FRAMES,
        send_buffer_size=BUFFERED_FRAMES,
        recv_max_size=codec.MAX_FRAME_BYTES,
    )
