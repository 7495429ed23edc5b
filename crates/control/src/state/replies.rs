//! Decodes replies of the state service.

use super::CallResult;
use crate::effects::CallError;
use crate::requests::{StateOp, StateReply};
use wire::state::{Lease, TxnResponse};
use wire::DecodeError;

/// Text in the body of a refused transaction that names a lease that doesn't exist.
const NO_SUCH_LEASE: &str = "no such lease";

/// Decodes the outcome of a request.
pub(super) fn decode_reply(op: &StateOp, result: &CallResult) -> StateReply {
    match result {
        Err(CallError::NotSent) => StateReply::Refused,
        Err(CallError::Unknown) => StateReply::Unknown,
        Ok((429 | 503, _)) => StateReply::Refused,
        Ok((500.., _)) => StateReply::Unknown,
        // If the body is unreadable, it is unknown whether the request was executed.
        Ok((status, body)) => decode_body(op, *status, body).unwrap_or(StateReply::Unknown),
    }
}

fn decode_body(op: &StateOp, status: u16, body: &[u8]) -> Result<StateReply, DecodeError> {
    let reply = match (op, status) {
        (StateOp::Get(_), 200) => StateReply::Item(wire::decode(body)?),
        (StateOp::Get(_), 404) => StateReply::Missing,
        (StateOp::List { .. }, 200) => StateReply::Page(wire::decode(body)?),
        (StateOp::Txn(_), _) => return decode_txn_reply(status, body),
        (StateOp::Grant { .. }, 200) => {
            let granted: Lease = wire::decode(body)?;
            StateReply::Granted(granted.id)
        }
        (StateOp::Renew(_), 200) => StateReply::Renewed,
        (StateOp::Renew(_), 404) => StateReply::NoLease,
        (StateOp::Revoke(_), _) => StateReply::Renewed,
        (StateOp::Watch { .. }, 200) => StateReply::Changes(wire::decode(body)?),
        (StateOp::Watch { .. }, 410) => StateReply::TooOld,
        _ => StateReply::Invalid,
    };
    Ok(reply)
}

fn decode_txn_reply(status: u16, body: &[u8]) -> Result<StateReply, DecodeError> {
    let reply = match status {
        200 => {
            let answer: TxnResponse = wire::decode(body)?;
            StateReply::Committed {
                version: answer.revision,
            }
        }
        409 => {
            let answer: TxnResponse = wire::decode(body)?;
            StateReply::Conflict {
                failed: answer.failed_keys,
            }
        }
        400 if String::from_utf8_lossy(body).contains(NO_SUCH_LEASE) => StateReply::NoLease,
        _ => StateReply::Invalid,
    };
    Ok(reply)
}
