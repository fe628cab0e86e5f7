"""Records of requests that changed the configuration, so that a repeated request has no further effect.

A request is identified by its kind, base version and content. The records are part of the replicated store, so a new
primary recognises a repeated request too. The oldest records are evicted: whether a request on such an old base version
was committed is then unknown, and the response says so.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from operator import itemgetter

import msgspec

from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import Put, put_value

IDEMPOTENCY_PREFIX = "order/"  # each value is the version that the request created
EVICTED_VERSION_KEY = "orders/forgotten"  # the newest version whose record was evicted
MAX_IDEMPOTENCY_RECORDS = 10_000  # 13 days at 750 changes a day
DIGEST_BYTES = 16


class ChangeKind(Enum):
    """How a request changes the configuration. The value personalises the digest, so that keys of both kinds differ."""

    REPLACE = b""
    UPDATE = b"update"


def idempotency_key(kind: ChangeKind, base: str, body: bytes) -> str:
    """Return the key that identifies a request: a hexadecimal BLAKE2b digest."""
    content = base.encode() + b"\n" + body
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES, person=kind.value).hexdigest()


class IdempotencyRecords:
    """The records in a member's store. Methods return changes as puts and apply none."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member

    def contains(self, key: str) -> bool:
        """Whether the request with this key has already changed the configuration."""
        return IDEMPOTENCY_PREFIX + key in self._member.store.values

    def may_be_evicted(self, base: str) -> bool:
        """Whether a request on this base version may have been committed and its record evicted since.

        Such a request created a version above its base.
        """
        return base.isdigit() and int(base) < self._newest_evicted_version()

    def add(self, key: str, generation: int) -> tuple[Put, ...]:
        """Return the puts that record the request that created ``generation``, and that evict the oldest records."""
        return (put_value(IDEMPOTENCY_PREFIX + key, generation), *self._evict_oldest())

    def _newest_evicted_version(self) -> int:
        raw = self._member.store.values.get(EVICTED_VERSION_KEY)
        return -1 if raw is None else msgspec.json.decode(raw, type=int)

    def _evict_oldest(self) -> tuple[Put, ...]:
        """Return the puts that remove the older half of the records, if there are too many."""
        records = {key: raw for key, raw in self._member.store.values.items() if key.startswith(IDEMPOTENCY_PREFIX)}
        if len(records) < MAX_IDEMPOTENCY_RECORDS:
            return ()
        versions = [(key, msgspec.json.decode(raw, type=int)) for key, raw in records.items()]
        oldest = sorted(versions, key=itemgetter(1))[: MAX_IDEMPOTENCY_RECORDS // 2]
        newest_evicted = oldest[-1][1]
        removals = (put_value(key, None) for key, _ in oldest)
        return (put_value(EVICTED_VERSION_KEY, newest_evicted), *removals)
