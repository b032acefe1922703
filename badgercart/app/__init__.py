"""The operator's file: what it may say, where it goes wrong, and what is started by it.

`schema` checks tables by their settings, `file` knows badgercart's own, `run` starts what a file
switches on. Its entry is `file.load`.
"""
