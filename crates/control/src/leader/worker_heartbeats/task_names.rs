//! Names of tasks on the wire: `job/number`.

/// The name of a task on the wire.
pub(in crate::leader) fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// The job and the number in a task's name; `None` if it is not such a name.
pub(super) fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
