"""Mutations of source lines, each of which a named test has to detect.

A mutation replaces one place of one module as it is imported; no file is changed. ``detects`` runs the test in a
process of its own, with the mutation in force: this module is a pytest plugin that reads ``MUTATION_VARIABLE``.
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
PLUGIN = "lab.tier.source_mutation"  # not in a package that imports the data plane
TEST_FAILED = 1  # pytest's exit code
TIMEOUT_S = 300.0
ROOT = Path(__file__).parents[2]


@frozen
class SourceMutation:
    """One mistake of a line or two.

    ``module``: dotted name; ``original``: a text that its source holds once; ``replacement``: what stands instead.
    ``test``: the one that has to fail, as pytest names it. ``name`` says what is wrong.
    """

    name: str
    module: str
    original: str
    replacement: str
    test: str

    @property
    def path(self) -> Path:
        """The file of the module."""
        return ROOT / (self.module.replace(".", "/") + ".py")

    def apply(self, source: str) -> str:
        """The source with the mistake. Raises ValueError where the original does not stand there exactly once."""
        count = source.count(self.original)
        if count != 1:
            raise ValueError(f"{self.name}: the original stands {count} times in {self.module}, want once")
        return source.replace(self.original, self.replacement)


class MutatedLoader(SourceFileLoader):
    """Compiles a module from its mutated source; nothing is cached on the disk."""

    def __init__(self, mutation: SourceMutation) -> None:
        super().__init__(mutation.module, str(mutation.path))
        self._mutation = mutation

    def get_code(self, fullname: str) -> CodeType:
        """Part of the loader's protocol."""
        source = self._mutation.apply(self._mutation.path.read_text())
        return compile(source, self.path, "exec")


class MutatingFinder(MetaPathFinder):
    """Finds the mutated module; all others are found as usual."""

    def __init__(self, mutation: SourceMutation) -> None:
        self._mutation = mutation

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Part of the finder's protocol."""
        if fullname != self._mutation.module:
            return None
        spec = PathFinder.find_spec(fullname, path, target)
        if spec is not None:
            spec.loader = MutatedLoader(self._mutation)
        return spec


def detects(mutation: SourceMutation) -> bool:
    """Does the mutation's test fail with the mutation in force?"""
    environment = os.environ | {MUTATION_VARIABLE: msgspec.json.encode(_as_table(mutation)).decode()}
    command = [sys.executable, "-m", "pytest", "-x", "-q", "-p", PLUGIN, "-p", "no:cacheprovider", "-p", "no:xdist"]
    done = subprocess.run(
        [*command, mutation.test], cwd=ROOT, env=environment, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    return done.returncode == TEST_FAILED


def _as_table(mutation: SourceMutation) -> dict[str, str]:
    return {name: getattr(mutation, name) for name in ("name", "module", "original", "replacement", "test")}


def _install_from_environment() -> None:
    text = os.environ.get(MUTATION_VARIABLE)
    if text:
        mutation = SourceMutation(**msgspec.json.decode(text, type=dict[str, str]))
        sys.meta_path.insert(0, MutatingFinder(mutation))


_install_from_environment()
