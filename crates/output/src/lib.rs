//! What the programs write to standard output and standard error. `println!` and its relatives panic where the stream
//! can't be written; nothing here does.

pub mod background_writer;
pub mod console;

pub use background_writer::{BackgroundWriter, LostLines, WriterLimits};
pub use console::{EXIT_OUTPUT_LOST, parse_arguments, with_output_checked};
