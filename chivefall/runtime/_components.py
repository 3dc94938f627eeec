"""Base class of circuits components with abstract methods."""

from __future__ import annotations

from abc import ABC, ABCMeta

from circuits import BaseComponent

__all__ = ["AbstractComponent"]


class _AbstractComponentMeta(ABCMeta, type(BaseComponent)):
    """Metaclass of components that declare abstract methods."""


class AbstractComponent(BaseComponent, ABC, metaclass=_AbstractComponentMeta):
    """A circuits component that may declare abstract methods."""
