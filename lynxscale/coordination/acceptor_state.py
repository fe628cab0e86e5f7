"""What a voter must never forget: who it is, the record it accepted, and the epoch it promised.

The id of a member holds an incarnation, drawn once for each disk. Founders are the seeds of the first start; their ids
are the same in everybody's eyes, with no message. A member whose register is gone is another member: it has forgotten
its promises and the lease it may have granted, so it draws a new id and waits to be admitted.
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
    """The register's content. ``promised_to`` is the candidate of the promised epoch."""

    member: str
    accepted: EpochRecord
    promised: int = 0
    promised_to: str = ""


class AcceptorStateFile:
    """The register of one process. ``restored``: did an earlier process of this disk write it?"""

    def __init__(self, identity: MemberIdentity, files: Files, random: Random) -> None:
        """Raises OSError where a first one cannot be stored."""
        self._pair = ChecksummedFilePair(files, ACCEPTOR_STATE_FILE)
        first_start = not files.names()
        stored = self._pair.load()
        self.restored = stored is not None
        if stored is not None:
            self.state = msgspec.json.decode(stored, type=AcceptorState)
            if not self._pair.whole:
                # What is promised from here on may rest on one file: were it damaged, the other would tell less.
                self.save(self.state)
        else:
            self.save(_new_state(identity, first_start, random))

    def save(self, state: AcceptorState) -> None:
        """Store the state, and only then go by it. Raises OSError."""
        self._pair.save(msgspec.json.encode(state))
        self.state = state


def founder_id(address: str) -> str:
    """The id of a founder, which everybody can tell from its address."""
    return member_id(address, FIRST_INCARNATION)


def _new_state(identity: MemberIdentity, first_start: bool, random: Random) -> AcceptorState:
    """On an empty disk at the group's first start a founder's; else that of a member nobody knows yet."""
    founding = first_start and identity.bootstrap
    if founding and identity.address in identity.seeds:
        member = founder_id(identity.address)
    else:
        member = member_id(identity.address, f"{random.getrandbits(INCARNATION_BITS):x}")
    founders = tuple(founder_id(address) for address in sorted(identity.seeds))
    return AcceptorState(member, EpochRecord(0, "", founders, founders) if founding else NO_RECORD)
