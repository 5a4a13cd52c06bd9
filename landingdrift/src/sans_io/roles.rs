//! Registry of the program's subcommands: roles register themselves, and the program looks them up by name.

/// A subcommand of the program.
pub struct Role {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description for the help text.
    pub summary: &'static str,
    /// Runs the subcommand with the arguments after its name; returns the exit code.
    pub run: fn(Vec<std::ffi::OsString>) -> i32,
}

inventory::collect!(Role);

/// All roles, sorted by name.
pub fn all() -> Vec<&'static Role> {
    let mut roles: Vec<_> = inventory::iter::<Role>.into_iter().collect();
    roles.sort_by_key(|r| r.name);
    roles
}
