"""Remembered requests of operators that changed the configuration, so that a repeated request has no further effect.

A request is identified by its kind, base version and content. Records are part of the replicated store, so another
primary recognises it too. The oldest records are evicted: whether a request on so old a base version was committed is
then unknown, and it gets no definite answer.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from operator import itemgetter

import msgspec

from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import Put, put_value

IDEMPOTENCY_PREFIX = "order/"  # each value is the version that the request made
EVICTED_VERSION_KEY = "orders/forgotten"  # the newest version whose record was evicted
MAX_IDEMPOTENCY_RECORDS = 10_000  # 13 days at 750 a day
DIGEST_BYTES = 16


class ChangeKind(Enum):
    """How a request changes the configuration; the value personalises the digest, so the keys of both kinds differ."""

    REPLACE = b""
    UPDATE = b"update"


def idempotency_key(kind: ChangeKind, base: str, body: bytes) -> str:
    """Return the key that a request is identified by: a BLAKE2b digest in hexadecimal digits."""
    content = base.encode() + b"\n" + body
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES, person=kind.value).hexdigest()


class IdempotencyRecords:
    """The remembered requests in a member's store. Changes are returned as puts, not made."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member

    def contains(self, key: str) -> bool:
        """Whether the request of that key has changed the configuration before."""
        return IDEMPOTENCY_PREFIX + key in self._member.store.values

    def may_be_evicted(self, base: str) -> bool:
        """Whether a request on that base version may have been committed and its record evicted since.

        It would have made a version above its base.
        """
        return base.isdigit() and int(base) < self._newest_evicted_version()

    def add(self, key: str, generation: int) -> tuple[Put, ...]:
        """Return the puts that remember a request that made version ``generation``, and evict the oldest records."""
        return (put_value(IDEMPOTENCY_PREFIX + key, generation), *self._evict_oldest())

    def _newest_evicted_version(self) -> int:
        raw = self._member.store.values.get(EVICTED_VERSION_KEY)
        return -1 if raw is None else msgspec.json.decode(raw, type=int)

    def _evict_oldest(self) -> tuple[Put, ...]:
        """Return the puts that remove the older half of the records, where there are too many."""
        records = {key: raw for key, raw in self._member.store.values.items() if key.startswith(IDEMPOTENCY_PREFIX)}
        if len(records) < MAX_IDEMPOTENCY_RECORDS:
            return ()
        versions = [(key, msgspec.json.decode(raw, type=int)) for key, raw in records.items()]
        oldest = sorted(versions, key=itemgetter(1))[: MAX_IDEMPOTENCY_RECORDS // 2]
        newest_evicted = oldest[-1][1]
        removals = (put_value(key, None) for key, _ in oldest)
        return (put_value(EVICTED_VERSION_KEY, newest_evicted), *removals)
