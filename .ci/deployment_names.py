"""Checks that the program contains no class, tenant, kind, zone or site name of a deployment.

All of these names come from the settings. Every Python file of the program is searched: for the names in
``deployment-names.txt`` as words anywhere, and for those in the site files in ``deploy/sites`` only as complete string
constants, because they are common words. Each occurrence is printed with its file and line; exit code 1 if there is
any.
"""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

PROGRAM_FOLDERS = ("lynxscale",)


def listed_names(root: Path) -> set[str]:
    """The names in ``deployment-names.txt``, one a line; ``#`` begins a comment."""
    lines = (root / ".ci" / "deployment-names.txt").read_text().splitlines()
    return {name for line in lines if (name := line.partition("#")[0].strip())}


def site_names(root: Path) -> set[str]:
    """The site, zone, class, tenant and kind names in ``deploy/sites``."""
    names: set[str] = set()
    for path in sorted((root / "deploy" / "sites").glob("*.toml")):
        site = tomllib.loads(path.read_text())
        names |= {site["name"], *site["net"]["zones"]}
        names |= {entry["name"] for table in ("class", "tenant") for entry in site[table]}
        names |= {kind["name"] for tier in site["tier"] for kind in tier["kind"]}
    return names


def find_names(root: Path) -> Iterator[str]:
    """Each occurrence of a deployment name in the program, as ``FILE:LINE: NAME``."""
    words = re.compile(r"(?<![\w-])(?:" + "|".join(map(re.escape, sorted(listed_names(root)))) + r")(?![\w-])")
    constants = site_names(root)
    for path in sorted(path for folder in PROGRAM_FOLDERS for path in (root / folder).rglob("*.py")):
        text = path.read_text()
        for number, line in enumerate(text.splitlines(), 1):
            for name in words.findall(line):
                yield f"{path.relative_to(root)}:{number}: {name}"
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.Constant) and isinstance(node.value, str) and node.value in constants:
                yield f"{path.relative_to(root)}:{node.lineno}: {node.value}"


def main(root: Path) -> int:
    """Exit code: 1 if a deployment name was found, otherwise 0."""
    occurrences = list(find_names(root))
    for occurrence in occurrences:
        print(f"{occurrence}: name of a deployment, must come from the settings", file=sys.stderr)
    return bool(occurrences)


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1] if len(sys.argv) > 1 else ".")))
