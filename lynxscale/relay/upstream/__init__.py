"""Membership: which endpoints there are, from any source; docs/design/membership.md.

``model`` has the values, ``decide`` what a new version means, ``table`` the list in force, ``ramp`` weights on their
way and ``files`` the format, none of them with I/O or a clock; ``group`` is the list in force of a running relay,
``watch`` follows the files, ``state`` keeps the last good ones.
"""
