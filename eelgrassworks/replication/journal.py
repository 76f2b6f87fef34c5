"""Durable state of a control replica: one data folder.

The folder contains three files.  ``identity`` names the cluster, the replica
and the disk; a folder without it is new.  ``snapshot`` contains the state up
to an index.  ``journal`` contains checksummed records; a batch of writes is
one record, durable only once it is synced.  A file is replaced atomically: a
temporary file is written and synced, renamed over the old one, and the folder
synced.

After a power loss any part of the writes since the last sync may be missing.
As these are a single record, a valid record after a damaged one shows that the
damaged one had been synced.

On start these cases are distinguished: an empty folder, a folder of another
replica, a torn last record (truncated, since its sync never completed), a
damaged record with valid ones after it, a damaged snapshot, a missing journal
or snapshot, and a partial snapshot left by a crash (its temporary file is
removed).

A failed write or sync is never retried: the state of the file is unknown
afterwards, so the process must end.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import os
import pathlib
import struct
from typing import Final
from typing import Protocol

import msgspec
import xxhash

from eelgrassworks import effects
from eelgrassworks import errors
from eelgrassworks.links import codec
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import ledger
from eelgrassworks.replication import roles

IDENTITY_NAME: Final = 'identity'
SNAPSHOT_NAME: Final = 'snapshot'
JOURNAL_NAME: Final = 'journal'
TEMPORARY_SUFFIX: Final = '.new'

# Length of the body and its xxh3 checksum, big-endian.
RECORD_HEADER: Final = struct.Struct('>IQ')
MAX_RECORD_BYTES: Final = 256 * 1024 * 1024


class Identity(msgspec.Struct):
    """Validated model of the identity file.

    ``voters`` and their ``addresses`` are those that formed the cluster;
    empty if the replica joined later.
    """

    cluster: str
    name: str
    disk: str
    voters: dict[str, str]
    addresses: dict[str, str] = {}


class JournalRecord(msgspec.Struct, array_like=True):
    """Validated model of one journal record."""

    term: int
    vote: str
    keep: int
    entries: tuple[messages.LogEntry, ...]


class SnapshotRecord(msgspec.Struct, array_like=True):
    """Validated model of the snapshot file."""

    last_index: int
    last_term: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveredState:
    """Content of the folder; ``torn_bytes`` were cut off the journal."""

    identity: Identity
    stored: roles.StoredState
    snapshot: bytes
    torn_bytes: int


class Damage(enum.Enum):
    """Why a record could not be read."""

    SHORT = 'short'
    CHECKSUM = 'checksum'


class Disk(Protocol):
    """Calls that write to the disk; tests substitute failing ones."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write some of the data; return how much."""

    def sync(self, descriptor: int) -> None:
        """Make everything written to the descriptor durable."""


class SystemDisk:
    """Writes to the machine's disk."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write some of the data; return how much."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Make everything written to the descriptor durable."""
        os.fsync(descriptor)


class Journal:
    """The open data folder of one replica."""

    def __init__(self, folder: pathlib.Path, disk: Disk) -> None:
        self.folder = folder
        self.written_bytes = 0
        self.syncs = 0
        self._disk = disk
        self._descriptor = -1
        self._buffer: list[JournalRecord] = []

    # Start.

    def is_new(self) -> bool:
        """Return whether the folder contains no identity."""
        return not (self.folder / IDENTITY_NAME).exists()

    def format(self, identity: Identity) -> None:
        """Write the identity to a new folder.

        Raises Fault when the folder already contains files of a replica.
        """
        with self._translate_errors():
            self._format(identity)

    def _format(self, identity: Identity) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        for name in (IDENTITY_NAME, SNAPSHOT_NAME, JOURNAL_NAME):
            if (self.folder / name).exists():
                raise errors.Fault(
                    self._make_refusal(
                        f'it already holds {name}',
                        'name an empty folder, or start the replica on this '
                        'one without formatting it',
                        damaged=True,
                    )
                )
        data = msgspec.json.encode(identity)
        self._replace(IDENTITY_NAME, _frame(data))

    def open(self, name: str) -> RecoveredState:
        """Read the folder and open the journal for appending.

        Raises Fault, which names the remedy, when the folder is unusable.
        """
        with self._translate_errors():
            return self._open(name)

    def _open(self, name: str) -> RecoveredState:
        identity = self._read_identity(name)
        self._remove_temporary_files()
        snapshot = self._read_snapshot()
        founders = commands.SetMembers(identity.voters, {}, identity.addresses)
        stored = roles.StoredState(0, '', 0, 0, founders, ())
        data = b''
        if snapshot is not None:
            data = snapshot.data
            stored = dataclasses.replace(
                stored,
                base_index=snapshot.last_index,
                base_term=snapshot.last_term,
                members=ledger.read_members(data),
            )
            if not (self.folder / JOURNAL_NAME).exists():
                raise errors.Fault(self._make_missing_refusal(JOURNAL_NAME))
        records, torn_bytes = self._read_journal()
        if not continues(stored.base_index, records):
            raise errors.Fault(self._make_missing_refusal(SNAPSHOT_NAME))
        stored = replay(stored, records)
        return RecoveredState(identity, stored, data, torn_bytes)

    def _read_identity(self, name: str) -> Identity:
        try:
            framed = (self.folder / IDENTITY_NAME).read_bytes()
        except OSError as error:
            raise errors.Fault(
                self._make_refusal(
                    f'the identity cannot be read: {error.strerror}',
                    'check the permissions of the folder',
                )
            ) from error
        body = _unframe(framed, 0)
        if isinstance(body, Damage):
            raise errors.Fault(self._make_damage_refusal(IDENTITY_NAME, 0))
        identity = msgspec.json.decode(body, type=Identity)
        if identity.name != name:
            raise errors.Fault(
                self._make_refusal(
                    f'it belongs to replica {identity.name}, not {name}',
                    'name the folder of this replica in the settings',
                )
            )
        return identity

    def _read_snapshot(self) -> SnapshotRecord | None:
        path = self.folder / SNAPSHOT_NAME
        if not path.exists():
            return None
        body = _unframe(path.read_bytes(), 0)
        if isinstance(body, Damage):
            raise errors.Fault(self._make_damage_refusal(SNAPSHOT_NAME, 0))
        return msgspec.msgpack.decode(body, type=SnapshotRecord)

    def _read_journal(self) -> tuple[list[JournalRecord], int]:
        """Return the valid records and the number of torn bytes removed."""
        path = self.folder / JOURNAL_NAME
        os.close(os.open(path, os.O_WRONLY | os.O_CREAT, 0o600))
        content = path.read_bytes()
        records: list[JournalRecord] = []
        position = 0
        while position < len(content):
            body = _unframe(content, position)
            if isinstance(body, Damage):
                if _has_record_after(content, position):
                    raise errors.Fault(
                        self._make_damage_refusal(JOURNAL_NAME, position)
                    )
                break
            records.append(msgspec.msgpack.decode(body, type=JournalRecord))
            position += RECORD_HEADER.size + len(body)
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        os.ftruncate(self._descriptor, position)
        self._sync(self._descriptor)
        self._sync_folder()
        return records, len(content) - position

    def _remove_temporary_files(self) -> None:
        for path in self.folder.glob(f'*{TEMPORARY_SUFFIX}'):
            path.unlink()

    # Writes.

    def append(self, write: effects.Write) -> None:
        """Add a write to the batch that the next sync makes durable."""
        self._buffer.append(
            JournalRecord(write.term, write.vote, write.keep, write.entries)
        )

    def sync(self) -> None:
        """Write and sync the batch; raise Fault when that fails."""
        if not self._buffer:
            return
        record = merge(self._buffer)
        self._buffer = []
        data = _frame(msgspec.msgpack.encode(record))
        self._write(self._descriptor, data)
        self._sync(self._descriptor)

    def save_snapshot(self, save: effects.SaveSnapshot) -> None:
        """Replace the snapshot, then the journal of the entries after it."""
        with self._translate_errors():
            self._save_snapshot(save)

    def _save_snapshot(self, save: effects.SaveSnapshot) -> None:
        self._buffer = []
        record = SnapshotRecord(save.last_index, save.last_term, save.data)
        self._replace(SNAPSHOT_NAME, _frame(msgspec.msgpack.encode(record)))
        remaining = JournalRecord(
            save.term, save.vote, save.last_index, save.entries
        )
        self._replace(JOURNAL_NAME, _frame(msgspec.msgpack.encode(remaining)))
        self.close()
        self._descriptor = os.open(
            self.folder / JOURNAL_NAME, os.O_WRONLY | os.O_APPEND
        )

    def abandon(self) -> None:
        """Drop the unwritten batch and close the journal file."""
        self._buffer = []
        self.close()

    def empty(self) -> None:
        """Remove all files of the replica; the folder is new again.

        Raises Fault when that fails; it may be called again.
        """
        with self._translate_errors():
            self._empty()

    def _empty(self) -> None:
        # Files that outlive the identity are refused; an identity that
        # outlived its journal would vote without what it acknowledged.
        (self.folder / IDENTITY_NAME).unlink(missing_ok=True)
        self._sync_folder()
        self._remove_temporary_files()
        for name in (JOURNAL_NAME, SNAPSHOT_NAME):
            (self.folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def close(self) -> None:
        """Close the journal file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self.folder / (name + TEMPORARY_SUFFIX)
        descriptor = os.open(
            temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
        )
        with contextlib.closing(_Descriptor(descriptor)):
            self._write(descriptor, data)
            self._sync(descriptor)
        temporary.rename(self.folder / name)
        self._sync_folder()

    def _write(self, descriptor: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            try:
                count = self._disk.write(descriptor, bytes(view))
            except OSError as error:
                raise errors.Fault(self._make_write_refusal(error)) from error
            view = view[count:]
        self.written_bytes += len(data)

    def _sync(self, descriptor: int) -> None:
        try:
            self._disk.sync(descriptor)
        except OSError as error:
            raise errors.Fault(self._make_write_refusal(error)) from error
        self.syncs += 1

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        with contextlib.closing(_Descriptor(descriptor)):
            self._sync(descriptor)

    # Refusals.

    @contextlib.contextmanager
    def _translate_errors(self) -> Iterator[None]:
        """Raise a Fault for an error of the file system or of a decoder."""
        try:
            yield
        except OSError as error:
            raise errors.Fault(self._make_write_refusal(error)) from error
        except (msgspec.MsgspecError, codec.FrameRejected) as error:
            raise errors.Fault(
                self._make_refusal(
                    f'a file cannot be decoded: {error}',
                    'empty the folder and start the replica; it rejoins as a '
                    'learner',
                    damaged=True,
                )
            ) from error

    def _make_refusal(
        self, reason: str, remedy: str, damaged: bool = False
    ) -> errors.Refusal:
        return errors.refuse(
            errors.Code.DATA_FOLDER,
            folder=self.folder,
            reason=reason,
            remedy=remedy,
            damaged='yes' if damaged else '',
        )

    def _make_damage_refusal(self, name: str, position: int) -> errors.Refusal:
        return self._make_refusal(
            f'file {name} is damaged at byte {position}',
            'empty the folder and start the replica; it rejoins as a learner',
            damaged=True,
        )

    def _make_missing_refusal(self, name: str) -> errors.Refusal:
        return self._make_refusal(
            f'file {name} is missing or older than the others',
            'empty the folder and start the replica; it rejoins as a learner',
            damaged=True,
        )

    def _make_write_refusal(self, error: OSError) -> errors.Refusal:
        return self._make_refusal(
            f'a write failed: {error}',
            'free or replace the disk, then start the replica again',
        )


class _Descriptor:
    """A file descriptor that can be closed by a context manager."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._descriptor)


def _frame(body: bytes) -> bytes:
    checksum = xxhash.xxh3_64_intdigest(body)
    return RECORD_HEADER.pack(len(body), checksum) + body


def _unframe(content: bytes, position: int) -> bytes | Damage:
    """Return the body of the record at a position, or its damage."""
    body_start = position + RECORD_HEADER.size
    if body_start > len(content):
        return Damage.SHORT
    length, checksum = RECORD_HEADER.unpack_from(content, position)
    if length > MAX_RECORD_BYTES or body_start + length > len(content):
        return Damage.SHORT
    body = content[body_start : body_start + length]
    if xxhash.xxh3_64_intdigest(body) != checksum:
        return Damage.CHECKSUM
    return body


def _has_record_after(content: bytes, position: int) -> bool:
    """Return whether a valid record starts at any later byte."""
    last = len(content) - RECORD_HEADER.size
    for start in range(position + 1, last):
        body = _unframe(content, start)
        if isinstance(body, bytes) and body:
            return True
    return False


def merge(records: list[JournalRecord]) -> JournalRecord:
    """Return one record with the effect of several in sequence.

    The entries of a record are in order and all after its ``keep``.
    """
    entries: list[messages.LogEntry] = []
    for record in records:
        while entries and entries[-1].index > record.keep:
            entries.pop()
        entries += record.entries
    last = records[-1]
    keep = min(record.keep for record in records)
    return JournalRecord(last.term, last.vote, keep, tuple(entries))


def continues(base_index: int, records: list[JournalRecord]) -> bool:
    """Return whether the records have no gap after the snapshot."""
    last_index = base_index
    for record in records:
        if record.keep > last_index:
            return False
        last_index = record.keep
        if record.entries:
            last_index = record.entries[-1].index
        last_index = max(base_index, last_index)
    return True


def replay(
    stored: roles.StoredState, records: list[JournalRecord]
) -> roles.StoredState:
    """Apply journal records to the state from the snapshot."""
    entries: list[messages.LogEntry] = []
    term, vote = stored.term, stored.vote
    base = stored.base_index
    for record in records:
        term, vote = record.term, record.vote
        entries = [entry for entry in entries if entry.index <= record.keep]
        entries += [entry for entry in record.entries if entry.index > base]
    return dataclasses.replace(
        stored, term=term, vote=vote, entries=tuple(entries)
    )
