"""Test stand-ins, load generators, simulators and benchmarks, all on loopback. The daemon imports none of them."""
