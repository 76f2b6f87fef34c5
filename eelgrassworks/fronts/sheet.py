"""Parser of the daily sheet: a CSV export with a header line.

A sheet has one row for each kind of request and each team.  An invalid cell
refuses the whole sheet; the refusal names the row, the column and the remedy.

Columns: ``record`` (kind or team), ``name``, ``failure_domains`` (separated
by semicolons), ``repeatable`` (yes or no), ``time_limit_ms``, ``share``,
``max_queued``, ``max_running``.  A kind uses the first five, a team the
first two and the last three; the other cells of a row must be empty.
"""

import csv
import io
import re
from typing import Final

import expression

from eelgrassworks import contracts
from eelgrassworks import errors

COLUMNS: Final = (
    'record',
    'name',
    'failure_domains',
    'repeatable',
    'time_limit_ms',
    'share',
    'max_queued',
    'max_running',
)
KIND_COLUMNS: Final = ('failure_domains', 'repeatable', 'time_limit_ms')
TEAM_COLUMNS: Final = ('share', 'max_queued', 'max_running')
NAME_PATTERN: Final = re.compile(r'[a-z0-9][a-z0-9.-]{0,62}')
MAX_SHEET_BYTES: Final = 4 * 1024 * 1024
MAX_TIME_LIMIT_MS: Final = 600_000
MAX_COUNT: Final = 1_000_000
MAX_SHARE: Final = 1000.0


class _InvalidCellError(Exception):
    """Raised with the refusal of a sheet that has an invalid cell."""

    def __init__(self, row: int, column: str, reason: str, remedy: str):
        super().__init__(reason)
        self.refusal = errors.refuse(
            errors.Code.BAD_SHEET,
            row=row,
            column=column,
            reason=reason,
            remedy=remedy,
        )


def parse_sheet(
    data: bytes,
) -> expression.Result[contracts.Sheet, errors.Refusal]:
    """Parse and validate a CSV export of a sheet."""
    try:
        return expression.Ok(_parse(data))
    except _InvalidCellError as error:
        return expression.Error(error.refusal)


def _parse(data: bytes) -> contracts.Sheet:
    rows = _read_rows(data)
    _check_header(rows)
    kinds: dict[str, contracts.Kind] = {}
    quotas: dict[str, contracts.Quota] = {}
    for number, cells in enumerate(rows[1:], start=2):
        if not any(cell.strip() for cell in cells):
            continue
        row = _Row(number, cells)
        match row.read('record'):
            case 'kind':
                row.require_empty(TEAM_COLUMNS)
                name = row.read_name(kinds)
                kinds[name] = _read_kind(row, name)
            case 'team':
                row.require_empty(KIND_COLUMNS)
                name = row.read_name(quotas)
                quotas[name] = _read_quota(row, name)
            case record:
                row.refuse(
                    'record', f'{record!r} is unknown', 'write kind or team'
                )
    if not kinds:
        raise _InvalidCellError(
            1, 'record', 'no kind is listed', 'add a kind row'
        )
    return contracts.Sheet(kinds, quotas)


def _read_rows(data: bytes) -> list[list[str]]:
    if len(data) > MAX_SHEET_BYTES:
        raise _InvalidCellError(
            1,
            '(file)',
            f'the sheet exceeds {MAX_SHEET_BYTES} bytes',
            'export only the rows of this day',
        )
    try:
        # Spreadsheet programs often write a byte order mark.
        text = data.decode('utf-8-sig')
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b'\n') + 1
        raise _InvalidCellError(
            line, '(file)', 'the text is not UTF-8', 'export it as UTF-8 CSV'
        ) from error
    try:
        return list(csv.reader(io.StringIO(text, newline=''), strict=True))
    except csv.Error as error:
        raise _InvalidCellError(
            text.count('\n') + 1,
            '(file)',
            f'the CSV is malformed: {error}',
            'export the sheet again as CSV',
        ) from error


def _check_header(rows: list[list[str]]) -> None:
    header = [cell.strip() for cell in rows[0]] if rows else []
    for position, column in enumerate(COLUMNS):
        found = header[position] if position < len(header) else ''
        if found != column:
            raise _InvalidCellError(
                1,
                column,
                f'column {position + 1} is {found!r}',
                f'name the columns {",".join(COLUMNS)}',
            )
    if len(header) > len(COLUMNS):
        raise _InvalidCellError(
            1,
            header[len(COLUMNS)],
            'the column is unknown',
            'remove the column',
        )


class _Row:
    """Reads and validates the cells of one row."""

    def __init__(self, number: int, cells: list[str]) -> None:
        self.number = number
        if len(cells) != len(COLUMNS):
            raise _InvalidCellError(
                number,
                COLUMNS[min(len(cells), len(COLUMNS) - 1)],
                f'the row has {len(cells)} cells, not {len(COLUMNS)}',
                'export the sheet with every column',
            )
        self._cells = dict(zip(COLUMNS, map(str.strip, cells), strict=True))

    def refuse(self, column: str, reason: str, remedy: str) -> None:
        """Raise the refusal of the sheet for one cell."""
        raise _InvalidCellError(self.number, column, reason, remedy)

    def read(self, column: str) -> str:
        """Return the text of a cell."""
        return self._cells[column]

    def read_name(
        self,
        listed: dict[str, object]
        | dict[str, contracts.Kind]
        | dict[str, contracts.Quota],
    ) -> str:
        """Return the name in the row, which must not be listed already."""
        name = self.read('name')
        if not NAME_PATTERN.fullmatch(name):
            self.refuse(
                'name',
                f'{name!r} is not a name',
                'use up to 63 lower-case letters, digits, dots and hyphens',
            )
        if name in listed:
            self.refuse('name', f'{name} is listed twice', 'remove one row')
        return name

    def read_number(
        self, column: str, minimum: float, maximum: float
    ) -> float:
        """Return the number in a cell after a check of its bounds."""
        text = self.read(column)
        try:
            value = float(text)
        except ValueError:
            value = float('nan')
        if not minimum <= value <= maximum:
            self.refuse(
                column,
                f'{text!r} is not a number from {minimum:g} to {maximum:g}',
                'correct the number',
            )
        return value

    def read_count(self, column: str) -> int:
        """Return the whole number in a cell."""
        value = self.read_number(column, 0, MAX_COUNT)
        if value != int(value):
            self.refuse(
                column,
                f'{self.read(column)!r} is not a whole number',
                'remove the fraction',
            )
        return int(value)

    def require_empty(self, columns: tuple[str, ...]) -> None:
        """Refuse values in columns that the record does not use."""
        for column in columns:
            if self.read(column):
                self.refuse(
                    column,
                    f'a {self.read("record")} row does not use it',
                    'leave the cell empty',
                )


def _read_kind(row: _Row, name: str) -> contracts.Kind:
    domains = [
        domain.strip() for domain in row.read('failure_domains').split(';')
    ]
    for domain in domains:
        if not NAME_PATTERN.fullmatch(domain):
            row.refuse(
                'failure_domains',
                f'{domain!r} is not a name',
                'list failure domains separated by semicolons',
            )
    repeatable = row.read('repeatable')
    if repeatable not in ('yes', 'no'):
        row.refuse(
            'repeatable', f'{repeatable!r} is unknown', 'write yes or no'
        )
    limit_ms = row.read_number('time_limit_ms', 1, MAX_TIME_LIMIT_MS)
    return contracts.Kind(
        name, frozenset(domains), repeatable == 'yes', limit_ms / 1000
    )


def _read_quota(row: _Row, name: str) -> contracts.Quota:
    return contracts.Quota(
        name,
        row.read_number('share', 0.001, MAX_SHARE),
        row.read_count('max_queued'),
        row.read_count('max_running'),
    )
