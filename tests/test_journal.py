"""The data folder: recovery on start, and disk failures."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import errno
import itertools
import os
import pathlib
import random
import stat
import tempfile
from typing import Any
import unittest
from unittest import mock

import ddt
import msgspec

from eelgrassworks import effects
from eelgrassworks import errors
from eelgrassworks import links
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import journal
from eelgrassworks.replication import ledger
from eelgrassworks.replication import roles

VOTERS = {'control-1': 'disk-1'}
IDENTITY = journal.Identity('test', 'control-1', 'disk-1', VOTERS)
NO_OP = links.pack(commands.NoOp())
SHORT_WRITE_BYTES = 7


class FailingDisk(journal.SystemDisk):
    """A disk that fails on demand and counts its syncs."""

    def __init__(self) -> None:
        self.failure: int | None = None
        self.short = False
        self.syncs = 0

    def write(self, descriptor: int, data: bytes) -> int:
        """Write all data, write only a part, or fail."""
        if self.failure == errno.ENOSPC:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return super().write(
            descriptor, data[:SHORT_WRITE_BYTES] if self.short else data
        )

    def sync(self, descriptor: int) -> None:
        """Sync, or fail."""
        self.syncs += 1
        if self.failure == errno.EIO:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().sync(descriptor)


def make_write(index: int, keep: int | None = None) -> effects.Write:
    """Return a write of one entry in term 1."""
    entry = messages.LogEntry(index, 1, NO_OP)
    previous = index - 1 if keep is None else keep
    return effects.Write(index, 1, 'control-1', previous, (entry,))


def make_entries(
    first: int, count: int, term: int
) -> tuple[messages.LogEntry, ...]:
    """Return entries of a term from an index on."""
    return tuple(
        messages.LogEntry(index, term, NO_OP)
        for index in range(first, first + count)
    )


def make_snapshot(index: int) -> effects.SaveSnapshot:
    """Return a snapshot up to an index, with one entry after it."""
    data = ledger.Ledger().dump(commands.SetMembers(VOTERS, {}))
    remaining = (messages.LogEntry(index + 1, 2, NO_OP),)
    return effects.SaveSnapshot(9, index, 1, data, 2, '', remaining)


def lose(content: bytes, start: int, stop: int) -> bytes:
    """Return the content with a range that was never written."""
    lost = content[start:stop]
    return content[:start] + bytes(len(lost)) + content[stop:]


# What a power loss may leave of the writes after the last sync.
TEARS: dict[str, Callable[[bytes], bytes]] = {
    'all missing': lambda batch: b'',
    'prefix': lambda batch: batch[: len(batch) // 2],
    'header alone': lambda batch: batch[: journal.RECORD_HEADER.size],
    'length torn': lambda batch: lose(batch, 0, 4),
    'checksum torn': lambda batch: lose(batch, 4, 12),
    'first body torn': lambda batch: lose(batch, 16, 24),
    'middle torn': lambda batch: lose(
        batch, len(batch) // 2 - 4, len(batch) // 2 + 4
    ),
    'end torn': lambda batch: lose(batch, len(batch) - 4, len(batch)),
    'first half zeroed': lambda batch: lose(batch, 0, len(batch) // 2),
    'all zeroed': lambda batch: bytes(len(batch)),
    'first short write missing': lambda batch: lose(
        batch, 0, SHORT_WRITE_BYTES
    ),
    'other bytes in the first body': lambda batch: (
        batch[:16] + b'\xff' * 8 + batch[24:]
    ),
}


class JournalCase(unittest.TestCase):
    """Opens one data folder in a temporary place."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.disk = FailingDisk()

    def open(self, name: str = 'control-1') -> Any:
        """Open the folder; return the journal and what it recovered."""
        opened = journal.Journal(self.folder, self.disk)
        self.addCleanup(opened.close)
        return opened, opened.open(name)

    def fill(self, count: int) -> None:
        """Format the folder and write some entries, each synced."""
        journal.Journal(self.folder, self.disk).format(IDENTITY)
        opened, _ = self.open()
        for index in range(1, count + 1):
            opened.append(make_write(index))
            opened.sync()

    def write_batch(self) -> int:
        """Write three entries after three synced ones, without a sync.

        Returns the length of the synced part of the journal.
        """
        self.fill(3)
        path = self.folder / journal.JOURNAL_NAME
        synced_bytes = path.stat().st_size
        opened, _ = self.open()
        for index in (4, 5, 6):
            opened.append(make_write(index))
        self.disk.failure = errno.EIO
        with self.assertRaises(errors.Fault):
            opened.sync()
        self.disk.failure = None
        return synced_bytes


@ddt.ddt
class JournalTest(JournalCase):
    def test_keeps_what_was_synced(self) -> None:
        self.disk.short = True
        self.fill(5)
        _, recovered = self.open()
        entries = recovered.stored.entries
        self.assertEqual([entry.index for entry in entries], [1, 2, 3, 4, 5])
        self.assertEqual(recovered.stored.vote, 'control-1')
        self.assertEqual(recovered.torn_bytes, 0)

    def test_replaces_conflicting_entries(self) -> None:
        self.fill(5)
        opened, _ = self.open()
        opened.append(make_write(3, keep=2))
        opened.sync()
        _, recovered = self.open()
        indices = [entry.index for entry in recovered.stored.entries]
        self.assertEqual(indices, [1, 2, 3])

    @ddt.data(*range(1, 30, 4))
    def test_cuts_off_torn_record(self, missing: int) -> None:
        self.fill(3)
        path = self.folder / journal.JOURNAL_NAME
        path.write_bytes(path.read_bytes()[:-missing])
        _, recovered = self.open()
        self.assertEqual(len(recovered.stored.entries), 2)
        self.assertGreater(recovered.torn_bytes, 0)
        _, again = self.open()
        self.assertEqual(again.torn_bytes, 0)

    # File name, position of the damaged byte, parts of reason and remedy.
    @ddt.data(
        ('journal', 40, 'journal is damaged', 'learner'),
        ('snapshot', 40, 'snapshot is damaged', 'learner'),
        ('identity', 15, 'identity is damaged', 'learner'),
    )
    @ddt.unpack
    def test_refuses_damage(
        self, name: str, position: int, reason: str, remedy: str
    ) -> None:
        self.fill(8)
        opened, _ = self.open()
        opened.save_snapshot(make_snapshot(8))
        for index in (10, 11, 12):
            opened.append(make_write(index))
        opened.sync()
        path = self.folder / name
        data = bytearray(path.read_bytes())
        data[position] ^= 0xFF
        path.write_bytes(bytes(data))
        with self.assertRaises(errors.Fault) as caught:
            self.open()
        self.assertIn(reason, str(caught.exception))
        self.assertIn(remedy, str(caught.exception))

    # The missing file, number of entries after the snapshot.
    @ddt.data(('snapshot', 0), ('snapshot', 1), ('journal', 0), ('journal', 1))
    @ddt.unpack
    def test_refuses_folder_without_a_file(
        self, name: str, count: int
    ) -> None:
        """A missing file must not be read as an empty one."""
        self.fill(8)
        opened, _ = self.open()
        snapshot = make_snapshot(8)
        remaining = snapshot.entries[:count]
        opened.save_snapshot(dataclasses.replace(snapshot, entries=remaining))
        (self.folder / name).unlink()
        with self.assertRaisesRegex(
            errors.Fault, f'file {name} is missing'
        ) as caught:
            self.open()
        self.assertTrue(caught.exception.refusal.values['damaged'])

    def test_refuses_folder_of_another(self) -> None:
        self.fill(1)
        with self.assertRaisesRegex(errors.Fault, 'belongs to replica'):
            self.open('control-2')

    def test_refuses_to_format_again(self) -> None:
        self.fill(1)
        with self.assertRaisesRegex(errors.Fault, 'already holds'):
            journal.Journal(self.folder, self.disk).format(IDENTITY)

    def test_recognizes_empty_folder(self) -> None:
        opened = journal.Journal(self.folder, self.disk)
        self.assertTrue(opened.is_new())
        opened.format(IDENTITY)
        self.assertFalse(opened.is_new())

    def test_snapshot_replaces_journal(self) -> None:
        self.fill(8)
        opened, _ = self.open()
        opened.save_snapshot(make_snapshot(8))
        _, recovered = self.open()
        stored = recovered.stored
        self.assertEqual((stored.base_index, stored.base_term), (8, 1))
        self.assertEqual([entry.index for entry in stored.entries], [9])
        self.assertEqual(stored.members.voters, VOTERS)

    def test_ignores_half_written_snapshot(self) -> None:
        self.fill(8)
        temporary = self.folder / (
            journal.SNAPSHOT_NAME + journal.TEMPORARY_SUFFIX
        )
        temporary.write_bytes(b'half')
        _, recovered = self.open()
        self.assertEqual(len(recovered.stored.entries), 8)
        self.assertFalse(temporary.exists())

    def test_old_journal_beside_new_snapshot(self) -> None:
        """The process died between replacing the snapshot and the journal."""
        self.fill(8)
        old = (self.folder / journal.JOURNAL_NAME).read_bytes()
        opened, _ = self.open()
        opened.save_snapshot(make_snapshot(5))
        (self.folder / journal.JOURNAL_NAME).write_bytes(old)
        _, recovered = self.open()
        indices = [entry.index for entry in recovered.stored.entries]
        self.assertEqual(indices, [6, 7, 8])

    @ddt.data(errno.EIO, errno.ENOSPC)
    def test_failed_write_is_not_retried(self, failure: int) -> None:
        self.fill(2)
        opened, _ = self.open()
        opened.append(make_write(3))
        self.disk.failure = failure
        before = self.disk.syncs
        with self.assertRaisesRegex(errors.Fault, 'a write failed'):
            opened.sync()
        self.assertLessEqual(self.disk.syncs, before + 1)


@ddt.ddt
class TornBatchTest(JournalCase):
    """A power loss tears the writes after the last sync."""

    def recover(self, content: bytes) -> list[int]:
        """Return the indices read from a journal with this content."""
        (self.folder / journal.JOURNAL_NAME).write_bytes(content)
        opened, recovered = self.open()
        opened.close()
        return [entry.index for entry in recovered.stored.entries]

    def assert_synced_part_recovered(self, content: bytes) -> None:
        """Check that what was synced is read, and no entry after a gap."""
        indices = self.recover(content)
        self.assertEqual(indices[:3], [1, 2, 3])
        self.assertEqual(indices, list(range(1, len(indices) + 1)))

    @ddt.data(*TEARS)
    def test_torn_batch_is_no_damage(self, tear: str) -> None:
        """A torn batch must not cost the folder what was synced before."""
        synced_bytes = self.write_batch()
        content = (self.folder / journal.JOURNAL_NAME).read_bytes()
        batch = TEARS[tear](content[synced_bytes:])
        self.assert_synced_part_recovered(content[:synced_bytes] + batch)

    @ddt.data(1, 4, 16)
    def test_lost_range_of_a_batch_is_no_damage(self, length: int) -> None:
        """No lost part of a batch, wherever it is, is taken for damage."""
        synced_bytes = self.write_batch()
        content = (self.folder / journal.JOURNAL_NAME).read_bytes()
        for start in range(synced_bytes, len(content), length):
            torn = lose(content, start, start + length)
            if torn == content:
                continue
            with self.subTest(start=start - synced_bytes):
                self.assert_synced_part_recovered(torn)

    @ddt.data(*TEARS)
    def test_damage_before_a_torn_batch_is_refused(self, tear: str) -> None:
        synced_bytes = self.write_batch()
        content = bytearray((self.folder / journal.JOURNAL_NAME).read_bytes())
        batch = TEARS[tear](bytes(content[synced_bytes:]))
        content[journal.RECORD_HEADER.size] ^= 0xFF
        with self.assertRaisesRegex(errors.Fault, 'damaged at byte 0'):
            self.recover(bytes(content[:synced_bytes]) + batch)

    def test_whole_batch_is_kept(self) -> None:
        self.write_batch()
        content = (self.folder / journal.JOURNAL_NAME).read_bytes()
        self.assertEqual(self.recover(content), [1, 2, 3, 4, 5, 6])


class RecordingDisk(FailingDisk):
    """A disk that records the durable files of a folder at its sync."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__()
        self.folder = folder
        self.durable: dict[str, bytes] = {}

    def sync(self, descriptor: int) -> None:
        """Sync, and record the files if the descriptor is the folder."""
        super().sync(descriptor)
        if stat.S_ISDIR(os.fstat(descriptor).st_mode):
            self.durable = read_files(self.folder)


def read_files(folder: pathlib.Path) -> dict[str, bytes]:
    """Return the content of the files in a folder by name."""
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def list_survivals(
    durable: dict[str, bytes], current: dict[str, bytes]
) -> Iterator[dict[str, bytes]]:
    """Return what a power loss may leave: any removal may be undone."""
    removed = sorted(set(durable) - set(current))
    for count in range(len(removed) + 1):
        for names in itertools.combinations(removed, count):
            yield current | {name: durable[name] for name in names}


@ddt.ddt
class EmptiedFolderTest(JournalCase):
    """A power loss while a folder is emptied, or right after."""

    def prepare(self, with_snapshot: bool) -> RecordingDisk:
        """Fill the folder; return a disk that knows its durable files."""
        self.fill(8)
        opened, _ = self.open()
        if with_snapshot:
            opened.save_snapshot(make_snapshot(7))
            opened.append(make_write(9))
            opened.sync()
        opened.close()
        disk = RecordingDisk(self.folder)
        disk.durable = read_files(self.folder)
        return disk

    def recover(self, files: dict[str, bytes]) -> str:
        """Return what a replica reads from a folder with these files."""
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            for file_name, content in files.items():
                (folder / file_name).write_bytes(content)
            opened = journal.Journal(folder, journal.SystemDisk())
            if opened.is_new():
                return 'new'
            recovered = opened.open('control-1')
            opened.close()
            stored = recovered.stored
            return f'{stored.term}: {stored.base_index + len(stored.entries)}'

    @ddt.data(False, True)
    def test_power_loss_leaves_no_old_disk_without_its_log(
        self, with_snapshot: bool
    ) -> None:
        """An identity that outlives its journal would vote without it."""
        disk = self.prepare(with_snapshot)
        whole = self.recover(disk.durable)
        states: list[tuple[dict[str, bytes], dict[str, bytes]]] = []
        unlink = pathlib.Path.unlink

        def unlink_and_record(
            path: pathlib.Path, missing_ok: bool = False
        ) -> None:
            unlink(path, missing_ok)
            states.append((disk.durable, read_files(self.folder)))

        with mock.patch.object(pathlib.Path, 'unlink', unlink_and_record):
            journal.Journal(self.folder, disk).empty()
        self.assertGreater(len(states), 2)
        for durable, current in states:
            for files in list_survivals(durable, current):
                with self.subTest(files=sorted(files)):
                    self.assertIn(self.recover(files), ('new', whole))

    @ddt.data(False, True)
    def test_emptied_folder_stays_empty(self, with_snapshot: bool) -> None:
        """A file that comes back after a power loss is of the old disk."""
        disk = self.prepare(with_snapshot)
        journal.Journal(self.folder, disk).empty()
        self.assertEqual(read_files(self.folder), {})
        self.assertEqual(disk.durable, {})


# Writes of one batch, each with the index after which entries become void and
# the number of entries that follow it.
BATCHES: dict[str, tuple[tuple[int, int], ...]] = {
    'one write': ((3, 1),),
    'entries in sequence': ((3, 1), (4, 2), (6, 1)),
    'term and vote alone': ((3, 0), (3, 0)),
    'vote between entries': ((3, 2), (5, 0), (5, 1)),
    'truncates the batch': ((3, 4), (5, 1)),
    'truncates the synced part': ((1, 2), (3, 1)),
    'truncates both, twice': ((3, 3), (1, 2), (2, 0), (2, 2)),
    'truncates all': ((3, 1), (0, 0), (0, 1)),
    'entries of the snapshot': ((0, 2), (2, 3)),
}


@ddt.ddt
class MergedBatchTest(unittest.TestCase):
    """One record has the effect of the writes that it replaces."""

    def check(
        self, base: int, synced: int, batch: tuple[tuple[int, int], ...]
    ) -> None:
        """Compare the states after single records and a merged one."""
        stored = roles.StoredState(
            0, '', base, 1, commands.SetMembers({}, {}), ()
        )
        before = [
            journal.JournalRecord(1, '', index - 1, make_entries(index, 1, 1))
            for index in range(1, synced + 1)
        ]
        records = [
            journal.JournalRecord(
                term, f'v-{term}', keep, make_entries(keep + 1, count, term)
            )
            for term, (keep, count) in enumerate(batch, 2)
        ]
        self.assertEqual(
            journal.replay(stored, [*before, journal.merge(records)]),
            journal.replay(stored, before + records),
        )

    @ddt.data(*BATCHES)
    def test_merged_record_is_equivalent(self, name: str) -> None:
        for base in (0, 2):
            with self.subTest(base=base):
                self.check(base, 3, BATCHES[name])

    @ddt.data(*range(8))
    def test_drawn_batch_is_equivalent(self, seed: int) -> None:
        source = random.Random(seed)
        for _ in range(200):
            last = synced = source.randrange(6)
            batch = []
            for _ in range(source.randint(1, 6)):
                keep = source.randint(0, last)
                last = keep + source.randrange(4)
                batch.append((keep, last - keep))
            self.check(source.randint(0, synced), synced, tuple(batch))

    def test_records_of_an_earlier_release_are_read(self) -> None:
        """Earlier releases wrote one record for each write of a batch."""
        records = [
            journal.JournalRecord(1, '', index, make_entries(index + 1, 1, 1))
            for index in range(3)
        ]
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            opened = journal.Journal(folder, journal.SystemDisk())
            opened.format(IDENTITY)
            (folder / journal.JOURNAL_NAME).write_bytes(
                b''.join(
                    journal._frame(msgspec.msgpack.encode(record))
                    for record in records
                )
            )
            recovered = opened.open('control-1')
            opened.close()
        self.assertEqual(len(recovered.stored.entries), 3)
