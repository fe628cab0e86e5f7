"""What the project tries itself with: stand-ins, load and benchmarks, on loopback. Not imported by the daemon."""
