"""Sets of IPv4 addresses as sorted ranges, which are searched in logarithmic time."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Nets:
    """Sorted ranges of addresses as integers, both ends inclusive. Created by ``nets``."""

    firsts: tuple[int, ...]
    lasts: tuple[int, ...]

    def __contains__(self, packed: int) -> bool:
        index = bisect_right(self.firsts, packed) - 1
        return index >= 0 and packed <= self.lasts[index]


def nets(allow: Iterable[str], deny: Iterable[str]) -> Nets:
    """The addresses of ``allow`` that are not in ``deny``. Raises ValueError with the first invalid network."""
    from netaddr import AddrFormatError, IPNetwork, IPSet

    def networks(texts: Iterable[str]) -> IPSet:
        found = []
        for text in texts:
            try:
                found.append(IPNetwork(text))
                if found[-1].version != 4:
                    raise ValueError(text)
            except (AddrFormatError, ValueError) as error:
                raise ValueError(text) from error
        return IPSet(found)

    ranges = list((networks(allow) - networks(deny)).iter_ipranges())
    return Nets(tuple(one.first for one in ranges), tuple(one.last for one in ranges))
