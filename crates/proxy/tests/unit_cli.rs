//! Unit test of the command line definition.

use clap::CommandFactory;
use violetwind_proxy::cli::*;

#[test]
fn the_command_line_definition_is_valid() {
    Cli::command().debug_assert();
}
