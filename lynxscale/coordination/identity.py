"""Who a member is: drawn once for each disk, so that a member that lost its disk is another one.

The founders of a group are the seeds of the first start. Their ids are the same in everybody's eyes, with no message;
whoever starts with an empty disk later draws an id and waits to be admitted.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from lynxscale.coordination.messages import EpochRecord, member_id
from lynxscale.coordination.ports import Files

IDENTITY_FILE = "identity"
FIRST_INCARNATION = "0"


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """``address``: the internal one; ``seeds``: internal addresses of the seeds, the same for all on a first start."""

    address: str
    bootstrap: bool
    seeds: tuple[str, ...]


def founder_id(address: str) -> str:
    """The id of a founder, which everybody can tell from its address."""
    return member_id(address, FIRST_INCARNATION)


def load_identity(identity: MemberIdentity, files: Files, random: Random) -> str:
    """The member's id from its disk; written there at the first start on this disk."""
    stored = files.read(IDENTITY_FILE)
    if stored:
        return stored.decode()
    if identity.bootstrap and identity.address in identity.seeds:
        member = founder_id(identity.address)
    else:
        member = member_id(identity.address, f"{random.getrandbits(48):x}")
    files.write(IDENTITY_FILE, member.encode())
    return member


def founding_record(identity: MemberIdentity) -> EpochRecord:
    """The record before all epochs. On a start after the first it names nobody: the disk or the others tell."""
    if not identity.bootstrap:
        return EpochRecord(0, "", (), ())
    founders = tuple(founder_id(address) for address in sorted(identity.seeds))
    return EpochRecord(0, "", founders, founders)
