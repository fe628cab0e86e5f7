"""The sockets of the relay: client connections, peers, discovery and notices."""
