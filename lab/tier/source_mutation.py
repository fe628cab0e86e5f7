"""Mutations of source lines, each of which a named test must detect.

A mutation replaces one text of one module when it is imported; no file is changed. ``detects`` runs the test in a
separate process with the mutation applied: this module is a pytest plugin that reads ``MUTATION_VARIABLE``.
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import ModuleSpec, PathFinder, SourceFileLoader
from pathlib import Path
from types import CodeType, ModuleType

import msgspec
from attrs import frozen

MUTATION_VARIABLE = "LYNXSCALE_MUTATION"
PLUGIN = "lab.tier.source_mutation"  # must not be in a package that imports the data plane
TEST_FAILED = 1  # pytest's exit code
TIMEOUT_S = 300.0
ROOT = Path(__file__).parents[2]


@frozen
class SourceMutation:
    """One fault in a line or two of source.

    ``name`` describes the fault; ``module``: dotted name; ``original``: a text that occurs once in the module's source;
    ``replacement``: the text that replaces it; ``test``: pytest's id of the test that must fail.
    """

    name: str
    module: str
    original: str
    replacement: str
    test: str

    @property
    def path(self) -> Path:
        """The source file of the module."""
        return ROOT / (self.module.replace(".", "/") + ".py")

    def apply(self, source: str) -> str:
        """The mutated source. Raises ValueError if the original does not occur exactly once."""
        count = source.count(self.original)
        if count != 1:
            raise ValueError(f"{self.name}: the original occurs {count} times in {self.module}, expected once")
        return source.replace(self.original, self.replacement)


class MutatedLoader(SourceFileLoader):
    """Compiles a module from its mutated source, without a bytecode cache."""

    def __init__(self, mutation: SourceMutation) -> None:
        super().__init__(mutation.module, str(mutation.path))
        self._mutation = mutation

    def get_code(self, fullname: str) -> CodeType:
        """Part of the loader protocol."""
        source = self._mutation.apply(self._mutation.path.read_text())
        return compile(source, self.path, "exec")


class MutatingFinder(MetaPathFinder):
    """Finds the mutated module; all others are found as usual."""

    def __init__(self, mutation: SourceMutation) -> None:
        self._mutation = mutation

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Part of the finder protocol."""
        if fullname != self._mutation.module:
            return None
        spec = PathFinder.find_spec(fullname, path, target)
        if spec is not None:
            spec.loader = MutatedLoader(self._mutation)
        return spec


def detects(mutation: SourceMutation) -> bool:
    """Whether the mutation's test fails with the mutation applied."""
    environment = os.environ | {MUTATION_VARIABLE: msgspec.json.encode(_as_table(mutation)).decode()}
    command = [sys.executable, "-m", "pytest", "-x", "-q", "-p", PLUGIN, "-p", "no:cacheprovider", "-p", "no:xdist"]
    result = subprocess.run(
        [*command, mutation.test], cwd=ROOT, env=environment, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    return result.returncode == TEST_FAILED


def _as_table(mutation: SourceMutation) -> dict[str, str]:
    return {name: getattr(mutation, name) for name in ("name", "module", "original", "replacement", "test")}


def _install_from_environment() -> None:
    encoded = os.environ.get(MUTATION_VARIABLE)
    if encoded:
        mutation = SourceMutation(**msgspec.json.decode(encoded, type=dict[str, str]))
        sys.meta_path.insert(0, MutatingFinder(mutation))


_install_from_environment()
