"""Who believed what of whom over time, and who could act: one row for each pair, drawn from the nodes' own answers."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lab.cluster.nodes import Seen
    from lab.cluster.play import Played

COLOURS = {"alive": "#7fb77e", "suspect": "#f2c14e", "failed": "#c8553d", "left": "#8d99ae", "unheard": "#e5e5e5"}
STANDINGS = {"member": "#7fb77e", "cut_off": "#c8553d", "joining": "#f2c14e", "forming": "#e5e5e5"}


class Beliefs:
    """What each node said of itself and of each other: from when, until when and what, one entry a change."""

    def __init__(self) -> None:
        self.begun: float | None = None  # the first answer, monotonic seconds
        self.rows: dict[tuple[str, str], list[tuple[float, float, str]]] = {}

    def saw(self, seen: Seen) -> None:
        if self.begun is None:
            self.begun = seen.heard
        at = seen.heard - self.begun
        self._add(seen.node, "itself", at, seen.status["standing"])
        for one in seen.status["nodes"]:
            if one["name"] != seen.node:
                self._add(seen.node, one["name"], at, one["state"])

    def _add(self, who: str, of: str, at: float, what: str) -> None:
        found = self.rows.setdefault((who, of), [])
        if found:
            found[-1] = found[-1][0], at, found[-1][2]
        if not found or found[-1][2] != what:
            found.append((at, at, what))


def draw_sight(played: Played, path: Path) -> None:
    """The picture, as the path's ending says."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot
    from matplotlib.patches import Patch

    begun, rows = played.beliefs.begun, played.beliefs.rows
    pairs = sorted(rows, key=lambda pair: (pair[0], pair[1] != "itself", pair[1]))
    figure, axes = pyplot.subplots(figsize=(14, 0.28 * len(pairs) + 1.5))
    for place, pair in enumerate(pairs):
        for frm, to, what in rows[pair]:
            colour = STANDINGS.get(what, "#444444") if pair[1] == "itself" else COLOURS[what]
            axes.barh(place, max(to - frm, 0.05), left=frm, height=0.9 if pair[1] == "itself" else 0.6, color=colour)
    for at, fault in played.faults:
        axes.axvline(at - begun, color="#333333", linewidth=0.6)
        axes.text(at - begun, -1.0, f"{fault.kind} {' '.join(fault.nodes)}", rotation=35, fontsize=7, va="bottom")
    axes.set_yticks(
        range(len(pairs)), [f"{who}: {'standing' if of == 'itself' else of}" for who, of in pairs], fontsize=7
    )
    axes.invert_yaxis()
    axes.set_xlabel("s")
    axes.legend(
        handles=[
            Patch(color=colour, label=name)
            for name, colour in {**COLOURS, **{f"standing {key}": value for key, value in STANDINGS.items()}}.items()
        ],
        fontsize=7,
        loc="lower right",
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
