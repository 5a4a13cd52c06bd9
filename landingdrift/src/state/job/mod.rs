//! Jobs: their specs, the checks before acceptance, and the state of accepted jobs, tasks and attempts.

mod accepted;
mod check;
mod resources;
mod spec;
mod state;

pub use accepted::{Attempt, Job, Task};
pub(crate) use check::is_name;
pub use check::{SpecError, MAX_STEP_TASKS, MAX_TASKS};
pub use resources::Resources;
pub use spec::{JobSpec, StepSpec, TaskSpec};
pub use state::{AttemptState, JobState, TaskState};
