"""The acceptor's durable state survives damage to one of its two files."""

import msgspec
import pytest

from lab.tier.machine import ProcessEnded
from lab.tier.world import World
from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.acceptor_state import ACCEPTOR_STATE_FILE, AcceptorState, AcceptorStateFile, MemberIdentity
from lynxscale.coordination.checksummed_file import SECOND_FILE_SUFFIX
from lynxscale.coordination.lease import LEASE_S
from lynxscale.coordination.messages import Position, Prepare
from tests.coordination.control_groups import backups_of, start_group


def test_state_whose_second_file_is_older_is_rewritten_at_start():
    """Otherwise a promise that only the first file holds is lost when that file is damaged later."""
    machine = World(1).machine("a:1")
    identity = MemberIdentity("a:1", True, ("a:1",))
    state_file = AcceptorStateFile(identity, machine.files, machine.world.random)
    before = machine.files.read(ACCEPTOR_STATE_FILE + SECOND_FILE_SUFFIX)
    state_file.save(AcceptorState("a#0", state_file.state.accepted, 7, "b#0"))
    machine.files._files[ACCEPTOR_STATE_FILE + SECOND_FILE_SUFFIX] = before
    assert AcceptorStateFile(identity, machine.files, machine.world.random).state.promised == 7
    machine.files.truncate(ACCEPTOR_STATE_FILE, machine.world.random)
    assert AcceptorStateFile(identity, machine.files, machine.world.random).state.promised == 7


@pytest.mark.parametrize("how", ["corrupt", "truncate", "missing"])
def test_one_damaged_state_file_loses_nothing_and_two_make_another_member(how):
    """Regression: a damaged state file ended the process at every start, and a missing one passed for a first start."""
    group = start_group()
    address = backups_of(group)[0]
    before = group.members[address].acceptor.state
    group.kill(address)
    machine = group.world.machine(address)

    def break_file(name: str) -> None:
        if how == "missing":
            machine.files._files.pop(name, None)
        else:
            getattr(machine.files, how)(name, group.world.random)

    for name in (ACCEPTOR_STATE_FILE, ACCEPTOR_STATE_FILE + SECOND_FILE_SUFFIX):
        break_file(name)
        # A start that finds one file damaged writes both again.
        assert (
            AcceptorStateFile(MemberIdentity(address, False, group.seeds), machine.files, group.world.random).state
            == before
        )
    break_file(ACCEPTOR_STATE_FILE)
    break_file(ACCEPTOR_STATE_FILE + SECOND_FILE_SUFFIX)
    member = group.start(address, bootstrap=True)
    assert member.member_id != before.member
    assert group.world.run_until(lambda: member.member_id in group.wait_for_leader().record.in_sync, 4.0)


def test_process_that_ends_between_its_two_state_files_keeps_its_promise():
    for instant in (1, 2):
        world = World(instant)
        machine = world.machine("a:1")
        identity = MemberIdentity("a:1", True, ("a:1", "b:1", "c:1"))
        acceptor = Acceptor(AcceptorStateFile(identity, machine.files, world.random), machine.clock(), LEASE_S)
        world.call_at_step(world.steps + instant, lambda one=machine: one.kill(power=True))
        with pytest.raises(ProcessEnded):
            acceptor.prepare(Prepare(5, "b:1#0"), Position(0, 0))
        assert AcceptorStateFile(identity, machine.files, world.random).state.promised == 5


def test_state_is_read_as_it_was_written():
    machine = World(1).machine("a:1")
    state_file = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, machine.world.random)
    assert msgspec.json.encode(state_file.state)
    again = AcceptorStateFile(MemberIdentity("a:1", False, ()), machine.files, machine.world.random)
    assert again.state == state_file.state and again.restored and not state_file.restored
