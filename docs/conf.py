"""Sphinx settings of the documentation."""

project = 'sycamorestack'
extensions = ['myst_parser']
exclude_patterns = ['_build', 'changes']
html_theme = 'alabaster'
myst_heading_anchors = 3
