"""The core does no input or output: it imports only modules that do none."""

import ast
from pathlib import Path

import pytest

import ragwortshelf.core

CORE = Path(ragwortshelf.core.__file__).parent
ALLOWED = {
    "__future__",
    "abc",
    "bisect",
    "cbor2",
    "collections",
    "dataclasses",
    "enum",
    "functools",
    "hashlib",
    "heapq",
    "hmac",
    "itertools",
    "json",
    "math",
    "operator",
    "random",
    "re",
    "sortedcontainers",
    "statistics",
    "string",
    "tomllib",
    "types",
    "typing",
    "zlib",
}


def _imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name.split(".")[0]
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            yield node.module.split(".")[0]


def _relative_imports_outside_core(path):
    """Yield modules of relative imports that lead out of ``ragwortshelf.core``."""
    depth = len(path.relative_to(CORE).parts)
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level > depth:
            yield node.module


@pytest.mark.parametrize(
    "path", sorted(CORE.rglob("*.py")), ids=lambda p: str(p.relative_to(CORE))
)
def test_core_module_imports_nothing_that_does_io(path):
    assert set(_imported_names(path)) <= ALLOWED
    assert not list(_relative_imports_outside_core(path))
