"""Imports between the controllers' modules point one way."""

from __future__ import annotations

import ast
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "chivefall" / "controllers"


def imports_of(path: Path) -> set[str]:
    """Return the modules of the package that a module names, also for annotations alone."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return {
        node.module
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        and node.module
        and node.module.startswith("chivefall.controllers.")
    }


class Layers(unittest.TestCase):
    def test_no_circle(self) -> None:
        """Guards against controllers that can only be understood together."""
        graph = {}
        for path in PACKAGE.rglob("*.py"):
            parts = path.relative_to(ROOT).with_suffix("").parts
            name = ".".join(parts).removesuffix(".__init__")
            if name != "chivefall.controllers":  # It only lists the public names.
                graph[name] = imports_of(path)
        self.assertGreater(len(graph), 20)
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as exc:
            self.fail(f"these modules import each other: {exc.args[1]}")


if __name__ == "__main__":
    unittest.main()
