//! At-most-once calls: the fold of claims and the grouping of appends.
