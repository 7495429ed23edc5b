//! Validation of the settings beyond what their types and the schema express. Each error message names the invalid
//! field.

use super::{Deployment, NextLimits, Operator, PartitionSettings, PinSettings, Settings, Team};
use partitions::rebalance::Pins;
use partitions::PARTITION_COUNT;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Smallest accepted limit of writes in a state service transaction. A lower value is treated as a configuration error.
const MIN_TXN_OPS: usize = 4;
/// Smallest accepted size limit of state service values, in KiB. A lower value is treated as a configuration error.
const MIN_VALUE_KIB: f64 = 1.0;
/// Smallest accepted limit of a controller's sockets. A lower value is treated as a configuration error.
const MIN_CONNECTIONS: usize = 32;

impl Settings {
    /// Checks addresses and value ranges. The error message names the field.
    pub fn validate(&self) -> Result<(), String> {
        self.check_addresses()?;
        self.deployment.check_positive_amounts()?;
        self.deployment.check_state_limits()?;
        self.deployment.check_connections()?;
        self.deployment.teams.iter().try_for_each(check_team)
    }

    fn check_addresses(&self) -> Result<(), String> {
        if self.label.is_empty() {
            return Err("label: must not be empty".into());
        }
        check_address("public_addr", &self.public_addr)?;
        check_address("back", &self.back)?;
        check_address("outside.cloud", &self.outside.cloud)?;
        check_address("outside.state", &self.outside.state)?;
        for sibling in &self.siblings {
            check_address("siblings.addr", &sibling.addr)?;
            if sibling.label == self.label {
                let label = &sibling.label;
                return Err(format!(
                    "siblings.label: {label:?} is the label of this node"
                ));
            }
        }
        Ok(())
    }
}

impl Deployment {
    fn check_positive_amounts(&self) -> Result<(), String> {
        let workers = &self.workers;
        let amounts = [
            ("deployment.workers.report_s", workers.report_s),
            ("deployment.workers.lease_s", workers.lease_s),
            ("deployment.workers.gang_wait_s", workers.gang_wait_s),
            ("deployment.workers.gang_peer_s", workers.gang_peer_s),
            ("deployment.workers.cancel_s", workers.cancel_s),
            ("deployment.state.rps", self.state.rps),
            ("deployment.state.write_rps", self.state.write_rps),
            ("deployment.state.value_kb", self.state.value_kb),
            ("deployment.cloud.rps", self.cloud.rps),
            ("deployment.quota.cpu", self.quota.cpu),
            ("deployment.quota.mem_mb", self.quota.mem_mb),
        ];
        amounts
            .into_iter()
            .try_for_each(|(name, amount)| check_positive(name, amount))
    }

    fn check_state_limits(&self) -> Result<(), String> {
        if self.state.txn_ops < MIN_TXN_OPS {
            return Err(format!(
                "deployment.state.txn_ops: must be at least {MIN_TXN_OPS}"
            ));
        }
        self.state.next.as_ref().map_or(Ok(()), NextLimits::check)
    }

    fn check_connections(&self) -> Result<(), String> {
        if self.quota.max_connections < MIN_CONNECTIONS {
            return Err(format!(
                "deployment.quota.max_connections: must be at least {MIN_CONNECTIONS}"
            ));
        }
        Ok(())
    }
}

impl NextLimits {
    fn check(&self) -> Result<(), String> {
        if let Some(rps) = self.rps {
            check_positive("deployment.state.next.rps", rps)?;
        }
        if let Some(write_rps) = self.write_rps {
            check_positive("deployment.state.next.write_rps", write_rps)?;
        }
        let is_large_enough = |kib: f64| kib.is_finite() && kib >= MIN_VALUE_KIB;
        if !self.value_kb.is_none_or(is_large_enough) {
            return Err(format!(
                "deployment.state.next.value_kb: must be at least {MIN_VALUE_KIB}"
            ));
        }
        if self.txn_ops.is_some_and(|ops| ops < MIN_TXN_OPS) {
            return Err(format!(
                "deployment.state.next.txn_ops: must be at least {MIN_TXN_OPS}"
            ));
        }
        Ok(())
    }
}

impl Operator {
    /// Checks what the schema can't express. The error message names the field.
    pub fn validate(&self, settings: &Settings) -> Result<(), String> {
        if let Some(partitions) = &self.partitions {
            if self.rollout.is_none() {
                return Err(
                    "partitions: needs rollout, which tells controllers which of them use partitions".into(),
                );
            }
            partitions.validated_pins(settings)?;
        }
        let Some(rollout) = &self.rollout else {
            return Ok(());
        };
        rollout
            .announced_levels()
            .map_err(|error| error.to_string())?;
        check_distinct_siblings(settings)
    }
}

impl PartitionSettings {
    /// The pins, checked against the controllers of the deployment. The error message names the field.
    pub fn validated_pins(&self, settings: &Settings) -> Result<Pins, String> {
        let siblings = settings.siblings.iter().map(|s| s.label.as_str());
        let labels: Vec<&str> = siblings.chain([settings.label.as_str()]).collect();
        let mut pins = Pins::default();
        for pin in &self.pins {
            if !labels.contains(&pin.controller.as_str()) {
                return Err(format!(
                    "partitions.pins.controller: {:?} is not a controller of this deployment",
                    pin.controller
                ));
            }
            pin.add_partitions(&mut pins)?;
            pin.add_share(&mut pins)?;
        }
        let total_share: f64 = pins.shares.values().sum();
        if total_share > 1.0 {
            return Err(format!(
                "partitions.pins.share: the shares add up to {total_share}, more than 1"
            ));
        }
        Ok(pins)
    }
}

impl PinSettings {
    fn add_partitions(&self, pins: &mut Pins) -> Result<(), String> {
        let label = &self.controller;
        for partition in &self.partitions {
            if *partition >= PARTITION_COUNT {
                return Err(format!(
                    "partitions.pins.partitions: {partition} is not below {PARTITION_COUNT}"
                ));
            }
            let previous = pins.partitions.insert(*partition, label.clone());
            if let Some(other) = previous.filter(|other| other != label) {
                return Err(format!(
                    "partitions.pins.partitions: {partition} is pinned to {other:?} and {label:?}"
                ));
            }
        }
        Ok(())
    }

    fn add_share(&self, pins: &mut Pins) -> Result<(), String> {
        let Some(share) = self.share else {
            return Ok(());
        };
        let label = &self.controller;
        if pins.shares.insert(label.clone(), share).is_some() {
            return Err(format!(
                "partitions.pins.share: {label:?} has more than one share"
            ));
        }
        Ok(())
    }
}

fn check_distinct_siblings(settings: &Settings) -> Result<(), String> {
    let mut labels = BTreeSet::new();
    for sibling in &settings.siblings {
        if !labels.insert(&sibling.label) {
            return Err(format!(
                "siblings.label: {:?} is listed more than once",
                sibling.label
            ));
        }
    }
    Ok(())
}

fn check_address(name: &str, text: &str) -> Result<(), String> {
    match text.parse::<SocketAddrV4>() {
        Ok(_) => Ok(()),
        Err(_) => Err(format!("{name}: not an IPv4 address with port: {text:?}")),
    }
}

fn check_positive(name: &str, amount: f64) -> Result<(), String> {
    if amount.is_finite() && amount > 0.0 {
        Ok(())
    } else {
        Err(format!("{name}: must be a positive number, is {amount}"))
    }
}

fn check_team(team: &Team) -> Result<(), String> {
    for amount in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
        if !amount.is_finite() || amount < 0.0 {
            let name = &team.name;
            return Err(format!(
                "deployment.teams: {name:?} has the invalid amount {amount}"
            ));
        }
    }
    Ok(())
}
