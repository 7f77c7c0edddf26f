//! Files that people write: TOML, with layers over it (environment, flags), read by sections that know
//! their keys. Every error is told at once, each with its place and, for a key that is unknown, the
//! likely one. `serde` stops at the first error and knows no place of a value that a later layer gave,
//! so values are read from a tree that keeps both.

mod section;
mod tree;

pub use section::{Problem, Problems, Section, format_duration};
pub use tree::ConfigTree;
