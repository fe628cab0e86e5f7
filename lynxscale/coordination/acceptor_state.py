"""The durable state of an acceptor: its member id, the record it accepted, and the epoch it promised.

The id of a member holds an incarnation, drawn once for each disk. Founders are the seeds of the first start; their ids
follow from their addresses, with no message. A member whose state is lost is another member: it has forgotten its
promises and the lease it may have granted, so it draws a new id and waits to be admitted.

The field names of ``AcceptorState`` and the name of its file are stored.
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
    """``address``: the internal one; ``seeds``: internal addresses of the seeds, the same for all on a first start."""

    address: str
    bootstrap: bool
    seeds: tuple[str, ...]


class AcceptorState(msgspec.Struct, frozen=True):
    """What is stored. ``promised_to`` is the candidate of the promised epoch."""

    member: str
    accepted: EpochRecord
    promised: int = 0
    promised_to: str = ""


class AcceptorStateFile:
    """Loads and stores the state of one process. ``restored``: did an earlier process on this disk write it?"""

    def __init__(self, identity: MemberIdentity, files: Files, random: Random) -> None:
        """Raises OSError where a first one cannot be stored."""
        self._pair = ChecksummedFilePair(files, ACCEPTOR_STATE_FILE)
        first_start = not files.names()
        stored = self._pair.load()
        self.restored = stored is not None
        if stored is not None:
            self.state = msgspec.json.decode(stored, type=AcceptorState)
            if not self._pair.consistent:
                # Later promises may rest on one file: were that one damaged, the other would hold an older state.
                self.save(self.state)
        else:
            self.save(_new_state(identity, first_start, random))

    def save(self, state: AcceptorState) -> None:
        """Store the state before it takes effect. Raises OSError."""
        self._pair.save(msgspec.json.encode(state))
        self.state = state


def founder_id(address: str) -> str:
    """The member id of a founder, which follows from its address."""
    return member_id(address, FIRST_INCARNATION)


def _new_state(identity: MemberIdentity, first_start: bool, random: Random) -> AcceptorState:
    """A founder's on an empty disk at the group's first start; else that of a member not known to the group yet."""
    founding = first_start and identity.bootstrap
    if founding and identity.address in identity.seeds:
        member = founder_id(identity.address)
    else:
        member = member_id(identity.address, f"{random.getrandbits(INCARNATION_BITS):x}")
    founders = tuple(founder_id(address) for address in sorted(identity.seeds))
    return AcceptorState(member, EpochRecord(0, "", founders, founders) if founding else NO_RECORD)
