"""Checks the pages for newcomers: modules that they name exist, and the README links to them first."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MODULE_PATH = re.compile(r"`((?:[a-z_]+/)+[a-z_]+\.py)`")


@pytest.mark.parametrize("page", ["ARCHITECTURE.md", "GLOSSARY.md"])
def test_modules_that_a_page_names_exist(page):
    named = set(MODULE_PATH.findall((ROOT / "docs" / page).read_text()))
    assert named
    assert not [
        path for path in sorted(named) if not (ROOT / path).exists() and not (ROOT / "lynxscale" / path).exists()
    ]


def test_the_readme_points_to_the_newcomers_pages_first():
    links = re.findall(r"\]\(([^)]+)\)", (ROOT / "README.md").read_text())
    assert links[:2] == ["docs/ARCHITECTURE.md", "docs/GLOSSARY.md"]
