"""The settings file, the command line, the registry of components, and logging.

- `document`, `locate`: a file's text, the variables that override it, and line numbers.
- `model`, `base`, `file`, `faults`: the tables of a file, what they describe, and what is wrong
  with them.
- `component`, `registry`, `application`, `run`: components, and the installation that they make.
- `cli`, `node_client`, `console`, `exits`, `render`, `pages`: commands, and what they print.
- `logs`, `log_events`: the log of `serve`.

`file.load_installation` reads a file, `run.run` serves what it switches on. The package knows no component by
name.
"""
