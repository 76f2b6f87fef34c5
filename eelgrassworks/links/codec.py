"""Encoding of frames and of tagged values.

A frame is an authentication code followed by MessagePack.  Decoding validates
every field, so that decision classes receive only well-typed messages.
"""

import dataclasses
import hashlib
import hmac
from typing import Any
from typing import Final
import zlib

import msgspec

from eelgrassworks.links import frame

PROTOCOL_VERSION: Final = 2
MAC_BYTES: Final = 16
MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
# Messages that fit are sent together; leaves room for one that is larger.
MAX_BATCH_BYTES: Final = MAX_FRAME_BYTES // 2
# Configurations and snapshots exceed this size.  Messages about single tasks
# are smaller; compressing them would cost more processor time than it saves.
COMPRESSION_THRESHOLD_BYTES: Final = 4096
COMPRESSION_LEVEL: Final = 1
UNCOMPRESSED_FLAG: Final = b'\x00'
COMPRESSED_FLAG: Final = b'\x01'

# The tag of a registered class, and the encoding of a value.
Variant = tuple[str, msgspec.Raw]


class FrameRejected(Exception):
    """A frame is malformed, of another protocol version or not authentic."""


class FrameTooLong(Exception):
    """A frame exceeds the size that receivers accept."""


class FrameModel(msgspec.Struct, array_like=True, frozen=True):
    """A frame as it is encoded; validated when it is decoded."""

    version: int
    sender: str
    incarnation: int
    address: str
    messages: list[Variant]


_ENCODER: Final = msgspec.msgpack.Encoder()
_ORDERED_ENCODER: Final = msgspec.msgpack.Encoder(order='deterministic')
_FRAME_DECODER: Final = msgspec.msgpack.Decoder(FrameModel)
_DECODERS: Final[dict[str, msgspec.msgpack.Decoder[Any]]] = {}


def find_tag(registered: type) -> str:
    """Return the tag of a class: its own ``TAG``, else its name."""
    tag: str = vars(registered).get('TAG', registered.__name__)
    return tag


def register(*types: type) -> None:
    """Allow messages and data classes to be encoded, under their tags."""
    for each in types:
        if not issubclass(each, msgspec.Struct) and not (
            dataclasses.is_dataclass(each)
        ):
            raise TypeError(f'{each.__name__} is not a model or data class')
        _DECODERS[find_tag(each)] = msgspec.msgpack.Decoder(each)


def pack(value: object) -> Variant:
    """Encode a message or a registered data class with its tag."""
    return find_tag(type(value)), msgspec.Raw(_ENCODER.encode(value))


def unpack(variant: Variant) -> Any:
    """Decode and validate a variant.

    Raises FrameRejected when the tag is unknown or a field is not valid.
    """
    tag, raw = variant
    decoder = _DECODERS.get(tag)
    if decoder is None:
        raise FrameRejected(f'unknown tag {tag!r}')
    try:
        return decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise FrameRejected(f'{tag}: {error}') from error


def encode_deterministic(value: object) -> bytes:
    """Encode a value so that equal values give equal bytes on every host."""
    return _ORDERED_ENCODER.encode(value)


class Codec:
    """Encodes and authenticates the frames of one process."""

    def __init__(self, key: bytes) -> None:
        # Copied for each frame, which is cheaper than a new keyed hash.
        digest = hashlib.blake2b(key, digest_size=hashlib.blake2b.MAX_KEY_SIZE)
        self._keyed_hash = hashlib.blake2b(
            digest_size=MAC_BYTES, key=digest.digest()
        )

    def encode_frame(
        self, sender: frame.Sender, messages: list[object]
    ) -> bytes:
        """Return the bytes of one frame.

        Raises FrameTooLong when a receiver would reject it.
        """
        return self._encode(sender, [pack(message) for message in messages])

    def encode_frames(
        self, sender: frame.Sender, messages: list[object]
    ) -> list[bytes]:
        """Return as few frames, in order, as their size limit allows.

        Raises FrameTooLong when one message does not fit into a frame.
        """
        batches: list[list[Variant]] = [[]]
        batch_bytes = 0
        for message in messages:
            variant = pack(message)
            size = len(variant[1])
            if batches[-1] and batch_bytes + size > MAX_BATCH_BYTES:
                batches.append([])
                batch_bytes = 0
            batches[-1].append(variant)
            batch_bytes += size
        return [self._encode(sender, batch) for batch in batches]

    def _encode(self, sender: frame.Sender, packed: list[Variant]) -> bytes:
        model = FrameModel(
            PROTOCOL_VERSION,
            sender.name,
            sender.incarnation,
            sender.address,
            packed,
        )
        encoded = _ENCODER.encode(model)
        if len(encoded) > MAX_FRAME_BYTES:
            raise FrameTooLong(
                f'{len(encoded)} bytes exceed {MAX_FRAME_BYTES}'
            )
        body = _compress(encoded)
        return self._authenticate(body) + body

    def decode_frame(self, data: bytes) -> frame.Frame:
        """Return the frame in ``data``, or raise FrameRejected."""
        if len(data) < MAC_BYTES:
            raise FrameRejected('frame is too short')
        if len(data) > MAX_FRAME_BYTES:
            raise FrameRejected('frame is too long')
        body = data[MAC_BYTES:]
        if not hmac.compare_digest(data[:MAC_BYTES], self._authenticate(body)):
            raise FrameRejected('frame is not authentic')
        try:
            model = _FRAME_DECODER.decode(_decompress(body))
        except (
            msgspec.MsgspecError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            raise FrameRejected(str(error)) from error
        if model.version != PROTOCOL_VERSION:
            raise FrameRejected(f'protocol version {model.version}')
        sender = frame.Sender(model.sender, model.incarnation, model.address)
        messages = tuple(unpack(variant) for variant in model.messages)
        return frame.Frame(sender, messages)

    def _authenticate(self, body: bytes) -> bytes:
        state = self._keyed_hash.copy()
        state.update(body)
        return state.digest()


def _compress(body: bytes) -> bytes:
    if len(body) < COMPRESSION_THRESHOLD_BYTES:
        return UNCOMPRESSED_FLAG + body
    return COMPRESSED_FLAG + zlib.compress(body, COMPRESSION_LEVEL)


def _decompress(body: bytes) -> bytes:
    """Return the uncompressed body.

    Raises FrameRejected when the data is not valid or decompresses to more
    than MAX_FRAME_BYTES.
    """
    if body[:1] == UNCOMPRESSED_FLAG:
        return body[1:]
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(body[1:], MAX_FRAME_BYTES)
    except zlib.error as error:
        raise FrameRejected(str(error)) from error
    if not decompressor.eof:
        raise FrameRejected('frame is truncated or too long')
    return decompressed
