"""Two of four storage machines are killed while a voter is being replaced; see claim.txt."""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path
from typing import Any

from review.harness import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Answer,
    CouldNotRunError,
    Operator,
    Record,
    Tier,
    configuration,
    end_on_sigterm,
    with_trouble,
)

PLAY_S = 110.0  # the longest that a play takes
ACK_S = 4.0  # ``ack-ms``
APPLY_S = 2.0  # ``config-apply-ms``
RECOVERY_S = 12.0  # ``recovery-s``
CATCH_UP_S = 4.4  # ``catch-up-s``
ATTEMPT_S = 60.0  # the longest that an attempt takes: none is begun later than this before the end
FAST_SYNC_S = 0.0005
DELAYS_S = (0.0003, 0.00025, 0.00045, 0.0002, 0.00035, 0.0006, 0.0009)  # one for each attempt
PAUSE_S = 3.0  # in which two machines that can elect a primary do so
SETTLE_S = 20.0  # the longest that a started group takes to be complete
PROMISE_S = 1.5  # the longest that the group takes to notice the first loss

SERVICES = [{"name": "secretaria", "health-check": "/healthz", "max-connections": 110, "protocol": "h1", "tls": False}]


def order(generation: int, timeout_ms: int) -> bytes:
    """A valid configuration of one route."""
    route: dict[str, Any] = {
        "name": "sancion",
        "host": "mesas.example",
        "path-prefix": "/sancion/",
        "route-type": "unsafe",
        "timeout-ms": timeout_ms,
        "target-latency-ms": 333,
        "priority": 2,
        "backend": "secretaria",
        "max-attempts": 1,
    }
    return configuration(generation, [route], SERVICES)


class Case:
    """One play. ``acknowledged``: the newest version that the operator was told is in force, with its body."""

    def __init__(self, record: Record, tier: Tier) -> None:
        self.record = record
        self.tier = tier
        self.operator = Operator(tier)
        self.acknowledged: tuple[int, bytes] = (0, b"")
        self.broken: list[str] = []

    def play(self) -> None:
        """Play attempts until the rule is broken or the time is over. Raises CouldNotRunError."""
        began = time.monotonic()
        for number in (1, 2, 3):
            self.tier.launch(f"store-{number}", bootstrap=True)
        if self.change(10, 20.0).status != 200:
            raise CouldNotRunError("the first configuration was not acknowledged")
        self.tier.launch("store-4")  # a storage machine is added
        if not with_trouble():
            self.calm()
            return
        attempts = completed = 0
        while not self.broken and time.monotonic() - began < PLAY_S - ATTEMPT_S:
            attempts += 1
            completed += self.attempt(attempts - 1)
        self.record.note(f"{attempts} attempts, {completed} of them with a change acknowledged after both kills")
        if not completed and not self.broken:
            raise CouldNotRunError("no attempt met the moment")

    def calm(self) -> None:
        """The same calls without a kill."""
        time.sleep(CATCH_UP_S)
        if self.change(self.acknowledged[0] + 2, ACK_S).status != 200:
            self.broken.append("a valid configuration was not acknowledged")
            return
        time.sleep(APPLY_S)
        self.check_read("with nothing disturbed", RECOVERY_S)

    def attempt(self, number: int) -> bool:
        """Kill two voters one after the other, change, kill the other two, start all again; False if no change."""
        leader, first, second, spare = self.settled_group()
        self.record.note(f"{leader} leads, {first} and {second} vote too, {spare} has no vote")
        self.tier.kill(first)
        self.await_second_moment(second, number)
        self.tier.kill(second)
        base = self.acknowledged[0]
        if self.change(base + 2, ACK_S).status != 200:
            self.record.note("no change was acknowledged: both machines start again")
            self.restart(first, second)
            return False
        time.sleep(APPLY_S + 0.1)
        for name in (leader, spare):
            self.tier.kill(name)
        self.restart(first, second)
        self.check_read(f"while {first} and {second} run", PAUSE_S)
        if self.broken:
            self.check_race(base)
        self.restart(leader, spare)
        if self.broken:
            time.sleep(RECOVERY_S)
            self.check_read("later than recovery-s after all four run again, no disk lost", RECOVERY_S)
        return True

    def settled_group(self) -> tuple[str, str, str, str]:
        """The leader, the other two voters and the machine without a vote, once all four run and hold the data."""
        end, status = time.monotonic() + SETTLE_S, {}
        while time.monotonic() < end:
            time.sleep(0.2)
            leader, status = self.tier.leader()
            peers = status.get("replicas", [])
            voters = sorted(peer["node"] for peer in peers if peer["witness"] and peer["in_sync"])
            spares = sorted(peer["node"] for peer in peers if not peer["witness"] and peer["heard_s"] < 1.0)
            if leader and len(voters) == 2 and len(spares) == 1:
                time.sleep(CATCH_UP_S)
                return leader, voters[0], voters[1], spares[0]
        raise CouldNotRunError(f"the group did not settle: {json.dumps(status.get('replicas'))}")

    def await_second_moment(self, name: str, number: int) -> None:
        """Return between the machine's promise to the primary and its write of the record that is proposed then.

        Its folder is watched for this: the only use is to choose the moment of the kill.
        """
        folder = self.tier.folder / name
        state, unfinished = folder / "register.second", str(folder / "register.aside")
        before, end = os.stat(state).st_ino, time.monotonic() + PROMISE_S
        while os.stat(state).st_ino == before and time.monotonic() < end:
            pass
        if self.tier.sync_s >= FAST_SYNC_S:  # the write takes long enough to see it begin
            end = time.monotonic() + 0.05
            while not os.path.exists(unfinished) and time.monotonic() < end:
                pass
            return
        end = time.monotonic() + DELAYS_S[number % len(DELAYS_S)]
        while time.monotonic() < end:
            pass

    def restart(self, *names: str) -> None:
        """Start machines again, with their disks."""
        for name in names:
            self.tier.launch(name)

    def change(self, generation: int, within_s: float) -> Answer:
        """Send a change on top of the acknowledged version until it is answered clearly."""
        body = order(generation, 1000 + generation)
        answer = self.operator.order("POST", "/config/replace", body, self.acknowledged[0], within_s)
        if answer.status == 200:
            self.acknowledged = (generation, body)
            self.record.note(f"generation {generation} is acknowledged")
        return answer

    def check_read(self, when: str, within_s: float) -> None:
        """Read the configuration as the operator does at the end of a day; an older one breaks the rule."""
        answer = self.operator.order("GET", "/config/read", within_s=within_s)
        if answer.status != 200:
            self.record.note(f"{when}: no configuration is read (allowed while machines are down)")
            return
        read = json.loads(answer.body)["generation"]
        newest, body = self.acknowledged
        self.record.note(f"{when}: generation {read} is read, {newest} was acknowledged")
        if read < newest:
            self.broken.append(f"{when}: {newest} was acknowledged, {read} is read")
        elif read == newest and answer.body != body:
            self.broken.append(f"{when}: generation {read} is read with another content than was acknowledged")

    def check_race(self, base: int) -> None:
        """Another operator sends another change on the version that is read; one on it was acknowledged before."""
        newest, other = self.acknowledged[0], base + 3
        body = order(other, 777)
        if self.operator.order("POST", "/config/replace", body, base).status == 200:
            self.acknowledged = (other, body)
            self.broken.append(f"{newest} and {other}, both made on top of {base}, are acknowledged")


def main() -> int:
    """Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    end_on_sigterm()
    record = Record(Path(__file__).parent / "record.txt")
    tier = Tier(record)
    try:
        case = Case(record, tier)
        case.play()
        for breach in case.broken:
            record.note(f"BROKEN: {breach}")
        record.note("verdict: " + ("broken" if case.broken else "held"))
        return BROKEN if case.broken else HELD
    except CouldNotRunError as error:
        record.note(f"verdict: could not run: {error}")
        return COULD_NOT_RUN
    finally:
        tier.close()
        record.close()


if __name__ == "__main__":
    sys.exit(main())
