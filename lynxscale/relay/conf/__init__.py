"""Settings of the relay: the line-based configuration file, and the platform's JSON file and environment variables.

``lexer`` splits a file into words, ``table`` defines the directives, ``settings`` the classes that hold their values,
and ``reader`` parses a file into these classes. ``platform`` reads ``NODE_CONFIG`` and the environment. No other module
of the relay reads settings.
"""
