"""Decisions are pure: no I/O, no clock, and the deploy file names their modules."""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PACKAGE = ROOT / "lynxscale" / "scheduling"
NOT_DECISIONS = {
    "__init__.py",  # lazy import of the scheduler
    "actions.py",  # plain classes: what the caller is asked to do
    "exceptions.py",  # error classes; decisions raise none
    "events.py",  # plain classes: what the scheduler learns
    "settings.py",  # plain classes
    "settings_reader.py",  # reads the operators' object into those
    "simulator_adapter.py",  # framing of the simulator's pipe
}
PURE_IMPORTS = {"__future__", "collections", "dataclasses", "heapq", "itertools", "math", "random", "typing"}


def decision_modules() -> list[Path]:
    return sorted(path for path in PACKAGE.glob("*.py") if path.name not in NOT_DECISIONS)


def imported(path: Path) -> set[str]:
    """Names of all modules that this one imports, wherever the import stands."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path.name}: a relative import"
            names.add(node.module)
    return names


def test_decision_modules_have_no_io_and_no_clock():
    """They import pure parts of the standard library, one another, and the plain classes; nothing is opened."""
    allowed = {f"lynxscale.scheduling.{path.stem}" for path in decision_modules()} | {
        f"lynxscale.scheduling.{name}" for name in ("actions", "events", "settings")
    }
    for path in [*decision_modules(), *(PACKAGE / f"{name}.py" for name in ("actions", "events", "settings"))]:
        roots = {name if name.startswith("lynxscale") else name.partition(".")[0] for name in imported(path)}
        assert roots <= allowed | PURE_IMPORTS | {"enum"}, f"{path.name}: {roots - allowed - PURE_IMPORTS}"
        called = {node.id for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Name)}
        assert not called & {"open", "print", "input", "exec", "eval", "__import__"}, path.name


def test_the_deploy_file_names_exactly_the_decision_modules():
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(named) == [str(path.relative_to(ROOT)) for path in decision_modules()]
    assert len(set(named)) == len(named)
