//! Messages of the cloud: machine types, rentals and the list of machines.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub mem_gb: f64,
    /// Size of the image cache in GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "hourly", default)]
    pub price: f64,
    /// Price per hour as a spot instance.
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    /// Usual boot time, in seconds.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones in which it is offered.
    #[serde(rename = "valleys", default)]
    pub zones: Vec<String>,
}

/// The list of all machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// Machine types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines. It is idempotent under its name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rent {
    /// Name of the request. A new request never reuses it.
    #[serde(rename = "ask")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "valley")]
    pub zone: String,
    /// Whether the machines are to be spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines that were rented, or are to be returned.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// Phase of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    /// The machine is starting.
    Booting,
    /// The machine is running.
    Running,
    /// The machine stopped by itself.
    Failed,
}

/// A machine in the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    pub id: String,
    /// Address of its worker.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Machine type.
    #[serde(rename = "breed")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "valley")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Phase.
    pub phase: MachinePhase,
    /// Age in seconds since the rental request.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines, in the order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    #[serde(rename = "has_next", default)]
    pub more: bool,
}
