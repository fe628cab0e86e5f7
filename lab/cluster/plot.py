"""Plots each node's standing, and the state that it believed each other node to be in, over time."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lab.cluster.nodes import StatusObservation
    from lab.cluster.play import RunResult

STATE_COLOURS = {"alive": "#7fb77e", "suspect": "#f2c14e", "failed": "#c8553d", "left": "#8d99ae", "unheard": "#e5e5e5"}
STANDING_COLOURS = {"member": "#7fb77e", "cut_off": "#c8553d", "joining": "#f2c14e", "forming": "#e5e5e5"}


class StatusTimeline:
    """What each node reported of itself and of each other node, as spans of (start, end, state)."""

    def __init__(self) -> None:
        self.started_at: float | None = None  # the first answer, monotonic seconds
        self.rows: dict[tuple[str, str], list[tuple[float, float, str]]] = {}

    def observe(self, observation: StatusObservation) -> None:
        if self.started_at is None:
            self.started_at = observation.answered_at
        at = observation.answered_at - self.started_at
        self._add(observation.node, "itself", at, observation.status["standing"])
        for one in observation.status["nodes"]:
            if one["name"] != observation.node:
                self._add(observation.node, one["name"], at, one["state"])

    def _add(self, observer: str, subject: str, at: float, state: str) -> None:
        spans = self.rows.setdefault((observer, subject), [])
        if spans:
            spans[-1] = spans[-1][0], at, spans[-1][2]
        if not spans or spans[-1][2] != state:
            spans.append((at, at, state))


def draw_timeline(result: RunResult, path: Path) -> None:
    """Write the plot to a file, in the format of its suffix."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot
    from matplotlib.patches import Patch

    started_at, rows = result.timeline.started_at, result.timeline.rows
    pairs = sorted(rows, key=lambda pair: (pair[0], pair[1] != "itself", pair[1]))
    figure, axes = pyplot.subplots(figsize=(14, 0.28 * len(pairs) + 1.5))
    for row, pair in enumerate(pairs):
        for start, end, state in rows[pair]:
            colour = STANDING_COLOURS.get(state, "#444444") if pair[1] == "itself" else STATE_COLOURS[state]
            axes.barh(row, max(end - start, 0.05), left=start, height=0.9 if pair[1] == "itself" else 0.6, color=colour)
    for at, fault in result.faults:
        axes.axvline(at - started_at, color="#333333", linewidth=0.6)
        axes.text(at - started_at, -1.0, f"{fault.kind} {' '.join(fault.nodes)}", rotation=35, fontsize=7, va="bottom")
    axes.set_yticks(
        range(len(pairs)),
        [f"{observer}: {'standing' if subject == 'itself' else subject}" for observer, subject in pairs],
        fontsize=7,
    )
    axes.invert_yaxis()
    axes.set_xlabel("s")
    axes.legend(
        handles=[
            Patch(color=colour, label=name)
            for name, colour in {
                **STATE_COLOURS,
                **{f"standing {key}": value for key, value in STANDING_COLOURS.items()},
            }.items()
        ],
        fontsize=7,
        loc="lower right",
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
