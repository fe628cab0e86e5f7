"""Backoff for nodes that are repeatedly removed from the view and return. No I/O, no clock."""

from __future__ import annotations

from lynxscale.relay.cluster.timing import ViewTiming


class FlapBackoff:
    """Keeps a node out of the view after a second removal within ``flap_window``; each further one doubles the time."""

    def __init__(self, timing: ViewTiming) -> None:
        self._timing = timing
        self._removal_times: dict[str, list[int]] = {}

    def removed(self, name: str, now: int) -> None:
        """Record that a new view no longer contains that node."""
        self._removal_times.setdefault(name, []).append(now)

    def until(self, name: str) -> int:
        """Time (µs) before which the node is not proposed for a view again; 0 if it may be at once."""
        timing = self._timing
        times = self._removal_times.get(name, [])
        if not times:
            return 0
        recent = [at for at in times if times[-1] - at < timing.flap_window]
        self._removal_times[name] = recent
        if len(recent) < 2:
            return 0
        return recent[-1] + min(timing.flap_backoff_max, timing.flap_backoff << (len(recent) - 2))
