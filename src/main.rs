//! Entry point of the `berylwheel` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    berylwheel_command::run()
}
