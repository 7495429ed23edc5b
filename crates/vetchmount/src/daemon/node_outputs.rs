//! Execution of the node's outputs: responses, calls and messages to peers.

use super::startup::parse_address;
use super::{Daemon, DaemonError};
use crate::http_client::{Call, CallOutcome};
use crate::http_server::Response;
use control::{CallError, CallId, CallTarget, Now, Output};
use std::net::SocketAddrV4;

/// Addresses of the services that every controller calls.
pub(super) struct ServiceAddresses {
    /// The state service.
    pub(super) state: SocketAddrV4,
    /// The cloud.
    pub(super) cloud: SocketAddrV4,
}

impl ServiceAddresses {
    /// The address of a call's recipient.
    fn resolve(&self, target: &CallTarget) -> Result<SocketAddrV4, DaemonError> {
        match target {
            CallTarget::State => Ok(self.state),
            CallTarget::Cloud => Ok(self.cloud),
            CallTarget::Worker(address) => parse_address(address),
        }
    }
}

impl Daemon {
    /// Executes all outputs that the node has ready.
    pub(super) fn execute_outputs(&mut self, now: Now) {
        while let Some(output) = self.node.next_output() {
            self.execute_output(now, output);
        }
    }

    fn execute_output(&mut self, now: Now, output: Output) {
        match output {
            Output::Respond {
                id,
                status,
                retry_after_s,
                body,
            } => {
                let response = Response {
                    id,
                    status,
                    retry_after_s,
                    body,
                };
                self.respond(now, &response);
            }
            Output::Call {
                call,
                target,
                method,
                path,
                body,
                timeout_ms,
            } => {
                let Some(addr) = self.resolve_or_fail(call, &target) else {
                    return;
                };
                let call = Call {
                    id: call,
                    addr,
                    method,
                    path,
                    body,
                    deadline: now.mono + timeout_ms,
                };
                self.start_call(now, call);
            }
            Output::Peer { to, message } => self.peers.send(&self.poller, to.as_deref(), &message),
        }
    }

    fn respond(&mut self, now: Now, response: &Response) {
        let requests = &mut self.pending.requests;
        self.http_server
            .respond(&self.poller, response, now.mono, requests);
    }

    /// Returns the address of a call's recipient. If the address can't be parsed, the call fails as never sent.
    fn resolve_or_fail(&mut self, call: CallId, target: &CallTarget) -> Option<SocketAddrV4> {
        let address = self.service_addresses.resolve(target).ok();
        if address.is_none() {
            let outcome = CallOutcome::failed(call, CallError::NotSent);
            self.pending.call_outcomes.push(outcome);
        }
        address
    }

    fn start_call(&mut self, now: Now, call: Call) {
        let outcomes = &mut self.pending.call_outcomes;
        self.http_client.start_call(
            &self.poller,
            call,
            &mut self.poller_keys,
            now.mono,
            outcomes,
        );
    }
}
