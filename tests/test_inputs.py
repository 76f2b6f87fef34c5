"""Settings, sheets, log lines and ids."""

import json
import unittest

import ddt
import expression

from eelgrassworks import errors
from eelgrassworks import logs
from eelgrassworks import settings
from eelgrassworks.contracts import ids
from eelgrassworks.fronts import sheet

HEADER = ','.join(sheet.COLUMNS)
KIND = 'kind,crack-flag,tema-port,yes,2000,,,'
TEAM = 'team,desks,,,,1,100,0'

# Name, sheet, then row, column and a part of the reason of the refusal.
INVALID_SHEETS: tuple[tuple[str, bytes, str, str, str], ...] = (
    ('empty', b'', '1', 'record', "column 1 is ''"),
    ('header only', HEADER.encode(), '1', 'record', 'no kind'),
    ('not utf-8', HEADER.encode() + b'\n\xff', '2', '(file)', 'not UTF-8'),
    (
        'column renamed',
        HEADER.replace('share', 'part').encode(),
        '1',
        'share',
        "'part'",
    ),
    (
        'column added',
        f'{HEADER},more\n{KIND},'.encode(),
        '1',
        'more',
        'unknown',
    ),
    ('open quote', f'{HEADER}\n"kind'.encode(), '2', '(file)', 'malformed'),
    (
        'short row',
        f'{HEADER}\nkind,a'.encode(),
        '2',
        'failure_domains',
        'has 2 cells',
    ),
    (
        'unknown record',
        f'{HEADER}\nsort,a,b,yes,1,,,'.encode(),
        '2',
        'record',
        "'sort'",
    ),
    (
        'bad name',
        f'{HEADER}\n{KIND}\nkind,A B,b,yes,1,,,'.encode(),
        '3',
        'name',
        'not a name',
    ),
    (
        'listed twice',
        f'{HEADER}\n{KIND}\n{KIND}'.encode(),
        '3',
        'name',
        'listed twice',
    ),
    (
        'no domain',
        f'{HEADER}\nkind,a,,yes,1,,,'.encode(),
        '2',
        'failure_domains',
        'not a name',
    ),
    (
        'neither yes nor no',
        f'{HEADER}\nkind,a,b,maybe,1,,,'.encode(),
        '2',
        'repeatable',
        "'maybe'",
    ),
    (
        'limit zero',
        f'{HEADER}\nkind,a,b,yes,0,,,'.encode(),
        '2',
        'time_limit_ms',
        'not a number from',
    ),
    (
        'limit nan',
        f'{HEADER}\nkind,a,b,yes,nan,,,'.encode(),
        '2',
        'time_limit_ms',
        'not a number from',
    ),
    (
        'cell of a team',
        f'{HEADER}\nkind,a,b,yes,1,2,,'.encode(),
        '2',
        'share',
        'does not use it',
    ),
    (
        'fraction',
        f'{HEADER}\n{KIND}\nteam,a,,,,1,1.5,0'.encode(),
        '3',
        'max_queued',
        'whole number',
    ),
)

VALID_AGENT = {
    'role': 'agent',
    'name': 'runner-1',
    'worker': {'name': 'w', 'failure_domain': 'd'},
    'listen': 'tcp://127.0.0.1:1',
    'target': {'url': 'http://127.0.0.1:2', 'slots': 8},
    'http': {'host': '127.0.0.1', 'port': 0},
    'key': 'a key of sixteen',
    'entries': {'entry-1': 'tcp://127.0.0.1:3'},
}
VM = {'name': 'v', 'failure_domain': 'd', 'region': 'r'}
VALID_CONTROL = {
    'role': 'control',
    'name': 'c',
    'vm': VM,
    'listen': 'tcp://127.0.0.1:1',
    'http': {'host': 'a', 'port': 0},
    'key': 'a key of sixteen',
    'data_folder': 'x',
    'replicas': {'c': 'tcp://127.0.0.1:1'},
}
VALID_ENTRY = {
    'role': 'entry',
    'name': 'e',
    'vm': VM,
    'listen': 'tcp://127.0.0.1:1',
    'http': {'host': 'a', 'port': 0},
    'key': 'a key of sixteen',
    'replicas': {'c': 'tcp://127.0.0.1:2'},
}

# Name, settings, then key and a part of the reason of the refusal.
INVALID_SETTINGS: tuple[tuple[str, object, str, str], ...] = (
    ('a list', [], '(file)', 'object'),
    ('no role', {}, '(file)', 'role'),
    ('unknown role', {'role': 'x'}, 'role', "'x'"),
    ('missing key', {'role': 'agent'}, '(file)', 'name'),
    ('unknown key', VALID_AGENT | {'colour': 1}, '(file)', 'colour'),
    ('name', VALID_AGENT | {'name': 'A'}, 'name', 'regex'),
    (
        'port',
        VALID_AGENT | {'http': {'host': 'a', 'port': -1}},
        'port',
        '>= 0',
    ),
    ('key too short', VALID_AGENT | {'key': 'short'}, 'key', 'length'),
    ('no entries', VALID_AGENT | {'entries': {}}, 'entries', 'none'),
    (
        'two replicas',
        VALID_CONTROL | {'replicas': {'c': 'tcp://1:1', 'd': 'tcp://1:2'}},
        'replicas',
        '1, 3 or 5',
    ),
    (
        'lease longer than the homes allow for',
        VALID_CONTROL | {'open_members': True, 'lease_ttl_s': 5.1},
        'lease_ttl_s',
        'at most 5 s',
    ),
    (
        'busy entries leave before load balancers notice',
        VALID_ENTRY | {'features': {'rebalancing': True}},
        'stop_linger_s',
        'load balancers notice',
    ),
    (
        'itself missing',
        VALID_CONTROL | {'replicas': {'d': 'tcp://1:2'}},
        'replicas',
        'itself',
    ),
)

# A value and its form in a log line.
LOG_VALUES: tuple[tuple[object, str], ...] = (
    ('plain', 'plain'),
    (12.5, '12.5'),
    ('two words', '"two words"'),
    ('a=b', '"a=b"'),
    ('say "so"', '"say \\"so\\""'),
    ('line\nevent=forged', '"line\\nevent=forged"'),
    ('', '""'),
    ('\x1b[2J', '"\\u001b[2J"'),
    ('\u2028', '"\\u2028"'),
)

# An id and its time in milliseconds, or None for an invalid id.
IDS: tuple[tuple[str, int | None], ...] = (
    ('0190163d-8694-739b-aea5-966c26f8ad91', 0x0190163D8694),
    ('0190163D-8694-739B-AEA5-966C26F8AD91', None),
    ('0190163d8694739baea5966c26f8ad91', None),
    ('5f1b9c1e-8f5e-4b7a-9a55-0d5b0a4c1d11', None),
    ('', None),
    ('job-1', None),
)


@ddt.ddt
class InputTest(unittest.TestCase):
    @ddt.data(*INVALID_SHEETS)
    @ddt.unpack
    def test_invalid_sheet(
        self, _: str, data: bytes, row: str, column: str, reason: str
    ) -> None:
        refusal = sheet.parse_sheet(data).error
        self.assertEqual(refusal.values['row'], row)
        self.assertEqual(refusal.values['column'], column)
        self.assertIn(reason, refusal.values['reason'])
        self.assertTrue(errors.describe(refusal).remedy)

    def test_valid_sheet(self) -> None:
        data = f'\ufeff{HEADER}\r\n{KIND}\r\n\r\n{TEAM}\r\n'.encode()
        match sheet.parse_sheet(data):
            case expression.Result(tag='ok', ok=parsed):
                self.assertEqual(set(parsed.kinds), {'crack-flag'})
                self.assertEqual(parsed.quotas['desks'].max_queued, 100)
            case result:
                self.fail(str(result))

    @ddt.data(*INVALID_SETTINGS)
    @ddt.unpack
    def test_invalid_settings(
        self, _: str, model: object, key: str, reason: str
    ) -> None:
        refusal = settings.parse_settings(json.dumps(model).encode()).error
        self.assertIn(key, refusal.values['key'])
        self.assertIn(reason, refusal.values['reason'])
        self.assertTrue(errors.describe(refusal).remedy)

    @ddt.data(
        VALID_AGENT,
        VALID_CONTROL,
        VALID_CONTROL | {'open_members': True, 'lease_ttl_s': 5.0},
        VALID_CONTROL | {'lease_ttl_s': 8.0},
        VALID_ENTRY,
        VALID_ENTRY
        | {'features': {'rebalancing': True}, 'stop_linger_s': 2.0},
    )
    def test_valid_settings(self, model: object) -> None:
        result = settings.parse_settings(json.dumps(model).encode())
        self.assertTrue(result.is_ok(), result)

    @ddt.data(*LOG_VALUES)
    @ddt.unpack
    def test_log_value(self, value: object, expected: str) -> None:
        line = logs.format_line({'message_type': 'e', 'field': value})
        self.assertTrue(line.endswith(f' field={expected}'), line)
        self.assertEqual(len(line.splitlines()), 1)

    @ddt.data(*IDS)
    @ddt.unpack
    def test_id(self, text: str, time_ms: int | None) -> None:
        self.assertEqual(ids.read_time_ms(text), time_ms)

    def test_generated_id(self) -> None:
        self.assertEqual(ids.read_time_ms(ids.make_id(123_456)), 123_456)

    @ddt.data(*errors.Code)
    def test_every_refusal_names_a_remedy(self, code: errors.Code) -> None:
        wording = errors.WORDINGS[code]
        self.assertTrue(wording.remedy)
        self.assertTrue(400 <= wording.status < 600)
