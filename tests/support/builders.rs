//! Helpers for tests on commands to workers.

use pointhook::protocol::workers::Command;

/// Number of start commands in the list.
pub fn count_starts(commands: &[Command]) -> usize {
    let starts = commands
        .iter()
        .filter(|command| matches!(command, Command::Start { .. }));
    starts.count()
}
