"""The durable state of an acceptor: its member id, the record it accepted, and the epoch it promised.

A member id contains an incarnation, which is drawn at random once per disk. The founders are the seeds of the group's
first start; their ids are derived from their addresses, so they need no messages to agree on them. A member that lost
its state has lost its promises and the lease that it may have granted, so it must not vote under its former id: it
draws a new one and waits to be admitted.

The field names of ``AcceptorState`` and the name of its file are part of the storage format.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import msgspec

from lynxscale.coordination.checksummed_file import ChecksummedFilePair
from lynxscale.coordination.messages import EpochRecord, member_id
from lynxscale.coordination.ports import Files

ACCEPTOR_STATE_FILE = "register"
FIRST_INCARNATION = "0"
INCARNATION_BITS = 48
NO_RECORD = EpochRecord(0, "", (), ())


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """How a member identifies itself at its first start.

    ``address``: its internal address. ``bootstrap``: whether it may found the group. ``seeds``: internal addresses of
    the founders, configured identically on all of them.
    """

    address: str
    bootstrap: bool
    seeds: tuple[str, ...]


class AcceptorState(msgspec.Struct, frozen=True):
    """The stored state. ``promised_to`` is the candidate of the promised epoch."""

    member: str
    accepted: EpochRecord
    promised: int = 0
    promised_to: str = ""


class AcceptorStateFile:
    """Loads and stores the acceptor state. ``restored``: whether an earlier process on this disk wrote it."""

    def __init__(self, identity: MemberIdentity, files: Files, random: Random) -> None:
        """Load the state, or create and store the initial one. Raises OSError if it cannot be stored."""
        self._pair = ChecksummedFilePair(files, ACCEPTOR_STATE_FILE)
        first_start = not files.names()
        stored = self._pair.load()
        self.restored = stored is not None
        if stored is not None:
            self.state = msgspec.json.decode(stored, type=AcceptorState)
            if not self._pair.consistent:
                # With the newest state in one file only, damage to that file would bring back an older state.
                self.save(self.state)
        else:
            self.save(_new_state(identity, first_start, random))

    def save(self, state: AcceptorState) -> None:
        """Make the state durable, then current. Raises OSError."""
        self._pair.save(msgspec.json.encode(state))
        self.state = state


def founder_id(address: str) -> str:
    """The member id of a founder, derived from its address alone."""
    return member_id(address, FIRST_INCARNATION)


def _new_state(identity: MemberIdentity, first_start: bool, random: Random) -> AcceptorState:
    """The state of a founder on an empty disk at the group's first start; otherwise that of a new, unknown member."""
    founding = first_start and identity.bootstrap
    if founding and identity.address in identity.seeds:
        member = founder_id(identity.address)
    else:
        member = member_id(identity.address, f"{random.getrandbits(INCARNATION_BITS):x}")
    founders = tuple(founder_id(address) for address in sorted(identity.seeds))
    return AcceptorState(member, EpochRecord(0, "", founders, founders) if founding else NO_RECORD)
