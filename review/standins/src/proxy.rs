//! A TCP proxy for one link. While the link is cut, nothing passes: what was sent is held and delivered in order once
//! the cut is over, and connections to it hang without an error.

use crate::http::listen;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// A link that can be cut.
#[derive(Clone)]
pub struct Proxy {
    /// Address that the link's client connects to.
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy to an address.
    pub fn start(target: SocketAddr) -> Self {
        let (listener, addr) = listen();
        let cut = Arc::new(AtomicBool::new(false));
        let link = Arc::clone(&cut);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let link = Arc::clone(&link);
                std::thread::spawn(move || connect(client, target, link));
            }
        });
        Proxy { addr, cut }
    }

    /// Cuts the link, or restores it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        std::thread::sleep(CHECK_INTERVAL);
    }
}

fn connect(client: TcpStream, target: SocketAddr, cut: Arc<AtomicBool>) {
    wait(&cut);
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let link = Arc::clone(&cut);
    std::thread::spawn(move || pump(from, to, &link));
    pump(server, client, &cut);
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut chunk = [0u8; 16 * 1024];
    loop {
        let read = from.read(&mut chunk);
        wait(cut);
        match read {
            Ok(count) if count > 0 && to.write_all(&chunk[..count]).is_ok() => {}
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
