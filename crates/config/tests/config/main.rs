//! Tests of the configuration: documents, the fold and the keeper.

mod common;
mod document;
mod fold;
