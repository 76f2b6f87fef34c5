"""An operator numbers the first manifest 0; it must be in force."""

import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins2'))

import harness  # noqa: E402

READ_S = 8.0


async def play(folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether the acknowledged manifest can't be read back."""
    version = 0 if has_trouble else 1
    async with harness.Site(folder) as site:
        manifest = harness.make_manifest(version)
        if await site.replace_manifest(manifest) != 200:
            raise harness.CannotRun('the manifest has no acknowledgement')
        status, body = await site.order(
            'GET', '/api/config/read', limit_s=READ_S
        )
        found = json.loads(body) if status == 200 else None
        site.record.write(f'read back: {status} {body[:200]!r}')
        return found != manifest


if __name__ == '__main__':
    sys.exit(harness.run_case(FOLDER, play))
