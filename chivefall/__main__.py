"""Entry point of ``python -m chivefall``."""

from __future__ import annotations

from chivefall.cli import main

if __name__ == "__main__":
    main()
