//! Jobs: what a client asks for, its checks, and what has become of it.

mod check;
mod job;
mod resources;
mod spec;
mod state;

pub use check::{SpecError, STEP_TASKS_MOST, TASKS_MOST};
pub use job::{Attempt, Job, Task};
pub use resources::Resources;
pub use spec::{JobSpec, StepSpec, TaskSpec};
pub use state::{AttemptState, JobState, TaskState};
