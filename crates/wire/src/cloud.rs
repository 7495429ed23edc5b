//! What the cloud is asked and answers.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub mem_gb: f64,
    /// Image cache in GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate of image fetches.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "hourly", default)]
    pub price: f64,
    /// Spot price an hour.
    #[serde(rename = "low_price", default)]
    pub spot_price: f64,
    /// Usual boot time in seconds.
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    /// Zones it is offered in.
    #[serde(rename = "valleys", default)]
    pub zones: Vec<String>,
}

/// All machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// Types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A rental request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rent {
    /// Name of the request, never used twice.
    #[serde(rename = "ask")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "breed")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "valley")]
    pub zone: String,
    /// Whether spot machines are wanted.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: those rented, or those to be returned.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// Phase of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    /// Not up yet.
    Booting,
    /// Up.
    Running,
    /// Stopped by itself.
    Failed,
}

/// A listed machine.
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
    /// Whether it is a spot machine.
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
    /// Machines by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more.
    #[serde(rename = "has_next", default)]
    pub more: bool,
}
