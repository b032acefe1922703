"""Persists the policy's statistics in a folder, and restores them after a restart.

- `ageing`: how each value decays with its age
- `snapshot`: the content of the file and its validation
- `store`: atomic replacement of the file on a disk that may fail
- `component`: the component that saves and restores
- `commands`: the commands that show and convert a file

docs/design/learning.md has the survey behind this design.
"""
