//! Listeners whose connections hold few bytes before the process reads them.
//!
//! The kernel accepts connections, and bytes on them, that the process has not looked at yet. Both count
//! towards the memory of a machine, and no limit of the process applies to them.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Receive buffer of a connection, in bytes. Linux doubles it for its own bookkeeping. It bounds the rate of a
/// body to 16 KB a round trip, so one of 262,144 bytes takes 0.4 s across regions 12 ms apart.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
/// Maximum number of connections that wait to be accepted.
const MAX_WAITING_CONNECTIONS: u32 = 128;

/// Binds a listener for connections of clients outside our control.
///
/// # Errors
/// The operating system's error if the address can't be used.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it. Set before the listen call, since it decides on the window offered.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(MAX_WAITING_CONNECTIONS)
}
