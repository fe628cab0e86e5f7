"""The upstream group: endpoint lists from files and from discovery, and the effective list that results from them.

``model`` defines the data types, ``files`` parses and writes lists, ``validation`` decides whether a new version is
applied, ``endpoint_table`` holds the list in force and ``group`` is its interface. ``slow_start`` raises weights in
steps. ``file_scan``, ``file_watch`` and ``list_store`` do the I/O, ``background`` runs long work without blocking the
event loop, and ``verdict_reporter`` logs the verdict on each version.
"""
