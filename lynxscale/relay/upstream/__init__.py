"""The upstream group: endpoint lists from files and from discovery, and the one list that is in force.

``model`` has the values, ``files`` parses and writes a list, ``validation`` decides what a new version means,
``endpoint_table`` is the list in force and ``group`` its interface, ``slow_start`` raises weights in steps.
``file_scan``, ``file_watch`` and ``list_store`` do the I/O, ``background`` runs what takes long, ``verdict_reporter``
logs what became of each version.
"""
