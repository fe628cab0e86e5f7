"""A relay's cache of conversation histories."""

from lynxscale.dataplane.history_cache import CachedHistory, HistoryCache


def test_the_cache_is_bounded_and_evicts_the_least_recently_used():
    cache = HistoryCache(max_bytes=30)
    for number in range(3):
        cache.put(f"s{number}", f"t{number}", "run", b"x" * 10)
    assert cache.get("t0") == CachedHistory("s0", "run", b"x" * 10)
    cache.put("s3", "t3", "run", b"y" * 10)
    assert cache.get("t1") is None and cache.get("t0") and cache.get("t3")
    assert (
        cache.best_match("s1", "other") == ""
        and cache.best_match("s0", "other") == "t0"
        and cache.best_match("s0", "") == ""
    )
    assert cache.best_match("s0", "t3") == "t3"
