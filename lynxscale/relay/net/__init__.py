"""Network I/O of the relay: client connections, peers, discovery, notices and the admin server."""
