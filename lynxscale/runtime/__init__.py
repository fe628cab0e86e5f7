"""I/O and process support for the programs of the serving tier: settings, sockets, files, HTTP (with h11) and logs."""
