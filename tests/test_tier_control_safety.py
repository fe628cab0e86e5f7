"""The control side under the worst days: each fault that was found is brought about, and what must hold is asserted."""

import msgspec
import pytest

from lab.tier import second_failure
from lab.tier.machine import ProcessEnded
from lab.tier.world import World
from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.acceptor_state import ACCEPTOR_STATE_FILE, AcceptorStateFile, MemberIdentity
from lynxscale.coordination.checksummed_file import SECOND_FILE_SUFFIX
from lynxscale.coordination.lease import LEASE_S
from lynxscale.coordination.messages import (
    Message,
    Position,
    Prepare,
    address_of,
)
from lynxscale.coordination.version_files import BATCH_PREFIX, WATERMARK_FILE
from tests.coordination.control_groups import backups_of, start_group

NEWCOMER = "10.0.0.9:7000"


# A leaving member ------------------------------------------------------------------------------------


@pytest.mark.parametrize("gap", [0.0, 0.02, 0.1, 0.2])
@pytest.mark.parametrize(("leaves", "lost"), [(0, 1), (0, 2), (1, 0), (1, 2)])
def test_a_loss_right_after_a_leaving_member_leaves_a_majority(gap, leaves, lost):
    """Seen: the member that left voted and copied no more at once, and the group had no primary ever again."""
    for seed in range(4):
        group = start_group(seed)
        group.start(NEWCOMER)
        assert group.put("a", seed)
        group.world.run(group.world.time + 1.5)
        places = second_failure.members_by_rank(group)
        group.leave(places[leaves])
        group.world.run(group.world.time + gap)
        group.kill(places[lost], power=True, wipe=True)
        assert group.put("b", 1, within=10.0), (seed, leaves, lost)
        assert group.value("a") == seed


def test_a_member_that_nobody_can_replace_is_released_in_a_moment():
    for seed in range(10):
        for place in (0, 1):
            group = start_group(seed)
            group.world.run(group.world.time + 2)
            address = second_failure.members_by_rank(group)[place]
            begun = group.world.time
            group.leave(address)
            assert group.world.run_until(lambda g=group, a=address: a not in g.members, 1.3), (seed, place)
            assert group.world.time - begun < 1.3
            assert group.put("a", 1)


def test_a_member_with_a_successor_stays_until_that_has_caught_up():
    group = start_group()
    assert group.put("a", "x" * 100_000)
    leaving = backups_of(group)[0]
    newcomer = group.start(NEWCOMER)
    group.world.machine(NEWCOMER).bytes_per_s = 200_000.0
    group.world.run(group.world.time + 0.5)
    group.leave(leaving)
    assert group.world.run_until(lambda: leaving not in group.members, 6.0)
    record = group.wait_for_leader().record
    assert newcomer.member_id in record.in_sync and newcomer.member_id in record.voters
    assert leaving not in [address_of(one) for one in (*record.voters, *record.in_sync)]


def test_a_member_that_cannot_be_released_goes_on_serving_until_its_time_is_over():
    group = start_group()
    first, second = backups_of(group)
    group.kill(first)
    group.world.run(group.world.time + 1)
    group.leave(second, within=5.0)
    group.world.run(group.world.time + 4)
    assert second in group.members
    assert group.put("a", 1)
    group.world.run(group.world.time + 2)
    assert second not in group.members


def test_a_candidate_stands_aside_for_a_copy_that_reaches_further():
    """The newest batch and the mark are gone from one disk, which nothing on that disk can tell."""
    for seed in range(6):
        group = start_group(seed)
        assert group.put("a", 1)
        group.world.run(group.world.time + 1.5)
        assert group.put("b", 2)
        first, second = backups_of(group)
        for address in group.seeds:
            group.kill(address)
        files = group.world.machine(first).files
        del files._files[[name for name in files.names() if name.startswith(BATCH_PREFIX)][-1]]
        for name in (WATERMARK_FILE, WATERMARK_FILE + SECOND_FILE_SUFFIX):
            files._files.pop(name, None)
        for address in (first, second):
            group.start(address)
        assert group.wait_for_leader().member_id == group.members[second].member_id
        assert group.value("b") == 2


@pytest.mark.parametrize("how", ["corrupt", "truncate", "missing"])
def test_one_damaged_register_file_loses_nothing_and_two_make_another_member(how):
    """Seen from reading: a damaged register ended the process at each start, a missing one was a first start."""
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
        # The start that finds one damaged writes both anew.
        assert (
            AcceptorStateFile(MemberIdentity(address, False, group.seeds), machine.files, group.world.random).state
            == before
        )
    break_file(ACCEPTOR_STATE_FILE)
    break_file(ACCEPTOR_STATE_FILE + SECOND_FILE_SUFFIX)
    member = group.start(address, bootstrap=True)
    assert member.member_id != before.member
    assert group.world.run_until(lambda: member.member_id in group.wait_for_leader().record.in_sync, 4.0)


# Epochs ------------------------------------------------------------------------------------------------


def test_a_candidates_own_promise_is_durable_before_anybody_is_asked():
    """Else its next life asks for the same epoch, and two records may stand under it."""
    group = start_group()
    candidate = group.members[backups_of(group)[0]]
    machine = group.world.machine(address_of(candidate.member_id))
    asked: list[tuple[int, int]] = []
    deliver = group.world.deliver

    def watch(source: str, target: str, message: Message) -> None:
        if isinstance(message, Prepare) and target != source:
            stored = AcceptorStateFile(
                MemberIdentity(source, False, ()), group.world.machine(source).files, group.world.random
            )
            asked.append((message.epoch, stored.state.promised))
        deliver(source, target, message)

    group.world.deliver = watch
    for _ in range(4):
        group.kill(address_of(group.wait_for_leader().member_id))
        group.world.run(group.world.time + 2)
        for address in group.seeds:
            if address not in group.members:
                group.start(address)
    assert asked and all(epoch == promised for epoch, promised in asked)
    assert machine.files.names()


def test_a_process_that_ends_between_the_two_files_of_its_register_keeps_its_promise():
    for instant in (1, 2):
        world = World(instant)
        machine = world.machine("a:1")
        identity = MemberIdentity("a:1", True, ("a:1", "b:1", "c:1"))
        witness = Acceptor(AcceptorStateFile(identity, machine.files, world.random), machine.clock(), LEASE_S)
        world.call_at_step(world.steps + instant, lambda one=machine: one.kill(power=True))
        with pytest.raises(ProcessEnded):
            witness.prepare(Prepare(5, "b:1#0"), Position(0, 0))
        assert AcceptorStateFile(identity, machine.files, world.random).state.promised == 5


# A second loss -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(("size", "tolerated", "lost"), [(3, 1, 1), (4, 1, 1), (5, 2, 2), (7, 2, 2), (9, 2, 2)])
def test_disks_are_lost_while_all_others_lose_power_at_once(size, tolerated, lost):
    for seed in range(8):
        group = start_group(seed, size, tolerated)
        for number in range(8):
            assert group.put(f"k{number}", number)
        victims = group.world.random.sample(group.seeds, lost)
        for address in group.seeds:
            group.kill(address, power=True, wipe=address in victims)
        group.world.run(group.world.time + 1)
        for address in group.world.random.sample(group.seeds, size):
            group.start(address)
        assert group.put("after", 1, within=12.0), seed
        assert all(group.value(f"k{number}") == number for number in range(8)), seed


# Cut off -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("size", [3, 4, 5, 6, 7, 9])
def test_halves_for_twenty_seconds_confirm_nothing_on_the_lesser_side_and_meet_again(size):
    tolerated = 1 if size < 5 else 2
    for seed in range(4):
        group = start_group(seed, size, tolerated)
        assert group.put("a", 1)
        group.world.run(group.world.time + 1)
        members = list(group.seeds)
        group.world.random.shuffle(members)
        half = members[: size // 2]
        for one in half:
            for other in members[size // 2 :]:
                group.world.partition(one, other)
        end, most = group.world.time + 20, 0
        while group.world.time < end:
            group.world.run(group.world.time + 0.05)
            most = max(most, len(group.leaders()))
        assert most <= 1
        group.world.heal()
        begun = group.world.time
        assert group.put("b", 2, within=3.0), seed
        assert group.world.time - begun < 2.0
        assert group.value("a") == 1


@pytest.mark.parametrize("one_way", ["both", "in", "out"])
def test_a_member_back_from_a_cut_does_no_harm_in_its_first_second(one_way):
    for seed in range(4):
        group = start_group(seed)
        assert group.put("a", 1)
        cut = group.seeds[seed % 3]
        for other in group.seeds:
            if other != cut and one_way in ("both", "out"):
                group.world.partition(cut, other, both_ways=False)
            if other != cut and one_way in ("both", "in"):
                group.world.partition(other, cut, both_ways=False)
        group.world.run(group.world.time + 20)
        leader = group.wait_for_leader()
        group.world.heal()
        gaps = []

        def look(group=group, gaps=gaps) -> None:
            gaps.append(not group.leaders())
            group.world.call_at(group.world.time + 0.02, look)

        look()
        group.world.run(group.world.time + 1)
        assert not any(gaps), (seed, one_way)
        assert group.wait_for_leader() is leader


def test_a_member_that_was_replaced_while_it_was_cut_off_is_there_again_in_a_moment():
    """Seen on a bench day: it went on standing for epochs and told nobody, so it was no successor to anyone."""
    for seed in range(6):
        group = start_group(seed)
        group.start(NEWCOMER)
        assert group.put("a", 1)
        cut = group.seeds[seed % 3]
        for other in (*group.seeds, NEWCOMER):
            if other != cut:
                group.world.partition(cut, other)
        group.world.run(group.world.time + 12)
        group.world.heal()
        member = group.members[cut]
        leader = group.wait_for_leader()
        assert member.member_id not in leader.record.voters
        assert group.world.run_until(lambda m=member, r=leader.record: m.record == r, 1.0), seed
        lost = next(a for a in group.seeds if a not in (cut, address_of(leader.member_id)))
        group.kill(lost, wipe=True)
        assert group.world.run_until(
            lambda m=member, g=group: m.member_id in g.wait_for_leader().record.in_sync, 2.0
        ), seed


def test_the_time_of_day_is_stepped_and_nothing_depends_on_it():
    group = start_group()
    assert group.put("a", 1)
    leader = group.wait_for_leader()
    for address, step in zip(group.seeds, (-3600.0, 3600.0, 0.0), strict=True):
        group.world.machine(address).clock_step_s = step
    group.world.run(group.world.time + 5)
    assert group.wait_for_leader() is leader
    assert group.put("b", 1)


def test_the_register_is_read_as_it_was_written():
    machine = World(1).machine("a:1")
    register = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, machine.world.random)
    assert msgspec.json.encode(register.state)
    again = AcceptorStateFile(MemberIdentity("a:1", False, ()), machine.files, machine.world.random)
    assert again.state == register.state and again.restored and not register.restored
