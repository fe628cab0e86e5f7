"""What the programs of the serving tier run on: settings, sockets, files, HTTP by h11, logs."""
