"""The table of keys and values: what it keeps of the messages that its values came in."""

import tracemalloc

import msgspec

from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import Put, Topic, Version, put_value
from lynxscale.coordination.topic_publisher import Publisher

LARGE_BYTES = 1_000_000
MESSAGES = 30


def decoded_puts(number: int) -> tuple[Put, ...]:
    """A large value under one key and a small one under another, as they come in one message."""
    puts = (put_value("large", "x" * LARGE_BYTES), put_value(f"small/{number}", number))
    return msgspec.json.decode(msgspec.json.encode(puts), type=tuple[Put, ...])


def test_small_values_do_not_keep_the_messages_alive_in_which_large_ones_came():
    table = KeyValueTable()
    tracemalloc.start()
    try:
        for number in range(MESSAGES):
            table.apply(decoded_puts(number))
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(table.entries) == MESSAGES + 1
    assert kept_bytes < 3 * LARGE_BYTES


def test_the_size_is_that_of_all_keys_and_values():
    table = KeyValueTable()
    for number in range(3):
        table.apply(decoded_puts(number))
    assert table.size_bytes == sum(len(key) + len(bytes(value)) for key, value in table.entries.items())
    table.apply((put_value("large", None), put_value("absent", None)))
    assert table.size_bytes == sum(len(key) + len(bytes(value)) for key, value in table.entries.items()) < 100


def test_small_topics_do_not_keep_the_messages_alive_in_which_large_ones_came():
    publisher = Publisher("a:1", None, None)
    tracemalloc.start()
    try:
        for number in range(MESSAGES):
            large = Topic(Version(0, number), msgspec.Raw(msgspec.json.encode("x" * LARGE_BYTES)))
            small = Topic(Version(0, number), msgspec.Raw(b"1"))
            sent = msgspec.json.encode({"large": large, f"small/{number}": small})
            publisher.update(msgspec.json.decode(sent, type=dict[str, Topic]))
            del large, small, sent
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(publisher.topics) == MESSAGES + 1
    assert kept_bytes < 3 * LARGE_BYTES
