"""Settings: the line-based file of this product, and what the platform tells in JSON and variables.

``lexer`` splits a file into words, ``table`` says which directives there are and ``settings`` what they fill,
``reader`` parses the one by the other; ``platform`` reads ``NODE_CONFIG`` and the environment. Nothing else in the
relay reads a setting.
"""
