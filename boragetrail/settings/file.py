"""Reader of settings files, which are JSON with comments."""

import pyjson5

from boragetrail.settings.errors import SettingsError

__all__ = ["read_settings"]


def read_settings(path):
    """Read and decode a settings file.

    :param path: path of the file
    :returns: (data, ``None``), or (``None``,
        :class:`~boragetrail.settings.errors.SettingsError`)
    """
    try:
        with open(path, encoding="utf-8") as file:
            return pyjson5.decode(file.read()), None
    except OSError as exc:
        return None, SettingsError(path, exc.strerror)
    except (pyjson5.Json5Exception, UnicodeDecodeError) as exc:
        return None, SettingsError(path, f"is not JSON: {exc}")
