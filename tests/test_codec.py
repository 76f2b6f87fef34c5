"""Encoding, authentication and validation of frames."""

import unittest

import ddt

from eelgrassworks import contracts
from eelgrassworks import links
from eelgrassworks.links import messages

KEY = b'a key for tests'
SENDER = links.Sender('entry-1', 7, 'tcp://127.0.0.1:1')


@ddt.ddt
class FrameTest(unittest.TestCase):
    @ddt.data(
        messages.Heartbeat(1.5),
        messages.TaskFence('job', 3, 1, 9, 1000),
        messages.TaskFinished('job', 3, True, False, b'{}', 12, 4, 9),
        messages.ClaimsRequest(1, (contracts.Claim('id', 'd', 'e', 4),)),
        messages.ConfigurationChangeRequest(
            'c', 'o', 1, links.pack(contracts.CloseDomain('tema-port'))
        ),
    )
    def test_keeps_message(self, message: object) -> None:
        codec = links.Codec(KEY)
        frame = codec.decode_frame(codec.encode_frame(SENDER, [message]))
        self.assertEqual((frame.sender, frame.messages[0]), (SENDER, message))

    @ddt.data(
        ('empty', lambda data: b''),
        ('cut', lambda data: data[:-1]),
        ('changed', lambda data: data[:-1] + bytes([data[-1] ^ 1])),
        ('without code', lambda data: bytes(16) + data[16:]),
        ('grown', lambda data: data + b'x'),
    )
    @ddt.unpack
    def test_rejects_frame(self, _: str, corrupt) -> None:
        codec = links.Codec(KEY)
        data = codec.encode_frame(SENDER, [messages.Heartbeat(1.5)])
        with self.assertRaises(links.FrameRejected):
            codec.decode_frame(corrupt(data))

    def test_rejects_other_key(self) -> None:
        data = links.Codec(b'other').encode_frame(SENDER, [])
        with self.assertRaises(links.FrameRejected):
            links.Codec(KEY).decode_frame(data)
