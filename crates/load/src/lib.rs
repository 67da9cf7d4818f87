//! Reproducible load, checks of every answer, and comparisons.
