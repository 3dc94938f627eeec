"""Registry of the controllers of an application."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from chivefall.errors import RegistryError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from chivefall.controllers import Controller

__all__ = ["Registry"]

C = TypeVar("C", bound="Controller")


class Registry:
    """Controllers by type, in start order."""

    def __init__(self) -> None:
        self._controllers: dict[type, Controller] = {}

    def add(self, controller: C) -> C:
        """Register a controller and return it.

        Raises
        ------
        RegistryError
            If a controller of that type is already registered.
        """
        kind = type(controller)
        if kind in self._controllers:
            raise RegistryError(f"{kind.__name__} is registered twice", "register it once")
        self._controllers[kind] = controller
        return controller

    def get(self, kind: type[C]) -> C:
        """Return the controller of a type.

        Raises
        ------
        RegistryError
            If no controller of that type is registered.
        """
        try:
            return self._controllers[kind]  # type: ignore[return-value]
        except KeyError:
            raise RegistryError(
                f"{kind.__name__} is not registered", "add it in Application"
            ) from None

    def __iter__(self) -> Iterator[Controller]:
        return iter(self._controllers.values())

    def __reversed__(self) -> Iterator[Controller]:
        return reversed(self._controllers.values())
