"""The gate of a connection, with fakes of the HTTP library and transport."""

from collections.abc import Callable
import types
from typing import Any
import unittest

import ddt

from eelgrassworks import gate
from eelgrassworks import intake

HEAD = b'POST / HTTP/1.1\r\n\r\n'


class FakeContent:
    """A body whose end the library parses from its own buffer."""

    def __init__(self) -> None:
        self.total_bytes = 1500
        self.callbacks: list[Callable[[], None]] = []
        self.has_ended = False

    def is_eof(self) -> bool:
        return self.has_ended

    def on_eof(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)

    def end(self) -> None:
        self.has_ended = True
        for callback in self.callbacks:
            callback()


class FakeProtocol:
    """A protocol and a transport that do nothing but keep what is written."""

    def __init__(self) -> None:
        self.written: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def __getattr__(self, _: str) -> Callable[..., Any]:
        return lambda *_: 0


@ddt.ddt
class GateTest(unittest.TestCase):
    # Guards against a request that has been read whole, and whose tasks may
    # run, but is closed as one whose body is late: 1,500 chunks of one byte
    # in one read were taken for an unfinished body.
    @ddt.data((True, intake.Handling), (False, intake.ReadingBody))
    @ddt.unpack
    def test_end_of_a_buffered_body(
        self, has_ended: bool, phase: type
    ) -> None:
        gates = gate.Gates()
        client = gates.make_gate(FakeProtocol())
        client.connection_made(FakeProtocol())
        data = HEAD + b'1\r\nx\r\n' * 1500
        gates.buffer[: len(data)] = data
        client.buffer_updated(len(data))
        content = FakeContent()
        headers = {'Transfer-Encoding': 'chunked'}
        client.begin(types.SimpleNamespace(content=content, headers=headers))
        if has_ended:
            content.end()
        held = gates.intake._clients[client.number]
        self.assertIsInstance(held.phase, phase)

    # Guards against a status that depends on the sizes of reads: the library
    # refuses a long field with 400 if it is asked before the limit is passed.
    @ddt.data(1, 1000, intake.READ_BYTES)
    def test_status_of_a_head_that_is_too_large(self, size: int) -> None:
        transport = FakeProtocol()
        gates = gate.Gates()
        client = gates.make_gate(FakeProtocol())
        client.connection_made(transport)
        data = b'GET / HTTP/1.1\r\nX: ' + b'a' * 20_000
        for start in range(0, len(data), size):
            part = data[start : start + size]
            gates.buffer[: len(part)] = part
            client.buffer_updated(len(part))
        (response,) = transport.written
        self.assertTrue(response.startswith(b'HTTP/1.1 400 '), response)

    def test_request_whose_handler_has_not_started(self) -> None:
        """Guards against a request that is closed as an idle connection.

        The handler starts some turns of the loop after the head was read.
        """
        gates = gate.Gates()
        client = gates.make_gate(FakeProtocol())
        client.connection_made(FakeProtocol())
        held = gates.intake._clients[client.number]
        held.since_s -= 2 * intake.IDLE_TIMEOUT_S
        gates.buffer[: len(HEAD)] = HEAD
        client.buffer_updated(len(HEAD))
        self.assertIsNone(intake.find_expiry(held, held.progress_s))


if __name__ == '__main__':
    unittest.main()
