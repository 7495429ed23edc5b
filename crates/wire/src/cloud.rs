//! Messages of the cloud provider's API: machine types, rentals and the machine list.

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
    pub image_cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour as an on-demand instance.
    #[serde(rename = "hourly", default)]
    pub price_per_hour: f64,
    /// Price per hour as a spot instance.
    #[serde(rename = "low_price", default)]
    pub spot_price_per_hour: f64,
    /// Usual boot time, in seconds.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones in which the type is offered.
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

/// A request to rent machines. It is idempotent: repeating it under the same name rents nothing more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Name of the request. Names are never reused.
    #[serde(rename = "ask")]
    pub name: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "valley")]
    pub zone: String,
    /// Whether to rent spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines that have been rented, or are to be returned.
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

/// An entry of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "id")]
    pub name: String,
    /// Address of its worker.
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    /// Machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "valley")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Phase.
    pub phase: MachinePhase,
    /// Seconds since the rental request.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines, ordered by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
}
