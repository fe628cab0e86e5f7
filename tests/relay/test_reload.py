"""SIGHUP applies a new configuration while the relay serves."""

import signal

from lab.standins import WAIT_TIMEOUT_S, Discovery, Server, reply, row, until
from tests.relay.node import NodeCase


class Reload(NodeCase):
    def setUp(self) -> None:
        super().setUp()
        self.other = Discovery()
        self.addCleanup(self.other.close)
        self.second = Server(lambda call: reply(200))
        self.addCleanup(self.second.close)
        self.other.rows = [row("s-2", self.second.at, 1)]

    def move(self) -> None:
        self.configure(discovery=self.other.at)
        self.reload(f"event=reloaded discovery={self.other.at}")

    def test_reload_moves_to_another_discovery(self):
        """The complete list is requested there, then watched; endpoints that are not in it get no new messages."""
        self.start()
        until(lambda: len(self.discovery.calls) >= 2, "the watch")
        self.move()
        until(lambda: len(self.other.calls) >= 2, "the watch at the new address")
        targets = [call[0].split()[1] for _, call in self.other.calls[:2]]
        self.assertEqual(targets[0], "/catalog/members")
        self.assertTrue(targets[1].startswith("/catalog/members?after=1&"), targets)
        until(lambda: not self.discovery.open, "the connections to the old address to close")
        self.client().hand_in("m1")
        self.delivered(1)
        self.assertEqual((len(self.calls()), len(self.second.calls)), (0, 1))
        opened = self.discovery.opened
        self.move()  # a reload of the unchanged file
        self.other.change(row("s-2", self.second.at, 1, "gone"), row("s-1", self.peer.at, 1))
        until(lambda: any("after=2" in call[0] for _, call in list(self.other.calls)), "the watch goes on")
        self.client().hand_in("m2")
        self.delivered(2)
        self.assertEqual((len(self.calls()), self.discovery.opened), (1, opened))

    def test_new_discovery_that_fails_at_first_is_asked_for_the_complete_list(self):
        self.other.failing = True
        self.start()
        self.move()
        until(lambda: self.counters().get("group", {}).get("failed", 0) >= 1, "a failure")
        self.other.failing = False
        until(lambda: len(self.other.calls) >= 3 and "?" in self.other.calls[-1][1][0], "the watch")
        asked = [call[0].split()[1] for _, call in list(self.other.calls)]
        self.assertEqual({target for target in asked if "?" not in target}, {"/catalog/members"})
        self.assertNotIn("?", asked[1])

    def test_invalid_file_changes_nothing(self):
        self.start()
        for table, key in [
            ({"settings": {}}, "grades"),
            ({"discovery": "nowhere"}, "discovery"),
            ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ]:
            self.configure(**table)
            self.reload("event=not_reloaded ")
            self.assertIn(key, self.log.read_text().rpartition("event=not_reloaded ")[2].partition("\n")[0])
        self.client().hand_in("m1")
        self.delivered(1)

    def test_settings_that_need_a_restart_are_named(self):
        self.start()
        self.limits["sockets"] = 200
        self.configure()
        self.reload("for_a_restart=sockets")

    def test_notice_in_flight_is_resent_to_the_new_address(self):
        self.discovery.refusals = 10**6
        self.act = lambda call: None
        self.start()
        self.client().hand_in("m1", "once")
        until(lambda: self.counters().get("notices", {}).get("sent_again", 0) > 2, "notices sent again")
        self.move()
        until(lambda: self.other.notices.get("m1"), "the notice at the new address")

    def test_reload_during_the_stop(self):
        self.discovery.refusals = 10**6
        self.act = lambda call: None
        self.start()
        self.client().hand_in("m1", "once")
        until(lambda: self.counters().get("notices", {}).get("sent_again", 0) > 2, "notices sent again")
        self.process.send_signal(signal.SIGTERM)
        until(lambda: "event=stopping" in self.log.read_text(), "the stop")
        self.move()
        until(lambda: self.other.notices.get("m1"), "the notice at the new address")
        self.assertEqual(self.process.wait(WAIT_TIMEOUT_S), 0)
