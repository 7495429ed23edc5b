//! Encodes requests to the cloud as HTTP calls and decodes the replies.

use super::CallResult;
use crate::effects::{CallError, CallId, CallTarget, Output};
use crate::requests::{CloudOp, CloudReply};
use constants::{CLOUD_TIMEOUT_MS, MACHINE_LIST_PAGE_SIZE};
use wire::cloud::{MachineNames, MachineTypes};
use wire::DecodeError;

/// Text in the body of a refused rental if the cloud currently has no such machines.
const NO_CAPACITY: &str = "no capacity";

/// Encodes a request as an HTTP call.
pub(super) fn encode_call(op: &CloudOp, call: CallId) -> Output {
    Output::Call {
        call,
        target: CallTarget::Cloud,
        method: method(op),
        path: path(op),
        body: body(op),
        timeout_ms: CLOUD_TIMEOUT_MS,
    }
}

fn method(op: &CloudOp) -> &'static str {
    match op {
        CloudOp::Return(_) | CloudOp::Rent(_) => "POST",
        CloudOp::List { .. } | CloudOp::Types => "GET",
    }
}

fn path(op: &CloudOp) -> String {
    match op {
        CloudOp::Return(_) => "/hosts/return".to_string(),
        CloudOp::Rent(_) => "/hosts".to_string(),
        CloudOp::List { from } if from.is_empty() => {
            format!("/hosts?limit={MACHINE_LIST_PAGE_SIZE}")
        }
        CloudOp::List { from } => format!("/hosts?from={from}&limit={MACHINE_LIST_PAGE_SIZE}"),
        CloudOp::Types => "/machine_types".to_string(),
    }
}

fn body(op: &CloudOp) -> Vec<u8> {
    match op {
        CloudOp::Return(names) => {
            let machines = names.clone();
            wire::encode(&MachineNames { machines })
        }
        CloudOp::Rent(rent) => wire::encode(rent),
        CloudOp::List { .. } | CloudOp::Types => Vec::new(),
    }
}

/// Decodes the outcome of a request.
pub(super) fn decode_reply(op: &CloudOp, result: &CallResult) -> CloudReply {
    match result {
        Err(CallError::NotSent) => CloudReply::Refused,
        Err(CallError::Unknown) => CloudReply::Unknown,
        // If the body is unreadable, it is unknown whether the request was executed.
        Ok((status, body)) => decode_body(op, *status, body).unwrap_or(CloudReply::Unknown),
    }
}

fn decode_body(op: &CloudOp, status: u16, body: &[u8]) -> Result<CloudReply, DecodeError> {
    let reply = match (op, status) {
        (CloudOp::Return(_), 200) => CloudReply::Returned,
        (CloudOp::Rent(_), 200) => {
            let rented: MachineNames = wire::decode(body)?;
            CloudReply::Rented(rented.machines)
        }
        (CloudOp::Rent(_), 503) if String::from_utf8_lossy(body).contains(NO_CAPACITY) => {
            CloudReply::NoCapacity
        }
        (CloudOp::List { .. }, 200) => CloudReply::Listed(wire::decode(body)?),
        (CloudOp::Types, 200) => {
            let types: MachineTypes = wire::decode(body)?;
            CloudReply::Types(types.types)
        }
        (_, 429 | 503) => CloudReply::Refused,
        (_, 400..=499) => CloudReply::Invalid,
        _ => CloudReply::Unknown,
    };
    Ok(reply)
}
