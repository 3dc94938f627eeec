"""Command-line interface; the only package that imports typer."""

from __future__ import annotations

from chivefall.cli._main import main

__all__ = ["main"]
