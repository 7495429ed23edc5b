//! Encodes requests to the state service as HTTP calls.

use crate::effects::{CallId, CallTarget, Output};
use crate::requests::StateOp;
use constants::{RECORD_LIST_PAGE_SIZE, STATE_TIMEOUT_MS};
use wire::state::LeaseRequest;

/// Encodes a request as an HTTP call.
pub(super) fn encode_call(op: &StateOp, call: CallId) -> Output {
    Output::Call {
        call,
        target: CallTarget::State,
        method: method(op),
        path: path(op),
        body: body(op),
        timeout_ms: timeout_ms(op),
    }
}

fn method(op: &StateOp) -> &'static str {
    match op {
        StateOp::Get(_) | StateOp::List { .. } | StateOp::Watch { .. } => "GET",
        StateOp::Txn(_) | StateOp::Grant { .. } | StateOp::Renew(_) => "POST",
        StateOp::Revoke(_) => "DELETE",
    }
}

fn path(op: &StateOp) -> String {
    match op {
        StateOp::Get(key) => format!("/kv/{key}"),
        StateOp::List { prefix, from } if from.is_empty() => {
            format!("/kv?under={prefix}&limit={RECORD_LIST_PAGE_SIZE}")
        }
        StateOp::List { prefix, from } => {
            format!("/kv?under={prefix}&from={from}&limit={RECORD_LIST_PAGE_SIZE}")
        }
        StateOp::Txn(_) => "/multi".to_string(),
        StateOp::Grant { .. } => "/leases".to_string(),
        StateOp::Renew(lease) => format!("/leases/{lease}/renew"),
        StateOp::Revoke(lease) => format!("/leases/{lease}"),
        StateOp::Watch {
            prefix,
            from,
            hold_ms,
        } => {
            format!("/changes?under={prefix}&from={from}&hold_ms={hold_ms}")
        }
    }
}

fn body(op: &StateOp) -> Vec<u8> {
    match op {
        StateOp::Txn(txn) => wire::encode(txn),
        StateOp::Grant { ttl_ms } => wire::encode(&LeaseRequest { ttl_ms: *ttl_ms }),
        _ => Vec::new(),
    }
}

fn timeout_ms(op: &StateOp) -> u64 {
    match op {
        // A page of many records takes longer than a single record.
        StateOp::List { .. } => 2 * STATE_TIMEOUT_MS,
        // The state service replies once something changes, or after the hold time.
        StateOp::Watch { hold_ms, .. } => hold_ms + STATE_TIMEOUT_MS,
        _ => STATE_TIMEOUT_MS,
    }
}
