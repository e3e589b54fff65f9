"""Errors of settings files."""

__all__ = ["SettingsError"]


class SettingsError:
    """One error of a settings file.

    :param path: path of the key concerned, or of the file
    :param message: what is wrong with it
    """

    __slots__ = ("path", "message")

    def __init__(self, path, message):
        self.path = path
        self.message = message

    def __str__(self):
        return f"{self.path}: {self.message}"
