"""Calls with several messages: the codec, and the outcome of each message for valid and invalid responses."""

import contextlib
import re
import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab.standins import WAIT_TIMEOUT_S, message, reply, row, settings, until
from lynxscale.relay import bundle
from lynxscale.scheduling.events import Result
from tests.relay.node import NodeCase

IDS = ["a1", "b2", "c3"]
OK, ERROR, LATER, GONE = (Result.OK, False), (Result.ERROR, False), (Result.FULL, False), (Result.MOOT, True)


def test_request_body_and_its_size():
    messages = [("a1", "", b"hello"), ("b2", "key", b"\r\nb2 - 1\r\n"), ("c3", "", b"")]
    body = bundle.encode_request(messages)
    assert body == b"a1 - 5\r\nhello\r\nb2 key 10\r\n\r\nb2 - 1\r\n\r\nc3 - 0\r\n\r\n"
    assert sum(bundle.encoded_size(*one) for one in messages) == len(body)


@pytest.mark.parametrize(
    "response,outcomes,good",
    [
        (b"a1 ok\r\nb2 later\r\nc3 gone\r\n", (OK, LATER, GONE), True),
        (b"c3 ok\r\na1 error\r\nb2 exhausted\r\n", (ERROR, (Result.MOOT, False), OK), True),
        (b"a1 ok\r\nb2 ok\r\n", (OK, OK, ERROR), False),  # a line is missing
        (b"a1 ok\r\nb2 ok\r\nc3 ok", (OK, OK, ERROR), False),  # truncated: the last line may be incomplete
        (b"a1 ok\r\na1 later\r\nb2 ok\r\nc3 ok\r\n", (ERROR, OK, OK), False),
        (b"a1 ok\r\na1 ok\r\nb2 ok\r\nc3 ok\r\n", (OK, OK, OK), False),
        (b"a1 ok\r\nx9 ok\r\nb2 fine\r\nc3 ok\r\n", (OK, ERROR, OK), False),
        (b"", (ERROR, ERROR, ERROR), False),
    ],
)
def test_response_outcomes(response, outcomes, good):
    found, well_formed = bundle.parse_response(response, IDS)
    assert (tuple(found[name] for name in IDS), well_formed) == (outcomes, good)


@given(
    st.lists(
        st.tuples(st.sampled_from([*IDS, "x", ""]), st.sampled_from(["ok", "later", "gone", "OK", "error"])), max_size=8
    ),
    st.binary(max_size=6),
    st.integers(0, 80),
)
def test_any_response_gives_each_message_one_outcome(lines, noise, cut):
    text = "".join(f"{name} {word}\r\n" for name, word in lines).encode()
    found, _good = bundle.parse_response((text[:cut] + noise + text[cut:])[:200], IDS)
    assert set(found) == set(IDS)
    for name in IDS:  # a message without a line is neither delivered nor safe to resend
        if not noise:
            words = {word for other, word in lines if other == name}
            assert found[name][0] != Result.OK or "ok" in words
            assert found[name][0] != Result.FULL or words == {"later"}


class Bundles(NodeCase):
    """A peer of a kind that accepts four messages per call."""

    def setUp(self) -> None:
        super().setUp()
        self.family = {"per_call": [4]}
        self.lines = lambda id_: "ok"
        self.act = self.answer

    def configure(self, **more):
        table = settings(**self.allowed)
        table["family_info"] |= self.family
        return super().configure(settings=table, **more)

    def answer(self, call) -> bytes:
        first, headers, body = call
        if "/events/bundle" not in first:
            return reply(200)
        return reply(200, "".join(f"{id_} {word}\r\n" for id_, _size, word in self.outcome_lines(body)).encode())

    def outcome_lines(self, body: bytes) -> list:
        return [(id_, size, self.lines(id_)) for id_, size in re.findall(r"(m\d+) \S+ (\d+)\r\n", body.decode())]

    def bundles(self) -> list[list[str]]:
        return [[row[0] for row in self.outcome_lines(call[2])] for call in self.calls() if "/events/bundle" in call[0]]

    def hand_in(self, number: int, cls: str = "safe") -> None:
        """Submit ``number`` messages at almost the same time, so that most of them are read in one turn."""
        clients = [self.client() for _ in range(number)]
        for place, client in enumerate(clients):
            client.socket.sendall(message(f"m{place}", cls))
        for client in clients:
            client.stream.readline()

    def test_messages_of_one_turn_share_a_call_with_an_outcome_each(self):
        self.start()
        words = {"m0": ["ok"], "m1": ["later", "ok"], "m2": ["error", "ok"], "m3": ["gone"]}
        self.lines = lambda id_: words[id_].pop(0) if id_ in words and words[id_] else "ok"
        self.act = lambda _call: reply(503, b"", "Retry-After: 0.500")
        self.assertEqual(self.client().hand_in("m0")[0], 202)
        until(lambda: self.calls("m0"), "the rejected call")  # the other messages wait for its Retry-After
        self.hand_in(6, "safe")
        seen: list = []
        self.act = lambda call: seen.append(call) or self.answer(call)
        until(lambda: self.counters().get("ends", {}).get("delivered", 0) >= 5, "their ends")
        sent = [self.bundled_ids(call) for call in seen if "/events/bundle" in call[0]]
        self.assertTrue(sent)
        self.assertLessEqual(max(map(len, sent)), 4)
        self.assertEqual(self.counters()["tries"].get("spoilt", 0), 0)

    def bundled_ids(self, call) -> list[str]:
        return re.findall(r"(m\d+) \S+ \d+\r\n", call[2].decode())

    def test_only_what_never_ran_is_retried(self):
        for answer, again in ((reply(200, b""), False), (None, False), (reply(400), True), (reply(503), True)):
            with self.subTest(answer=answer):
                self.kill()
                self.peer.calls.clear()
                self.discovery.notices.clear()
                first: list = []

                def act(call, answer=answer, first=first):
                    if "/events/bundle" in call[0] and not first:
                        first.append(set(self.bundled_ids(call)))
                        return answer
                    return reply(503, b"", "Retry-After: 0.300") if not first else self.answer(call)

                self.act = act
                self.start()
                self.hand_in(6, "once")
                until(lambda first=first: first, "a bundle")
                done = (lambda name: self.sent(name) > 1) if again else self.discovery.notices.__contains__
                until(lambda first=first, done=done: all(map(done, first[0])), "a retry or a notice of each")
                if not again:
                    self.assertEqual([self.sent(name) - self.refused(name) for name in first[0]], [1] * len(first[0]))

    def test_cancellation_spares_a_call_with_messages_that_may_not_repeat(self):
        """Calls take 20 ms, then a bundle hangs that includes a message which must not be repeated.

        Cancelling the attempt of a repeatable message must not close the connection of that call.
        """
        hangs: list = []
        hung = threading.Event()
        self.addCleanup(hung.set)

        def act(call):
            if "/events/bundle" in call[0] and not hangs and self.mixed(call):
                hangs.append(self.bundled_ids(call))
                hung.wait(WAIT_TIMEOUT_S)
            else:
                time.sleep(0.02)
            return self.answer(call)

        self.act = act
        self.start()
        for number in range(100, 160):
            self.assertEqual(self.client().hand_in(f"m{number}")[0], 202)
        self.delivered(60)
        place = accepted_count = 0
        while not hangs and place < 400:
            with contextlib.ExitStack() as stack:
                clients = [stack.enter_context(contextlib.closing(self.client())) for _ in range(6)]
                for client in clients:
                    place += 1
                    client.socket.sendall(message(f"m{1000 + place}", ("once", "safe")[place % 2]))
                accepted_count += sum(b" 202 " in client.stream.readline() for client in clients)
            # Otherwise a fast machine submits a hundred before the first call arrives, and the rest is deferred.
            until(
                lambda so_far=accepted_count: hangs or self.counters()["ends"]["delivered"] >= 60 + so_far, "their ends"
            )
        until(lambda: hangs, "a call with messages of both classes")
        until(
            lambda: "not_cut" in self.counters()["tries"] or "reason=cancelled" in self.log.read_text(),
            "the attempted cancellation",
        )
        hung.set()
        until(lambda: self.counters()["ends"].get("delivered", 0) >= 60 + accepted_count, "all are delivered")
        self.assertEqual(self.discovery.notices, {})

    def mixed(self, call) -> bool:
        return len({int(id_[1:]) % 2 for id_ in self.bundled_ids(call) if len(id_) == 5}) == 2

    def test_timeout_of_one_message_leaves_the_call_to_the_others(self):
        """m0 has four seconds; the response arrives after them and still counts for the other messages."""
        self.start()
        self.wait_past_first_reads()
        self.act = lambda _call: reply(503, b"", "Retry-After: 0.500")
        self.assertEqual(self.client().hand_in("m9")[0], 202)
        until(lambda: self.calls("m9"), "the rejected call")

        def act(call):
            until(lambda: "m0" not in self.bundled_ids(call) or "m0" in self.discovery.notices, "the end of m0")
            return self.answer(call)

        self.act = act
        clients = [self.client() for _ in range(3)]
        for place, client in enumerate(clients):
            client.socket.sendall(message(f"m{place}", left=4.0 if place == 0 else 16.0))
        for client in clients:
            client.stream.readline()
        self.delivered(3)
        self.assertTrue(any("m0" in names and len(names) > 1 for names in self.bundles()), self.bundles())
        self.assertEqual([self.sent("m1"), self.sent("m2")], [1, 1])
        self.assertNotIn("reset", self.counters()["tries"])

    def sent(self, name: str) -> int:
        return sum(call[1].get("req-id") == name or name in self.bundled_ids(call) for call in self.calls())

    def refused(self, name: str) -> int:
        return sum(call[1].get("req-id") == name for call in self.calls())


class Pushed(NodeCase):
    """Lists from an agent on the machine, which is polled without orders of the scheduler and may be unresponsive."""

    def configure(self, **more):
        table = settings(**self.allowed)
        table["membership_mode"] = "push"
        return super().configure(settings=table, **more)

    def test_changes_are_pushed_without_a_request_and_after_a_timeout(self):
        self.start()
        self.assertEqual(self.client().hand_in("m1", dest=5)[0], 503)  # 503: a list with it may still arrive
        self.discovery.change(row("s-5", self.peer.at, 5))
        until(lambda: self.client().hand_in("m5", dest=5)[0] == 202, "the new destination")
        self.discovery.failing = True
        until(lambda: self.counters()["group"].get("failed", 0) >= 2, "an agent that fails, asked again")
        self.discovery.failing = False
        self.discovery.change(row("s-5", self.peer.at, 5, "draining"), row("s-6", self.peer.at, 6))
        until(lambda: self.client().hand_in("m6", dest=6)[0] == 202, "a destination listed after the failure")
        before = len(self.calls())
        self.assertEqual(self.client().hand_in("m7", dest=5, left=1.0)[0], 202)
        self.notice("m7")
        self.assertEqual([call[1]["req-id"] for call in self.calls()[before:] if call[1]["req-id"] == "m7"], [])
