"""Decision modules do no I/O and read no clock, and the deployment file lists all of them."""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PACKAGE = ROOT / "lynxscale" / "scheduling"
NOT_DECISIONS = {
    "__init__.py",  # lazy import of the scheduler
    "actions.py",  # data classes
    "exceptions.py",  # error classes; decisions raise none
    "events.py",  # data classes
    "settings.py",  # data classes
    "settings_reader.py",  # reads the operators' settings
    "simulator_adapter.py",  # I/O with the simulator
}
PURE_IMPORTS = {"__future__", "collections", "dataclasses", "heapq", "itertools", "math", "random", "typing"}


def decision_modules() -> list[Path]:
    return sorted(path for path in PACKAGE.glob("*.py") if path.name not in NOT_DECISIONS)


def imported(path: Path) -> set[str]:
    """Return the names of all modules that a module imports, including imports inside functions."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path.name}: a relative import"
            names.add(node.module)
    return names


def test_decision_modules_have_no_io_and_no_clock():
    """They import only pure modules of the standard library, one another and the data classes, and open nothing."""
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
