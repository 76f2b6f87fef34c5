"""The data folder: recovery on start, and disk failures."""

import errno
import os
import pathlib
import tempfile
from typing import Any
import unittest

import ddt

from eelgrassworks import effects
from eelgrassworks import errors
from eelgrassworks import links
from eelgrassworks.links import messages
from eelgrassworks.replication import commands
from eelgrassworks.replication import journal
from eelgrassworks.replication import ledger

VOTERS = {'control-1': 'disk-1'}
IDENTITY = journal.Identity('test', 'control-1', 'disk-1', VOTERS)
NO_OP = links.pack(commands.NoOp())


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
        return super().write(descriptor, data[:7] if self.short else data)

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


def make_snapshot(index: int) -> effects.SaveSnapshot:
    """Return a snapshot up to an index, with one entry after it."""
    data = ledger.Ledger().dump(commands.SetMembers(VOTERS, {}))
    remaining = (messages.LogEntry(index + 1, 2, NO_OP),)
    return effects.SaveSnapshot(9, index, 1, data, 2, '', remaining)


@ddt.ddt
class JournalTest(unittest.TestCase):
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
