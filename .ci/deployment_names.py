"""No class, tenant, kind, zone or site name of a deployment stands in the program: all of these come from the settings.

Looks in every Python file of the program: for the names of ``deployment-names.txt`` as words anywhere, and for those
of the site files in ``deploy/sites`` as whole string constants, as these are words of everyday. Exit code 1 with file,
line and name where one is found.
"""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

PROGRAM = ("lynxscale",)


def listed(root: Path) -> set[str]:
    """The names that are told in so many words, one a line; ``#`` begins a comment."""
    lines = (root / ".ci" / "deployment-names.txt").read_text().splitlines()
    return {name for line in lines if (name := line.partition("#")[0].strip())}


def of_sites(root: Path) -> set[str]:
    names: set[str] = set()
    for path in sorted((root / "deploy" / "sites").glob("*.toml")):
        site = tomllib.loads(path.read_text())
        names |= {site["name"], *site["net"]["zones"]}
        names |= {one["name"] for group in ("class", "tenant") for one in site[group]}
        names |= {kind["name"] for tier in site["tier"] for kind in tier["kind"]}
    return names


def found(root: Path) -> Iterator[str]:
    words = re.compile(r"(?<![\w-])(?:" + "|".join(map(re.escape, sorted(listed(root)))) + r")(?![\w-])")
    constants = of_sites(root)
    for path in sorted(path for room in PROGRAM for path in (root / room).rglob("*.py")):
        text = path.read_text()
        for number, line in enumerate(text.splitlines(), 1):
            for name in words.findall(line):
                yield f"{path.relative_to(root)}:{number}: {name}"
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.Constant) and isinstance(node.value, str) and node.value in constants:
                yield f"{path.relative_to(root)}:{node.lineno}: {node.value}"


def main(root: Path) -> int:
    faults = list(found(root))
    for fault in faults:
        print(f"{fault}: a name of a deployment; want it from the settings", file=sys.stderr)
    return bool(faults)


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1] if len(sys.argv) > 1 else ".")))
