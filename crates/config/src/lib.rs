//! The operators' configuration document: types, checks, patch fold, snapshots.
