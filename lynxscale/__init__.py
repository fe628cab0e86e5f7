"""lynxscale: a relay that delivers messages to partner systems over real sockets."""
