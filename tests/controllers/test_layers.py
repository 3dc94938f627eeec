"""Imports between the controllers' modules have no cycles."""

from __future__ import annotations

import ast
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "chivefall" / "controllers"


def imports_of(path: Path) -> set[str]:
    """Return the controllers' modules that a module imports, also if only for annotations."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return {
        node.module
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        and node.module
        and node.module.startswith("chivefall.controllers.")
    }


class ImportCycleTest(unittest.TestCase):
    def test_no_import_cycle(self) -> None:
        """Guards against cyclic dependencies between controllers."""
        graph = {}
        for path in PACKAGE.rglob("*.py"):
            parts = path.relative_to(ROOT).with_suffix("").parts
            name = ".".join(parts).removesuffix(".__init__")
            if name != "chivefall.controllers":  # It only re-exports public names.
                graph[name] = imports_of(path)
        self.assertGreater(len(graph), 20)
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as exc:
            self.fail(f"these modules import each other: {exc.args[1]}")


if __name__ == "__main__":
    unittest.main()
