"""The deploy file: what the build prepares is what the programs start from."""

import ast
import importlib.util
import pathlib
import sys
import tomllib
import types
from typing import Any
import unittest

import ddt

ROOT = pathlib.Path(__file__).parent.parent
ROLES = ('entry', 'control', 'agent')
# Kept by the build and by the programs, so that no start compiles anything.
OPTIONS = '-S -OO -X pycache_prefix=target/pycache '


def read_deploy_file() -> dict[str, Any]:
    """Return the deploy file."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    return tomllib.loads(text)


def load_precompile() -> types.ModuleType:
    """Return the module that the build runs."""
    path = ROOT / 'deploy' / 'precompile.py'
    spec = importlib.util.spec_from_file_location('precompile', path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def list_sources() -> list[pathlib.Path]:
    """Return the files of the package."""
    return sorted((ROOT / 'eelgrassworks').rglob('*.py'))


def list_imports(tree: ast.AST) -> set[str]:
    """Return the names of the modules that a file may import."""
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module:
            found |= {f'{node.module}.{each.name}' for each in node.names}
        elif isinstance(node, ast.Import):
            found |= {each.name for each in node.names}
    return found


@ddt.ddt
class DeployFileTest(unittest.TestCase):
    @ddt.data(*ROLES)
    def test_program_starts_from_what_the_build_compiled(
        self, role: str
    ) -> None:
        deploy = read_deploy_file()
        command = f'python3 {OPTIONS}-m eelgrassworks.platform {role}'
        self.assertEqual(deploy['roles'][role]['run'], command)
        self.assertIn(
            f'python3 {OPTIONS}deploy/precompile.py', deploy['build']
        )

    @ddt.data(*ROLES)
    def test_no_certificates_are_read(self, role: str) -> None:
        variables = read_deploy_file()['roles'][role]['env']
        self.assertEqual(variables['SSL_CERT_FILE'], '/dev/null')
        self.assertEqual(variables['SSL_CERT_DIR'], '/dev/null')

    def test_build_compiles_all_that_the_programs_import(self) -> None:
        precompile = load_precompile()
        precompile.main()
        platform = ROOT / 'eelgrassworks' / 'platform'
        wanted: set[str] = set()
        for path in sorted(platform.glob('*.py')):
            wanted |= list_imports(ast.parse(path.read_text()))
        ours = {name for name in wanted if name.startswith('eelgrassworks.')}
        missing = {
            name
            for name in ours
            if name not in sys.modules and importlib.util.find_spec(name)
        }
        self.assertEqual(missing, set())

    def test_nothing_depends_on_asserts(self) -> None:
        # They are compiled away.
        found = [
            str(path)
            for path in list_sources()
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Assert)
        ]
        self.assertEqual(found, [])


if __name__ == '__main__':
    unittest.main()
