"""One node without its sockets, disk and clock: detector and views together, frames in, orders out.

It runs in service behind ``driver`` and in the laboratory's simulation alike. Orders are those of ``detector`` (Send,
Swap, Told, Renew) and of ``views`` (Say, Persist, Fetch, Outvoted, Note). Whoever carries them out keeps their order,
hands a ``Say`` to the node itself back to ``own``, and calls ``on_disk`` when a ``Persist`` is done, before its words
are said.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.failure_detector import Action, Detector, Timing, Told
from lynxscale.relay.cluster.frame import BadFrame, Exchange, Message, Window
from lynxscale.relay.cluster.membership_table import Identity, Rumour
from lynxscale.relay.cluster.messages import Kept, View, Word
from lynxscale.relay.cluster.view_change import Note, Order, Terms, Views

BOOTS_KEPT = 4  # processes of one node whose frames are told from one another: those of its last lives, or of twins


class Core:
    """``dropped`` counts frames that had no effect, by reason."""

    def __init__(
        self,
        me: Identity,
        names: Iterable[str],
        seed: str,
        now: int,
        kept: Kept | None,
        timing: Timing | None = None,
        terms: Terms | None = None,
        settings: Mapping[str, int] | None = None,
    ) -> None:
        self.detector = Detector(me, names, seed, now, timing)
        self.views = Views(me, names, seed, now, kept, self.detector.sight, self.detector.answered, terms)
        self.dropped: Counter[str] = Counter()
        self.settings = dict(settings or {})  # digests of what all have to agree on
        self.differing: dict[str, tuple[str, ...]] = {}  # by node, the groups of settings that are others there
        self.as_others_see: dict[str, tuple[int, dict[str, str]]] = {}  # by node, when it told, and the states
        self._mark = self.views.kept.mark  # of what is on disk
        self._listed: View | None = None  # the view whose members the detector has been told
        self._number = 0
        self._windows: dict[str, dict[int, Window]] = {}

    @property
    def me(self) -> Identity:
        return self.detector.me

    def due(self) -> int:
        """When ``tick`` is wanted next, at the latest."""
        return min(self.detector.due(), self.views.due())

    def tick(self, now: int) -> list[Action | Order]:
        """The time has come to look."""
        orders: list[Action | Order] = []
        if now >= self.detector.due():
            orders += self._seen(now, self.detector.tick(now))
        if now >= self.views.due():
            orders += self.views.tick(now)
        return orders + self._list(now)

    def _list(self, now: int) -> list[Action | Order]:
        """Guards against a process with a lower life than one that the view has: all who knew may have started anew."""
        view = self.views.view
        if view is None or view is self._listed:
            return []
        self._listed = view
        return [*self.detector.listed(now, view.members)]

    def heard(self, now: int, message: Message, reached: bool) -> list[Action | Order]:
        """A frame that is whole. ``reached``: it came to this node's address, not as an answer on our connection."""
        name, detector, views = message.frm, self.detector, self.views
        if name not in detector.sight.names or name == self.me.name:
            self.dropped["own_name" if name == self.me.name else "unknown"] += 1
            return []
        if not self._fresh(name, message.boot, message.number):
            self.dropped["replayed"] += 1
            return []
        orders = self._seen(now, detector.heard(now, message, reached))
        known, who = detector.sight.get(name), Identity(name, message.life, message.boot)
        if known is None or known.rumour.who != who:
            # Guards against a process that speaks in a node's name and does not answer at its address.
            self.dropped["unreached"] += 1
            return orders
        orders += views.behind(now, name, message.view, message.mark)
        body = message.body
        if isinstance(body, Exchange):
            orders += views.exchanged(now, name, body.view, body.marks)
            self.as_others_see[name] = now, {news.name: news.state.name.lower() for news in message.news}
            orders += self._differ(name, body.settings)
        elif isinstance(body, frame.Views):
            try:
                orders += views.heard(now, name, who, body.read())
            except BadFrame as error:
                self.dropped[error.reason] += 1
        return orders + self._list(now)

    def _differ(self, name: str, theirs: Mapping[str, int]) -> list[Action | Order]:
        """Told once a change: who is known by its settings is not refused, as files change one after the other."""
        groups = tuple(
            sorted(group for group in set(theirs) | set(self.settings) if theirs.get(group) != self.settings.get(group))
        )
        if groups == self.differing.get(name, ()):
            return []
        self.differing[name] = groups
        return [Note("differs", {"node": name, "settings": " ".join(groups) or "none"})]

    def _seen(self, now: int, actions: list[Action]) -> list[Action | Order]:
        """What the detector asks for; what it has come to believe concerns the views."""
        if any(isinstance(action, Told) and action.event == "node" for action in actions):
            self.views.changed(now)
        return [*actions]

    def _fresh(self, name: str, boot: int, number: int) -> bool:
        windows = self._windows.setdefault(name, {})
        if boot not in windows:
            if len(windows) >= BOOTS_KEPT:
                del windows[next(iter(windows))]
            windows[boot] = Window()
        return windows[boot].fresh(number)

    def own(self, now: int, word: Word) -> list[Order]:
        """A word of this node to itself."""
        return self.views.heard(now, self.me.name, self.me, word)

    def on_disk(self, kept: Kept) -> None:
        """That much would outlast the process."""
        self._mark = max(self._mark, kept.mark)

    def message(self, body: frame.Body, news: Iterable[Rumour] = ()) -> Message:
        """What is sent, each time under a number of its own."""
        detector = self.detector
        self._number += 1
        return Message(
            *detector.me, detector.word, self._number, detector.slow, self.views.number, self._mark, body, list(news)
        )

    def whole(self, answer: bool) -> Message:
        """All that this node believes and knows."""
        marks = self.views.marks | {self.me.name: self._mark}
        return self.message(Exchange(answer, self.views.view, marks, self.settings), self.detector.whole())

    def swapped(self, now: int, failed: bool) -> list[Action | Order]:
        """An exchange that was asked for is over."""
        return [*self.detector.swapped(now, failed)]

    def renew(self, now: int, life: int) -> list[Action | Order]:
        """A later life of this process has begun, on disk."""
        return [*self.detector.renew(now, life), *self.views.renew(now, self.detector.me)]

    def rename(self, now: int, names: Iterable[str]) -> list[Action | Order]:
        """Another configuration names these nodes."""
        names = set(names)
        for table in (self._windows, self.differing, self.as_others_see):
            for name in set(table) - names:
                del table[name]
        return [*self.detector.rename(now, names), *self.views.rename(now, names)]

    def leave(self, now: int) -> list[Action | Order]:
        """This process ends, and acts no more."""
        return [*self.views.leave(now), *self.detector.leave(now)]
