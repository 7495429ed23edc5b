//! Where the tasks of a job can run: the machine types and zones that the cloud offers and the job allows. Admission,
//! rentals and returns use these rules.

use sched::Resources;
use wire::cloud::MachineType;
use wire::users::Submission;

/// Resources that each task of a job takes.
pub(crate) fn task_resources(spec: &Submission) -> Resources {
    Resources {
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.mem_gb,
    }
}

/// Total resources of a machine of this type.
pub(crate) fn type_resources(machine_type: &MachineType) -> Resources {
    Resources {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        memory_gb: machine_type.mem_gb,
    }
}

/// Zones in which a machine type is offered. A type that lists none is offered in all zones of the deployment.
pub(crate) fn offered_zones<'a>(
    machine_type: &'a MachineType,
    deployment_zones: &'a [String],
) -> &'a [String] {
    match machine_type.zones.is_empty() {
        true => deployment_zones,
        false => &machine_type.zones,
    }
}

/// Whether a task of the job fits on an empty machine of the type and may run on this type.
pub(crate) fn allows_type(spec: &Submission, machine_type: &MachineType) -> bool {
    let allowed = spec.machine_types.as_ref();
    allowed.is_none_or(|names| names.contains(&machine_type.name))
        && type_resources(machine_type).can_fit(&task_resources(spec))
}

/// Whether tasks of the job may run in the zone, its other tasks aside.
pub(crate) fn allows_zone(spec: &Submission, zone: &str) -> bool {
    spec.zone.as_ref().is_none_or(|only| only == zone)
}
