//! Roles register themselves here; the program looks them up by name.

/// One subcommand of the program.
pub struct Role {
    /// The name on the command line.
    pub name: &'static str,
    /// What it is for, in a few words.
    pub summary: &'static str,
    /// Runs with the words after the subcommand; the result is the exit code.
    pub run: fn(Vec<std::ffi::OsString>) -> i32,
}

inventory::collect!(Role);

/// All roles, by name.
pub fn all() -> Vec<&'static Role> {
    let mut roles: Vec<_> = inventory::iter::<Role>.into_iter().collect();
    roles.sort_by_key(|r| r.name);
    roles
}
