//! Values that several tests look at.

use pointhook::protocol::workers::Command;

/// How many of the commands start a task.
pub fn count_starts(commands: &[Command]) -> usize {
    let starts = commands
        .iter()
        .filter(|command| matches!(command, Command::Start { .. }));
    starts.count()
}
