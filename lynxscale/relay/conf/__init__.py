"""Settings: the line-based file of this product, and what the platform tells in JSON and variables.

``lexer`` makes words of a file, ``table`` says which words there are, ``reader`` checks one against the other;
``platform`` reads ``NODE_CONFIG`` and the environment. Nothing else in the program reads a setting.
"""
