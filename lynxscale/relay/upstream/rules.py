"""Builds the rules and guards of endpoint lists from the configuration's section ``members``."""

from __future__ import annotations

from collections.abc import Iterable

from lynxscale.relay.conf.networks import nets
from lynxscale.relay.conf.settings import MembersConf
from lynxscale.relay.upstream import files
from lynxscale.relay.upstream.validation import Guards


def rules_of(conf: MembersConf, kinds: Iterable[str], zones: Iterable[str]) -> files.Rules:
    """The rules for the contents of a list, from the configuration and the names in the settings."""
    return files.Rules(nets(conf.allow, conf.deny), frozenset(kinds), frozenset(zones), conf.entries, conf.checksum)


def guards_of(conf: MembersConf) -> Guards:
    """The limits for changes that need no approval, from the configuration."""
    return Guards(conf.most_removed, conf.last_endpoint == "allow", conf.most_moved, conf.on_guard == "hold")
