"""Links between processes: frames, messages and connections.

The socket transport is not imported here, since decision classes and their
tests do not need it.
"""

from eelgrassworks.links.codec import Codec
from eelgrassworks.links.codec import FrameRejected
from eelgrassworks.links.codec import pack
from eelgrassworks.links.codec import unpack
from eelgrassworks.links.codec import Variant
from eelgrassworks.links.connection import Connection
from eelgrassworks.links.frame import Frame
from eelgrassworks.links.frame import Sender

__all__ = [
    'Codec',
    'Connection',
    'Frame',
    'FrameRejected',
    'Sender',
    'Variant',
    'pack',
    'unpack',
]
