"""Draws a summary on one page: latencies, final statuses and worth. Needs the plots extra (matplotlib)."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend must be set first

from lynxscale.trace.view import iso  # noqa: E402


def draw_page(path: Path, rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    """Write a PNG or SVG page, by the suffix of the path; the x axis is time if the rows are time windows."""
    labels = [
        " ".join(iso(row[name])[11:19] if name == "window" else str(row[name]) for name in columns) or "all"
        for row in rows
    ]
    figure, axes = pyplot.subplots(3, 1, figsize=(11, 12), constrained_layout=True)
    positions = range(len(rows))
    for name, colour in (("p99_ms", "#b5483a"), ("p90_ms", "#d9a441"), ("p50_ms", "#3a6ea5")):
        # A line joins only time windows: other rows have no order.
        style = "o-" if columns == ("window",) else "o"
        axes[0].plot(
            positions, [row.get(name, float("nan")) for row in rows], style, color=colour, label=name[:-3], markersize=4
        )
    axes[0].set(title="Latency of delivered messages", ylabel="ms")
    kinds = sorted({kind for row in rows for kind in row["ends"]})
    bottom = [0.0] * len(rows)
    for kind in kinds:
        heights = [row["ends"].get(kind, 0) for row in rows]
        axes[1].bar(positions, heights, bottom=bottom, label=kind)
        bottom = [low + high for low, high in zip(bottom, heights, strict=True)]
    axes[1].set(title="Ends", ylabel="messages")
    for name, colour in (("worth_asked", "#bbbbbb"), ("worth_in_aim", "#4c8c4a")):
        axes[2].bar(positions, [row[name] for row in rows], color=colour, label=name.replace("_", " "))
    axes[2].set(title="Worth delivered within the aim, of what was asked", ylabel="worth")
    step = max(1, len(rows) // 30)
    for axis in axes:
        axis.set_xticks(list(positions)[::step], labels[::step], rotation=45, ha="right", fontsize=8)
        axis.legend(loc="upper right", fontsize=8)
    figure.savefig(path, format=path.suffix[1:])
    pyplot.close(figure)
