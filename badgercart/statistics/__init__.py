"""What a node learned, kept in a folder that lasts, aged, and given back after a restart.

`ageing` says how each value fades, `snapshot` is the file's content and its checks, `store` keeps
it whole on a disk that may fail, `component` plugs it in. docs/design/learning.md has the survey.
"""
