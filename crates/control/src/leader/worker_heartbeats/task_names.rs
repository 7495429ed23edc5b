//! Names of tasks on the wire: `job/number`.

/// The name of a task on the wire.
pub(in crate::leader) fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

/// Splits a task's name into job and task number. Returns `None` if the name has another form.
pub(super) fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}
