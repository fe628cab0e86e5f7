"""Two processes of one relay, the one that serves and its heir: ``docs/design/operation.md``, "Upgrades"."""
