"""The settings file of a process that runs only a replica."""

from __future__ import annotations

import os

from pydantic import Field, ValidationError

from badgercart.app import document
from badgercart.app.faults import Path, SettingsFileError, of_model, problem
from badgercart.app.locate import lines_of
from badgercart.app.logs import Log
from badgercart.app.model import Table
from badgercart.distribution.settings import ReplicaSettings, replica_faults


class ReplicaFile(Table, title="StoreFile"):
    """the file of a process that is a store alone"""

    distribution: ReplicaSettings = Field(description="the store")
    log: Log = Log()


def load_replica_file(path: str) -> ReplicaFile | None:
    """Return the settings of a replica's file; None if it is the file of an installation.

    Raises:
        SettingsFileError: the file can't be read, or a setting is invalid.
    """
    read = document.read(path, os.environ)
    if not read.raw.keys() <= ReplicaFile.model_fields.keys() or "distribution" not in read.raw:
        return None
    found: list[tuple[Path, str]]
    try:
        file = ReplicaFile.model_validate(read.raw)
        faults = replica_faults(file.distribution)
        found = [(("distribution", *key), detail) for key, detail in faults]
    except ValidationError as error:
        found = list(of_model(error, ReplicaFile))
    if found:
        lines = lines_of(read.text)
        problems = [problem(key, detail, lines, read.origins) for key, detail in found]
        raise SettingsFileError(path, problems)
    return file
