"""Errors in settings files."""

__all__ = ["SettingsError"]


class SettingsError:
    """An error in a settings file.

    :param path: path of the key in the settings, or path of the file if the
        file cannot be read
    :param message: description of the error
    """

    __slots__ = ("path", "message")

    def __init__(self, path, message):
        self.path = path
        self.message = message

    def __str__(self):
        return f"{self.path}: {self.message}"
