"""Transport between processes over pynng sockets.

Each process listens on one pull socket and opens one push socket to each
peer.  A frame contains the address of its sender, so that the receiver can
open a connection in the other direction.  A single pair socket with many
peers would halve the number of connections, but it drops the third frame
that is queued for a peer and reports no error.  The event loop polls the
sockets through their file descriptors.

Delivery is at most once: frames are never resent.  A connection whose
heartbeats are not echoed is closed, which discards its buffered frames, and
opened again.  Heartbeats and echoes travel in frames that are sent anyway,
and alone only where there is none for a while: the cost of a link is mostly
its number of frames.
"""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Final
from typing import Protocol

import msgspec
import pynng

from eelgrassworks import clock
from eelgrassworks import logs
from eelgrassworks.links import codec
from eelgrassworks.links import connection
from eelgrassworks.links import frame
from eelgrassworks.links import messages

BUFFERED_FRAMES: Final = 1024
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 500
# An echo waits this long for a frame to the same peer.  Longer than the
# interval between two renewals of an agent to an idle entry.
ECHO_DELAY_S: Final = 0.45
# Heartbeats and timeouts need no finer resolution.
TICK_INTERVAL_S: Final = 0.15
# A connection that neither end keeps is closed after this time without
# messages.
IDLE_TIMEOUT_S: Final = 3.0

Handler = Callable[[frame.Frame], None]


class Transport(Protocol):
    """The interface of a transport."""

    sender: frame.Sender

    def start(self, handler: Handler) -> None:
        """Start delivering frames to the handler."""

    def connect(
        self, peer: str, address: str, persistent: bool = True
    ) -> None:
        """Maintain a connection to a peer, or open it when it is needed."""

    def disconnect(self, peer: str) -> None:
        """Let the connection to a peer close when it is idle."""

    def post(self, peer: str, message: object) -> None:
        """Queue a message for the next flush to this peer."""

    def flush(self) -> None:
        """Send the queued messages, in as few frames as possible a peer."""

    def tick(self, now_s: float) -> None:
        """Send heartbeats and replace unresponsive connections."""

    def close(self) -> None:
        """Close every connection."""

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""


@dataclasses.dataclass(slots=True)
class OutgoingConnection:
    """A connection that this process opened to a peer.

    A ``persistent`` connection was requested through ``connect`` and is
    reopened when it becomes unresponsive; others are removed, and closed when
    idle.  ``last_use_s`` is when a message of the application was sent or
    received, or a heartbeat of a peer that keeps its connection.
    ``sender_address`` is the one from which the peer sent its latest frame.
    """

    address: str
    socket: Any
    state: connection.Connection
    persistent: bool
    last_use_s: float
    sender_address: str

    def is_idle(self, now_s: float) -> bool:
        """Tell whether neither end needs the connection any more."""
        return not self.persistent and now_s - self.last_use_s > IDLE_TIMEOUT_S


@dataclasses.dataclass(frozen=True, slots=True)
class PendingEcho:
    """A heartbeat of ``sent_s`` that must be echoed until ``due_s``."""

    sent_s: float
    due_s: float


class SocketTransport:
    """The sockets of one process."""

    def __init__(
        self,
        frame_codec: codec.Codec,
        sender: frame.Sender,
        heartbeat_interval_s: float = connection.HEARTBEAT_INTERVAL_S,
        echo_timeout_s: float = connection.ECHO_TIMEOUT_S,
    ) -> None:
        self.sender = sender
        self._heartbeat_interval_s = heartbeat_interval_s
        self._echo_timeout_s = echo_timeout_s
        self.counters: dict[str, int] = {
            'frames_sent': 0,
            'frames_received': 0,
            'frames_dropped': 0,
            'frames_rejected': 0,
            'messages_sent': 0,
            'bytes_sent': 0,
            'bytes_received': 0,
            'connections_replaced': 0,
            'connections_idle': 0,
        }
        self._codec = frame_codec
        self._listener: Any = None
        self._handler: Handler | None = None
        self._outgoing: dict[str, OutgoingConnection] = {}
        self._outbox: dict[str, list[object]] = {}
        # Addresses of peers to which connections are opened when needed.
        self._addresses: dict[str, str] = {}
        self._echoes: dict[str, PendingEcho] = {}
        self._echo_timer: asyncio.TimerHandle | None = None
        self._last_tick_s = float('-inf')
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self, handler: Handler) -> None:
        """Listen, and start delivering frames to the handler.

        Raises pynng.NNGException when the address cannot be used.
        """
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._listener = pynng.Pull0(
            recv_buffer_size=BUFFERED_FRAMES,
            recv_max_size=codec.MAX_FRAME_BYTES,
        )
        self._listener.listen(self.sender.address)
        self._loop.add_reader(self._listener.recv_fd, self._read)

    def connect(
        self, peer: str, address: str, persistent: bool = True
    ) -> None:
        """Open a persistent connection to a peer, or keep an existing one.

        A connection that is not persistent is opened by the first message.
        """
        self._addresses[peer] = address
        if not persistent:
            return
        existing = self._outgoing.get(peer)
        if existing is not None and existing.address == address:
            existing.persistent = True
            return
        self._open(peer, address, persistent=True)

    def disconnect(self, peer: str) -> None:
        """Let the connection to a peer close when it is idle."""
        outgoing = self._outgoing.get(peer)
        if outgoing is not None:
            outgoing.persistent = False
            outgoing.last_use_s = clock.read_now()

    def post(self, peer: str, message: object) -> None:
        """Queue a message for the next flush to this peer."""
        if not self._outbox and self._loop is not None:
            self._loop.call_soon(self.flush)
        self._outbox.setdefault(peer, []).append(message)

    def flush(self) -> None:
        """Send the queued messages, in as few frames as possible a peer."""
        outbox, self._outbox = self._outbox, {}
        now_s = clock.read_now()
        for peer, queued_messages in outbox.items():
            self._add_heartbeat(peer, queued_messages, now_s)
            frames = self._encode(peer, queued_messages)
            sent = [data for data in frames if self._send(peer, data)]
            self.counters['frames_sent'] += len(sent)
            self.counters['bytes_sent'] += sum(map(len, sent))
            self.counters['frames_dropped'] += len(frames) - len(sent)
            if sent:
                self.counters['messages_sent'] += len(queued_messages)

    def _encode(self, peer: str, queued_messages: list[object]) -> list[bytes]:
        """Return the frames; none if a message cannot be encoded."""
        try:
            return self._codec.encode_frames(self.sender, queued_messages)
        except (
            codec.FrameTooLong,
            OverflowError,
            TypeError,
            msgspec.MsgspecError,
        ) as error:
            logs.log('frame_invalid', peer=peer, reason=str(error))
            self.counters['frames_dropped'] += 1
            return []

    def tick(self, now_s: float) -> None:
        """Send heartbeats and replace unresponsive connections."""
        if now_s - self._last_tick_s < TICK_INTERVAL_S:
            return
        self._last_tick_s = now_s
        for peer, outgoing in list(self._outgoing.items()):
            if outgoing.state.is_unresponsive(now_s):
                self._replace(peer, outgoing)
            elif outgoing.is_idle(now_s):
                self.counters['connections_idle'] += 1
                self._close(peer, outgoing)
            elif outgoing.state.needs_heartbeat(now_s):
                self._post_heartbeat(peer, outgoing, now_s)

    def _post_heartbeat(
        self, peer: str, outgoing: OutgoingConnection, now_s: float
    ) -> None:
        outgoing.state.record_heartbeat(now_s)
        self.post(peer, messages.Heartbeat(now_s, outgoing.persistent))

    def _add_heartbeat(
        self, peer: str, queued_messages: list[object], now_s: float
    ) -> None:
        """Add the pending echo and an early heartbeat to a frame."""
        outgoing = self._outgoing.get(peer)
        is_used = bool(queued_messages) and not isinstance(
            queued_messages[0], messages.Heartbeat | messages.HeartbeatEcho
        )
        if outgoing is not None and is_used:
            outgoing.last_use_s = now_s
        echo = self._echoes.pop(peer, None)
        if echo is not None:
            queued_messages.append(messages.HeartbeatEcho(echo.sent_s))
        if outgoing is not None and outgoing.state.may_send_heartbeat(now_s):
            outgoing.state.record_heartbeat(now_s)
            queued_messages.append(
                messages.Heartbeat(now_s, outgoing.persistent)
            )

    def _defer_echo(self, peer: str, sent_s: float) -> None:
        """Echo a heartbeat in the next frame, at the latest after a delay."""
        pending = self._echoes.get(peer)
        due_s = clock.read_now() + ECHO_DELAY_S
        if pending is not None:
            due_s = pending.due_s
        self._echoes[peer] = PendingEcho(sent_s, due_s)
        if self._echo_timer is None and self._loop is not None:
            self._echo_timer = self._loop.call_later(
                ECHO_DELAY_S, self._post_echoes
            )

    def _post_echoes(self) -> None:
        """Queue the echoes that no other frame has taken along in time."""
        now_s = clock.read_now()
        self._echo_timer = None
        for peer, echo in list(self._echoes.items()):
            if echo.due_s <= now_s:
                # The frame takes the pending echo along.
                self._outbox.setdefault(peer, [])
        if self._outbox:
            self.flush()
        if self._echoes and self._loop is not None:
            delay_s = min(each.due_s for each in self._echoes.values()) - now_s
            self._echo_timer = self._loop.call_later(
                max(0.0, delay_s), self._post_echoes
            )

    def close(self) -> None:
        """Close every connection."""
        for outgoing in self._outgoing.values():
            outgoing.socket.close()
        self._outgoing = {}
        if self._listener is not None and self._loop is not None:
            self._loop.remove_reader(self._listener.recv_fd)
            self._listener.close()
            self._listener = None
        if self._echo_timer is not None:
            self._echo_timer.cancel()
            self._echo_timer = None

    def describe(self) -> dict[str, object]:
        """Return the state for a dump."""
        now_s = clock.read_now()
        return {
            'peers': {
                peer: {
                    'address': outgoing.address,
                    'echo_age_s': round(
                        now_s - outgoing.state.last_contact_s, 3
                    ),
                }
                for peer, outgoing in sorted(self._outgoing.items())
            },
            'counters': dict(self.counters),
        }

    def _open(self, peer: str, address: str, persistent: bool) -> bool:
        """Open a connection; False if the address is not valid."""
        socket = pynng.Push0(send_buffer_size=BUFFERED_FRAMES)
        socket.reconnect_time_min = RECONNECT_MIN_MS
        socket.reconnect_time_max = RECONNECT_MAX_MS
        try:
            socket.dial(address, block=False)
        except (pynng.NNGException, ValueError) as error:
            socket.close()
            logs.log('address_invalid', peer=peer, reason=str(error))
            return False
        existing = self._outgoing.pop(peer, None)
        if existing is not None:
            existing.socket.close()
        state = connection.Connection(
            peer,
            clock.read_now(),
            heartbeat_interval_s=self._heartbeat_interval_s,
            timeout_s=self._echo_timeout_s,
        )
        self._outgoing[peer] = OutgoingConnection(
            address, socket, state, persistent, clock.read_now(), address
        )
        return True

    def _replace(self, peer: str, outgoing: OutgoingConnection) -> None:
        self.counters['connections_replaced'] += 1
        if outgoing.persistent:
            # The peer may have restarted at another address, or be reached
            # at one that it does not know.
            is_moved = (
                not outgoing.state.has_echo
                and outgoing.sender_address != outgoing.address
            )
            if is_moved and self._open(
                peer, outgoing.sender_address, persistent=True
            ):
                return
            self._open(peer, self._addresses[peer], persistent=True)
            return
        self._close(peer, outgoing)

    def _close(self, peer: str, outgoing: OutgoingConnection) -> None:
        outgoing.socket.close()
        del self._outgoing[peer]

    def _send(self, peer: str, data: bytes) -> bool:
        """Pass a frame to the socket; False when it had to be dropped."""
        outgoing = self._outgoing.get(peer)
        if outgoing is None and peer in self._addresses:
            self._open(peer, self._addresses[peer], persistent=False)
            outgoing = self._outgoing.get(peer)
        if outgoing is None:
            return False
        try:
            outgoing.socket.send(data, block=False)
        except pynng.NNGException:
            return False
        return True

    def _read(self) -> None:
        """Deliver all frames that the listener has received."""
        while self._listener is not None:
            try:
                data = self._listener.recv(block=False)
            except pynng.NNGException:
                return
            self._receive_frame(data)

    def _receive_frame(self, data: bytes) -> None:
        try:
            received = self._codec.decode_frame(data)
        except codec.FrameRejected as error:
            self.counters['frames_rejected'] += 1
            logs.log('frame_rejected', reason=str(error))
            return
        sender = received.sender
        existing = self._outgoing.get(sender.name)
        is_open = existing is not None and (
            existing.persistent or existing.address == sender.address
        )
        if not is_open and not self._open(
            sender.name, sender.address, persistent=False
        ):
            self.counters['frames_rejected'] += 1
            return
        self._outgoing[sender.name].sender_address = sender.address
        self.counters['frames_received'] += 1
        self.counters['bytes_received'] += len(data)
        remaining = tuple(
            message
            for message in received.messages
            if not self._handle_heartbeat(sender.name, message)
        )
        if remaining and self._handler is not None:
            self._outgoing[sender.name].last_use_s = clock.read_now()
            self._handler(frame.Frame(sender, remaining))

    def _handle_heartbeat(self, peer: str, message: object) -> bool:
        """Handle a heartbeat or an echo; False for other messages."""
        match message:
            case messages.Heartbeat(sent_s, kept):
                self._defer_echo(peer, sent_s)
                if kept:
                    self._outgoing[peer].last_use_s = clock.read_now()
                return True
            case messages.HeartbeatEcho(sent_s):
                outgoing = self._outgoing.get(peer)
                if outgoing is not None:
                    outgoing.state.record_echo(sent_s)
                return True
            case _:
                return False
