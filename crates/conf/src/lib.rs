//! Configuration files in TOML with layers over them (environment variables, flags), read section by section. All
//! errors are reported at once, each with its location and, for an unknown key, the most similar known key. `serde`
//! stops at the first error and has no location for a value from a later layer, so values are read from a tree that
//! keeps values and locations.

mod section;
mod tree;

pub use section::{Problem, Problems, Section, format_duration};
pub use tree::ConfigTree;
