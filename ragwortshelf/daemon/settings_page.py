"""Writes the settings reference: ``python -m ragwortshelf.daemon.settings_page``."""

from pathlib import Path

from .settings import reference_page

__all__ = ["PAGE"]

PAGE = Path("docs/operators/settings.md")

if __name__ == "__main__":
    PAGE.write_text(reference_page())
